#include <boost/json.hpp>

#include "chervilspar/jobs/upkeep.h"

#include "jobs/json_values.h"

namespace chervilspar::jobs {

namespace json = boost::json;

std::string EncodeWaveProgress(const WaveProgress& progress) {
  json::array vms;
  for (const VmId& vm : progress.rebooted) {
    vms.emplace_back(vm.text);
  }
  return json::serialize(json::object{{"wave", progress.number},
                                      {"told", progress.is_reported},
                                      {"complete", progress.is_complete},
                                      {"rebooted", std::move(vms)}});
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
    if (const json::array* vms = ArrayOf(in, "rebooted")) {
      for (const json::value& vm : *vms) {
        progress.rebooted.insert(VmId{std::string(vm.as_string())});
      }
    }
    return progress;
  } catch (const std::exception&) {
    return unreadable;
  }
}

}  // namespace chervilspar::jobs
