#include <algorithm>
#include <cstdint>
#include <utility>

#include "rpc/wire_convert.h"

namespace chervilspar::rpc {

namespace {

WallTime ToWallTime(std::int64_t micros) { return WallTime(Duration(micros)); }

membership::Incarnation FromWire(const gen::WireIncarnation& wire) {
  return {ToWallTime(wire.started), static_cast<std::uint64_t>(wire.nonce)};
}

idempotency::Attempt FromWire(const gen::WireAttempt& wire) {
  return {EntryId{wire.entry}, FromWire(wire.incarnation), static_cast<std::uint64_t>(wire.number)};
}

quota::LoanKey FromWire(const gen::WireLoanKey& wire) {
  return {EntryId{wire.lender}, FromWire(wire.lender_incarnation),
          static_cast<std::uint64_t>(wire.number)};
}

template <typename LoanReturn>
LoanReturn ReturnFromWire(const gen::WireLoanReturn& wire) {
  LoanReturn value;
  value.loan = FromWire(wire.loan);
  value.still_held = static_cast<std::uint32_t>(wire.still_held);
  return value;
}

bool HasNegativeUnits(const gen::WireLending& wire) {
  for (const auto& request : wire.requests) {
    if (request.units < 0) {
      return true;
    }
  }
  for (const auto& grant : wire.grants) {
    if (grant.units < 0 || grant.lease < 0 || grant.task_lease < 0) {
      return true;
    }
  }
  for (const auto& list : {wire.returns, wire.returns_seen}) {
    for (const auto& value : list) {
      if (value.still_held < 0) {
        return true;
      }
    }
  }
  return false;
}

Reason OutOfRange(const char* field) {
  return {ErrorCode::kMalformed, field, "value out of range"};
}

membership::Heartbeat HeartbeatFrom(const EntryId& sender, const gen::WireHeartbeat& wire) {
  membership::Heartbeat heartbeat;
  heartbeat.from = sender;
  heartbeat.incarnation = FromWire(wire.incarnation);
  heartbeat.zone = ZoneId{wire.zone};
  heartbeat.next_offset = wire.next_offset;
  heartbeat.log_progress =
      wire.read_to_end ? membership::LogProgress::kReadToEnd : membership::LogProgress::kCatchingUp;
  heartbeat.applied_version = wire.applied_version;
  heartbeat.settled_version = wire.settled_version;
  heartbeat.applied_by_all = wire.applied_by_all;
  heartbeat.settled_by_all = wire.settled_by_all;
  heartbeat.sent_at.wall = ToWallTime(wire.sent_wall);
  heartbeat.sent_at.logical = static_cast<std::uint32_t>(wire.sent_logical);
  return heartbeat;
}

quota::LendingMessage LendingFrom(const EntryId& sender, const gen::WireLending& wire) {
  quota::LendingMessage lending;
  lending.from = sender;
  lending.from_incarnation = FromWire(wire.incarnation);
  lending.to = EntryId{wire.to};
  for (const auto& request : wire.requests) {
    lending.requests.push_back({static_cast<std::uint64_t>(request.number), TeamId{request.team},
                                static_cast<std::uint32_t>(request.units)});
  }
  for (const auto& grant : wire.grants) {
    lending.grants.push_back({static_cast<std::uint64_t>(grant.request_number),
                              FromWire(grant.borrower_incarnation), FromWire(grant.loan),
                              TeamId{grant.team}, static_cast<std::uint32_t>(grant.units),
                              Duration(grant.lease), Duration(grant.task_lease)});
  }
  for (const auto& value : wire.returns) {
    lending.returns.push_back(ReturnFromWire<quota::LoanReturn>(value));
  }
  for (const auto& value : wire.returns_seen) {
    lending.returns_seen.push_back(ReturnFromWire<quota::LoanReturnSeen>(value));
  }
  return lending;
}

scheduling::ShardReport ReportFrom(const gen::WireShardReport& wire) {
  scheduling::ShardReport report;
  report.service = ServiceId{wire.service_id};
  for (const auto& team : wire.teams) {
    report.teams.push_back({TeamId{team.team}, static_cast<std::uint32_t>(std::max(0, team.demand)),
                            static_cast<std::uint32_t>(std::max(0, team.running))});
  }
  for (const auto& endpoint : wire.endpoints) {
    report.endpoints.push_back(
        {VmId{endpoint.endpoint}, static_cast<std::uint32_t>(std::max(0, endpoint.in_flight))});
  }
  for (const std::string& vm : wire.ejected) {
    report.ejected.push_back(VmId{vm});
  }
  report.urgent_running = static_cast<std::uint32_t>(std::max(0, wire.urgent_running));
  report.urgent_waiting = static_cast<std::uint32_t>(std::max(0, wire.urgent_waiting));
  report.urgent_age = Duration(wire.urgent_age);
  return report;
}

ShardReports ReportsFrom(const gen::WireShardReports& wire) {
  ShardReports reports;
  reports.zone = ZoneId{wire.zone};
  for (const auto& report : wire.reports) {
    reports.reports.push_back(ReportFrom(report));
  }
  return reports;
}

Result<PeerBody> RegistrationBodyFrom(const gen::WireMessage& wire) {
  if (wire.__isset.register_request) {
    return PeerBody(idempotency::RegisterRequest{RequestId{wire.register_request.id},
                                                 FromWire(wire.register_request.attempt)});
  }
  if (wire.__isset.register_reply) {
    const std::int32_t registration = wire.register_reply.registration;
    if (registration < 0 ||
        registration >= static_cast<std::int32_t>(idempotency::kRegistrations)) {
      return OutOfRange("registration");
    }
    return PeerBody(idempotency::RegisterReply{
        RequestId{wire.register_reply.id}, FromWire(wire.register_reply.attempt),
        static_cast<idempotency::Registration>(registration)});
  }
  if (wire.__isset.outcome) {
    const std::int32_t verdict = wire.outcome.verdict;
    if (verdict < static_cast<std::int32_t>(Verdict::kNotRun) ||
        verdict > static_cast<std::int32_t>(Verdict::kCompleted)) {
      return OutOfRange("verdict");
    }
    return PeerBody(idempotency::OutcomeReport{
        RequestId{wire.outcome.id}, FromWire(wire.outcome.attempt), static_cast<Verdict>(verdict)});
  }
  if (wire.__isset.outcome_seen) {
    return PeerBody(idempotency::OutcomeSeen{RequestId{wire.outcome_seen.id},
                                             FromWire(wire.outcome_seen.attempt)});
  }
  return Reason{ErrorCode::kMalformed, "peer-message", "no known body"};
}

Result<PeerBody> ConfigBodyFrom(const gen::WireMessage& wire) {
  if (wire.__isset.withdrawals) {
    Withdrawals withdrawals;
    for (const std::string& hex : wire.withdrawals.digests) {
      withdrawals.digests.push_back({hex});
    }
    return PeerBody(std::move(withdrawals));
  }
  if (wire.__isset.catch_up_request) {
    return PeerBody(
        CatchUpRequest{wire.catch_up_request.from_offset, wire.catch_up_request.reply_address});
  }
  if (wire.__isset.catch_up_records) {
    CatchUpRecords records;
    for (const auto& record : wire.catch_up_records.records) {
      records.records.push_back({record.offset, record.data});
    }
    return PeerBody(std::move(records));
  }
  if (wire.__isset.catch_up_state) {
    return PeerBody(CatchUpState{wire.catch_up_state.state});
  }
  return RegistrationBodyFrom(wire);
}

Result<PeerBody> BodyFrom(const gen::WireMessage& wire) {
  const EntryId sender{wire.sender};
  if (wire.__isset.heartbeat) {
    return PeerBody(HeartbeatFrom(sender, wire.heartbeat));
  }
  if (wire.__isset.lending) {
    if (HasNegativeUnits(wire.lending)) {
      return OutOfRange("units");
    }
    return PeerBody(LendingFrom(sender, wire.lending));
  }
  if (wire.__isset.shard_reports) {
    return PeerBody(ReportsFrom(wire.shard_reports));
  }
  return ConfigBodyFrom(wire);
}

}  // namespace

Result<PeerMessage> FromWire(const gen::WireMessage& wire) {
  if (wire.sender.empty()) {
    return Reason{ErrorCode::kMalformed, "sender", "missing"};
  }
  Result<PeerBody> body = BodyFrom(wire);
  if (!body) {
    return body.LastReason();
  }
  return PeerMessage{EntryId{wire.sender}, std::move(body).Value()};
}

}  // namespace chervilspar::rpc
