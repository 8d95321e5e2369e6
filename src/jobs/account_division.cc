#include "jobs/account_division.h"

#include <array>
#include <cstdio>

namespace chervilspar::jobs {

bool AccountDivision::IsBeyond(const TeamId& team) const {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return false;
  }
  const AccountUse& use = found->second;
  return AccountShare{.due = use.due, .used = this->shares.DominantFraction(use.in_use)}.IsBeyond();
}

double AccountDivision::ExcessPart(const TeamId& team) const {
  const AccountShare* share = this->shares.Find(team);
  return share != nullptr && share->IsBeyond() ? 1 - share->due / share->used : 0;
}

std::string AccountDivision::Describe(const TeamId& team) const {
  const AccountShare* share = this->shares.Find(team);
  std::array<char, 96> text{};
  const double ratio = share == nullptr ? 0 : share->Ratio();
  std::snprintf(text.data(), text.size(), "its account uses %.1f of its share", ratio);
  const bool is_beyond = share != nullptr && share->IsBeyond();
  return std::string(text.data()) + (is_beyond ? "" : ", and its earlier jobs the rest");
}

}  // namespace chervilspar::jobs
