#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerHarness;

/// Three zones of two endpoints each, whose answers arrive, are late or are lost, under owners that
/// crash. Checks the orders that the owners send.
class CordonModel {
 public:
  CordonModel() { this->TakeOver(); }

  void ChangeCordon(int zone) {
    const ZoneId id = ZoneOf(zone);
    if (this->cordoned.erase(id) == 0) {
      this->cordoned.insert(id);
    }
    this->world->scheduler.SetCordonedZones(this->cordoned);
  }

  void AddJob() {
    const auto number = static_cast<std::uint64_t>(this->jobs.size() + 1);
    Step step = World::MakeStep(1 + number % 5, 2000);
    step.is_long_running = number % 4 == 0;
    step.is_gang = number % 7 == 0;
    this->jobs.push_back(World::MakeJob(number, {step}));
    this->world->scheduler.AddJob(this->jobs.back(), this->Wall());
  }

  /// `seed` determines for each start whether it is executed and whether it is answered.
  void Round(int seed) {
    this->world->AdvanceTime(milliseconds(120));
    this->world->scheduler.SetProof(this->world->now);
    const Orders orders = this->world->Round();
    for (const StopOrder& stop : orders.stops) {
      this->runs[stop.endpoint].erase({stop.task, stop.run});
      this->world->scheduler.OnStopAnswered(stop, OrderOutcome::kDone, this->world->now);
    }
    int next = seed;
    for (const StartOrder& start : orders.starts) {
      this->CheckStart(start);
      const bool is_executed = next % 2 == 0;
      const bool is_answered = next % 3 != 0;
      if (is_executed) {
        this->runs[start.endpoint].insert({start.task, start.run});
      }
      this->world->scheduler.OnStartAnswered(
          start, is_executed && is_answered ? OrderOutcome::kDone : OrderOutcome::kNoAnswer,
          this->world->now);
      ++next;
    }
  }

  void Poll(int endpoint) {
    const std::string id = IdOf(endpoint % kEndpoints);
    std::vector<ActiveRun> active;
    for (const auto& [task, run] : this->runs[id]) {
      active.push_back({task, run, "", 50, 0});
    }
    this->world->AnswerRenewal(id, std::move(active), {});
  }

  void TakeOver() {
    auto next = std::make_unique<World>(SchedulerOptions{}, ++this->token);
    if (this->world != nullptr) {
      next->stored = this->world->stored;
    }
    std::vector<EndpointRecord> records;
    for (int i = 0; i < kEndpoints; ++i) {
      EndpointRecord record = World::Endpoint(IdOf(i));
      record.zone = ZoneOf(i / 2);
      records.push_back(record);
    }
    next->scheduler.SetEndpoints(records, next->now);
    for (const Job& job : this->jobs) {
      next->scheduler.AddJob(job, WallTime(next->now.time_since_epoch()));
    }
    for (const auto& [id, text] : next->stored) {
      if (!text.empty()) {
        next->scheduler.RestoreProgress(id, *DecodeProgress(text));
      }
    }
    next->scheduler.SetCordonedZones(this->cordoned);
    this->world = std::move(next);
    for (int i = 0; i < kEndpoints; ++i) {
      this->Poll(i);
    }
  }

  int cordoned_starts = 0;
  int second_runs = 0;

 private:
  static constexpr int kEndpoints = 6;

  static ZoneId ZoneOf(int zone) { return ZoneId{"z" + std::to_string(zone % 3)}; }
  static std::string IdOf(int endpoint) { return "i" + std::to_string(endpoint); }
  WallTime Wall() const { return WallTime(this->world->now.time_since_epoch()); }

  void CheckStart(const StartOrder& start) {
    const int endpoint = start.endpoint.back() - '0';
    this->cordoned_starts += this->cordoned.contains(ZoneOf(endpoint / 2)) ? 1 : 0;
    for (const auto& [id, active] : this->runs) {
      for (const auto& [task, run] : active) {
        this->second_runs += task == start.task && run != start.run ? 1 : 0;
      }
    }
  }

  std::uint64_t token = 0;
  std::unique_ptr<World> world;
  std::set<ZoneId> cordoned;
  std::vector<Job> jobs;
  std::map<std::string, std::set<std::pair<TaskKey, std::uint64_t>>> runs;
};

/// Guards against a start in a cordoned zone, and against a second active run of a task, under any
/// combination of cordons, crashes of owners, late answers and lost answers.
RC_GTEST_PROP(CordonProperty, NothingStartsInACordonedZoneOrTwice, ()) {
  CordonModel model;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 30)));
  for (const auto& [step, value] : steps) {
    switch (step) {
      case 0:
        model.TakeOver();
        break;
      case 1:
      case 2:
        model.ChangeCordon(value);
        break;
      case 3:
      case 4:
        model.AddJob();
        break;
      case 5:
      case 6:
      case 7:
        model.Poll(value);
        break;
      default:
        model.Round(value);
    }
  }
  RC_ASSERT(model.cordoned_starts == 0);
  RC_ASSERT(model.second_runs == 0);
}

}  // namespace
}  // namespace chervilspar::jobs
