#include <cstdint>
#include <utility>

#include "rpc/wire_convert.h"

namespace chervilspar::rpc {

namespace {

std::int64_t ToMicros(WallTime time) { return time.time_since_epoch().count(); }

gen::WireIncarnation ToWire(const membership::Incarnation& incarnation) {
  gen::WireIncarnation wire;
  wire.started = ToMicros(incarnation.started);
  wire.nonce = static_cast<std::int64_t>(incarnation.nonce);
  return wire;
}

gen::WireAttempt ToWire(const idempotency::Attempt& attempt) {
  gen::WireAttempt wire;
  wire.entry = attempt.entry.text;
  wire.incarnation = ToWire(attempt.incarnation);
  wire.number = static_cast<std::int64_t>(attempt.number);
  return wire;
}

gen::WireLoanKey ToWire(const quota::LoanKey& loan) {
  gen::WireLoanKey wire;
  wire.lender = loan.lender.text;
  wire.lender_incarnation = ToWire(loan.lender_incarnation);
  wire.number = static_cast<std::int64_t>(loan.number);
  return wire;
}

template <typename LoanReturn>
gen::WireLoanReturn ReturnToWire(const LoanReturn& value) {
  gen::WireLoanReturn wire;
  wire.loan = ToWire(value.loan);
  wire.still_held = static_cast<std::int32_t>(value.still_held);
  return wire;
}

/// Sets the field of the wire message that belongs to each kind of body.
class BodyWriter {
 public:
  explicit BodyWriter(gen::WireMessage& wire) : wire(wire) {}

  void operator()(const membership::Heartbeat& heartbeat) const {
    gen::WireHeartbeat out;
    out.incarnation = ToWire(heartbeat.incarnation);
    out.zone = heartbeat.zone.text;
    out.next_offset = heartbeat.next_offset;
    out.read_to_end = heartbeat.log_progress == membership::LogProgress::kReadToEnd;
    out.applied_version = heartbeat.applied_version;
    out.settled_version = heartbeat.settled_version;
    out.applied_by_all = heartbeat.applied_by_all;
    out.settled_by_all = heartbeat.settled_by_all;
    out.sent_wall = ToMicros(heartbeat.sent_at.wall);
    out.sent_logical = static_cast<std::int32_t>(heartbeat.sent_at.logical);
    this->wire.__set_heartbeat(out);
  }

  void operator()(const quota::LendingMessage& lending) const {
    gen::WireLending out;
    out.incarnation = ToWire(lending.from_incarnation);
    out.to = lending.to.text;
    for (const quota::LoanRequest& request : lending.requests) {
      out.requests.push_back(this->Request(request));
    }
    for (const quota::LoanGrant& grant : lending.grants) {
      out.grants.push_back(this->Grant(grant));
    }
    for (const quota::LoanReturn& value : lending.returns) {
      out.returns.push_back(ReturnToWire(value));
    }
    for (const quota::LoanReturnSeen& value : lending.returns_seen) {
      out.returns_seen.push_back(ReturnToWire(value));
    }
    out.__isset.requests = !out.requests.empty();
    out.__isset.grants = !out.grants.empty();
    out.__isset.returns = !out.returns.empty();
    out.__isset.returns_seen = !out.returns_seen.empty();
    this->wire.__set_lending(out);
  }

  void operator()(const idempotency::RegisterRequest& request) const {
    gen::WireRegister out;
    out.id = request.id.text;
    out.attempt = ToWire(request.attempt);
    this->wire.__set_register_request(out);
  }

  void operator()(const idempotency::RegisterReply& reply) const {
    gen::WireRegisterReply out;
    out.id = reply.id.text;
    out.attempt = ToWire(reply.attempt);
    out.registration = static_cast<std::int32_t>(reply.registration);
    this->wire.__set_register_reply(out);
  }

  void operator()(const idempotency::OutcomeReport& report) const {
    gen::WireOutcome out;
    out.id = report.id.text;
    out.attempt = ToWire(report.attempt);
    out.verdict = static_cast<std::int32_t>(report.verdict);
    this->wire.__set_outcome(out);
  }

