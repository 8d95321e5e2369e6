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

/// An endpoint as it registers itself.
struct EndpointRecord {
  std::string id;
  ServiceId service;
  SocketAddress address;
  ZoneId zone;
  /// Unix millisecond of its start; tells two lives under one id apart.
  std::int64_t born_ms = 0;
  Resources capacity;
  /// Its kind and its rack.
  std::vector<std::string> labels;
  std::string rack;
  bool is_draining = false;

  bool HasLabel(const std::string& label) const;

  friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;
};

/// A run that an endpoint says is under way.
struct ActiveRun {
  TaskKey task;
  std::uint64_t run = 0;
  std::string checkpoint;
  /// How far it is; for a long-running task 100 once it is at work.
  int percent = 0;
  /// Over the last half second, roughly. A long-running task with a target: the tail of its
  /// response times in milliseconds. Any other: thousandths of a core in use.
  std::int64_t gauge = 0;

  friend bool operator==(const ActiveRun&, const ActiveRun&) = default;
};

/// How a run ended.
enum class RunEnd {
  kDone,
  /// Through its own fault or the endpoint's.
  kFailed,
  kStopped,
  kLeaseLapsed,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not come in time.
  kGangIncomplete,
};

const char* ToString(RunEnd end);

/// An end that an endpoint lists until it is confirmed.
struct EndedRun {
  /// Numbers the ends of one life of the endpoint, from 1.
  std::uint64_t number = 0;
  TaskKey task;
  std::uint64_t run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
};

/// What an endpoint answers when its leases are renewed.
struct RenewalReport {
  std::int64_t clock_ms = 0;
  std::int64_t born_ms = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;

  friend bool operator==(const RenewalReport&, const RenewalReport&) = default;
};

/// Renews the leases of all that runs on an endpoint and asks what runs there.
struct RenewalOrder {
  std::string endpoint;
  SocketAddress address;
  std::uint64_t token = 0;
  /// Ends up to this number are stored and may be forgotten.
  std::uint64_t confirmed_end = 0;
  /// On the endpoint's clock; absent: only look.
  std::optional<std::int64_t> lease_end_ms;
  /// How long the endpoint may wait for an end before it answers.
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
  /// On the endpoint's clock: the run's first lease, and the latest time at which the order may
  /// be carried out.
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

/// Lets a run work at a part of its speed.
struct ThrottleOrder {
  std::string endpoint;
  SocketAddress address;
  TaskKey task;
  std::uint64_t run = 0;
  int percent = 100;
  std::uint64_t token = 0;

  friend bool operator==(const ThrottleOrder&, const ThrottleOrder&) = default;
};

/// What came of an order.
enum class OrderOutcome {
  kDone,
  /// Refused: a higher token has been seen there.
  kTokenTooLow,
  /// Refused: the run is not newer than one that ended there.
  kRunTooOld,
  /// Refused: the order came after its time.
  kTooLate,
  /// Refused: no room.
  kNoCapacity,
  /// Refused: the ticket isn't valid.
  kBadTicket,
  /// Refused for another reason; nothing was done.
  kRefused,
  /// Another life of the endpoint, or another endpoint, answers at the address.
  kOtherIncarnation,
  /// No whole answer; it may be carried out, also seconds later.
  kNoAnswer,
  /// Not sent.
  kNotSent,
};

const char* ToString(OrderOutcome outcome);

}  // namespace chervilspar::jobs
