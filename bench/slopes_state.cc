#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/record_codec.h"
#include "chervilspar/maintenance/planner.h"

#include "bench/big_inventory.h"
#include "bench/record_traffic.h"
#include "bench/slopes.h"

namespace chervilspar::bench {

namespace {

using config_log::FleetState;

constexpr std::uint32_t kSizes[] = {550, 1100, 2200, 4400, 8800};
constexpr int kRuns = 5;
constexpr double kMicrosecondsPerMs = 1000.0;
constexpr double kMinutesADay = 24 * 60;

maintenance::Observations AllLive(const FleetState& state) {
  maintenance::Observations observations;
  for (const auto& [id, vm] : state.inventory.vms) {
    maintenance::VmObservation seen;
    seen.listing = maintenance::VmListing::kLive;
    seen.age = std::chrono::seconds(1);
    observations.vms.emplace(id, seen);
  }
  observations.vm_list_age = std::chrono::seconds(1);
  for (const auto& [id, entry] : state.inventory.entries) {
    observations.live_entries.insert(id);
  }
  return observations;
}

/// The folded state and its snapshot as the fleet grows, teams and pools in proportion.
class StateSlopes final : public Experiment {
 public:
  std::string Name() const override { return "slopes-state"; }

  void Run(const Options& options) override {
    Slope bytes{"snapshot", "bytes", "VMs", {}};
    Slope heap{"folded state in memory", "bytes", "VMs", {}};
    Slope encode{"snapshot encoded", "ms", "VMs", {}};
    Slope copy{"state copied for readers", "ms", "VMs", {}};
    Slope decode{"snapshot decoded and indexed", "ms", "VMs", {}};
    Slope fold{"fold of a step's claim", "us", "VMs", {}};
    for (const std::uint32_t vms : kSizes) {
      const FleetState state = MakeBigState(ScaledShape(vms));
      const std::string text = config_log::EncodeState(state);
      const double size = vms;
      bytes.points.push_back({size, static_cast<double>(text.size())});
      heap.points.push_back(
          {size, HeapBytesOf([&] { return std::make_unique<config_log::Folder>(state); })});
      const auto add_ms = [size](Slope& slope, const std::function<void()>& work) {
        slope.points.push_back({size, MedianMicroseconds(kRuns, work) / kMicrosecondsPerMs});
      };
      add_ms(encode, [&] { (void)config_log::EncodeState(state); });
      add_ms(copy, [&] { (void)std::make_unique<FleetState>(state); });
      add_ms(decode, [&] { config_log::Folder folder(config_log::DecodeState(text).Value()); });
      fold.points.push_back({size, ClaimTime(state)});
    }
    for (const Slope& slope : {bytes, heap, encode, copy, decode, fold}) {
      ReportSlope(slope, options.out_dir);
    }
  }

 private:
  /// Decoding and folding one claim, and its withdrawal.
  static double ClaimTime(const FleetState& state) {
    constexpr int kPairs = 200;
    config_log::Folder folder(state);
    const inventory::Vm vm = state.inventory.vms.begin()->second;
    int number = 0;
    const auto fold = [&](config_log::RecordBody body) {
      const config_log::Record record{RecordId{"r" + std::to_string(number++)}, EntryId{"e"},
                                      WallTime(), std::move(body)};
      folder.FoldText(config_log::EncodeRecord(record));
    };
    const double all = MedianMicroseconds(kRuns, [&] {
      for (int i = 0; i < kPairs; ++i) {
        fold(config_log::StepClaimed{vm.id, config_log::StepAction::kReboot, vm.pool, std::nullopt,
                                     EntryId{"e"}});
        fold(config_log::StepWithdrawn{StepId{"r" + std::to_string(number - 1)}, "bench"});
      }
    });
    return all / (2 * kPairs);
  }
};

/// Planning as the fleet grows.
class PlanSlopes final : public Experiment {
 public:
  std::string Name() const override { return "slopes-plan"; }

