#include "config_log/json_fields.h"

#include <limits>

namespace chervilspar::config_log {

std::int64_t ToMicroseconds(WallTime time) { return time.time_since_epoch().count(); }

const boost::json::value* JsonFields::Find(std::string_view name) const {
  return this->object == nullptr ? nullptr : this->object->if_contains(name);
}

const boost::json::value* JsonFields::Require(std::string_view name) {
  const boost::json::value* value = this->Find(name);
  this->broken = this->broken || value == nullptr;
  return value;
}

const boost::json::array* JsonFields::RequireArray(std::string_view name) {
  const boost::json::value* value = this->Require(name);
  const boost::json::array* array = value == nullptr ? nullptr : value->if_array();
  this->broken = this->broken || array == nullptr;
  return array;
}

std::string JsonFields::Text(std::string_view name) {
  const boost::json::value* value = this->Require(name);
  const boost::json::string* text = value == nullptr ? nullptr : value->if_string();
  if (text == nullptr) {
    this->broken = true;
    return "";
  }
  return std::string(text->data(), text->size());
}

std::optional<std::string> JsonFields::OptionalText(std::string_view name) {
  return this->Find(name) == nullptr ? std::nullopt : std::optional<std::string>(this->Text(name));
}

std::int64_t JsonFields::Integer(std::string_view name, std::int64_t min, std::int64_t max) {
  const boost::json::value* value = this->Require(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < min ||
      value->get_int64() > max) {
    this->broken = true;
    return min;
  }
  return value->get_int64();
}

std::int64_t JsonFields::IntegerOr(std::string_view name, std::int64_t otherwise) {
  if (this->Find(name) == nullptr) {
    return otherwise;
  }
  return this->Integer(name, std::numeric_limits<std::int64_t>::min(),
                       std::numeric_limits<std::int64_t>::max());
}

WallTime JsonFields::Time(std::string_view name) {
  return WallTime(Duration(this->Integer(name, 0, std::numeric_limits<std::int64_t>::max())));
}

WallTime JsonFields::TimeOrEpoch(std::string_view name) {
  return this->Find(name) == nullptr ? WallTime{} : this->Time(name);
}

}  // namespace chervilspar::config_log
