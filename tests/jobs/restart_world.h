#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {

/// An endpoint whose clock starts anew with each incarnation, and which knows no token then.
class LeasedEndpoint {
 public:
  LeasedEndpoint(std::string id, double clock_rate) : id(std::move(id)), clock_rate(clock_rate) {}

  void Restart(TimePoint now);
  /// Nothing if it refuses the order's token.
  std::optional<RenewalReport> Renew(const RenewalOrder& order, TimePoint now);
  OrderOutcome Start(const StartOrder& order, TimePoint now);
  OrderOutcome Stop(const StopOrder& order);
  void EndLapsedRuns(TimePoint now);
  std::int64_t ClockMs(TimePoint now) const;

  const std::string id;
  const double clock_rate;
  std::int64_t born_ms = 0;
  TimePoint start{};
  std::map<TaskKey, std::uint64_t> active;
  /// Neither its orders nor its answers arrive.
  bool is_cut = false;
  bool loses_answers = false;
  bool is_full = false;
  /// An owner has received an answer of its incarnation.
  bool is_heard = false;
  /// Its registration stays as it is.
  bool is_registration_stale = false;
  /// Orders get no answer, and are executed this long after they were sent, by whichever
  /// incarnation is there then.
  std::optional<Duration> order_delay;

 private:
  void Grant(std::int64_t end_ms, TimePoint now);
  void End(const TaskKey& task, RunEnd end);

  std::int64_t lease_end_ms = 0;
  std::uint64_t token = 0;
  std::uint64_t next_end = 1;
  std::uint64_t reports = 0;
  std::vector<EndedRun> ended;
  std::map<TaskKey, std::uint64_t> highest;
};

/// Two endpoints, successive owners with one store, and jobs whose tasks don't end by themselves.
class RestartWorld {
 public:
  explicit RestartWorld(const SchedulerOptions& options = {});

  LeasedEndpoint& At(int endpoint) { return this->endpoints.at(endpoint % 2); }

  void Submit(std::uint32_t tasks);
  /// A successor reads the store; the present owner does nothing any more.
  void TakeOver();
  void Run(Duration duration);
  /// All endpoints answer again, for long enough that every task runs.
  void Recover();

  std::size_t ActiveRuns() const;
  std::size_t Tasks() const;

  TimePoint now = TimePoint{} + std::chrono::hours(1);
  /// An incarnation executes no start before it is heard, as owners assume by default.
  bool drops_unheard_starts = false;
  /// How often a task was active on both endpoints.
  int second_runs = 0;
  /// The owner's current view.
  std::unique_ptr<Scheduler> owner;

 private:
  struct Notices {
    std::vector<LapseNotice> Read() const;

    std::map<std::string, std::string> texts;
  };

  WallTime Wall() const { return WallTime(this->now.time_since_epoch()); }
  void Register();
  void Renew(LeasedEndpoint& endpoint);
  LeasedEndpoint& Find(const std::string& id);
  void Send(const Orders& orders);
  StartAnswer SendStart(LeasedEndpoint& endpoint, const StartOrder& start);
  OrderOutcome SendStop(LeasedEndpoint& endpoint, const StopOrder& stop);
  void ExecuteLateOrders();
  void Store();
  void CountSecondRuns();

  const SchedulerOptions options;
  std::vector<LeasedEndpoint> endpoints{{"a", 0.98}, {"b", 1.0}};
  std::multimap<TimePoint, std::function<void()>> late_orders;
  std::uint64_t token = 0;
  std::vector<Job> jobs;
  std::map<std::string, std::int64_t> registered_born_ms;
  std::map<JobId, std::string> stored;
  std::map<LapseRecord::Kind, Notices> notices;
  int steps = 0;
};

/// Its orders are executed, and the answers are lost.
void LoseAnswers(RestartWorld& world, LeasedEndpoint& endpoint, Duration duration);

/// Orders to it within `duration` get no answer and are executed `delay` after they were sent.
void DelayOrders(RestartWorld& world, LeasedEndpoint& endpoint, Duration duration, Duration delay);

}  // namespace chervilspar::jobs
