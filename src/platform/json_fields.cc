#include "json_fields.h"

#include <boost/json/parse.hpp>

namespace chervilspar::platform {

namespace json = boost::json;

namespace {

/// Limits nesting, so that a hostile body can't exhaust the stack.
constexpr std::size_t kMaxNestingDepth = 16;

}  // namespace

Reason MalformedField(std::string_view parent, std::string_view name, std::string_view message) {
  return {ErrorCode::kMalformed, std::string(parent) + "/" + std::string(name),
          std::string(message)};
}

Result<json::object> ParseObject(std::string_view body) {
  json::parse_options options;
  options.max_depth = kMaxNestingDepth;
  boost::system::error_code error;
  json::value value = json::parse({body.data(), body.size()}, error, {}, options);
  if (error) {
    return MalformedField("", "", "the body is not JSON: " + error.message());
  }
  if (!value.is_object()) {
    return MalformedField("", "", "the body is not a JSON object");
  }
  return std::move(value.get_object());
}

Result<std::int64_t> RequireInteger(const json::object& object, std::string_view name,
                                    std::string_view parent) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  if (value == nullptr) {
    return MalformedField(parent, name, "is missing");
  }
  if (!value->is_int64() || value->get_int64() < 0) {
    return MalformedField(parent, name, "is not a non-negative integer");
  }
  return value->get_int64();
}

Result<std::string> RequireString(const json::object& object, std::string_view name,
                                  std::string_view parent) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  if (value == nullptr) {
    return MalformedField(parent, name, "is missing");
  }
  if (!value->is_string()) {
    return MalformedField(parent, name, "is not a string");
  }
  return std::string(value->get_string());
}

Result<json::array> RequireArray(const json::object& object, std::string_view name,
                                 std::string_view parent) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  if (value == nullptr) {
    return MalformedField(parent, name, "is missing");
  }
  if (!value->is_array()) {
    return MalformedField(parent, name, "is not an array");
  }
  return value->get_array();
}

Result<json::object> RequireItem(const json::array& array, std::size_t index,
                                 std::string_view parent) {
  if (!array[index].is_object()) {
    return MalformedField(parent, std::to_string(index), "is not an object");
  }
  return array[index].get_object();
}

}  // namespace chervilspar::platform
