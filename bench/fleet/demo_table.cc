#include "bench/fleet/demo_table.h"

#include <algorithm>
#include <cstdio>

namespace chervilspar::scenario {

namespace {

double QuantileMs(std::vector<std::int64_t> spans_us, double part) {
  if (spans_us.empty()) {
    return 0;
  }
  std::sort(spans_us.begin(), spans_us.end());
  const auto index = static_cast<std::size_t>(part * static_cast<double>(spans_us.size()));
  constexpr double kMicrosPerMilli = 1'000;
  return static_cast<double>(spans_us[std::min(index, spans_us.size() - 1)]) / kMicrosPerMilli;
}

void PrintTeam(const inventory::Team& team, const Evidence& evidence) {
  std::int64_t sent = 0;
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t may_have_run = 0;
  std::vector<std::int64_t> spans_us;
  for (const CallRecord& call : evidence.calls) {
    if (call.team != team.id || call.end == CallEnd::kNotConnected) {
      continue;
    }
    ++sent;
    completed += call.verdict == Verdict::kCompleted ? 1 : 0;
    not_run += call.verdict == Verdict::kNotRun ? 1 : 0;
    may_have_run += call.verdict == Verdict::kMayHaveRun ? 1 : 0;
    if (call.verdict == Verdict::kCompleted) {
      spans_us.push_back(call.ended_us - call.sent_us);
    }
  }
  std::printf("%-24s %7lld %9lld %8lld %8lld %6lld %6u %8.0f %8.0f\n", team.id.text.c_str(),
              static_cast<long long>(sent), static_cast<long long>(completed),
              static_cast<long long>(not_run), static_cast<long long>(may_have_run),
              static_cast<long long>(PeakOf(evidence.tasks, team.id)), team.upper_limit,
              QuantileMs(spans_us, 0.5), QuantileMs(spans_us, 0.99));
}

void PrintPool(const inventory::Pool& pool, const Evidence& evidence) {
  const auto in_pool = [&](const VmId& id) {
    const auto vm = evidence.inventory.vms.find(id);
    return vm != evidence.inventory.vms.end() && vm->second.pool == pool.id;
  };
  const auto tasks = std::count_if(evidence.tasks.begin(), evidence.tasks.end(),
                                   [&](const TaskLine& task) { return in_pool(task.vm); });
  const auto changes = [&](const std::string& cause) {
    return std::count_if(evidence.availability.begin(), evidence.availability.end(),
                         [&](const AvailabilityChange& change) {
                           return change.cause == cause && in_pool(change.vm);
                         });
  };
  std::printf("%-24s %7lld %9lld %8lld %8lld\n", pool.id.text.c_str(),
              static_cast<long long>(tasks), static_cast<long long>(changes("drain")),
              static_cast<long long>(changes("reboot")), static_cast<long long>(changes("back")));
}

}  // namespace

void PrintDemoTable(const Evidence& evidence) {
  std::printf("\n%-24s %7s %9s %8s %8s %6s %6s %8s %8s\n", "team", "sent", "completed", "not run",
              "may have", "peak", "limit", "p50 ms", "p99 ms");
  for (const auto& [id, team] : evidence.inventory.teams) {
    PrintTeam(team, evidence);
  }
  std::printf("\n%-24s %7s %9s %8s %8s\n", "pool (VMs at the start)", "tasks", "drains", "reboots",
              "returns");
  for (const auto& [id, pool] : evidence.inventory.pools) {
    PrintPool(pool, evidence);
  }
  std::printf("\n");
}

}  // namespace chervilspar::scenario
