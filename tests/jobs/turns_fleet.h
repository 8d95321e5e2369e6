#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/jobs/pool_sizer.h"

namespace chervilspar::jobs {

/// The jobs of one queue in a simulated fleet: each starts all its tasks at once, and each task
/// occupies the same part of a VM.
struct QueueShape {
  /// Jobs per second at the peak of the queue's turn.
  double peak_jobs_per_s = 0;
  int tasks_per_job = 0;
  /// In thousandths of a core.
  double task_cpu = 0;
  Duration task_time{};
  /// From the arrival of a job until its last task must start for the job to be on time.
  Duration slack{};
  int vms = 0;

  friend bool operator==(const QueueShape&, const QueueShape&) = default;
};

/// The VMs of a simulated fleet and what holds them apart from jobs.
struct FleetShape {
  /// In thousandths of a core.
  double vm_cpu = 64000;
  /// A queue's demand between its turns, as a fraction of that at its peak.
  double idle_share = 0.02;
  /// VMs of each pool with a long-running task, which stay in the pool.
  int long_running_vms = 0;
  /// The use of a long-running task, in thousandths of a core.
  double long_running_cpu = 0;

  friend bool operator==(const FleetShape&, const FleetShape&) = default;
};

/// What a day costs and how callers are served.
struct DayOutcome {
  /// Moves before there is traffic, and while there is.
  int early_moves = 0;
  int moves = 0;
  /// Seconds that VMs spend in pools while there is traffic, moves included.
  double vm_seconds = 0;
  /// The part of `vm_seconds` that no task used, by what determined the size of the pool. VMs above
  /// the pool's need count as "kept".
  std::map<std::string, double> idle_vm_seconds;
  int jobs = 0;
  int late_jobs = 0;

  double LateShare() const { return this->jobs > 0 ? 1.0 * this->late_jobs / this->jobs : 0; }
  friend bool operator==(const DayOutcome&, const DayOutcome&) = default;
};

/// Simulates a fleet whose queues peak in turn, so that the sizer's decisions can be counted at any
/// size without processes: arrivals, placement by free capacity, moves that take two seconds.
class TurnsFleet {
 public:
  /// `idle_vms`: VMs that are switched off at the start.
  TurnsFleet(std::vector<QueueShape> shapes, int idle_vms, SizerOptions options, std::uint64_t seed,
             FleetShape fleet = {});

  /// Runs without jobs for `lead`, then with one turn of each queue in order.
  DayOutcome Play(Duration lead, Duration turn);

 private:
  struct Task {
    TimePoint end{};
    int queue = 0;
    bool is_late = false;
  };
  struct Vm {
    int pool = 0;
    double used_cpu = 0;
    std::vector<Task> tasks;
    bool has_long_running = false;
    /// Set while the VM moves to `pool`.
    TimePoint available_at{};
    bool is_released = false;
  };
  struct Job {
    TimePoint latest_start{};
    int waiting_tasks = 0;
  };
  struct Queue {
    std::deque<Job> waiting;
    double arrived_jobs = 0;
    double arrived_work = 0;
  };

  ServiceId PoolName(int pool) const;
  double RateOf(int queue, Duration since_traffic, Duration turn) const;
  void Arrive(TimePoint now, int queue, double rate_per_s);
  void EndTasks(TimePoint now);
  void StartTasks(TimePoint now, int queue);
  void CountVmSeconds();
  void Resize(TimePoint now, int& moves);
  std::map<ServiceId, PoolLoad> Loads(TimePoint now) const;

  const std::vector<QueueShape> shapes;
  const FleetShape fleet;
  PoolSizer sizer;
  SeededRandom random;
  std::vector<Vm> vms;
  std::vector<Queue> queues;
  DayOutcome outcome;
};

}  // namespace chervilspar::jobs
