#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilspar/idempotency/request_registry.h"
#include "chervilspar/membership/membership.h"
#include "chervilspar/quota/quota.h"

namespace chervilspar::prove {

/// The safety mechanisms of all modules, each of which a run may be made without.
struct GuardSet {
  membership::MembershipGuards membership;
  quota::QuotaGuards quota;
  idempotency::RegistryGuards registry;
};

/// All guards in place but the named one. Stops the program on an unknown name.
GuardSet Without(const std::string& name);

/// The names for `Without`.
std::vector<std::string> GuardNames();

/// A seed whose run failed without the guard when it was last looked for; tried first.
std::uint64_t KnownSeed(const std::string& name);

}  // namespace chervilspar::prove
