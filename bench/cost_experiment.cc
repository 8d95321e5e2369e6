#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <malloc.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/dispatch/service_shard.h"

#include "bench/patterns.h"

/// What a decision costs in processor time and what the state takes in memory, by size. Times are
/// of the machine's clock, and differ from run to run; nothing tests them.
namespace chervilspar::bench {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::uint32_t kSlots = 8;
constexpr std::size_t kPeers = 8;
constexpr int kRounds = 400'000;

double NanosecondsSince(WallClock::time_point start) {
  return std::chrono::duration<double, std::nano>(WallClock::now() - start).count();
}

TeamId Team(std::uint32_t index) { return TeamId{"team-" + std::to_string(index)}; }
VmId Vm(std::uint32_t index) { return VmId{"vm-" + std::to_string(index)}; }

/// Nanoseconds of one decision of each kind, and bytes of state.
struct Cost {
  double admit = 0.0;
  double schedule_and_place = 0.0;
  double finish = 0.0;
  double divide = 0.0;
  double bytes = 0.0;
};

/// A shard at full load: all of its part is running and every team has requests waiting.
class LoadedShard {
 public:
  LoadedShard(std::uint32_t teams, std::uint32_t workers)
      : teams(teams),
        workers(workers),
        random(1),
        shard(ServiceId{"s"}, EntryId{"entry-0"}, ZoneId{"a"}, Options()) {
    std::vector<scheduling::TeamShare> shares;
    for (std::uint32_t team = 0; team < teams; ++team) {
      shares.push_back({Team(team), 1.0 + team % 5, scheduling::UrgentPermission::kDenied});
    }
    std::vector<load_balancing::Endpoint> endpoints;
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
      const ZoneId zone{std::string(1, static_cast<char>('a' + worker % 3))};
      endpoints.push_back({Vm(worker), zone, kSlots, {64, 131072, 0}});
    }
    this->shard.SetTeams(shares, this->now);
    this->shard.SetEndpoints(endpoints, this->now);
    this->ReportPeers();
    for (std::uint32_t count = 0; count < teams * 4 + workers; ++count) {
      this->Admit();
    }
    while (this->Start()) {
    }
  }

  bool Admit() {
    admission::Ticket ticket;
    ticket.id = {++this->next};
    ticket.team = Team(static_cast<std::uint32_t>(this->random.Below(this->teams)));
    ticket.arrived = this->now;
    ticket.deadline = this->now + std::chrono::hours(10);
    return this->shard.Admit(ticket, this->now, this->random).IsAccepted();
  }

  bool Start() {
    auto start = this->shard.Next(this->now, this->gate, this->random);
    if (!start) {
      return false;
    }
    this->running.push_back(std::move(*start));
    return true;
  }

  bool FinishOne() {
    if (this->running.empty()) {
      return false;
    }
    const std::size_t place = this->random.Below(this->running.size());
    std::swap(this->running[place], this->running.back());
    const dispatch::Start start = std::move(this->running.back());
    this->running.pop_back();
    this->shard.OnFinished(start.ticket.id, start.endpoint, load_balancing::Outcome::kCompleted,
                           std::chrono::milliseconds(100), this->now, this->random);
    return true;
  }

  /// What eight peers report: all teams busy, every endpoint shared.
  void ReportPeers() {
    for (std::size_t peer = 0; peer < kPeers; ++peer) {
      scheduling::ShardReport report;
      for (std::uint32_t team = 0; team < this->teams; ++team) {
        report.teams.push_back({Team(team), 10, 2});
      }
      for (std::uint32_t worker = 0; worker < this->workers; ++worker) {
        if (worker % kPeers == peer) {
          report.endpoints.push_back({Vm(worker), kSlots});
        }
      }
      this->shard.OnPeerReport(EntryId{"peer-" + std::to_string(peer)}, ZoneId{"b"}, report,
                               Duration::zero(), this->now);
    }
  }

  /// One round of what an entry does per request; time moves by 20 microseconds, as at 50,000
  /// requests a second.
  void Round(Cost& cost) {
    this->now += std::chrono::microseconds(20);
    auto start = WallClock::now();
    this->FinishOne();
    cost.finish += NanosecondsSince(start);
    start = WallClock::now();
    this->Admit();
    cost.admit += NanosecondsSince(start);
    start = WallClock::now();
    this->Start();
    cost.schedule_and_place += NanosecondsSince(start);
  }

  TimePoint now = TimePoint(std::chrono::seconds(1000));

 private:
  static dispatch::ShardOptions Options() {
    dispatch::ShardOptions options;
    options.peer_timeout = std::chrono::hours(100);
    options.admission.max_wait = std::chrono::hours(100);
    return options;
  }

  std::uint32_t teams;
  std::uint32_t workers;
  std::uint64_t next = 0;
  SeededRandom random;
  scheduling::OpenGate gate;
  dispatch::ServiceShard shard;
  std::vector<dispatch::Start> running;
};

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

Cost Measure(std::uint32_t teams, std::uint32_t workers) {
  const double before = HeapBytes();
  LoadedShard loaded(teams, workers);
  Cost cost;
  cost.bytes = HeapBytes() - before;
  const auto rounds = static_cast<double>(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    loaded.Round(cost);
  }
  cost.admit /= rounds;
  cost.schedule_and_place /= rounds;
  cost.finish /= rounds;
  constexpr int kDivisions = 50;
  const auto start = WallClock::now();
  for (int division = 0; division < kDivisions; ++division) {
    loaded.now += std::chrono::milliseconds(200);
    loaded.Start();
  }
  cost.divide = NanosecondsSince(start) / kDivisions;
  return cost;
}

class CostExperiment final : public Experiment {
 public:
  std::string Name() const override { return "cost"; }

  void Run(const bench::Options& options) override {
    std::printf("cost: one shard at full load; nanoseconds of machine time\n");
    std::printf("  %6s %8s %8s %16s %8s %12s %10s\n", "teams", "workers", "admit", "schedule+place",
                "finish", "divide (us)", "state KiB");
    std::filesystem::create_directories(options.out_dir);
    std::ofstream lines(options.out_dir + "/cost.jsonl");
    std::vector<std::pair<std::uint32_t, std::uint32_t>> sizes{
        {6, 10}, {6, 50}, {60, 300}, {200, 1800}, {560, 8800}};
    if (options.teams > 0 && options.workers > 0) {
      sizes = {{options.teams, options.workers}};
    }
    for (const auto& [teams, workers] : sizes) {
      const Cost cost = Measure(teams, workers);
      std::printf("  %6u %8u %8.0f %16.0f %8.0f %12.0f %10.0f\n", teams, workers, cost.admit,
                  cost.schedule_and_place, cost.finish, cost.divide / 1000.0, cost.bytes / 1024.0);
      lines << "{\"pattern\":\"cost\",\"teams\":" << teams << ",\"workers\":" << workers
            << ",\"admit_ns\":" << cost.admit
            << ",\"schedule_and_place_ns\":" << cost.schedule_and_place
            << ",\"finish_ns\":" << cost.finish << ",\"divide_ns\":" << cost.divide
            << ",\"state_bytes\":" << cost.bytes << "}\n";
    }
    std::printf("\n");
  }
};

}  // namespace

void AddCostExperiment(ExperimentList& list) { list.push_back(std::make_unique<CostExperiment>()); }

}  // namespace chervilspar::bench
