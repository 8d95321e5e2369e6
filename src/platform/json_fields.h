#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "chervilspar/base/result.h"

namespace chervilspar::platform {

/// Functions that read the platform's answers. Each error names the field by its JSON pointer, so
/// that an operator can report the fault to the platform's maintainers. `parent` is the JSON
/// pointer of the enclosing object or array.

/// Parses a body that must be one JSON object.
Result<boost::json::object> ParseObject(std::string_view body);

Result<std::int64_t> RequireInteger(const boost::json::object& object, std::string_view name,
                                    std::string_view parent = {});
Result<std::string> RequireString(const boost::json::object& object, std::string_view name,
                                  std::string_view parent = {});
Result<boost::json::array> RequireArray(const boost::json::object& object, std::string_view name,
                                        std::string_view parent = {});
/// Returns item `index` of an array; the item must be an object.
Result<boost::json::object> RequireItem(const boost::json::array& array, std::size_t index,
                                        std::string_view parent);

/// Makes the error for field `name` of an answer's body.
Reason MalformedField(std::string_view parent, std::string_view name, std::string_view message);

}  // namespace chervilspar::platform
