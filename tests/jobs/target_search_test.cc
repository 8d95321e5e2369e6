#include "jobs/target_search.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

constexpr TimePoint kNow = TimePoint{} + std::chrono::seconds(10);

int Below(int limit) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit)); }
bool IsOneIn(int count) { return Below(count) == 0; }

/// A pool of any endpoints, of which some are leaving, and any long-running tasks there.
class AnyPool {
 public:
  AnyPool() : state({}, 1, TimePoint{}) {
    const int endpoints = 1 + Below(12);
    for (int i = 0; i < endpoints; ++i) {
      this->AddEndpoint();
    }
    PoolState& pool = this->state.pools[ServiceId{"desk"}];
    pool.endpoints = this->endpoints;
    pool.by_free_cpu.Rebuild(pool.endpoints);
    const int jobs = 1 + Below(5);
    for (int i = 0; i < jobs; ++i) {
      this->AddJob();
    }
  }

  /// The tasks on endpoints that are leaving.
  std::vector<TaskRef> FindMoving() {
    std::vector<TaskRef> moving;
    for (EndpointState* endpoint : this->endpoints) {
      for (const TaskKey& key : endpoint->claims) {
        if (endpoint->IsLeaving()) {
          moving.push_back(this->state.Find(key));
        }
      }
    }
    return moving;
  }

  SchedulerState state;

 private:
  EndpointState& AnyEndpoint() {
    return *this->endpoints[static_cast<std::size_t>(
        Below(static_cast<int>(this->endpoints.size())))];
  }

  void AddEndpoint() {
    const std::string rack = IsOneIn(2) ? "a" : "b";
    const std::string id = rack + std::to_string(100 + this->endpoints.size());
    EndpointState& endpoint = this->state.GetOrCreateEndpoint(id);
    endpoint.record = SchedulerHarness::Endpoint(id, 4 + 4 * Below(3));
    endpoint.is_registered = true;
    endpoint.born_ms = 1;
    endpoint.clock_ms = 0;
    endpoint.is_evacuating = IsOneIn(3);
    endpoint.is_reboot_due = IsOneIn(4);
    endpoint.is_silent = IsOneIn(10);
    endpoint.pool = &this->state.pools[ServiceId{"desk"}];
    endpoint.position = this->endpoints.size();
    this->endpoints.push_back(&endpoint);
  }

  static Step AnyStep() {
    Step step = SchedulerHarness::MakeStep(1 + static_cast<std::uint32_t>(Below(5)),
                                           std::int64_t{1000} * (1 + Below(4)));
    step.is_long_running = true;
    step.is_filler = IsOneIn(4);
    step.is_gang = IsOneIn(6);
    step.max_per_endpoint = static_cast<std::uint32_t>(Below(3));
    step.data_rack = IsOneIn(4) ? "r-a" : "";
    step.required_label = IsOneIn(6) ? "r-b" : "";
    return step;
  }

  void AddJob() {
    const std::uint64_t number = this->state.jobs.size() + 1;
    std::unique_ptr<JobState>& job = this->state.jobs[JobId{number}];
    job = std::make_unique<JobState>();
    job->job = SchedulerHarness::MakeJob(number, {AnyStep(), AnyStep()});
    job->service = job->job.service;
    job->needs_advice = IsOneIn(4);
    Occurrence& occurrence = this->state.GetOrCreateOccurrence(*job, 0);
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        this->Place(this->state.Find({job->job.id, 0, step, index}));
      }
      for (const EndpointState* endpoint : this->endpoints) {
        if (IsOneIn(2)) {
          occurrence.steps[step].advice.answers[endpoint->record.id] = {
              1, "ticket", kNow + std::chrono::seconds(1)};
        }
      }
    }
  }

  void Place(const TaskRef& ref) {
    if (IsOneIn(8)) {
      this->state.ReserveCapacity(ref, this->AnyEndpoint(), kNow);
      return;
    }
    this->state.Claim(ref, this->AnyEndpoint(), 1, kNow);
    ref.task->state = RunState::kActive;
    if (IsOneIn(2)) {
      ref.task->avoided_endpoint = this->AnyEndpoint().record.id;
    }
  }

  std::vector<EndpointState*> endpoints;
};

class NoneOf final : public EndpointFilter {
 public:
  bool Allows(const EndpointState& endpoint) override {
    return !this->excluded.contains(&endpoint);
  }

  std::set<const EndpointState*> excluded;
};

/// Guards against a search that finds another target than `Placement::Choose` would for each task
/// in turn.
RC_GTEST_PROP(TargetSearchProperty, FindsWhatIsChosenForEachTaskInTurn, ()) {
  AnyPool pool;
  const Placement placement(pool.state);
  NoneOf filter;
  for (const auto& [key, reservation] : pool.state.reservations) {
    filter.excluded.insert(pool.state.FindEndpoint(reservation.endpoint));
  }
  TargetSearch search(pool.state, kNow);
  int found = 0;
  int missed = 0;
  for (const TaskRef& ref : pool.FindMoving()) {
    EndpointState* const expected = placement.Choose(ref, filter, kNow);
    RC_ASSERT(search.Find(ref) == expected);
    filter.excluded.insert(expected);
    found += expected != nullptr ? 1 : 0;
    missed += expected == nullptr ? 1 : 0;
  }
  RC_CLASSIFY(found > 1, "several found");
  RC_CLASSIFY(found > 0 && missed > 0, "some found");
}

}  // namespace
}  // namespace chervilspar::jobs
