#include "chervilspar/inventory/check.h"

#include <algorithm>
#include <map>
#include <set>

#include "chervilspar/inventory/document.h"

#include "inventory/faults.h"

namespace chervilspar::inventory {

namespace {

/// Collects findings about one inventory.
class Checker {
 public:
  Checker(const Inventory& inventory, WallTime now) : inventory(inventory), now(now) {
    for (const auto& [id, vm] : inventory.vms) {
      ++this->vms_in_pool[vm.pool];
    }
  }

  std::vector<Finding> Run() {
    this->CheckPools();
    this->CheckTeams();
    this->CheckJobs();
    this->CheckMove();
    this->CheckRules();
    return std::move(this->findings);
  }

 private:
  void Add(Severity severity, std::string at, std::string message) {
    this->findings.push_back(
        Finding{severity, Reason{ErrorCode::kInvalidArgument, std::move(at), std::move(message)}});
  }

  std::uint32_t VmsIn(const PoolId& pool) const {
    const auto found = this->vms_in_pool.find(pool);
    return found == this->vms_in_pool.end() ? 0 : found->second;
  }

  bool IsAnyMaintained() const {
    return this->inventory.maintenance.every > Duration::zero() || this->inventory.move.has_value();
  }

  void CheckPools() {
    for (const auto& [id, pool] : this->inventory.pools) {
      const std::uint32_t vms = this->VmsIn(id);
      const std::string at = Child(Child(Child("", "pools"), id.text), "min_available");
      const std::string counts = "the pool has " + std::to_string(vms) + " VMs and must have " +
                                 std::to_string(pool.min_available) + " available";
      if (pool.min_available > vms) {
        this->Add(Severity::kError, at, counts);
      } else if (vms > 0 && pool.min_available == vms && this->IsAnyMaintained()) {
        this->Add(Severity::kError, at,
                  counts + "; no wave can take even one of them; set it to " +
                      std::to_string(vms - 1) + " or less, or add a VM");
      }
      if (vms == 0 && pool.kind == PoolKind::kServing) {
        this->Add(Severity::kWarning, at, "the pool has no VM and can serve nothing");
      }
    }
  }

  void CheckTeams() {
    for (const auto& [id, team] : this->inventory.teams) {
      if (team.upper_limit == 0) {
        this->Add(Severity::kError, Child(Child(Child("", "teams"), id.text), "upper_limit"),
                  "0 lets the team run nothing; set 1 or more, or withdraw its keys");
      }
    }
  }

  bool CanRun(const Vm& vm, const Service& service) const {
    const auto pool = this->inventory.pools.find(vm.pool);
    const bool is_allowed =
        pool != this->inventory.pools.end() &&
        (pool->second.service == service.id || pool->second.kind == PoolKind::kSpare);
    return is_allowed && vm.cores >= service.job_cores && vm.memory_mb >= service.job_memory_mb &&
           vm.accelerators >= service.job_accelerators;
  }

  void CheckJobs() {
    for (const auto& [id, service] : this->inventory.services) {
      const bool runs = std::any_of(this->inventory.vms.begin(), this->inventory.vms.end(),
                                    [this, &needed = service](const auto& entry) {
                                      return this->CanRun(entry.second, needed);
                                    });
      if (!runs) {
        this->Add(Severity::kError, Child(Child("", "services"), id.text),
                  "no VM of a pool that serves it has the " + std::to_string(service.job_cores) +
                      " cores, " + std::to_string(service.job_memory_mb) + " MB and " +
                      std::to_string(service.job_accelerators) + " accelerators that a job needs");
      }
    }
  }

  void CheckMove() {
    if (!this->inventory.move) {
      return;
    }
    const Move& move = *this->inventory.move;
    if (move.date <= this->now) {
      this->Add(Severity::kError, "/move/date",
                '"' + FormatDate(move.date) + "\" has passed; it is " + FormatDate(this->now));
    }
    std::map<PoolId, std::int64_t> after;
    for (const auto& [pool, count] : this->vms_in_pool) {
      after[pool] = count;
    }
    for (const MoveTarget& target : move.targets) {
      const auto vm = this->inventory.vms.find(target.vm);
      if (vm == this->inventory.vms.end()) {
        continue;
      }
      --after[vm->second.pool];
      if (target.to_pool) {
        ++after[*target.to_pool];
      }
    }
    this->CheckPoolsAfterMove(after);
    this->CheckSiteIsLeft(move);
  }

  void CheckPoolsAfterMove(const std::map<PoolId, std::int64_t>& after) {
    for (const auto& [id, count] : after) {
      const auto pool = this->inventory.pools.find(id);
      if (pool != this->inventory.pools.end() && count < pool->second.min_available) {
        this->Add(Severity::kError, "/move/targets",
                  "the move leaves pool \"" + id.text + "\" with " + std::to_string(count) +
                      " VMs, below its budget of " + std::to_string(pool->second.min_available));
      }
    }
  }

  void CheckSiteIsLeft(const Move& move) {
    std::set<VmId> targets;
    for (const MoveTarget& target : move.targets) {
      targets.insert(target.vm);
    }
    const auto at_site = std::count_if(
        this->inventory.vms.begin(), this->inventory.vms.end(), [&](const auto& entry) {
          return entry.second.site == move.leave_site && !targets.contains(entry.first);
        });
    if (at_site > 0) {
      this->Add(Severity::kWarning, "/move/targets",
                std::to_string(at_site) + " VMs of site \"" + move.leave_site.text +
                    "\" have no target and would stay");
    }
  }

  void CheckRules() {
    const ServiceRules& rules = this->inventory.service_rules;
    if (rules.loan_lease <= 2 * rules.max_clock_skew) {
      this->Add(Severity::kError, "/service_rules/loan_lease",
                "\"" + FormatDuration(rules.loan_lease) + "\" must be longer than twice the " +
                    "max_clock_skew of " + FormatDuration(rules.max_clock_skew));
    }
    if (this->inventory.entries.empty()) {
      this->Add(Severity::kWarning, "/entries", "no entry is listed; nothing would be served");
    }
  }

  const Inventory& inventory;
  WallTime now;
  std::map<PoolId, std::uint32_t> vms_in_pool;
  std::vector<Finding> findings;
};

}  // namespace

std::vector<Finding> Check(const Inventory& inventory, WallTime now) {
  return Checker(inventory, now).Run();
}

bool HasErrors(const std::vector<Finding>& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const Finding& finding) { return finding.severity == Severity::kError; });
}

}  // namespace chervilspar::inventory
