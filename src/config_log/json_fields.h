#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "chervilspar/base/time.h"

namespace chervilspar::config_log {

/// Reads the fields of one JSON object of a record. Unknown fields are passed over, so that a later
/// version may add some; a missing or broken one makes the whole record unreadable, which
/// `IsBroken` tells after all fields were read.
class JsonFields {
 public:
  explicit JsonFields(const boost::json::value& json) : object(json.if_object()) {
    this->broken = this->object == nullptr;
  }

  std::string Text(std::string_view name);
  std::optional<std::string> OptionalText(std::string_view name);
  std::int64_t Integer(std::string_view name, std::int64_t min, std::int64_t max);
  std::int64_t IntegerOr(std::string_view name, std::int64_t otherwise);
  WallTime Time(std::string_view name);
  WallTime TimeOrEpoch(std::string_view name);
  /// The field, or null when it is absent; absence is no fault here.
  const boost::json::value* Find(std::string_view name) const;
  /// The field; absence is a fault.
  const boost::json::value* Require(std::string_view name);
  const boost::json::array* RequireArray(std::string_view name);

  void MarkBroken() { this->broken = true; }
  bool IsBroken() const { return this->broken; }

 private:
  const boost::json::object* object;
  bool broken = false;
};

/// Microseconds since the epoch, as times are written in records.
std::int64_t ToMicroseconds(WallTime time);

}  // namespace chervilspar::config_log
