#include "chervilspar/jobs/account_shares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace chervilspar::jobs {

namespace {

/// Tolerance of comparisons of fractions, which are sums of rounded numbers.
constexpr double kTolerance = 1e-9;

/// Fractions of the capacity's cpu and memory.
using Fractions = std::array<double, 2>;

Fractions FractionsOf(const Resources& amount, const Resources& capacity) {
  const auto fraction = [](std::int64_t part, std::int64_t whole) {
    return static_cast<double>(std::max<std::int64_t>(part, 0)) /
           static_cast<double>(std::max<std::int64_t>(whole, 1));
  };
  return {fraction(amount.cpu, capacity.cpu), fraction(amount.memory_mb, capacity.memory_mb)};
}

double Largest(const Fractions& fractions) {
  return *std::max_element(fractions.begin(), fractions.end());
}

/// Bounds of a weight, far outside of what operators configure, so that sums stay finite.
constexpr double kMinWeight = 1e-6;
constexpr double kMaxWeight = 1e6;

bool IsValidWeight(double weight) { return std::isfinite(weight) && weight > 0; }

double SmallestWeight(const std::vector<AccountDemand>& demands) {
  double smallest = std::numeric_limits<double>::infinity();
  for (const AccountDemand& demand : demands) {
    smallest = IsValidWeight(demand.weight) ? std::min(smallest, demand.weight) : smallest;
  }
  return std::isfinite(smallest) ? smallest : 1.0;
}

/// An account whose share still grows with the level.
struct Claimant {
  AccountShare* share = nullptr;
  /// Use of each resource per unit of the dominant one.
  Fractions profile{};

  /// The level at which the account has what it requests.
  double FullLevel() const { return this->share->requested / this->share->weight; }
};

/// Raises the level, the share per unit of weight, for all accounts at once. An account stops at
/// its request, or when a resource that it needs is used up. Takes time in proportion to the number
/// of accounts, besides sorting them.
class LevelFilling {
 public:
  explicit LevelFilling(std::vector<Claimant> claimants) : growing(std::move(claimants)) {
    std::sort(this->growing.begin(), this->growing.end(),
              [](const Claimant& one, const Claimant& other) {
                return one.FullLevel() < other.FullLevel();
              });
  }

  void Run() {
    while (!this->growing.empty()) {
      this->RaiseUntilUsedUp();
    }
  }

 private:
  /// Raises the level until a resource is used up, and removes the accounts that need it, or until
  /// all accounts have what they request.
  void RaiseUntilUsedUp() {
    const std::vector<Fractions> rates = this->Rates();
    for (std::size_t i = 0; i < this->growing.size(); ++i) {
      const Claimant& next = this->growing[i];
      const Fractions ends = this->LevelsAtEnd(rates[i]);
      const double first_end = *std::min_element(ends.begin(), ends.end());
      if (first_end < next.FullLevel()) {
        this->RaiseTo(first_end, rates[i]);
        this->StopAt(
            i, static_cast<std::size_t>(std::min_element(ends.begin(), ends.end()) - ends.begin()));
        return;
      }
      this->RaiseTo(next.FullLevel(), rates[i]);
      next.share->due = next.share->requested;
    }
    this->growing.clear();
  }

  /// For each account: the use of each resource per unit of the level by it and those after it.
  /// Summed from the end, as differences would lose the small weights among large ones.
  std::vector<Fractions> Rates() const {
    std::vector<Fractions> rates(this->growing.size());
    Fractions sum{};
    for (std::size_t i = rates.size(); i-- > 0;) {
      for (std::size_t resource = 0; resource < sum.size(); ++resource) {
        sum[resource] += this->growing[i].share->weight * this->growing[i].profile[resource];
      }
      rates[i] = sum;
    }
    return rates;
  }

  /// The levels at which the resources are used up.
  Fractions LevelsAtEnd(const Fractions& rates) const {
    Fractions ends{};
    for (std::size_t i = 0; i < ends.size(); ++i) {
      ends[i] = rates[i] > 0 ? this->level + std::max(this->left[i], 0.0) / rates[i]
                             : std::numeric_limits<double>::infinity();
    }
    return ends;
  }

  void RaiseTo(double next, const Fractions& rates) {
    for (std::size_t i = 0; i < rates.size(); ++i) {
      this->left[i] -= rates[i] * (next - this->level);
    }
    this->level = next;
  }

  /// Accounts before `first` have what they request. Of the others, those that need the resource
  /// stop at the present level.
  void StopAt(std::size_t first, std::size_t resource) {
    std::vector<Claimant> others;
    for (std::size_t i = first; i < this->growing.size(); ++i) {
      const Claimant& claimant = this->growing[i];
      AccountShare& share = *claimant.share;
      share.due = std::min(share.requested, share.weight * this->level);
      if (claimant.profile[resource] <= 0) {
        others.push_back(claimant);
      }
    }
    this->growing = std::move(others);
  }

  std::vector<Claimant> growing;
  double level = 0;
  /// Fractions of the resources that are not given out.
  Fractions left{1.0, 1.0};
};

}  // namespace

double AccountShare::Ratio() const {
  if (this->used <= 0) {
    return 0;
  }
  return this->used / std::max(this->due, kTolerance);
}

bool AccountShare::IsBeyond() const { return this->used > this->due + kTolerance; }

AccountShares::AccountShares(const std::vector<AccountDemand>& demands, const Resources& capacity)
    : capacity(capacity) {
  const double smallest_weight = SmallestWeight(demands);
  std::vector<Claimant> claimants;
  Resources total;
  for (const AccountDemand& demand : demands) {
    AccountShare& share = this->shares[demand.team];
    const double weight = IsValidWeight(demand.weight) ? demand.weight : smallest_weight;
    share.weight = std::clamp(weight, kMinWeight, kMaxWeight);
    Fractions profile = FractionsOf(demand.requested, capacity);
    share.requested = Largest(profile);
    share.used = this->DominantFraction(demand.in_use);
    share.due = share.requested;
    total = total + demand.requested;
    if (share.requested > 0) {
      for (double& part : profile) {
        part /= share.requested;
      }
      claimants.push_back({&share, profile});
    }
  }
  this->is_full = Largest(FractionsOf(total, capacity)) > 1.0;
  if (this->is_full) {
    LevelFilling(std::move(claimants)).Run();
  }
}

const AccountShare* AccountShares::Find(const TeamId& team) const {
  const auto found = this->shares.find(team);
  return found == this->shares.end() ? nullptr : &found->second;
}

double AccountShares::DominantFraction(const Resources& amount) const {
  return Largest(FractionsOf(amount, this->capacity));
}

}  // namespace chervilspar::jobs
