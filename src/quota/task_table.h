#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/messages.h"

namespace chervilspar::quota {

/// A task that counts as running.
struct CountedTask {
  TeamId team;
  /// The loan that it runs on; none for an own unit.
  std::optional<LoanKey> loan;
  /// When the task must have ended, even if its end was never reported.
  TimePoint counts_until;
};

/// The tasks that this entry has started, until their end is reported or they must have ended.
class TaskTable {
 public:
  bool Contains(const TaskId& task) const { return this->tasks.contains(task); }
  void Add(const TaskId& task, const CountedTask& counted);
  /// Removes and returns a task; empty when it isn't in the table.
  std::optional<CountedTask> Remove(const TaskId& task);
  /// Removes and returns the tasks that must have ended by now.
  std::vector<CountedTask> RemoveExpired(TimePoint now);
  /// Moves one task of the team from a loan to an own unit and returns that loan; empty when no
  /// task of the team runs on a loan.
  std::optional<LoanKey> MoveToOwnUnit(const TeamId& team);

  std::uint32_t OnOwnUnits(const TeamId& team) const;
  std::uint32_t Running(const TeamId& team) const;
  /// Teams with a task in the table.
  std::set<TeamId> Teams() const;
  bool IsEmpty() const { return this->tasks.empty(); }

 private:
  struct TeamTasks {
    std::uint32_t on_own_units = 0;
    std::set<TaskId> on_loans;
  };

  void RemoveFromTeam(const TaskId& task, const CountedTask& counted);

  std::map<TaskId, CountedTask> tasks;
  std::set<std::pair<TimePoint, TaskId>> by_end;
  std::map<TeamId, TeamTasks> teams;
};

}  // namespace chervilspar::quota
