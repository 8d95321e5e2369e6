#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/dispatch/service_shard.h"

#include "bench/event_loop.h"
#include "bench/outcome.h"
#include "bench/scenario.h"

namespace chervilspar::bench {

/// Ticket numbers are made of the request's number and of which ask of it.
inline constexpr std::uint64_t kAsksPerRequest = 64;

/// One request of a caller, over all times that it asks.
struct Request {
  std::uint64_t number = 0;
  std::uint32_t team = 0;
  std::uint32_t entry = 0;
  admission::Ticket ticket;
  /// What is left to run on an ordinary endpoint.
  Duration run_time = Duration::zero();
  TimePoint asked_at;
  std::uint32_t asks = 1;
  bool is_long = false;
  bool is_measured = false;
  bool was_accepted = false;
  bool is_answered = false;
  bool is_cancelled = false;
};

/// A task at an endpoint.
struct Task {
  std::uint64_t request = 0;
  std::uint32_t endpoint = 0;
  TimePoint started;
  TimePoint ends;
  double slowness = 1.0;
};

struct EndpointFake {
  EndpointSpec spec;
  VmId id;
  ZoneId zone;
  std::uint32_t running = 0;
};

/// Counts running tasks of teams over the whole fleet, as exact limits would.
class LimitGate final : public scheduling::QuotaGate {
 public:
  scheduling::GateAnswer MayStart(const TeamId& team, TimePoint) override {
    const auto limit = this->limits.find(team);
    const bool is_free = limit == this->limits.end() || this->running[team] < limit->second;
    return is_free ? scheduling::GateAnswer::kMayStart : scheduling::GateAnswer::kAtLimit;
  }

  std::unordered_map<TeamId, std::uint32_t> limits;
  std::unordered_map<TeamId, std::uint32_t> running;
};

struct EntryFake {
  EntryId id;
  ZoneId zone;
  std::unique_ptr<dispatch::ServiceShard> shard;
  std::size_t ejected = 0;
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario);
  RunOutcome Run();

 private:
  void MakeFleet();
  void StartTeam(std::uint32_t team);
  void NextArrival(std::uint32_t team);
  void Arrive(std::uint32_t team);
  void Ask(std::uint64_t request);
  void Pump(std::uint32_t entry);
  void Tick(std::uint32_t entry);
  void Report(std::uint32_t entry);
  void Send(std::uint32_t entry, const dispatch::Start& start);
  void ReachEndpoint(std::uint64_t request, std::uint32_t endpoint, std::uint64_t attempt);
  void EndTask(std::uint64_t attempt, load_balancing::Outcome outcome);
  void Reply(std::uint64_t request, std::uint32_t endpoint, std::uint64_t attempt,
             load_balancing::Outcome outcome, Duration measured);
  void OnDeadline(std::uint64_t request);
  void Preempt(std::uint32_t entry, const scheduling::Preempt& action);
  void CallerLeaves(std::uint64_t request);
  void Refused(std::uint64_t request, const admission::Refusal& refusal);
  void Answered(std::uint64_t request, load_balancing::Outcome outcome, Duration measured);
  void CountUse(const Task& task, TimePoint ended);
  Duration Delay(std::uint32_t entry, std::uint32_t endpoint) const;
  bool IsBad(const EndpointFake& endpoint) const;
  double Seconds(TimePoint when) const;
  double Exponential(Random& random) const;

  Scenario scenario;
  EventLoop loop;
  SeededRandom decisions;
  std::vector<SeededRandom> team_randoms;
  std::vector<EntryFake> entries;
  std::vector<EndpointFake> endpoints;
  LimitGate gate;
  std::unordered_map<std::uint64_t, Request> requests;
  /// Attempt of each running request, to recognise answers that come after the entry gave up.
  std::unordered_map<std::uint64_t, std::uint64_t> attempt_of;
  std::unordered_map<std::uint64_t, Task> tasks;
  std::uint64_t next_request = 1;
  std::uint64_t next_attempt = 1;
  RunOutcome outcome;
};

}  // namespace chervilspar::bench
