#include <boost/json.hpp>

#include "chervilspar/jobs/upkeep.h"

#include "jobs/json_values.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

json::array EncodeTexts(const std::set<std::string>& texts) {
  json::array out;
  for (const std::string& text : texts) {
    out.emplace_back(text);
  }
  return out;
}

std::set<std::string> DecodeTexts(const json::object& in, const char* field) {
  std::set<std::string> texts;
  if (const json::array* values = ArrayOf(in, field)) {
    for (const json::value& value : *values) {
      texts.insert(std::string(value.as_string()));
    }
  }
  return texts;
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
    out["closed"] = EncodeTexts(progress.closed);
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
    progress.closed = DecodeTexts(in, "closed");
    return progress;
  } catch (const std::exception&) {
    return unreadable;
  }
}

}  // namespace chervilspar::jobs
