#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
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

/// Waiting work of one step.
struct WaitingWork {
  /// Milliseconds from now until the work must start for its job to be on time; negative if that
  /// time has passed.
  double slack_ms = 0;
  /// In the resource's unit times milliseconds.
  double work = 0;
  /// The job's team already uses its share of the fleet.
  bool is_beyond_share = false;

  friend auto operator<=>(const WaitingWork&, const WaitingWork&) = default;
};

/// The demand of a pool's jobs for one resource. The unit of cpu is a thousandth of a core, that of
/// memory is a megabyte.
struct ResourceLoad {
  /// Estimated work of all jobs that have arrived since the scheduler started, in the resource's
  /// unit times milliseconds. Never decreases.
  double arrived = 0;
  /// The work that waits for an endpoint or for earlier steps, in any order.
  std::vector<WaitingWork> waiting;
  /// The amount that all waiting and running work would use if it ran at the same time.
  double concurrent_demand = 0;
  /// Estimated remaining work of running tasks except long-running ones, in the unit of `arrived`.
  double running = 0;
  /// The part of `running` whose jobs are already late.
  double running_late = 0;
  /// The part of `running` that is on time and beyond the share of its team.
  double running_beyond_share = 0;
  /// The amount that running tasks except long-running ones use.
  double in_use = 0;
  /// The amount that long-running tasks use or wait for.
  double long_running = 0;

  friend bool operator==(const ResourceLoad&, const ResourceLoad&) = default;
};

/// The current demand of a pool's jobs.
struct PoolLoad {
  ResourceLoad cpu;
  ResourceLoad memory;
  /// The number of jobs that have arrived since the scheduler started. Never decreases.
  double arrived_jobs = 0;
  /// The minimum number of endpoints: the highest that any step needs because of its limit of tasks
  /// per endpoint.
  int min_endpoints = 0;
  /// The number of long-running tasks that wait for an endpoint, or should leave theirs and have no
  /// other to move to.
  int waiting_long_running = 0;

  friend bool operator==(const PoolLoad&, const PoolLoad&) = default;
};

/// The sizer's view of a VM.
struct SizerVm {
  VmId id;
  ServiceId pool;
  ZoneId zone;
  /// Total cpu in thousandths of a core.
  double cpu = 0;
  /// Cpu in use, in thousandths of a core.
  double used = 0;
  /// Total memory in megabytes.
  double memory = 0;
  /// The VM takes work or soon will: it is up and has a registered endpoint that may get work.
  bool is_serving = false;
  /// Nothing runs on the VM.
  bool is_empty = false;
  bool has_long_running = false;
  /// The VM has an endpoint that should respond and doesn't.
  bool is_silent = false;
  /// The VM's zone gets no new work.
  bool is_cordoned = false;
  /// Part of a wave or being moved between pools; must not be released or moved.
  bool is_pinned = false;

  friend bool operator==(const SizerVm&, const SizerVm&) = default;
};

/// The VM moves and releases that are due now.
struct SizerPlan {
  struct Move {
    VmId vm;
    ServiceId to;

    friend bool operator==(const Move&, const Move&) = default;
  };
  std::vector<Move> moves;
  /// VMs that get no new work, so that they become empty and can be moved.
  std::set<VmId> release;

  friend bool operator==(const SizerPlan&, const SizerPlan&) = default;
};

/// What determines the number of VMs that a pool needs.
enum class SizeReason {
  /// The minimum size, or a limit of tasks per endpoint.
  kMinimum,
  kLongRunning,
  /// The rate at which jobs are expected to arrive once ordered VMs take work.
  kArrivals,
  /// Work that has arrived and has to be on time.
  kBacklog,
  /// Long-running tasks that don't fit into the pool.
  kBlockedTasks,
};

const char* ToString(SizeReason reason);

