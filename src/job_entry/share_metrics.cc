#include "job_entry/share_metrics.h"

#include <algorithm>
#include <utility>

namespace chervilspar::job_entry {

namespace {

/// Bounds the number of series; further accounts share one label.
constexpr std::size_t kMaxAccounts = 20;
constexpr const char* kOtherAccounts = "other";

}  // namespace

void ShareMetrics::Update(const jobs::AccountShares& shares, std::uint64_t jobs_behind,
                          const jobs::Policy* policy) {
  std::set<TeamId> named;
  if (policy != nullptr) {
    for (const auto& [team, terms] : policy->teams) {
      if (named.size() < kMaxAccounts) {
        named.insert(team);
      }
    }
  }
  double others = 0;
  for (const auto& [team, share] : shares.All()) {
    others = named.contains(team) ? others : std::max(others, share.Ratio());
  }
  std::set<std::string> stale = std::exchange(this->exported, {});
  for (const TeamId& team : named) {
    const jobs::AccountShare* share = shares.Find(team);
    this->SetRatio(team.text, share == nullptr ? 0 : share->Ratio());
    stale.erase(team.text);
  }
  for (const std::string& team : stale) {
    this->SetRatio(team, 0);
  }
  this->SetRatio(kOtherAccounts, others);
  if (jobs_behind > this->counted) {
    this->metrics.Count({"chervilspar_jobs_behind_share_total", {}},
                        static_cast<double>(jobs_behind - this->counted));
    this->counted = jobs_behind;
  }
}

void ShareMetrics::Clear() {
  for (const std::string& team : std::set<std::string>(this->exported)) {
    this->SetRatio(team, 0);
  }
}

void ShareMetrics::SetRatio(const std::string& team, double ratio) {
  this->metrics.Set({"chervilspar_account_share_ratio", {{"team", team}}}, ratio);
  this->exported.insert(team);
}

}  // namespace chervilspar::job_entry
