#pragma once

#include <memory>
#include <optional>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/random.h"

#include "load_balancing/slot_table.h"

namespace chervilspar::load_balancing {

/// What the entry as a whole may take beyond the endpoints' own state.
enum class PartUse : int {
  /// It has held less than its part for so long that others must hold its slots.
  kBehind,
  /// It holds less than its part of the slots.
  kBelow,
  /// It holds about its part, and has used less than that so far: one slot more is due to it.
  kDue,
  /// It holds its part, and the fleet is not full.
  kMayBorrow,
  /// It holds its part, and the fleet is full.
  kExhausted,
};

/// Chooses among the endpoints of a table.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// An endpoint that is likely to have a free slot for the ticket.
  virtual std::optional<std::uint32_t> Choose(const SlotTable& table,
                                              const admission::Ticket& ticket, PartUse part,
                                              Random& random) = 0;
  /// Whether `Choose` could find a slot for an undemanding ticket.
  virtual bool HasCandidate(const SlotTable& table, PartUse part) const = 0;
};

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(Placement placement);

}  // namespace chervilspar::load_balancing