  void Run(const Options& options) override {
    Slope due{"plan, all VMs due", "ms", "VMs", {}};
    Slope idle{"plan, none due", "ms", "VMs", {}};
    Slope forecast{"date forecast", "ms", "VMs", {}};
    Slope check{"check before a reboot", "ms", "VMs", {}};
    const WallTime now{std::chrono::seconds(1'800'000'000)};
    for (const std::uint32_t vms : kSizes) {
      FleetState state = MakeBigState(ScaledShape(vms));
      state.inventory.maintenance.every = std::chrono::hours(24 * 49);
      const maintenance::Observations observations = AllLive(state);
      const maintenance::Planner planner(state.inventory.entries.begin()->first);
      const double size = vms;
      const auto add = [size](Slope& slope, const std::function<void()>& work) {
        slope.points.push_back({size, MedianMicroseconds(kRuns, work) / kMicrosecondsPerMs});
      };
      std::size_t claims = 0;
      add(due, [&] { claims = planner.MakePlan(state, observations, now).claims.size(); });
      add(forecast, [&] { (void)maintenance::ForecastDate(state, observations.step_times, now); });
      std::printf("  %u VMs: first plan claims %zu\n", vms, claims);
      AddCheck(check, state, observations);
      for (auto& [id, status] : state.vm_status) {
        status.last_maintained = now;
      }
      add(idle, [&] { (void)planner.MakePlan(state, observations, now); });
    }
    for (const Slope& slope : {due, idle, forecast, check}) {
      ReportSlope(slope, options.out_dir);
    }
  }

 private:
  static void AddCheck(Slope& slope, FleetState state,
                       const maintenance::Observations& observations) {
    const inventory::Vm& vm = state.inventory.vms.begin()->second;
    config_log::Step step;
    step.id = StepId{"step"};
    step.vm = vm.id;
    step.from_pool = vm.pool;
    state.vm_status.at(vm.id).step = step.id;
    state.steps.emplace(step.id, step);
    const double time = MedianMicroseconds(
        kRuns, [&] { (void)maintenance::CheckBeforeActing(state, observations, step.id); });
    slope.points.push_back(
        {static_cast<double>(state.inventory.vms.size()), time / kMicrosecondsPerMs});
  }
};

/// Records a minute as the fleet grows at the planned rates for each VM, changes of configuration
/// in proportion.
class RecordSlopes final : public Experiment {
 public:
  std::string Name() const override { return "slopes-records"; }

  void Run(const Options& options) override {
    Slope records{"records in the log", "records/min", "VMs", {}};
    Slope bytes{"bytes in the log", "bytes/min", "VMs", {}};
    for (const std::uint32_t vms : kSizes) {
      FleetRates rates = PlannedRates();
      const double part = static_cast<double>(vms) / rates.shape.vms;
      rates.shape = ScaledShape(vms);
      rates.changes_a_day *= part;
      rates.failures_a_day *= part;
      rates.restarts_a_day *= part;
      rates.keys_a_day *= part;
      double records_a_day = 0;
      double bytes_a_day = 0;
      for (const RecordCause& cause : CausesOf(rates)) {
        records_a_day += cause.times_a_day * static_cast<double>(cause.records.size());
        for (const config_log::Record& record : cause.records) {
          bytes_a_day +=
              cause.times_a_day * static_cast<double>(config_log::EncodeRecord(record).size());
        }
      }
      records.points.push_back({static_cast<double>(vms), records_a_day / kMinutesADay});
      bytes.points.push_back({static_cast<double>(vms), bytes_a_day / kMinutesADay});
    }
    ReportSlope(records, options.out_dir);
    ReportSlope(bytes, options.out_dir);
  }
};

}  // namespace

void AddStateSlopes(ExperimentList& list) {
  list.push_back(std::make_unique<StateSlopes>());
  list.push_back(std::make_unique<PlanSlopes>());
  list.push_back(std::make_unique<RecordSlopes>());
}

}  // namespace chervilspar::bench