/// What a pool needs VMs for, in the order in which they are given while they don't suffice for
/// all.
enum class NeedGroup : std::uint8_t {
  /// Long-running tasks, the minimum size and limits of tasks per endpoint.
  kLongRunning,
  /// On-time work within the shares of its teams.
  kOnTime,
  kBeyondShare,
  /// Expected arrivals.
  kForecast,
};
constexpr std::size_t kNeedGroups = 4;

/// The number of VMs that a pool needs for each group and those before it.
struct PoolNeed {
  std::array<int, kNeedGroups> up_to{};
  /// The number that running tasks use. While another pool lacks VMs, these get no new work.
  int in_use = 0;
  SizeReason reason = SizeReason::kMinimum;

  int UpTo(NeedGroup group) const { return this->up_to.at(static_cast<std::size_t>(group)); }
  int All() const { return std::max(this->up_to.back(), this->in_use); }
  friend bool operator==(const PoolNeed&, const PoolNeed&) = default;
};

/// Parameters of the sizer.
struct SizerOptions {
  /// Time from the decision to move a VM until it takes work: 1.5 s for the move itself and the
  /// rest for the registration of its endpoint.
  Duration move_time = std::chrono::milliseconds(2000);
  /// Fraction of the slack of waiting work that is relied on: estimates are inaccurate, and a step
  /// starts only when a whole endpoint's worth of capacity is free.
  double slack_share = 0.6;
  /// A VM is ordered for work that can still be on time only if it has at least this time for it.
  Duration min_use_time = std::chrono::milliseconds(300);
  /// The number of jobs over which the work per job is averaged; with fewer, over all that have
  /// arrived. The sizes of jobs vary by more than their mean, so that an average of 20 is off by a
  /// quarter, and a peak would be sized by its largest jobs.
  double jobs_averaged = 200;
  /// Time constant of the average of arrivals. If it is shorter, a few jobs that arrive together
  /// look like a peak; if it is longer, VMs arrive when the first jobs of a peak are already late.
  Duration averaging_time = std::chrono::milliseconds(350);
  /// Time constant of the slower average that shows whether demand rises, as a multiple of
  /// `averaging_time`.
  double slow_averaging_factor = 3;
  /// How far a rise is extrapolated, as a multiple of the difference of the two averages.
  double trend_gain = 4;
  /// The number of standard deviations of random arrivals by which a rise is reduced. Chance rises
  /// are extrapolated like real ones, and the VMs ordered for them are paid for and moved back.
  double trend_threshold_std_devs = 1;
  /// The number of jobs in the average at which the forecast has half of its full weight.
  double half_confidence_jobs = 1;
  /// The cost of a move, as the time for which an idle VM in a pool costs as much.
  Duration move_cost = std::chrono::milliseconds(1000);
  /// Long-running tasks that have waited this long don't fit into their pool, whatever the reason:
  /// labels, the limit of sibling tasks per endpoint, or fragmented memory. The pool gets one more
  /// VM for each of them, and again when these have had time to arrive.
  Duration blocked_task_delay = std::chrono::milliseconds(700);
  /// Fraction of a VM's cpu and memory that is relied on: tasks don't fill a VM completely, and
  /// declared run times tend to be too short.
  double usable_fraction = 0.75;
  /// Whether idle VMs above a pool's current need move to pools that lack VMs.
  bool lends_idle_vms = true;
  /// Whether VMs whose running work is already late are lent, too.
  bool late_work_yields = true;
  /// Whether VMs of unreachable zones are ignored.
  bool avoids_unreachable_zones = true;
  /// Whether a pool's size follows the work that more VMs would still serve on time. Otherwise it
  /// follows the peak of all open work.
  bool sizes_by_demand = false;
  /// Minimum number of VMs of a pool, so that the pool survives the loss of one.
  int min_vms = 3;

