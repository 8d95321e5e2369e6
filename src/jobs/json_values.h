#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace chervilspar::jobs {

/// Adds a member unless it has its default value. Stored records are written often, so they are
/// kept short.
template <typename T>
void PutUnlessDefault(boost::json::object& out, std::string_view name, const T& value) {
  if (!(value == T{})) {
    out[name] = boost::json::value_from(value);
  }
}

/// Returns a number, or `default_value` if it is absent. Throws if the value has another type or is
/// out of range.
template <typename T>
T NumberOf(const boost::json::object& in, std::string_view name, T default_value = T{}) {
  const boost::json::value* value = in.if_contains(name);
  return value == nullptr ? default_value : value->to_number<T>();
}

/// Returns a string; empty if it is absent. Throws if the value has another type.
inline std::string TextOf(const boost::json::object& in, std::string_view name) {
  const boost::json::value* value = in.if_contains(name);
  return value == nullptr ? std::string() : std::string(value->as_string());
}

/// Returns a boolean; false if it is absent. Throws if the value has another type.
inline bool FlagOf(const boost::json::object& in, std::string_view name) {
  const boost::json::value* value = in.if_contains(name);
  return value != nullptr && value->as_bool();
}

/// Returns an array; null if it is absent. Throws if the value has another type.
inline const boost::json::array* ArrayOf(const boost::json::object& in, std::string_view name) {
  const boost::json::value* value = in.if_contains(name);
  return value == nullptr ? nullptr : &value->as_array();
}

}  // namespace chervilspar::jobs
