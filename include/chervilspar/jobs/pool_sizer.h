#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/job.h"
#include "chervilspar/jobs/upkeep.h"

namespace chervilspar::jobs {

/// Work of one step that waits.
struct WaitingWork {
  /// Milliseconds from now until it must have begun for its job to be on time; negative when that
  /// has passed.
  double slack_ms = 0;
  /// Amount of the resource times milliseconds.
  double work = 0;

  friend auto operator<=>(const WaitingWork&, const WaitingWork&) = default;
};

/// What a pool's jobs ask for of one resource: of cpu in thousandths of a core, of memory in
/// megabytes.
struct ResourceLoad {
  /// Estimated work of all jobs that came since the scheduler began, in the resource's amount times
  /// milliseconds; only grows.
  double arrived = 0;
  /// What waits for an endpoint or for earlier steps, in any order.
  std::vector<WaitingWork> waiting;
  /// What all that waits and runs would take if it ran at once.
  double concurrent_demand = 0;
  /// Estimated work that is still to be done of what runs, long-running tasks left out; in the unit
  /// of `arrived`.
  double running = 0;
  /// The part of `running` whose jobs are late already.
  double running_late = 0;
  /// What long-running tasks take or wait for.
  double long_running = 0;

  friend bool operator==(const ResourceLoad&, const ResourceLoad&) = default;
};

/// What a pool's jobs ask for now.
struct PoolLoad {
  ResourceLoad cpu;
  ResourceLoad memory;
  /// How many jobs came since the scheduler began; only grows.
  double arrived_jobs = 0;
  /// The most endpoints that one step needs, as only so many of its tasks may share one.
  int min_endpoints = 0;
  /// Long-running tasks that wait for an endpoint, or should leave theirs and find no other.
  int waiting_long_running = 0;

  friend bool operator==(const PoolLoad&, const PoolLoad&) = default;
};

/// A VM as the sizer sees it.
struct SizerVm {
  VmId id;
  ServiceId pool;
  ZoneId zone;
  /// Thousandths of a core in all, and in use.
  double cpu = 0;
  double used = 0;
  /// Megabytes in all.
  double memory = 0;
  /// It serves, or will in a moment: up with a registered endpoint that may get work.
  bool is_serving = false;
  /// Nothing runs there.
  bool is_empty = false;
  bool has_long_running = false;
  /// It has an endpoint that should answer and doesn't.
  bool is_silent = false;
  /// Its zone gets no new work.
  bool is_cordoned = false;
  /// Taken by a wave or on its way between pools; not to be touched.
  bool is_pinned = false;

  friend bool operator==(const SizerVm&, const SizerVm&) = default;
};

/// What is to be done with VMs now.
struct SizerPlan {
  struct Move {
    VmId vm;
    ServiceId to;

    friend bool operator==(const Move&, const Move&) = default;
  };
  std::vector<Move> moves;
  /// Get no new work, so that they become empty and can be moved.
  std::set<VmId> release;

  friend bool operator==(const SizerPlan&, const SizerPlan&) = default;
};

/// Times and weights of the sizer.
struct SizerOptions {
  /// From the decision until a moved VM takes work: 1.5 s for the move itself, the rest for its
  /// registration.
  Duration move_time = std::chrono::milliseconds(2000);
  /// Part of the slack of what waits that is counted on: estimates are rough, and a step begins
  /// when a whole endpoint's worth of room is found.
  double slack_share = 0.6;
  /// A VM is ordered for work that can still be on time if it has at least this long for it.
  Duration min_use_time = std::chrono::milliseconds(300);
  /// Over how many jobs the work of one is averaged.
  double jobs_averaged = 20;
  /// Over which arrivals are averaged. Shorter, a few jobs that come together look like a peak;
  /// longer, VMs come when the peak's first jobs are already late.
  Duration averaging_time = std::chrono::milliseconds(350);
  /// The longer average that shows whether demand rises, in terms of `averaging_time`.
  double slow_averaging_factor = 3;
  /// How far a rise is continued, in terms of the difference of the two averages.
  double trend_gain = 4;
  /// Of a rise, so many standard deviations of what chance alone would show are left out.
  double trend_threshold_std_devs = 0.5;
  /// With this many jobs in the average, half of what the average shows is believed.
  double half_confidence_jobs = 1;
  /// How long a pool keeps what it needed, unless another pool lacks VMs. One that is switched off
  /// and returns costs two moves and is paid for on its way: as much as five seconds of its price.
  Duration shrink_delay = std::chrono::milliseconds(2000);
  /// Long-running tasks that have waited this long find no room in their pool, whatever the reason:
  /// labels, the endpoints that their siblings are on, or memory in too small pieces. The pool gets
  /// a VM more for each of them, and again when these have had time to come.
  Duration blocked_task_delay = std::chrono::milliseconds(700);
  /// Part of a VM's cpu and memory that is counted on: tasks don't fill them to the last, and
  /// declared run times tend to be short.
  double usable_fraction = 0.75;
  /// Whether an idle VM that its pool still keeps goes to one that lacks VMs.
  bool lends_idle_vms = true;
  /// Whether VMs that only run late work are lent as well.
  bool late_work_yields = true;
  /// Whether VMs of zones that can't be reached are left out.
  bool avoids_unreachable_zones = true;
  /// Fewest VMs of a pool: the loss of one leaves others to go on.
  int min_vms = 3;

