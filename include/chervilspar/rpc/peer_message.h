#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/config_log/log_follower.h"
#include "chervilspar/idempotency/messages.h"
#include "chervilspar/membership/heartbeat.h"
#include "chervilspar/quota/messages.h"
#include "chervilspar/scheduling/shard_report.h"

/// The messages that entries send one another, and their encoding (Thrift compact protocol).
namespace chervilspar::rpc {

/// Load and use of one entry, per service, for fleet-wide shares.
struct ShardReports {
  ZoneId zone;
  std::vector<scheduling::ShardReport> reports;

  friend bool operator==(const ShardReports&, const ShardReports&) = default;
};

/// Withdrawn keys that may not be in the log yet.
struct Withdrawals {
  std::vector<config_log::KeyDigest> digests;

  friend bool operator==(const Withdrawals&, const Withdrawals&) = default;
};

/// Asks a peer for what it has folded from an offset on.
struct CatchUpRequest {
  config_log::Offset from_offset = 0;
  /// Peer address of the asker, which a peer without a configuration can't look up.
  std::string reply_address;

  friend bool operator==(const CatchUpRequest&, const CatchUpRequest&) = default;
};

/// The records asked for.
struct CatchUpRecords {
  std::vector<config_log::LogRecord> records;

  friend bool operator==(const CatchUpRecords&, const CatchUpRecords&) = default;
};

/// The whole state (`config_log::EncodeState`), when the records are no longer kept.
struct CatchUpState {
  std::string state;

  friend bool operator==(const CatchUpState&, const CatchUpState&) = default;
};

using PeerBody =
    std::variant<membership::Heartbeat, quota::LendingMessage, idempotency::RegisterRequest,
                 idempotency::RegisterReply, idempotency::OutcomeReport, idempotency::OutcomeSeen,
                 ShardReports, Withdrawals, CatchUpRequest, CatchUpRecords, CatchUpState>;

struct PeerMessage {
  EntryId sender;
  PeerBody body;

  friend bool operator==(const PeerMessage&, const PeerMessage&) = default;
};

std::string Encode(const PeerMessage& message);

/// Errors: `kMalformed` for bytes that are no message, or one with fields out of range. Never
/// allocates more than a small multiple of the bytes given.
Result<PeerMessage> Decode(std::string_view bytes);

}  // namespace chervilspar::rpc
