#pragma once

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

enum class SlotAnswer {
  kFound,
  /// No slot suits this ticket; one may suit another ticket.
  kTicketDoesNotFit,
  /// No slot is free for any ticket of this work class.
  kNoneFree,
};

/// The endpoint at which a ticket may run now. `endpoint` is set only if a slot was found.
struct Slot {
  SlotAnswer answer = SlotAnswer::kNoneFree;
  VmId endpoint;

  friend bool operator==(const Slot&, const Slot&) = default;
};

/// Finds a slot for the ticket that the fair queue would start next.
class SlotFinder {
 public:
  virtual ~SlotFinder() = default;
  virtual Slot Find(const admission::Ticket& ticket, TimePoint now) = 0;
};

}  // namespace chervilspar::scheduling
