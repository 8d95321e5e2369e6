#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace chervilspar::jobs {

/// Adds a member unless it has its default value, as stored records are written often.
template <typename T>
void PutUnlessDefault(boost::json::object& out, std::string_view name, const T& value) {
  if (!(value == T{})) {
    out[name] = boost::json::value_from(value);
  }
}

/// A number; `otherwise` when it is absent. Throws when it is of another type or out of range.
template <typename T>
T NumberOf(const boost::json::object& in, std::string_view name, T otherwise = T{}) {
  const boost::json::value* value = in.if_contains(name);
  return value == nullptr ? otherwise : value->to_number<T>();
}

/// A text; empty when it is absent. Throws when it is of another type.
inline std::string TextOf(const boost::json::object& in, std::string_view name) {
  const boost::json::value* value = in.if_contains(name);
  return value == nullptr ? std::string() : std::string(value->as_string());
}

/// A flag; false when it is absent. Throws when it is of another type.
inline bool FlagOf(const boost::json::object& in, std::string_view name) {
  const boost::json::value* value = in.if_contains(name);
  return value != nullptr && value->as_bool();
}

/// A list; null when it is absent. Throws when it is of another type.
inline const boost::json::array* ArrayOf(const boost::json::object& in, std::string_view name) {
  const boost::json::value* value = in.if_contains(name);
  return value == nullptr ? nullptr : &value->as_array();
}

}  // namespace chervilspar::jobs
