#pragma once

#include <memory>
#include <optional>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/random.h"

#include "load_balancing/slot_table.h"

namespace chervilspar::load_balancing {

/// How this entry's tasks in flight compare with its part of the slots, which decides the slots
/// that it may use.
enum class PartUse : int {
  /// The entry has used less than its part for so long that others must occupy its slots.
  kBehind,
  /// The entry uses less than its part of the slots.
  kBelow,
  /// The entry uses its part but for a fraction of a slot, and its credit entitles it to one more.
  kDue,
  /// The entry uses its part, and the fleet has free capacity.
  kMayBorrow,
  /// The entry uses its part, and the fleet is full.
  kExhausted,
};

/// Chooses among the endpoints of a slot table.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// Returns the index of an endpoint that is likely to have a free slot for the ticket.
  virtual std::optional<std::uint32_t> Choose(const SlotTable& table,
                                              const admission::Ticket& ticket, PartUse part,
                                              Random& random) = 0;
  /// Whether `Choose` could find a slot for a ticket that fits every endpoint.
  virtual bool HasCandidate(const SlotTable& table, PartUse part) const = 0;
};

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(Placement placement);

}  // namespace chervilspar::load_balancing
