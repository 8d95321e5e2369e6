#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "chervilspar/base/ids.h"

#include "tests/prove/simulation.h"

namespace chervilspar::prove {

class World;

/// What an entry sends to an endpoint.
struct TaskMessage {
  TaskId task;
  TeamId team;
  RequestId request;
  WallTime start_by;
  Duration lease = Duration::zero();
  /// How long the task would run.
  Duration length = Duration::zero();
};

enum class TaskAnswer { kDone, kFull, kLate, kDraining, kDuplicate };

/// What an endpoint says to a cancellation.
enum class CancelAnswer { kStopped, kFinished, kUnknown };

/// A worker VM with some slots. It refuses tasks after their start-by time by its own wall clock
/// and stops a task at the end of its lease.
class Endpoint {
 public:
  Endpoint(World& world, VmId vm, std::uint32_t zone, Duration clock_offset);

  void OnTask(const TaskMessage& message,
              const std::function<void(TaskAnswer, std::string)>& reply);
  void OnCancel(const TaskId& task, const std::function<void(CancelAnswer)>& reply);
  /// Begins or ends refusing new tasks; tells how many still run.
  void OnDrain(const std::function<void(std::uint32_t)>& reply);
  void OnUndrain(const std::function<void(std::uint32_t)>& reply);
  /// All tasks end without an answer.
  void Die();
  void ComeBack();
  /// The platform restarts the VM for a step, once.
  void Reboot(const StepId& step);
  bool IsUp() const { return !this->is_dead && !this->is_rebooting; }
  bool IsDead() const { return this->is_dead; }
  bool IsDraining() const { return this->is_draining; }
  bool IsRebooting() const { return this->is_rebooting; }
  std::uint64_t Boot() const { return this->boot; }
  const StepId& LastStep() const { return this->last_step; }
  const VmId& Vm() const { return this->vm; }
  void BeginFailing() { ++this->failing; }
  void EndFailing() { --this->failing; }
  std::uint32_t Zone() const { return this->zone; }

 private:
  struct Running {
    std::string request;
    std::function<void(TaskAnswer, std::string)> reply;
  };

  void End(const TaskId& task);
  void DropTasks();

  World& world;
  VmId vm;
  std::uint32_t zone;
  Duration clock_offset;
  bool is_dead = false;
  bool is_rebooting = false;
  bool is_draining = false;
  std::uint64_t boot = 1;
  StepId last_step;
  int failing = 0;
  std::map<TaskId, Running> running;
  /// Tasks ever started here; a VM that comes back after its death has forgotten them.
  std::set<TaskId> started;
};

}  // namespace chervilspar::prove
