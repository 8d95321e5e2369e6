#include <boost/json.hpp>

#include "chervilspar/jobs/upkeep.h"

#include "jobs/json_values.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

json::object EncodeEndpoints(const std::map<VmId, std::string>& endpoints) {
  json::object out;
  for (const auto& [vm, endpoint] : endpoints) {
    out[vm.text] = endpoint;
  }
  return out;
}

std::map<VmId, std::string> DecodeEndpoints(const json::object& in, const char* field) {
  std::map<VmId, std::string> endpoints;
  if (const json::value* value = in.if_contains(field)) {
    for (const auto& entry : value->as_object()) {
      endpoints.emplace(VmId{std::string(entry.key())}, std::string(entry.value().as_string()));
    }
  }
  return endpoints;
}

json::array EncodeVms(const std::set<VmId>& vms) {
  json::array out;
  for (const VmId& vm : vms) {
    out.emplace_back(vm.text);
  }
  return out;
}

std::set<VmId> DecodeVms(const json::object& in, const char* field) {
  std::set<VmId> vms;
  if (const json::array* texts = ArrayOf(in, field)) {
    for (const json::value& vm : *texts) {
      vms.insert(VmId{std::string(vm.as_string())});
    }
  }
  return vms;
}

}  // namespace

std::string EncodeWaveProgress(const WaveProgress& progress) {
  json::object out{{"wave", progress.number},
                   {"told", progress.is_reported},
                   {"complete", progress.is_complete},
                   {"rebooted", EncodeVms(progress.rebooted)}};
  if (!progress.ordered.empty()) {
    out["ordered"] = EncodeVms(progress.ordered);
  }
  if (!progress.closed.empty()) {
    out["closed"] = EncodeEndpoints(progress.closed);
  }
  return json::serialize(out);
}

Result<WaveProgress> DecodeWaveProgress(std::string_view text) {
  const Reason unreadable{ErrorCode::kMalformed, "", "the record is not a wave's progress"};
  try {
    const json::value value = json::parse(text);
    const json::object& in = value.as_object();
    WaveProgress progress;
    progress.number = in.at("wave").to_number<std::uint64_t>();
    progress.is_reported = FlagOf(in, "told");
    progress.is_complete = FlagOf(in, "complete");
    progress.rebooted = DecodeVms(in, "rebooted");
    progress.ordered = DecodeVms(in, "ordered");
    progress.closed = DecodeEndpoints(in, "closed");
    return progress;
  } catch (const std::exception&) {
    return unreadable;
  }
}

}  // namespace chervilspar::jobs
