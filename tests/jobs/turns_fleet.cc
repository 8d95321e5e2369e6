#include "tests/jobs/turns_fleet.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace chervilspar::jobs {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr int kTicksPerPlan = 3;
constexpr Duration kMoveTime = std::chrono::milliseconds(2000);
constexpr int kStandby = -1;
constexpr double kMaxRelativeSize = 4;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
double Milliseconds(Duration duration) { return 1000 * Seconds(duration); }

}  // namespace

TurnsFleet::TurnsFleet(std::vector<QueueShape> shapes, int idle_vms, SizerOptions options,
                       std::uint64_t seed, FleetShape fleet)
    : shapes(std::move(shapes)),
      fleet(fleet),
      sizer(options),
      random(seed),
      queues(this->shapes.size()) {
  for (std::size_t i = 0; i < this->shapes.size(); ++i) {
    for (int vm = 0; vm < this->shapes[i].vms; ++vm) {
      const bool has_long_running = vm < fleet.long_running_vms;
      this->vms.push_back({.pool = static_cast<int>(i),
                           .used_cpu = has_long_running ? fleet.long_running_cpu : 0,
                           .has_long_running = has_long_running});
    }
  }
  for (int vm = 0; vm < idle_vms; ++vm) {
    this->vms.push_back({.pool = kStandby});
  }
}

ServiceId TurnsFleet::PoolName(int pool) const {
  return ServiceId{pool == kStandby ? "standby" : "pool" + std::to_string(pool)};
}

double TurnsFleet::RateOf(int queue, Duration since_traffic, Duration turn) const {
  const double peak = this->shapes[queue].peak_jobs_per_s;
  const double idle = this->fleet.idle_share;
  const double position = Seconds(since_traffic) / Seconds(turn) - queue;
  const bool has_turn = position >= 0 && position < 1;
  return peak * (has_turn ? std::max(idle, std::sin(position * std::numbers::pi)) : idle);
}

void TurnsFleet::Arrive(TimePoint now, int queue, double rate_per_s) {
  // Knuth's method for a Poisson variate.
  const double limit = std::exp(-rate_per_s * Seconds(kTick));
  const QueueShape& shape = this->shapes[queue];
  for (double product = this->random.Unit(); product > limit; product *= this->random.Unit()) {
    // Exponentially distributed sizes, cut off at several times the mean.
    const double size = std::min(-std::log(1 - this->random.Unit()), kMaxRelativeSize);
    const int tasks = std::max(1, static_cast<int>(std::lround(size * shape.tasks_per_job)));
    Queue& target = this->queues[queue];
    target.waiting.push_back({now + shape.slack, tasks});
    target.arrived_jobs += 1;
    target.arrived_work += tasks * shape.task_cpu * Milliseconds(shape.task_time);
    ++this->outcome.jobs;
  }
}

void TurnsFleet::EndTasks(TimePoint now) {
  for (Vm& vm : this->vms) {
    std::erase_if(vm.tasks, [&](const Task& task) {
      const bool is_over = task.end <= now;
      vm.used_cpu -= is_over ? this->shapes[task.queue].task_cpu : 0;
      return is_over;
    });
  }
}

/// Starts tasks of on-time jobs first, then those of late ones, each in order of arrival.
void TurnsFleet::StartTasks(TimePoint now, int queue) {
  const QueueShape& shape = this->shapes[queue];
  std::deque<Job>& waiting = this->queues[queue].waiting;
  const auto on_time = std::find_if(waiting.begin(), waiting.end(),
                                    [now](const Job& job) { return job.latest_start >= now; });
  std::vector<Job*> order;
  for (auto job = on_time; job != waiting.end(); ++job) {
    order.push_back(&*job);
  }
  for (auto job = waiting.begin(); job != on_time; ++job) {
    order.push_back(&*job);
  }
  auto next = order.begin();
  for (Vm& vm : this->vms) {
    if (vm.pool != queue || vm.available_at > now || vm.is_released) {
      continue;
    }
    while (next != order.end() && vm.used_cpu + shape.task_cpu <= this->fleet.vm_cpu) {
      vm.used_cpu += shape.task_cpu;
      vm.tasks.push_back({now + shape.task_time, queue, (*next)->latest_start < now});
      if (--(*next)->waiting_tasks == 0) {
        this->outcome.late_jobs += now > (*next)->latest_start ? 1 : 0;
        ++next;
      }
    }
  }
  std::erase_if(waiting, [](const Job& job) { return job.waiting_tasks == 0; });
}

