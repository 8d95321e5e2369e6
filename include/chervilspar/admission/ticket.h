#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::admission {

/// Names one accepted request inside one shard; chosen by the caller of the shard, never reused
/// while the request is known to it.
struct TicketId {
  std::uint64_t number = 0;

  friend auto operator<=>(const TicketId&, const TicketId&) = default;
};

enum class WorkClass {
  kNormal,
  /// Starts before normal work and within a bounded time, also when every slot is taken.
  kUrgent,
};

/// Whether running the request twice does no harm.
enum class Idempotency { kNotIdempotent, kIdempotent };

/// What a request needs of the VM that runs it.
struct Requirement {
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Requirement&, const Requirement&) = default;
};

/// All that the decisions need to know of a request.
struct Ticket {
  TicketId id;
  TeamId team;
  WorkClass work_class = WorkClass::kNormal;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  TimePoint arrived;
  TimePoint deadline;
  /// The caller's own word on the run time, zero when it gave none. It may be wrong by a factor of
  /// 100 either way, so it only selects which measurements are used.
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
