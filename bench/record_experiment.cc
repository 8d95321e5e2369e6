#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/record_codec.h"

#include "bench/patterns.h"
#include "bench/record_traffic.h"

namespace chervilspar::bench {

namespace {

constexpr double kMinutesADay = 24 * 60;

/// The median time of several runs in microseconds.
double MedianMicroseconds(int runs, const std::function<void()>& work) {
  std::vector<double> times;
  for (int i = 0; i < runs; ++i) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

std::size_t EncodedBytes(const std::vector<config_log::Record>& records) {
  std::size_t bytes = 0;
  for (const config_log::Record& record : records) {
    bytes += config_log::EncodeRecord(record).size();
  }
  return bytes;
}

/// Records and bytes a minute that a fleet writes into the log.
class RecordTraffic final : public Experiment {
 public:
  std::string Name() const override { return "records"; }

  void Run(const Options& options) override {
    std::filesystem::create_directories(options.out_dir);
    std::ofstream lines(options.out_dir + "/records.jsonl");
    std::printf("\nrecords: what a fleet writes into the log; rates as the users give them\n");
    for (const FleetRates& rates : {TodaysRates(), PlannedRates()}) {
      PrintFleet(rates, lines);
    }
  }

 private:
  static void PrintFleet(const FleetRates& rates, std::ofstream& lines) {
    std::printf("\n%s: %u VMs, %u pools, %u teams\n", rates.name.c_str(), rates.shape.vms,
                rates.shape.pools, rates.shape.teams);
    std::printf("%-26s %10s %8s %12s %12s %14s\n", "cause", "a day", "records", "bytes each",
                "records/min", "bytes/min");
    double all_records = 0;
    double all_bytes = 0;
    for (const RecordCause& cause : CausesOf(rates)) {
      const std::size_t bytes = EncodedBytes(cause.records);
      const double records_a_minute =
          cause.times_a_day * static_cast<double>(cause.records.size()) / kMinutesADay;
      const double bytes_a_minute = cause.times_a_day * static_cast<double>(bytes) / kMinutesADay;
      all_records += records_a_minute;
      all_bytes += bytes_a_minute;
      std::printf("%-26s %10.2f %8zu %12zu %12.4f %14.1f\n", cause.name.c_str(), cause.times_a_day,
                  cause.records.size(), bytes, records_a_minute, bytes_a_minute);
      lines << R"({"fleet":")" << rates.name << R"(","cause":")" << cause.name
            << R"(","records_a_minute":)" << records_a_minute << R"(,"bytes_a_minute":)"
            << bytes_a_minute << "}\n";
    }
    std::printf("%-26s %10s %8s %12s %12.4f %14.1f  (%.4f records/s, %.1f bytes/s)\n", "all", "",
                "", "", all_records, all_bytes, all_records / 60, all_bytes / 60);
  }
};

/// Processor time of the fold and its codecs as the fleet grows. Measured times: they vary from run
/// to run.
class FoldCost final : public Experiment {
 public:
  std::string Name() const override { return "fold-cost"; }

  void Run(const Options& options) override {
    std::filesystem::create_directories(options.out_dir);
    std::ofstream lines(options.out_dir + "/fold-cost.jsonl");
    std::printf("\nfold-cost: medians, microseconds of this machine\n");
    std::printf("%8s %10s %10s %10s %12s %12s %12s %12s\n", "VMs", "change", "claim", "observe",
                "copy state", "encode", "decode", "state bytes");
    constexpr std::uint32_t kSizes[] = {550, 1100, 2200, 4400, 8800};
    for (const std::uint32_t vms : kSizes) {
      Measure(vms, lines);
    }
  }

 private:
  static constexpr int kRuns = 9;
  static constexpr int kRecords = 200;

  /// The time to decode and fold one record, taken over many.
  static double FoldTime(const config_log::FleetState& state,
                         const std::function<config_log::RecordBody(int)>& body) {
    config_log::Folder folder(state);
    int number = 0;
    const double all = MedianMicroseconds(kRuns, [&] {
      for (int i = 0; i < kRecords; ++i, ++number) {
        const config_log::Record record{RecordId{"r" + std::to_string(number)}, EntryId{"e"},
                                        WallTime(std::chrono::seconds(number)), body(number)};
        folder.FoldText(config_log::EncodeRecord(record));
      }
    });
    return all / kRecords;
  }

  static void Measure(std::uint32_t vms, std::ofstream& lines) {
    const config_log::FleetState state = MakeBigState(ScaledShape(vms));
    const inventory::Vm vm = state.inventory.vms.begin()->second;
    const double change = FoldTime(state, [&](int number) -> config_log::RecordBody {
      config_log::Publish publish;
      publish.base_version = number + 1;
      inventory::Vm changed = vm;
      changed.cores = 1 + static_cast<std::uint32_t>(number) % 64;
      publish.delta.vms.put.emplace(changed.id, changed);
      publish.delta.vm_from_pools.emplace(changed.id, vm.pool);
      return publish;
    });
    const double claim = FoldTime(state, [&](int number) -> config_log::RecordBody {
      if (number % 2 == 0) {
        return config_log::StepClaimed{vm.id, config_log::StepAction::kReboot, vm.pool,
                                       std::nullopt, EntryId{"e"}};
      }
      return config_log::StepWithdrawn{StepId{"r" + std::to_string(number - 1)}, "bench"};
    });
    const double observe = FoldTime(state, [&](int number) -> config_log::RecordBody {
      return config_log::VmsObserved{
          config_log::VmCondition::kAvailable, {vm.id}, WallTime(std::chrono::seconds(1 + number))};
    });
    const double copy = MedianMicroseconds(
        kRuns, [&] { (void)std::make_shared<const config_log::FleetState>(state); });
    std::string text;
    const double encode = MedianMicroseconds(kRuns, [&] { text = config_log::EncodeState(state); });
    const double decode =
        MedianMicroseconds(kRuns, [&] { (void)config_log::DecodeState(text).Value().next_offset; });
    std::printf("%8u %10.1f %10.1f %10.1f %12.0f %12.0f %12.0f %12zu\n", vms, change, claim,
                observe, copy, encode, decode, text.size());
    lines << R"({"vms":)" << vms << R"(,"change_us":)" << change << R"(,"claim_us":)" << claim
          << R"(,"observe_us":)" << observe << R"(,"copy_us":)" << copy << R"(,"encode_us":)"
          << encode << R"(,"decode_us":)" << decode << R"(,"state_bytes":)" << text.size() << "}\n";
  }
};

}  // namespace

void AddRecordExperiments(ExperimentList& list) {
  list.push_back(std::make_unique<RecordTraffic>());
  list.push_back(std::make_unique<FoldCost>());
}

}  // namespace chervilspar::bench
