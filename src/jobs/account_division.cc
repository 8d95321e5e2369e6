#include "jobs/account_division.h"

namespace chervilspar::jobs {

bool AccountDivision::IsBeyond(const TeamId& team) const {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return false;
  }
  const AccountUse& use = found->second;
  return AccountShare{.due = use.due, .used = this->shares.DominantFraction(use.in_use)}.IsBeyond();
}

}  // namespace chervilspar::jobs
