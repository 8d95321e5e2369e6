#include "chervilspar/jobs/lapse_notice.h"

#include <boost/json.hpp>

#include "jobs/json_columns.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

const json::value& FieldAt(const json::object& in, const std::string& name) {
  const json::value* value = in.if_contains(name);
  if (value == nullptr) {
    throw FieldFault(name, "is missing");
  }
  return *value;
}

}  // namespace

std::string EncodeLapseNotice(const LapseNotice& notice) {
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(notice.remaining);
  return json::serialize(json::object{
      {"endpoint", notice.endpoint}, {"token", notice.token}, {"remaining_ms", remaining.count()}});
}

Result<LapseNotice> DecodeLapseNotice(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return Reason{ErrorCode::kMalformed, "", "the record is not a JSON object with a lapse notice"};
  }
  try {
    const json::object& in = value.as_object();
    const json::value& endpoint = FieldAt(in, "endpoint");
    if (!endpoint.is_string()) {
      throw FieldFault("endpoint", "is not a string");
    }
    LapseNotice notice;
    notice.endpoint = std::string(endpoint.as_string());
    notice.token = NumberAt<std::uint64_t>(FieldAt(in, "token"), "token");
    notice.remaining = std::chrono::milliseconds(
        NumberAt<std::uint32_t>(FieldAt(in, "remaining_ms"), "remaining_ms"));
    return notice;
  } catch (const FieldFault& fault) {
    return fault.AsReason();
  }
}

}  // namespace chervilspar::jobs
