#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "chervilspar/base/result.h"

namespace chervilspar::jobs {

/// Thrown for an invalid field of a record.
class FieldFault : public std::runtime_error {
 public:
  FieldFault(const std::string& field, const std::string& message)
      : std::runtime_error(message), field(field) {}

  Reason AsReason() const { return {ErrorCode::kMalformed, this->field, this->what()}; }

 private:
  std::string field;
};

/// Returns the value of a field as a number. Throws `FieldFault` if it has the wrong type or is out
/// of range.
template <typename T>
T NumberAt(const boost::json::value& value, const std::string& field) {
  boost::system::error_code error;
  const T number = value.to_number<T>(error);
  if (error) {
    throw FieldFault(field, "is not a number or is out of range");
  }
  return number;
}

/// Returns the value of a field as an enumerator from 0 to `last`. Throws `FieldFault` otherwise.
template <typename Enum>
Enum EnumAt(const boost::json::value& value, const std::string& field, Enum last) {
  const int number = NumberAt<int>(value, field);
  if (number < 0 || number > static_cast<int>(last)) {
    throw FieldFault(field, "is not a known value");
  }
  return static_cast<Enum>(number);
}

/// Returns the value of a field as a string. Throws `FieldFault` if it has another type.
inline std::string TextAt(const boost::json::value& value, const std::string& field) {
  if (!value.is_string()) {
    throw FieldFault(field, "is not a string");
  }
  return std::string(value.get_string());
}

/// Returns the value of a field as an array. Throws `FieldFault` if it has another type.
inline const boost::json::array& ListAt(const boost::json::value& value, const std::string& field) {
  if (!value.is_array()) {
    throw FieldFault(field, "is not an array");
  }
  return value.get_array();
}

/// Reads a JSON array whose positions are named columns. Trailing columns may be missing. Reading a
/// column throws `FieldFault` if its value is invalid.
class JsonColumns {
 public:
  /// `names`: the name of each column, with static storage duration. `path`: the path of the array
  /// in its record; empty for the record itself.
  JsonColumns(const boost::json::value& in, const char* const* names, const std::string& path)
      : in(ListAt(in, path)), names(names), path(path) {}

  std::string PathOf(std::size_t column) const {
    return this->path.empty() ? this->names[column] : this->path + '/' + this->names[column];
  }

  /// Returns a required column; throws `FieldFault` if it is missing.
  const boost::json::value& At(std::size_t column) const {
    if (column >= this->in.size()) {
      throw FieldFault(this->PathOf(column), "is missing");
    }
    return this->in[column];
  }

  /// Returns null if the column is missing.
  const boost::json::value* Find(std::size_t column) const {
    return column < this->in.size() ? &this->in[column] : nullptr;
  }

  template <typename T>
  T Number(std::size_t column) const {
    return NumberAt<T>(this->At(column), this->PathOf(column));
  }

  /// Returns a number, or `default_value` if the column is missing.
  template <typename T>
  T Number(std::size_t column, T default_value) const {
    return column < this->in.size() ? this->Number<T>(column) : default_value;
  }

  template <typename Enum>
  Enum OneOf(std::size_t column, Enum last) const {
    return EnumAt(this->At(column), this->PathOf(column), last);
  }

  std::string Text(std::size_t column) const {
    return TextAt(this->At(column), this->PathOf(column));
  }

  /// Returns an array; empty if the column is missing.
  const boost::json::array& List(std::size_t column) const {
    static const boost::json::array kEmpty;
    return column < this->in.size() ? ListAt(this->in[column], this->PathOf(column)) : kEmpty;
  }

 private:
  const boost::json::array& in;
  const char* const* names;
  std::string path;
};

}  // namespace chervilspar::jobs
