#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/quota/quota.h"

#include "bench/event_loop.h"
#include "bench/table_experiment.h"

namespace chervilspar::bench {

/// How one variant lends.
struct LendingWay {
  std::string label;
  quota::LendingPolicy policy;
  Duration lease = std::chrono::seconds(5);
  bool lends = true;
};

/// Entries with their parts of the teams' limits and with requests that land unevenly: each team in
/// turn asks five times its mean, mostly at one entry. Endpoints have room for all, so that the
/// limits alone make requests wait. After a minute one entry is killed and the demand ends; what
/// its lenders still count for it is what the loans put at risk.
class LendingFleet {
 public:
  LendingFleet(const LendingWay& way, std::uint64_t seed, std::uint32_t teams);

  std::vector<Metric> Run();

 private:
  struct Team {
    TeamId id;
    std::uint32_t limit = 1;
    /// Requests a second, averaged over bursts and quiet times.
    double mean_rate = 1.0;
  };
  struct Waiting {
    TaskId task;
    TimePoint arrived;
  };
  struct Entry {
    EntryId id;
    std::unique_ptr<quota::Quota> quota;
    std::vector<std::deque<Waiting>> queues;
    bool is_dead = false;
  };

  void AddTeams(std::uint32_t teams);
  void AddEntries();
  void Arrive(std::size_t team);
  double RateNow(std::size_t team) const;
  std::size_t PickEntry(std::size_t team);
  void StartWaiting(std::size_t entry, std::size_t team);
  void Tick(std::size_t entry);
  void Send(const std::vector<quota::LendingMessage>& messages);
  void Sample();
  void SampleRisk();
  std::vector<Metric> Figures() const;

  LendingWay way;
  SeededRandom random;
  EventLoop loop;
  std::vector<Team> teams;
  std::vector<Entry> entries;
  std::vector<double> waits;
  std::uint64_t last_task = 0;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
  /// Unit seconds that lay idle at one entry while requests of their team waited at another.
  double idle_unit_seconds = 0.0;
  double wanted_unit_seconds = 0.0;
  double risk_unit_seconds = 0.0;
};

}  // namespace chervilspar::bench
