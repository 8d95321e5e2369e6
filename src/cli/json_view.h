#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace chervilspar::cli {

/// Reads an answer of an entry without trusting its form: what is absent or of another type reads
/// as empty, so that an entry of a later version can't crash an operator's command.
class JsonView {
 public:
  JsonView() = default;
  explicit JsonView(const boost::json::value& value) : value(&value) {}

  bool IsThere() const { return this->value != nullptr && !this->value->is_null(); }
  JsonView At(std::string_view name) const;
  /// The elements of a list.
  std::vector<JsonView> Rows() const;
  /// The first row whose field has this text; an empty view when there is none.
  JsonView RowWith(std::string_view field, std::string_view text) const;
  std::string Text() const;
  std::int64_t Integer() const;
  bool Truth() const;
  /// Any scalar as a person reads it; "-" when absent.
  std::string Shown() const;

 private:
  const boost::json::value* value = nullptr;
};

}  // namespace chervilspar::cli
