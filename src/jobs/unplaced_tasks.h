#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/held_endpoints.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// The tasks of one pool that found no endpoint in this round. What may be used hardly ever grows
/// within a round, so those after them that need at least as much aren't searched for.
class UnplacedTasks {
 public:
  struct Entry {
    std::string label;
    Resources need;
    bool is_late = false;
    /// For late tasks, which may find a held endpoint if they are short.
    std::int64_t estimate_ms = 0;
    std::optional<HeldEndpoints::Refusal> refusal;
  };

  void Clear() { this->entries.clear(); }
  /// Adds a task that isn't part of a gang.
  void Add(const TaskRef& ref, bool is_late, const std::optional<HeldEndpoints::Refusal>& refusal);
  /// A task that found no endpoint, so that this one finds none either. Null if there is none.
  const Entry* FindFor(const TaskRef& ref, bool is_late) const;

 private:
  std::vector<Entry> entries;
};

}  // namespace chervilspar::jobs
