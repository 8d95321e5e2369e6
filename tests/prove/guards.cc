#include "tests/prove/guards.h"

#include <functional>
#include <utility>

#include "chervilspar/base/assert.h"

namespace chervilspar::prove {

using membership::Guard;

namespace {

struct NamedGuard {
  std::string name;
  std::function<Guard&(GuardSet&)> find;
};

const std::vector<NamedGuard>& AllGuards() {
  static const std::vector<NamedGuard> kGuards = {
      {"read-to-end", [](GuardSet& set) -> Guard& { return set.membership.read_to_end; }},
      {"await-former", [](GuardSet& set) -> Guard& { return set.membership.await_former; }},
      {"quota-joint-rule", [](GuardSet& set) -> Guard& { return set.quota.joint_rule; }},
      {"wait-out-predecessor",
       [](GuardSet& set) -> Guard& { return set.quota.wait_out_predecessor; }},
      {"borrower-lease", [](GuardSet& set) -> Guard& { return set.quota.borrower_lease; }},
      {"lender-hold", [](GuardSet& set) -> Guard& { return set.quota.lender_hold; }},
      {"start-by", [](GuardSet& set) -> Guard& { return set.quota.start_by; }},
      {"task-hold", [](GuardSet& set) -> Guard& { return set.quota.task_hold; }},
      {"grant-once", [](GuardSet& set) -> Guard& { return set.quota.grant_once; }},
      {"owner-birth", [](GuardSet& set) -> Guard& { return set.registry.birth; }},
      {"owner-joint-rule", [](GuardSet& set) -> Guard& { return set.registry.joint_rule; }},
      {"future-ids", [](GuardSet& set) -> Guard& { return set.registry.future; }},
      {"forgotten-ids", [](GuardSet& set) -> Guard& { return set.registry.forgotten; }},
      {"attempt-match", [](GuardSet& set) -> Guard& { return set.registry.attempt_match; }},
  };
  return kGuards;
}

}  // namespace

GuardSet Without(const std::string& name) {
  GuardSet set;
  for (const NamedGuard& guard : AllGuards()) {
    if (guard.name == name) {
      guard.find(set) = Guard::kOff;
      return set;
    }
  }
  CHERVILSPAR_ASSERT(name.empty());
  return set;
}

std::vector<std::string> GuardNames() {
  std::vector<std::string> names;
  for (const NamedGuard& guard : AllGuards()) {
    names.push_back(guard.name);
  }
  return names;
}

}  // namespace chervilspar::prove