  friend bool operator==(const SizerOptions&, const SizerOptions&) = default;
};

/// Decides how many VMs each pool has. Pure; keeps averages between calls.
///
/// The load that it answers: queues whose demand rises by turns to several times what their pool
/// holds while the others are nearly idle. With fixed pools the peak's jobs are late while most VMs
/// idle and are paid for.
class PoolSizer {
 public:
  explicit PoolSizer(SizerOptions options = {}) : options(options) {}

  /// `standby`: the pool whose VMs are switched off; empty when there is none.
  SizerPlan Plan(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                 const std::vector<SizerVm>& vms, const ServiceId& standby);
  /// VMs that a pool should have, as last planned.
  int TargetSize(const ServiceId& pool) const;

 private:
  /// Work of one job, averaged.
  struct JobWork {
    double arrived = 0;
    double of_one = 0;
  };
  struct History {
    JobWork cpu;
    JobWork memory;
    double arrived_jobs = 0;
    /// Jobs that arrive in a millisecond, averaged.
    double job_rate = 0;
    /// The same, averaged over longer.
    double slow_job_rate = 0;
    /// Jobs that `job_rate` is made of.
    double recent_jobs = 0;
    TimePoint measured{};
    bool is_known = false;
    /// VMs needed now.
    int needed = 0;
    /// The same for jobs that can still be on time.
    int needed_on_time = 0;
    /// The most needed lately, and when.
    int wanted = 0;
    TimePoint wanted_at{};
    /// Since when long-running tasks wait.
    std::optional<TimePoint> waiting_since;
  };

  /// Empty VMs that may go to a pool that lacks some, in the order in which they go: those that
  /// their pool no longer wants, those that it can lend, those that are switched off.
  struct Supply {
    std::vector<const SizerVm*> spare;
    std::vector<const SizerVm*> lent;
    std::vector<const SizerVm*> off;

    const SizerVm* Take();
  };

  /// What can go wrong: a zone is cut off in a peak, its VMs are ordered like others, nobody
  /// reaches them, and the callers wait for VMs that bring nothing. A zone with more silent
  /// endpoints than answering ones counts as cut off; its VMs neither serve nor move, nor do those
  /// of a zone that is cordoned.
  std::vector<SizerVm> WithoutUnusableZones(const std::vector<SizerVm>& vms) const;
  std::map<ServiceId, int> FindMissing(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                                       const std::vector<SizerVm>& vms, const ServiceId& standby);
  void ReleaseFrom(const ServiceId& pool, const std::vector<SizerVm>& vms, int all_missing,
                   Supply& supply, std::set<VmId>& released) const;
  static void Share(std::map<ServiceId, int>& missing, Supply& supply, SizerPlan& step);
  void Measure(TimePoint now, const std::map<ServiceId, PoolLoad>& loads);
  void MeasureWork(double jobs, double arrived, JobWork& work) const;
  /// How many jobs arrive in a millisecond, by those that came lately and how their number rises.
  double ExpectedJobs(const History& history) const;
  /// The amount that what waits and runs needs to be on time, as far as VMs ordered now come in
  /// time for it. `running`: the work of what runs; `free`: what the pool's VMs have for all of it.
  double ForBacklog(const ResourceLoad& load, double running, double free) const;
  /// VMs that a pool needs.
  struct Need {
    int all = 0;
    /// Without what runs for jobs that are late already.
    int on_time = 0;
  };
  /// For one resource, which VMs have `amount` of.
  Need NeedFor(const ResourceLoad& load, double arriving, const ServiceId& pool,
               const std::vector<SizerVm>& vms, double SizerVm::*amount) const;
  void Want(TimePoint now, const ServiceId& pool, const PoolLoad& load,
            const std::vector<SizerVm>& vms);

  const SizerOptions options;
  std::map<ServiceId, History> pools;
};

}  // namespace chervilspar::jobs
