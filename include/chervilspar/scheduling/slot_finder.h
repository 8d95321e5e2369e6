#pragma once

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

enum class SlotAnswer {
  kFound,
  /// Not for this ticket; another one may fit.
  kTicketDoesNotFit,
  /// For no ticket of this class.
  kNoneFree,
};

/// Where a ticket may run now.
struct Slot {
  SlotAnswer answer = SlotAnswer::kNoneFree;
  VmId endpoint;

  friend bool operator==(const Slot&, const Slot&) = default;
};

/// Asked by the fair queue for the ticket whose turn it is.
class SlotFinder {
 public:
  virtual ~SlotFinder() = default;
  virtual Slot Find(const admission::Ticket& ticket, TimePoint now) = 0;
};

}  // namespace chervilspar::scheduling