  void operator()(const idempotency::OutcomeSeen& seen) const {
    gen::WireRegister out;
    out.id = seen.id.text;
    out.attempt = ToWire(seen.attempt);
    this->wire.__set_outcome_seen(out);
  }

  void operator()(const ShardReports& reports) const {
    gen::WireShardReports out;
    out.zone = reports.zone.text;
    for (const scheduling::ShardReport& report : reports.reports) {
      out.reports.push_back(this->Report(report));
    }
    this->wire.__set_shard_reports(out);
  }

  void operator()(const Withdrawals& withdrawals) const {
    gen::WireWithdrawals out;
    for (const config_log::KeyDigest& digest : withdrawals.digests) {
      out.digests.push_back(digest.hex);
    }
    this->wire.__set_withdrawals(out);
  }

  void operator()(const CatchUpRequest& request) const {
    gen::WireCatchUpRequest out;
    out.from_offset = request.from_offset;
    out.reply_address = request.reply_address;
    this->wire.__set_catch_up_request(out);
  }

  void operator()(const CatchUpRecords& records) const {
    gen::WireCatchUpRecords out;
    for (const config_log::LogRecord& record : records.records) {
      gen::WireLogRecord item;
      item.offset = record.offset;
      item.data = record.data;
      out.records.push_back(std::move(item));
    }
    this->wire.__set_catch_up_records(out);
  }

  void operator()(const CatchUpState& state) const {
    gen::WireCatchUpState out;
    out.state = state.state;
    this->wire.__set_catch_up_state(out);
  }

 private:
  static gen::WireLoanRequest Request(const quota::LoanRequest& request) {
    gen::WireLoanRequest out;
    out.number = static_cast<std::int64_t>(request.number);
    out.team = request.team.text;
    out.units = static_cast<std::int32_t>(request.units);
    return out;
  }

  static gen::WireLoanGrant Grant(const quota::LoanGrant& grant) {
    gen::WireLoanGrant out;
    out.request_number = static_cast<std::int64_t>(grant.request_number);
    out.borrower_incarnation = ToWire(grant.borrower_incarnation);
    out.loan = ToWire(grant.loan);
    out.team = grant.team.text;
    out.units = static_cast<std::int32_t>(grant.units);
    out.lease = grant.lease.count();
    out.task_lease = grant.task_lease.count();
    return out;
  }

  static gen::WireShardReport Report(const scheduling::ShardReport& report) {
    gen::WireShardReport out;
    out.service_id = report.service.text;
    for (const scheduling::TeamLoad& team : report.teams) {
      gen::WireTeamLoad load;
      load.team = team.team.text;
      load.demand = static_cast<std::int32_t>(team.demand);
      load.running = static_cast<std::int32_t>(team.running);
      out.teams.push_back(std::move(load));
    }
    for (const scheduling::EndpointLoad& endpoint : report.endpoints) {
      gen::WireEndpointLoad load;
      load.endpoint = endpoint.endpoint.text;
      load.in_flight = static_cast<std::int32_t>(endpoint.in_flight);
      out.endpoints.push_back(std::move(load));
    }
    for (const VmId& vm : report.ejected) {
      out.ejected.push_back(vm.text);
    }
    out.__isset.teams = !out.teams.empty();
    out.__isset.endpoints = !out.endpoints.empty();
    out.__isset.ejected = !out.ejected.empty();
    out.urgent_running = static_cast<std::int32_t>(report.urgent_running);
    out.urgent_waiting = static_cast<std::int32_t>(report.urgent_waiting);
    out.urgent_age = report.urgent_age.count();
    return out;
  }

  gen::WireMessage& wire;
};

}  // namespace

gen::WireMessage ToWire(const PeerMessage& message) {
  gen::WireMessage wire;
  wire.sender = message.sender.text;
  std::visit(BodyWriter(wire), message.body);
  return wire;
}

}  // namespace chervilspar::rpc
