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
/// its request, or when a resource that it needs is used up.
class LevelFilling {
 public:
  explicit LevelFilling(std::vector<Claimant> claimants) : growing(std::move(claimants)) {}

  void Run() {
    while (!this->growing.empty()) {
      const Fractions rates = this->Rates();
      const double next = this->NextLevel(rates);
      std::array<bool, 2> is_used_up{};
      for (std::size_t i = 0; i < rates.size(); ++i) {
        this->left[i] -= rates[i] * (next - this->level);
        is_used_up[i] = this->left[i] <= kTolerance;
      }
      this->level = next;
      this->StopGrowing(is_used_up);
    }
  }

 private:
  /// Use of each resource per unit of the level.
  Fractions Rates() const {
    Fractions rates{};
    for (const Claimant& claimant : this->growing) {
      for (std::size_t i = 0; i < rates.size(); ++i) {
        rates[i] += claimant.share->weight * claimant.profile[i];
      }
    }
    return rates;
  }

  /// The next level at which an account stops or a resource is used up.
  double NextLevel(const Fractions& rates) const {
    double next = std::numeric_limits<double>::infinity();
    for (const Claimant& claimant : this->growing) {
      next = std::min(next, claimant.FullLevel());
    }
    for (std::size_t i = 0; i < rates.size(); ++i) {
      if (rates[i] > 0) {
        next = std::min(next, this->level + std::max(this->left[i], 0.0) / rates[i]);
      }
    }
    return std::max(next, this->level);
  }

  void StopGrowing(const std::array<bool, 2>& is_used_up) {
    for (const Claimant& claimant : this->growing) {
      AccountShare& share = *claimant.share;
      const double due = std::min(share.requested, share.weight * this->level);
      // Rounding must not leave an account that has all of its request below it.
      share.due = claimant.FullLevel() <= this->level ? share.requested : due;
    }
    std::erase_if(this->growing, [&](const Claimant& claimant) {
      bool is_stopped = claimant.FullLevel() <= this->level;
      for (std::size_t i = 0; i < is_used_up.size(); ++i) {
        is_stopped = is_stopped || (is_used_up[i] && claimant.profile[i] > 0);
      }
      return is_stopped;
    });
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
