#include "load_balancing/placement_policy.h"

#include <initializer_list>

#include "chervilspar/base/assert.h"

namespace chervilspar::load_balancing {

namespace {

/// Random samples before the whole set is searched for a VM that is large enough.
constexpr int kMaxSamples = 4;

/// In a full fleet, a single slot that a report shows as free is usually about to be filled again
/// by its owner. This many idle slots at one endpoint belong to owners that have nothing to run.
constexpr std::uint32_t kMinIdleSlotsWhenFull = 2;

/// Returns a random element that fits the requirement.
std::optional<std::uint32_t> ChooseFit(const SlotTable& table, const IndexedSet& set,
                                       const admission::Requirement& requirement, Random& random) {
  if (set.IsEmpty()) {
    return std::nullopt;
  }
  for (int sample = 0; sample < kMaxSamples; ++sample) {
    const std::uint32_t index = set.Sample(random);
    if (table.Fits(index, requirement)) {
      return index;
    }
  }
  for (const std::uint32_t index : set.Items()) {
    if (table.Fits(index, requirement)) {
      return index;
    }
  }
  return std::nullopt;
}

/// Returns the less loaded of two random elements that fit the requirement.
std::optional<std::uint32_t> ChooseOfTwo(const SlotTable& table, const IndexedSet& set,
                                         const admission::Requirement& requirement,
                                         Random& random) {
  const auto first = ChooseFit(table, set, requirement, random);
  const auto second = ChooseFit(table, set, requirement, random);
  if (!first || !second) {
    return first;
  }
  return table.At(*second).Load() < table.At(*first).Load() ? second : first;
}

/// Uses this entry's own slots first and, if `lends` is set, slots that other entries leave idle.
class SplitPlacement : public PlacementPolicy {
 public:
  explicit SplitPlacement(bool lends) : lends(lends) {}

  std::optional<std::uint32_t> Choose(const SlotTable& table, const admission::Ticket& ticket,
                                      PartUse part, Random& random) override {
    const bool is_due = part != PartUse::kMayBorrow && part != PartUse::kExhausted;
    if (is_due) {
      const auto own = this->ChooseOwn(table, ticket, random);
      if (own) {
        return own;
      }
    }
    if (!this->lends) {
      return std::nullopt;
    }
    const std::uint32_t min_idle_slots = part == PartUse::kExhausted ? kMinIdleSlotsWhenFull : 1;
    for (const IndexedSet* set : {&table.idle_local, &table.idle_remote}) {
      const auto idle = ChooseOfTwo(table, *set, ticket.requirement, random);
      if (idle && table.At(*idle).IdleSlots() >= min_idle_slots) {
        return idle;
      }
    }
    const bool may_try_open = part == PartUse::kBehind || part == PartUse::kMayBorrow;
    return may_try_open ? ChooseFit(table, table.open, ticket.requirement, random) : std::nullopt;
  }

  bool HasCandidate(const SlotTable& table, PartUse part) const override {
    const bool has_idle = !table.idle_local.IsEmpty() || !table.idle_remote.IsEmpty();
    if (part == PartUse::kExhausted) {
      return this->lends && has_idle;
    }
    if (part == PartUse::kMayBorrow) {
      return this->lends && !table.open.IsEmpty();
    }
    const bool has_own =
        !table.own_local.IsEmpty() || !table.own_remote.IsEmpty() || !table.own_fraction.IsEmpty();
    const bool may_try_open = part == PartUse::kBehind && !table.open.IsEmpty();
    return has_own || (this->lends && (has_idle || may_try_open));
  }

 private:
  std::optional<std::uint32_t> ChooseOwn(const SlotTable& table, const admission::Ticket& ticket,
                                         Random& random) const {
    for (const IndexedSet* set : {&table.own_local, &table.own_remote}) {
      const auto own = ChooseFit(table, *set, ticket.requirement, random);
      if (own) {
        return own;
      }
    }
    return this->LargestFraction(table, ticket.requirement);
  }

  /// Returns the endpoint with the largest fraction of a slot that belongs to this entry. An
  /// entry's part has at most two fractions in its own zone and two elsewhere. The entry that
  /// shares such a slot prefers its own larger fraction, too, so that they seldom compete for the
  /// same slot.
  std::optional<std::uint32_t> LargestFraction(const SlotTable& table,
                                               const admission::Requirement& requirement) const {
    std::optional<std::uint32_t> largest;
    double largest_part = 0.0;
    for (const std::uint32_t index : table.own_fraction.Items()) {
      const double part = table.At(index).split - table.At(index).Own();
      if (part > largest_part && table.Fits(index, requirement)) {
        largest = index;
        largest_part = part;
      }
    }
    return largest;
  }

  bool lends;
};

/// Chooses the endpoint with the fewest tasks of this entry in flight.
class OwnCountsPlacement final : public PlacementPolicy {
 public:
  std::optional<std::uint32_t> Choose(const SlotTable& table, const admission::Ticket& ticket,
                                      PartUse, Random&) override {
    std::optional<std::uint32_t> best;
    for (const std::uint32_t index : table.open.Items()) {
      if (table.Fits(index, ticket.requirement) &&
          (!best || table.At(index).Own() < table.At(*best).Own())) {
        best = index;
      }
    }
    return best;
  }

  bool HasCandidate(const SlotTable& table, PartUse) const override {
    return !table.open.IsEmpty();
  }
};

/// Chooses the less loaded of two random endpoints, by own and reported tasks.
class TwoChoicesPlacement final : public PlacementPolicy {
 public:
  std::optional<std::uint32_t> Choose(const SlotTable& table, const admission::Ticket& ticket,
                                      PartUse, Random& random) override {
    return ChooseOfTwo(table, table.open, ticket.requirement, random);
  }

  bool HasCandidate(const SlotTable& table, PartUse) const override {
    return !table.open.IsEmpty();
  }
};

/// Chooses the endpoints in turn.
class RoundRobinPlacement final : public PlacementPolicy {
 public:
  std::optional<std::uint32_t> Choose(const SlotTable& table, const admission::Ticket& ticket,
                                      PartUse, Random&) override {
    const auto& items = table.open.Items();
    std::optional<std::uint32_t> best;
    std::uint32_t best_distance = 0;
    const auto count = static_cast<std::uint32_t>(table.Count());
    for (const std::uint32_t index : items) {
      const std::uint32_t distance = (index + count - this->next % count) % count;
      if (table.Fits(index, ticket.requirement) && (!best || distance < best_distance)) {
        best = index;
        best_distance = distance;
      }
    }
    if (best) {
      this->next = *best + 1;
    }
    return best;
  }

  bool HasCandidate(const SlotTable& table, PartUse) const override {
    return !table.open.IsEmpty();
  }

 private:
  std::uint32_t next = 0;
};

}  // namespace

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(Placement placement) {
  switch (placement) {
    case Placement::kSplitWithLending:
      return std::make_unique<SplitPlacement>(true);
    case Placement::kFixedSplit:
      return std::make_unique<SplitPlacement>(false);
    case Placement::kOwnCounts:
      return std::make_unique<OwnCountsPlacement>();
    case Placement::kTwoChoices:
      return std::make_unique<TwoChoicesPlacement>();
    case Placement::kRoundRobin:
      return std::make_unique<RoundRobinPlacement>();
  }
  CHERVILSPAR_ASSERT(false);
}

}  // namespace chervilspar::load_balancing
