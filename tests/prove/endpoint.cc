#include "tests/prove/endpoint.h"

#include <algorithm>
#include <utility>

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr std::size_t kSlots = 12;
constexpr Duration kFailureLength = std::chrono::milliseconds(1);

}  // namespace

Endpoint::Endpoint(World& world, std::uint32_t zone, Duration clock_offset)
    : world(world), zone(zone), clock_offset(clock_offset) {}

void Endpoint::OnTask(const TaskMessage& message,
                      const std::function<void(TaskAnswer, std::string)>& reply) {
  if (this->is_dead) {
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
  if (this->is_dead) {
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

void Endpoint::Die() {
  this->is_dead = true;
  for (const auto& [task, running] : this->running) {
    this->world.Watch().OnTaskEnded(this->world.NowUs(), task.text);
  }
  this->running.clear();
  this->started.clear();
}

}  // namespace chervilspar::prove
