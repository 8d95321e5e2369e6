#include "cli/json_view.h"

#include <sstream>

#include <boost/json/serialize.hpp>

namespace chervilspar::cli {

JsonView JsonView::At(std::string_view name) const {
  if (this->value == nullptr || !this->value->is_object()) {
    return JsonView();
  }
  const boost::json::value* field = this->value->get_object().if_contains(name);
  return field == nullptr ? JsonView() : JsonView(*field);
}

std::vector<JsonView> JsonView::Rows() const {
  std::vector<JsonView> rows;
  if (this->value == nullptr || !this->value->is_array()) {
    return rows;
  }
  for (const boost::json::value& row : this->value->get_array()) {
    rows.emplace_back(row);
  }
  return rows;
}

JsonView JsonView::RowWith(std::string_view field, std::string_view text) const {
  for (const JsonView& row : this->Rows()) {
    if (row.At(field).Text() == text) {
      return row;
    }
  }
  return JsonView();
}

std::string JsonView::Text() const {
  return this->value != nullptr && this->value->is_string() ? std::string(this->value->get_string())
                                                            : std::string();
}

std::int64_t JsonView::Integer() const {
  return this->value != nullptr && this->value->is_int64() ? this->value->get_int64() : 0;
}

bool JsonView::Truth() const {
  return this->value != nullptr && this->value->is_bool() && this->value->get_bool();
}

std::string JsonView::Shown() const {
  if (!this->IsThere()) {
    return "-";
  }
  if (this->value->is_string()) {
    return this->Text();
  }
  if (this->value->is_bool()) {
    return this->Truth() ? "yes" : "no";
  }
  if (this->value->is_double()) {
    std::ostringstream text;
    text << this->value->get_double();
    return text.str();
  }
  return boost::json::serialize(*this->value);
}

}  // namespace chervilspar::cli
