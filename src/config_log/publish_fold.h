#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "config_log/fold_visitor.h"

namespace chervilspar::config_log {

/// Decides about one publish and applies it. Most publishes put a few VMs or teams; these cost
/// O(changes · log n). One that could leave a reference dangling is checked against the whole
/// inventory.
class PublishFold {
 public:
  PublishFold(Folder& folder, const Publish& publish) : folder(folder), publish(publish) {}

  FoldDecision Run();

 private:
  /// What a publish does to one pool.
  struct PoolEffect {
    std::int64_t vms = 0;
    std::int64_t budget_before = 0;
    std::int64_t budget_after = 0;
  };

  std::optional<Reason> FindVersionFault() const;
  std::optional<Reason> FindHeldVmFault() const;
  std::optional<Reason> FindHeldPoolFault() const;
  std::optional<Reason> FindReferenceFault() const;
  std::optional<Reason> FindBudgetFault() const;
  bool NeedsWholeCheck() const;
  bool CountsForBudget(const VmId& vm) const;
  std::map<PoolId, PoolEffect> PoolEffects() const;

  void ApplyInPlace();
  void ApplyVms();
  void RemoveTeamKeys();
  void NoteFormerEntries();

  Folder& folder;
  const Publish& publish;
};

}  // namespace chervilspar::config_log
