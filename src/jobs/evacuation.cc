#include "jobs/evacuation.h"

namespace chervilspar::jobs {

namespace {

bool IsAtWork(const Task& task) { return task.state == RunState::kActive && task.percent >= 100; }

}  // namespace

void Evacuation::Run() {
  for (const auto& [id, endpoint] : this->state.endpoints) {
    const bool is_leaving = endpoint->is_evacuating || endpoint->record.is_draining;
    if (!is_leaving || endpoint->claims.empty()) {
      continue;
    }
    const std::vector<TaskKey> claims(endpoint->claims.begin(), endpoint->claims.end());
    for (const TaskKey& key : claims) {
      this->Review(this->state.Find(key));
    }
  }
}

void Evacuation::Review(const TaskRef& ref) {
  if (ref.spec->is_long_running && ref.task->state == RunState::kActive && this->MayEnd(ref)) {
    this->state.Tell(
        {"run_moved", ref.key, {}, ref.task->endpoint->record.id, "its endpoint is being emptied"});
    this->state.BeginStop(ref, this->now);
  }
}

bool Evacuation::MayEnd(const TaskRef& ref) const {
  const bool leaves_anyway = ref.task->endpoint->record.is_draining;
  if (leaves_anyway || !ref.spec->max_unavailable || !IsAtWork(*ref.task)) {
    return true;
  }
  std::uint32_t away = 0;
  for (const Task& sibling : ref.step->tasks) {
    away += IsAtWork(sibling) ? 0 : 1;
  }
  return away < *ref.spec->max_unavailable;
}

}  // namespace chervilspar::jobs
