#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/socket_address.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// An endpoint's registration.
struct EndpointRecord {
  std::string id;
  ServiceId service;
  SocketAddress address;
  ZoneId zone;
  /// Time of the process start in Unix milliseconds; distinguishes incarnations with the same id.
  std::int64_t born_ms = 0;
  Resources capacity;
  /// Labels of the endpoint, such as its kind and its rack.
  std::vector<std::string> labels;
  std::string rack;
  bool is_draining = false;

  bool HasLabel(const std::string& label) const;

  friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;
};

/// Changes of the registered endpoints.
struct EndpointChanges {
  /// Endpoints that are new or whose registration has changed.
  std::vector<EndpointRecord> registered;
  /// Endpoints that are no longer registered.
  std::vector<std::string> removed;

  bool IsEmpty() const { return this->registered.empty() && this->removed.empty(); }
  friend bool operator==(const EndpointChanges&, const EndpointChanges&) = default;
};

/// A run that an endpoint reports as active.
struct ActiveRun {
  TaskKey task;
  std::uint64_t run = 0;
  std::string checkpoint;
  /// Progress in percent; a long-running task reports 100 once it is ready.
  int percent = 0;
  /// Over about the last half second. For a long-running task with a target: the tail
  /// latency in milliseconds. For any other task: processor use in thousandths of a core.
  std::int64_t gauge = 0;

  friend bool operator==(const ActiveRun&, const ActiveRun&) = default;
};

/// How a run ended.
enum class RunEnd {
  kDone,
  /// The run or its endpoint failed.
  kFailed,
  kStopped,
  kLeaseLapsed,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not start in time.
  kGangIncomplete,
};

const char* ToString(RunEnd end);

/// The end of a run, which an endpoint lists until the owner confirms it.
struct EndedRun {
  /// Sequence number within one incarnation of the endpoint, starting at 1.
  std::uint64_t number = 0;
  TaskKey task;
  std::uint64_t run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
};

/// An endpoint's answer to a `RenewalOrder`.
struct RenewalReport {
  /// The endpoint's own clock in milliseconds, from an arbitrary origin.
  std::int64_t clock_ms = 0;
  /// As in `EndpointRecord`; 0 if unknown.
  std::int64_t born_ms = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;

  friend bool operator==(const RenewalReport&, const RenewalReport&) = default;
};

/// Renews the leases of all runs on an endpoint and requests its status.
struct RenewalOrder {
  std::string endpoint;
  SocketAddress address;
  /// The owner's fencing token.
  std::uint64_t token = 0;
  /// Ends up to this number are stored, and the endpoint may drop them.
  std::uint64_t confirmed_end = 0;
  /// The new end of the leases on the endpoint's clock; absent: a status request that renews
  /// nothing.
  std::optional<std::int64_t> lease_end_ms;
  /// How long the endpoint may delay its answer until a run ends.
  Duration wait{};

  friend bool operator==(const RenewalOrder&, const RenewalOrder&) = default;
};

/// Starts one run.
struct StartOrder {
  std::string endpoint;
  SocketAddress address;
  TaskKey task;
  std::uint64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::uint64_t token = 0;
  /// On the endpoint's clock: the end of the run's first lease, and the latest time at which the
  /// endpoint may execute the order.
  std::int64_t lease_end_ms = 0;

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

/// Ends one run.
struct StopOrder {
  std::string endpoint;
  SocketAddress address;
  TaskKey task;
  std::uint64_t run = 0;
  std::uint64_t token = 0;

  friend bool operator==(const StopOrder&, const StopOrder&) = default;
};

/// Limits a run to a percentage of its full speed; 0 halts it.
struct ThrottleOrder {
  std::string endpoint;
  SocketAddress address;
  TaskKey task;
  std::uint64_t run = 0;
  int percent = 100;
  std::uint64_t token = 0;

  friend bool operator==(const ThrottleOrder&, const ThrottleOrder&) = default;
};

/// The outcome of an order.
enum class OrderOutcome {
  kDone,
  /// Refused: the endpoint has seen a higher token.
  kTokenTooLow,
  /// Refused: the run is not newer than one that has ended on the endpoint.
  kRunTooOld,
  /// Refused: the order arrived after its deadline.
  kTooLate,
  /// Refused: not enough free capacity.
  kNoCapacity,
  /// Refused: the ticket isn't valid.
  kBadTicket,
  /// Refused for another reason, without any effect.
  kRefused,
  /// Another incarnation of the endpoint, or another endpoint, answers at the address.
  kOtherIncarnation,
  /// No complete answer arrived; the order may still be executed, even seconds later.
  kNoAnswer,
  /// The order was not sent.
  kNotSent,
  /// Refused: the order has no payload, and the entry that forwards it doesn't have it either.
  kPayloadMissing,
  /// Not sent by the owner, as it was no longer wanted when its turn came. Never reported by the
  /// entry that forwards orders.
  kWithdrawn,
};

const char* ToString(OrderOutcome outcome);

/// What came of a start.
struct StartAnswer {
  // NOLINTNEXTLINE(google-explicit-constructor): an outcome alone is an answer without a clock.
  StartAnswer(OrderOutcome outcome, std::optional<std::int64_t> clock_ms = std::nullopt)
      : outcome(outcome), clock_ms(clock_ms) {}

  OrderOutcome outcome;
  /// The endpoint's own clock, as in `RenewalReport`, if it answered. Tells which incarnation did.
  std::optional<std::int64_t> clock_ms;

  friend bool operator==(const StartAnswer&, const StartAnswer&) = default;
};

}  // namespace chervilspar::jobs
