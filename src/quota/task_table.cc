#include "task_table.h"

#include "chervilspar/base/assert.h"

namespace chervilspar::quota {

void TaskTable::Add(const TaskId& task, const CountedTask& counted) {
  const bool is_new = this->tasks.emplace(task, counted).second;
  CHERVILSPAR_ASSERT(is_new);
  this->by_end.emplace(counted.counts_until, task);
  TeamTasks& team = this->teams[counted.team];
  if (counted.loan) {
    team.on_loans.insert(task);
  } else {
    ++team.on_own_units;
  }
}

std::optional<CountedTask> TaskTable::Remove(const TaskId& task) {
  const auto found = this->tasks.find(task);
  if (found == this->tasks.end()) {
    return std::nullopt;
  }
  const CountedTask counted = found->second;
  this->by_end.erase({counted.counts_until, task});
  this->tasks.erase(found);
  this->RemoveFromTeam(task, counted);
  return counted;
}

void TaskTable::RemoveFromTeam(const TaskId& task, const CountedTask& counted) {
  const auto team = this->teams.find(counted.team);
  CHERVILSPAR_ASSERT(team != this->teams.end());
  if (counted.loan) {
    team->second.on_loans.erase(task);
  } else {
    CHERVILSPAR_ASSERT(team->second.on_own_units > 0);
    --team->second.on_own_units;
  }
  if (team->second.on_own_units == 0 && team->second.on_loans.empty()) {
    this->teams.erase(team);
  }
}

std::vector<CountedTask> TaskTable::RemoveExpired(TimePoint now) {
  std::vector<CountedTask> ended;
  while (!this->by_end.empty() && this->by_end.begin()->first <= now) {
    const TaskId task = this->by_end.begin()->second;
    ended.push_back(*this->Remove(task));
  }
  return ended;
}

std::optional<LoanKey> TaskTable::MoveToOwnUnit(const TeamId& team) {
  const auto found = this->teams.find(team);
  if (found == this->teams.end() || found->second.on_loans.empty()) {
    return std::nullopt;
  }
  const TaskId task = *found->second.on_loans.begin();
  found->second.on_loans.erase(found->second.on_loans.begin());
  ++found->second.on_own_units;
  CountedTask& counted = this->tasks.at(task);
  std::optional<LoanKey> loan = counted.loan;
  counted.loan.reset();
  return loan;
}

std::uint32_t TaskTable::OnOwnUnits(const TeamId& team) const {
  const auto found = this->teams.find(team);
  return found == this->teams.end() ? 0 : found->second.on_own_units;
}

std::uint32_t TaskTable::Running(const TeamId& team) const {
  const auto found = this->teams.find(team);
  if (found == this->teams.end()) {
    return 0;
  }
  return found->second.on_own_units + static_cast<std::uint32_t>(found->second.on_loans.size());
}

std::set<TeamId> TaskTable::Teams() const {
  std::set<TeamId> ids;
  for (const auto& [id, team] : this->teams) {
    ids.insert(id);
  }
  return ids;
}

}  // namespace chervilspar::quota
