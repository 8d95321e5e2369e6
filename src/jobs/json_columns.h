#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "chervilspar/base/result.h"

namespace chervilspar::jobs {

/// A place in a record that can't be read.
class FieldFault : public std::runtime_error {
 public:
  FieldFault(const std::string& field, const std::string& message)
      : std::runtime_error(message), field(field) {}

  Reason AsReason() const { return {ErrorCode::kMalformed, this->field, this->what()}; }

 private:
  std::string field;
};

/// The value of a field as a number. Throws `FieldFault` when it is of another type or out of
/// range.
template <typename T>
T NumberAt(const boost::json::value& value, const std::string& field) {
  boost::system::error_code error;
  const T number = value.to_number<T>(error);
  if (error) {
    throw FieldFault(field, "is not a number that can be here");
  }
  return number;
}

/// The same for one of an enumeration's values from 0 to `last`.
template <typename Enum>
Enum EnumAt(const boost::json::value& value, const std::string& field, Enum last) {
  const int number = NumberAt<int>(value, field);
  if (number < 0 || number > static_cast<int>(last)) {
    throw FieldFault(field, "is none of the known values");
  }
  return static_cast<Enum>(number);
}

/// The same for a text.
inline std::string TextAt(const boost::json::value& value, const std::string& field) {
  if (!value.is_string()) {
    throw FieldFault(field, "is not a text");
  }
  return std::string(value.get_string());
}

/// The same for a list.
inline const boost::json::array& ListAt(const boost::json::value& value, const std::string& field) {
  if (!value.is_array()) {
    throw FieldFault(field, "is not a list");
  }
  return value.get_array();
}

/// Reads a list whose places have names. Places at the end may be missing.
class JsonColumns {
 public:
  /// `names`: the name of each place, of static storage; `path`: where the list stands in its
  /// record.
  JsonColumns(const boost::json::value& in, const char* const* names, const std::string& path)
      : in(ListAt(in, path)), names(names), path(path) {}

  std::string PathOf(std::size_t column) const {
    return this->path.empty() ? this->names[column] : this->path + '/' + this->names[column];
  }

  /// A place that must be there.
  const boost::json::value& At(std::size_t column) const {
    if (column >= this->in.size()) {
      throw FieldFault(this->PathOf(column), "is missing");
    }
    return this->in[column];
  }

  template <typename T>
  T Number(std::size_t column) const {
    return NumberAt<T>(this->At(column), this->PathOf(column));
  }

  /// A number; `otherwise` when its place is missing.
  template <typename T>
  T Number(std::size_t column, T otherwise) const {
    return column < this->in.size() ? this->Number<T>(column) : otherwise;
  }

  template <typename Enum>
  Enum OneOf(std::size_t column, Enum last) const {
    return EnumAt(this->At(column), this->PathOf(column), last);
  }

  std::string Text(std::size_t column) const {
    return TextAt(this->At(column), this->PathOf(column));
  }

  /// A list; empty when its place is missing.
  const boost::json::array& List(std::size_t column) const {
    static const boost::json::array kNone;
    return column < this->in.size() ? ListAt(this->in[column], this->PathOf(column)) : kNone;
  }

 private:
  const boost::json::array& in;
  const char* const* names;
  std::string path;
};

}  // namespace chervilspar::jobs