std::map<ServiceId, PoolLoad> TurnsFleet::Loads(TimePoint now) const {
  std::map<ServiceId, PoolLoad> loads;
  loads[this->PoolName(kStandby)];
  for (std::size_t i = 0; i < this->queues.size(); ++i) {
    const QueueShape& shape = this->shapes[i];
    PoolLoad& load = loads[this->PoolName(static_cast<int>(i))];
    load.arrived_jobs = this->queues[i].arrived_jobs;
    load.min_endpoints = this->fleet.long_running_vms;
    load.cpu.long_running = this->fleet.long_running_vms * this->fleet.long_running_cpu;
    load.cpu.arrived = this->queues[i].arrived_work;
    for (const Job& job : this->queues[i].waiting) {
      const double work = job.waiting_tasks * shape.task_cpu * Milliseconds(shape.task_time);
      load.cpu.waiting.push_back({Milliseconds(job.latest_start - now), work});
      load.cpu.concurrent_demand += job.waiting_tasks * shape.task_cpu;
    }
  }
  for (const Vm& vm : this->vms) {
    for (const Task& task : vm.tasks) {
      ResourceLoad& cpu = loads[this->PoolName(task.queue)].cpu;
      const double work = this->shapes[task.queue].task_cpu * Milliseconds(task.end - now);
      cpu.running += work;
      cpu.running_late += task.is_late ? work : 0;
      cpu.concurrent_demand += this->shapes[task.queue].task_cpu;
      cpu.in_use += this->shapes[task.queue].task_cpu;
    }
  }
  return loads;
}

void TurnsFleet::Resize(TimePoint now, int& moves) {
  std::vector<SizerVm> listed;
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const Vm& vm = this->vms[i];
    SizerVm entry;
    entry.id = VmId{std::to_string(i)};
    entry.pool = this->PoolName(vm.pool);
    entry.cpu = this->fleet.vm_cpu;
    entry.used = vm.used_cpu;
    entry.has_long_running = vm.has_long_running;
    entry.is_empty = vm.tasks.empty() && !vm.has_long_running;
    entry.is_serving = vm.pool != kStandby;
    entry.is_pinned = vm.available_at > now;
    listed.push_back(std::move(entry));
  }
  const SizerPlan plan = this->sizer.Plan(now, this->Loads(now), listed, this->PoolName(kStandby));
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    this->vms[i].is_released = plan.release.contains(listed[i].id);
  }
  for (const SizerPlan::Move& move : plan.moves) {
    Vm& vm = this->vms[std::stoul(move.vm.text)];
    vm.pool = move.to == this->PoolName(kStandby) ? kStandby : std::stoi(move.to.text.substr(4));
    vm.available_at = now + kMoveTime;
    vm.is_released = false;
    ++moves;
  }
}

void TurnsFleet::CountVmSeconds() {
  for (std::size_t i = 0; i < this->queues.size(); ++i) {
    const int pool = static_cast<int>(i);
    const ServiceId name = this->PoolName(pool);
    double paid = 0;
    double used = 0;
    for (const Vm& vm : this->vms) {
      paid += vm.pool == pool ? 1 : 0;
      used += vm.pool == pool ? vm.used_cpu / this->fleet.vm_cpu : 0;
    }
    this->outcome.vm_seconds += paid * Seconds(kTick);
    const double kept = std::max(0.0, paid - std::max<double>(used, this->sizer.NeededSize(name)));
    this->outcome.idle_vm_seconds["kept"] += kept * Seconds(kTick);
    this->outcome.idle_vm_seconds[ToString(this->sizer.NeedReason(name))] +=
        (paid - used - kept) * Seconds(kTick);
  }
}

DayOutcome TurnsFleet::Play(Duration lead, Duration turn) {
  const TimePoint begin = TimePoint{} + std::chrono::seconds(1);
  const Duration day = turn * static_cast<int>(this->queues.size());
  int tick = 0;
  for (Duration passed{}; passed < lead + day; passed += kTick, ++tick) {
    const TimePoint now = begin + passed;
    this->EndTasks(now);
    for (std::size_t i = 0; i < this->queues.size(); ++i) {
      const int queue = static_cast<int>(i);
      if (passed >= lead) {
        this->Arrive(now, queue, this->RateOf(queue, passed - lead, turn));
      }
      this->StartTasks(now, queue);
    }
    if (tick % kTicksPerPlan == 0) {
      this->Resize(now, passed < lead ? this->outcome.early_moves : this->outcome.moves);
    }
    if (passed >= lead) {
      this->CountVmSeconds();
    }
  }
  for (const Queue& queue : this->queues) {
    this->outcome.late_jobs += static_cast<int>(queue.waiting.size());
  }
  return this->outcome;
}

}  // namespace chervilspar::jobs
