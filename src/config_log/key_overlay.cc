#include "chervilspar/config_log/key_overlay.h"

namespace chervilspar::config_log {

bool KeyOverlay::Withdraw(const KeyDigest& digest) {
  if (this->withdrawn.size() >= kMaxWithdrawals) {
    return false;
  }
  return this->withdrawn.insert(digest).second;
}

void KeyOverlay::OnState(const FleetState& state) {
  std::erase_if(this->withdrawn,
                [&state](const KeyDigest& digest) { return state.withdrawn.contains(digest); });
}

std::optional<TeamId> KeyOverlay::Authenticate(const FleetState& state,
                                               const KeyDigest& digest) const {
  if (this->withdrawn.contains(digest) || state.withdrawn.contains(digest)) {
    return std::nullopt;
  }
  const auto found = state.keys.find(digest);
  if (found == state.keys.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace chervilspar::config_log