  /// How long a pool keeps its size after its demand falls, unless another pool lacks VMs: until an
  /// idle VM has cost as much as to switch it off and on again, which is two moves and the time
  /// that the VM is paid for meanwhile. Whenever the demand returns, this costs at most twice the
  /// cheaper of keeping and moving.
  Duration ShrinkDelay() const { return 2 * (this->move_cost + this->move_time); }

  friend bool operator==(const SizerOptions&, const SizerOptions&) = default;
};

/// Decides how many VMs each pool has. Does no I/O; keeps averages between calls.
///
/// The demand of each queue may peak at several times the capacity of its pool while other queues
/// are nearly idle. With pools of fixed size the jobs of a peak would be late while most VMs idle
/// and are paid for.
class PoolSizer {
 public:
  explicit PoolSizer(SizerOptions options = {}) : options(options) {}

  /// `standby`: the pool whose VMs are switched off; empty if there is none.
  SizerPlan Plan(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                 const std::vector<SizerVm>& vms, const ServiceId& standby);
  /// The number of VMs that a pool should have by the last plan; 0 for an unknown pool.
  int TargetSize(const ServiceId& pool) const;
  /// The number of VMs that a pool needed at the last plan, without those that it keeps for a
  /// demand that it had.
  int NeededSize(const ServiceId& pool) const;
  /// What determined the size that the pool needed at the last plan.
  SizeReason NeedReason(const ServiceId& pool) const;

 private:
  /// The average work per job.
  struct JobWork {
    double arrived = 0;
    double work_per_job = 0;
    /// The number of jobs that contribute to `work_per_job`, at most `jobs_averaged`.
    double jobs = 0;
  };
  struct ArrivalRates {
    /// Jobs that arrive per millisecond, averaged.
    double recent = 0;
    /// The same, averaged over a longer time.
    double slow = 0;
    /// The decayed number of jobs that contribute to `recent`.
    double jobs = 0;
  };
  struct History {
    JobWork cpu;
    JobWork memory;
    double arrived_jobs = 0;
    ArrivalRates rates;
    /// The rates right after the last jobs arrived, and when that was.
    ArrivalRates rates_at_arrival;
    TimePoint arrived_at{};
    TimePoint measured_at{};
    bool has_sample = false;
    /// The number of VMs needed now.
    int needed = 0;
    /// The same without the running work of jobs that are already late.
    int needed_on_time = 0;
    SizeReason need_reason = SizeReason::kMinimum;
    /// The highest number of VMs needed recently, and when it was set.
    int target = 0;
    TimePoint target_set_at{};
    TimePoint first_planned_at{};
    /// The time since which long-running tasks wait.
    std::optional<TimePoint> waiting_since;
    // Used while sizes follow the demand:
    PoolNeed need;
    /// The highest arrival rate since `target_set_at`.
    double peak_rate = 0;
    /// The slack of the most urgent on-time work that waited, averaged, in milliseconds.
    double slack_ms = 0;
    /// The mean time until running tasks end, averaged, in milliseconds.
    double remaining_ms = 0;
  };

  /// Empty VMs that may move to a pool that lacks VMs, in order of preference: those above their
  /// pool's target size, those that their pool can lend, those that are switched off.
  struct AvailableVms {
    std::vector<const SizerVm*> spare;
    std::vector<const SizerVm*> lendable;
    std::vector<const SizerVm*> switched_off;

    /// Removes and returns the next VM, or null if there is none.
    const SizerVm* Take();
  };

