#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::admission {

/// Identifies one accepted request within a shard. The caller of the shard assigns it and does not
/// reuse it while the shard knows the request.
struct TicketId {
  std::uint64_t number = 0;

  friend auto operator<=>(const TicketId&, const TicketId&) = default;
};

enum class WorkClass {
  kNormal,
  /// Starts before normal work and within a bounded time, even if all slots are taken.
  kUrgent,
};

/// Whether a request may safely run twice.
enum class Idempotency { kNotIdempotent, kIdempotent };

/// Resources that a request needs on the VM that runs it.
struct Requirement {
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Requirement&, const Requirement&) = default;
};

/// The attributes of a request on which admission, scheduling and retries depend.
struct Ticket {
  TicketId id;
  TeamId team;
  WorkClass work_class = WorkClass::kNormal;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  TimePoint arrived;
  TimePoint deadline;
  /// The run time that the caller declares, zero if it declares none. It may be wrong by a factor
  /// of 100 in either direction, so it only selects which measurements are used.
  Duration declared_run_time = Duration::zero();
  Requirement requirement;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

}  // namespace chervilspar::admission

template <>
struct std::hash<chervilspar::admission::TicketId> {
  std::size_t operator()(const chervilspar::admission::TicketId& id) const noexcept {
    return std::hash<std::uint64_t>()(id.number);
  }
};
