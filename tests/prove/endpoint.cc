#include "tests/prove/endpoint.h"

#include <algorithm>
#include <utility>

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr std::size_t kSlots = 12;
constexpr Duration kFailureLength = std::chrono::milliseconds(1);

}  // namespace

Endpoint::Endpoint(World& world, VmId vm, std::uint32_t zone, Duration clock_offset)
    : world(world), vm(std::move(vm)), zone(zone), clock_offset(clock_offset) {}

void Endpoint::OnTask(const TaskMessage& message,
                      const std::function<void(TaskAnswer, std::string)>& reply) {
  if (!this->IsUp()) {
    return;
  }
  if (this->started.contains(message.task)) {
    reply(TaskAnswer::kDuplicate, "");
    return;
  }
  if (this->world.WallAt(this->clock_offset) > message.start_by) {
    this->world.Count("endpoint refused: late");
    reply(TaskAnswer::kLate, "");
    return;
  }
  if (this->is_draining) {
    this->world.Count("endpoint refused: draining");
    reply(TaskAnswer::kDraining, "");
    return;
  }
  if (this->running.size() >= kSlots) {
    reply(TaskAnswer::kFull, "");
    return;
  }
  this->started.insert(message.task);
  this->running.emplace(message.task, Running{message.request.text, reply});
  this->world.Watch().OnTaskStarted(this->world.NowUs(), message.task.text, message.team.text,
                                    message.request.text);
  this->world.Note("endpoint starts " + message.task.text + " of " + message.request.text +
                   " for " + message.team.text);
  const Duration length =
      this->failing > 0 ? kFailureLength : std::min(message.length, message.lease);
  this->world.Sim().After(length, [this, task = message.task] { this->End(task); });
}

void Endpoint::End(const TaskId& task) {
  const auto found = this->running.find(task);
  if (found == this->running.end()) {
    return;
  }
  const Running ended = std::move(found->second);
  this->running.erase(found);
  this->world.Watch().OnTaskEnded(this->world.NowUs(), task.text);
  ended.reply(TaskAnswer::kDone, ended.request);
}

void Endpoint::OnCancel(const TaskId& task, const std::function<void(CancelAnswer)>& reply) {
  if (!this->IsUp()) {
    return;
  }
  const auto found = this->running.find(task);
  if (found != this->running.end()) {
    this->running.erase(found);
    this->world.Watch().OnTaskEnded(this->world.NowUs(), task.text);
    reply(CancelAnswer::kStopped);
    return;
  }
  reply(this->started.contains(task) ? CancelAnswer::kFinished : CancelAnswer::kUnknown);
}

void Endpoint::OnDrain(const std::function<void(std::uint32_t)>& reply) {
  if (this->IsUp()) {
    this->is_draining = true;
    this->world.Watch().OnVmDraining(this->vm.text, true);
    reply(static_cast<std::uint32_t>(this->running.size()));
  }
}

void Endpoint::OnUndrain(const std::function<void(std::uint32_t)>& reply) {
  if (this->IsUp()) {
    this->is_draining = false;
    this->world.Watch().OnVmDraining(this->vm.text, false);
    reply(static_cast<std::uint32_t>(this->running.size()));
  }
}

void Endpoint::DropTasks() {
  for (const auto& [task, running] : this->running) {
    this->world.Watch().OnTaskEnded(this->world.NowUs(), task.text);
  }
  this->running.clear();
  this->started.clear();
}

void Endpoint::Die() {
  if (this->is_dead) {
    return;
  }
  this->world.Note("VM " + this->vm.text + " fails");
  this->is_dead = true;
  this->is_draining = false;
  this->world.Watch().OnVmFailed(this->world.NowUs(), this->vm.text);
  this->DropTasks();
}

void Endpoint::ComeBack() {
  if (!this->is_dead) {
    return;
  }
  this->is_dead = false;
  ++this->boot;
  this->world.Watch().OnVmBack(this->vm.text);
}

void Endpoint::Reboot(const StepId& step) {
  if (this->is_dead || this->is_rebooting || this->last_step == step) {
    return;
  }
  this->world.Note("VM " + this->vm.text + " is rebooted for step " + step.text);
  this->world.Count("platform: reboots");
  this->last_step = step;
  this->world.Watch().OnVmRebooted(this->world.NowUs(), this->vm.text,
                                   static_cast<std::uint32_t>(this->running.size()));
  this->DropTasks();
  this->is_rebooting = true;
  this->is_draining = false;
  this->world.Sim().After(this->world.Sim().Between(Seconds(1), Seconds(4)), [this] {
    this->is_rebooting = false;
    ++this->boot;
    if (!this->is_dead) {
      this->world.Watch().OnVmBack(this->vm.text);
    }
  });
}

}  // namespace chervilspar::prove