  /// Marks the VMs of unreachable and cordoned zones as neither serving nor movable. Otherwise VMs
  /// of a zone that is cut off during a peak would be ordered, and callers would wait for VMs that
  /// can't take work. A zone is unreachable if it has more unresponsive endpoints than responding
  /// ones.
  std::vector<SizerVm> ExcludeUnusableZones(const std::vector<SizerVm>& vms) const;
  std::map<ServiceId, int> FindShortages(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                                         const std::vector<SizerVm>& vms, const ServiceId& standby);
  void SelectReleases(const ServiceId& pool, const std::vector<SizerVm>& vms, int total_shortage,
                      AvailableVms& available, std::set<VmId>& release) const;
  static void AssignVms(std::map<ServiceId, int>& shortages, AvailableVms& available,
                        SizerPlan& plan);
  void UpdateAverages(TimePoint now, const std::map<ServiceId, PoolLoad>& loads);
  void UpdateRates(TimePoint now, double new_jobs, History& history) const;
  /// Returns the rates after `elapsed_ms` in which this number of jobs arrived.
  ArrivalRates Advance(const ArrivalRates& rates, double new_jobs, double elapsed_ms,
                       double averaging_ms) const;
  void UpdateWorkPerJob(double jobs, double arrived, JobWork& work) const;
  /// Forecasts the jobs that arrive per millisecond from recent arrivals and their trend.
  double ForecastJobRate(const History& history, double trend_gain) const;
  /// Returns the amount of a resource that waiting and running work needs to be on time, as far as
  /// VMs ordered now arrive in time for it. `running`: the remaining running work. `free`: the
  /// amount that the pool's VMs have for this work.
  double BacklogDemand(const ResourceLoad& load, double running, double free) const;
  /// The number of VMs that a pool needs.
  struct VmDemand {
    int all = 0;
    /// Without the running work of jobs that are already late.
    int on_time = 0;
    SizeReason reason = SizeReason::kLongRunning;
  };
  /// Returns the VMs that a pool needs for one resource. `amount`: the member of a VM with its
  /// total.
  VmDemand RequiredVms(const ResourceLoad& load, double arriving, const ServiceId& pool,
                       const std::vector<SizerVm>& vms, double SizerVm::*amount) const;
  void UpdateSize(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                  const std::vector<SizerVm>& vms);
  void UpdateNeed(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                  const std::vector<SizerVm>& vms);
  /// Returns the number of VMs that a pool needs for long-running tasks that don't fit into it, or
  /// 0.
  int NeededForBlockedTasks(TimePoint now, const PoolLoad& load, int serving,
                            History& history) const;
  void UpdateTarget(TimePoint now, const ServiceId& pool, const std::vector<SizerVm>& vms);

  // While sizes follow the demand:

  /// The state of a plan: VMs are given to one group of needs after another.
  struct DemandRound {
    SizerPlan plan;
    AvailableVms available;
    /// For each pool, the number of VMs that it keeps or gets.
    std::map<ServiceId, int> sizes;
    /// For each pool, the VMs that it may still lend, in reverse order of preference.
    std::map<ServiceId, std::vector<const SizerVm*>> lendable;
  };

  void UpdateUrgency(const PoolLoad& load, double elapsed_ms, History& history) const;
  void UpdateNeedByDemand(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                          const std::vector<SizerVm>& vms);
  /// The time constant of the average of a pool's arrivals, in milliseconds.
  double AveragingMs(const History& history) const;
  /// How far a rise is extrapolated, as a multiple of the difference of the two averages.
  double TrendGain(TimePoint now, const History& history) const;
  /// Whether arrivals have fallen for good since the pool's size was set.
  bool HasTurnEnded(TimePoint now, const History& history) const;
  /// Whether the VMs recently didn't suffice for what the pools needed.
  bool WasShort(TimePoint now) const;
  SizerPlan PlanByDemand(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                         const std::vector<SizerVm>& vms, const ServiceId& standby);
  /// Releases the VMs above the pool's target and offers the empty ones above its need.
  void OfferVms(const ServiceId& pool, const std::vector<SizerVm>& vms, DemandRound& round) const;
  /// Assigns VMs for one group of needs. Returns the number that idle VMs lacked.
  int AssignGroup(NeedGroup group, DemandRound& round) const;

  const SizerOptions options;
  std::map<ServiceId, History> pools;
  /// When the VMs last didn't suffice for what the pools needed.
  std::optional<TimePoint> short_at;
};

}  // namespace chervilspar::jobs
