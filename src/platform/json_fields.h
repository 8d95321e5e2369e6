#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "chervilspar/base/result.h"

namespace chervilspar::platform {

/// Readers of the platform's answers. Each error names the field by its JSON pointer, so that an
/// operator can tell the platform's people what is wrong.

/// A body that must be one JSON object.
Result<boost::json::object> ParseObject(std::string_view body);

Result<std::int64_t> RequireInteger(const boost::json::object& object, std::string_view name,
                                    std::string_view parent = {});
Result<std::string> RequireString(const boost::json::object& object, std::string_view name,
                                  std::string_view parent = {});
Result<boost::json::array> RequireArray(const boost::json::object& object, std::string_view name,
                                        std::string_view parent = {});
/// Item `index` of an array, which must be an object.
Result<boost::json::object> RequireItem(const boost::json::array& array, std::size_t index,
                                        std::string_view parent);

/// A fault in an answer's body.
Reason MalformedField(std::string_view parent, std::string_view name, std::string_view message);

}  // namespace chervilspar::platform
