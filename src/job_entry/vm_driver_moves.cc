#include <utility>

#include "job_entry/vm_driver.h"
#include "job_entry/vm_order_timing.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::VmOrderOutcome;

namespace {

/// Before the retry of an order that was not sent or was refused by a rate limit.
constexpr Duration kUnsentOrderRetryDelay = std::chrono::milliseconds(100);
/// A decision that can't be ordered for this long is dropped, and the VM gets work again.
constexpr Duration kMaxDecisionAge = std::chrono::seconds(1);

}  // namespace

void VmDriver::Restore(const jobs::MoveRecord& move) {
  this->scheduler.BeginEvacuation(move.endpoint, this->context.Now());
  this->moving[move.vm] = {.pool = move.pool,
                           .endpoint = move.endpoint,
                           .since = this->context.Now(),
                           .is_stored = true,
                           .is_unanswered = true};
}

void VmDriver::AddMoveRecords(std::vector<KeyedRecord>& records) {
  for (const VmId& vm : this->changed_moves) {
    const auto move = this->moving.find(vm);
    const bool is_settled = move == this->moving.end() || move->second.is_done;
    std::optional<std::string> text;
    if (!is_settled) {
      text = jobs::EncodeMoveRecord({vm, move->second.pool, move->second.endpoint});
    }
    records.push_back({MoveKey(vm), std::move(text)});
  }
  this->recording_moves = std::exchange(this->changed_moves, {});
}

void VmDriver::OnMovesStored() {
  for (const VmId& vm : std::exchange(this->recording_moves, {})) {
    const auto move = this->moving.find(vm);
    // A move of the VM that was decided meanwhile has yet to be stored.
    if (move != this->moving.end() && !this->changed_moves.contains(vm)) {
      move->second.is_stored = true;
    }
  }
  this->OrderPendingMoves();
}

void VmDriver::BeginMove(const VmId& id, const ServiceId& pool) {
  const jobs::VmRecord* vm = this->FindVm(id);
  if (vm == nullptr) {
    return;
  }
  const TimePoint now = this->context.Now();
  this->scheduler.BeginEvacuation(vm->endpoint, now);
  this->moving[id] = {.pool = pool, .endpoint = vm->endpoint, .since = now};
  this->changed_moves.insert(id);
  this->RequestMissingReport(id);
  this->host.OnVmRecords();
}

void VmDriver::OrderPendingMoves() {
  if (!this->may_order || !this->is_list_current || this->is_stopped) {
    return;
  }
  const TimePoint now = this->context.Now();
  std::vector<VmId> dropped;
  for (auto& [vm, move] : this->moving) {
    if (move.is_done || move.is_in_flight) {
      continue;
    }
    if (this->IsMoveOutdated(vm, move)) {
      dropped.push_back(vm);
      continue;
    }
    this->RequestMissingReport(vm);
    const bool is_due = move.is_stored && now >= move.next_try;
    if (!is_due || !this->MayBeOrdered(vm, move.is_unanswered)) {
      continue;
    }
    // The first order was counted when it was decided.
    if (move.is_unanswered && !this->budget.TryAcquire(now)) {
      continue;
    }
    move.is_in_flight = true;
    this->EnqueueOrder([this, vm = vm, pool = move.pool] { return this->Move(vm, pool); });
  }
  for (const VmId& vm : dropped) {
    this->ForgetMove(vm);
  }
}

bool VmDriver::IsMoveOutdated(const VmId& id, const PendingMove& move) const {
  if (move.is_unanswered) {
    return false;
  }
  const jobs::VmRecord* vm = this->FindVm(id);
  const bool is_occupied = vm != nullptr && this->OccupancyOf(*vm) == jobs::Occupancy::kOccupied;
  return is_occupied || this->context.Now() - move.since > kMaxDecisionAge;
}

void VmDriver::ForgetMove(const VmId& vm) {
  const auto move = this->moving.find(vm);
  const bool is_kept_empty =
      this->released.contains(vm) || this->evacuating.contains(vm) || this->down.contains(vm);
  if (!is_kept_empty) {
    this->scheduler.EndEvacuation(move->second.endpoint);
  }
  this->DropMoveRecord(vm, move->second);
  this->moving.erase(move);
}

void VmDriver::DropMoveRecord(const VmId& vm, const PendingMove& move) {
  if (move.is_stored || this->recording_moves.contains(vm)) {
    this->changed_moves.insert(vm);
    this->host.OnVmRecords();
  } else {
    this->changed_moves.erase(vm);
  }
}

bool VmDriver::IsMoveWanted(const VmId& vm, const ServiceId& pool) const {
  const auto move = this->moving.find(vm);
  return move != this->moving.end() && move->second.pool == pool &&
         this->MayBeOrdered(vm, move->second.is_unanswered);
}

asio::awaitable<void> VmDriver::Move(VmId vm, ServiceId pool) {
  VmOrderOutcome outcome = VmOrderOutcome::kNotSent;
  const bool is_owner = co_await this->IsStillOwner();
  std::vector<telemetry::LogField> fields = this->EvidenceFor(vm);
  if (const auto move = this->moving.find(vm); move != this->moving.end()) {
    fields.push_back({"waited_ms", MillisecondsText(this->context.Now() - move->second.since)});
  }
  if (is_owner && this->IsMoveWanted(vm, pool)) {
    const jobs::MoveOrder order{vm, pool, this->context.settings.id.text, this->NextOrderToken()};
    outcome = co_await this->context.links.vms->Move(order, kVmCallTimeout);
  }
  fields.push_back({"pool", pool.text});
  this->CountClaimsUnder(vm, outcome, fields);
  fields.push_back({"outcome", jobs::ToString(outcome)});
  LogEvent(telemetry::LogLevel::kInfo, "vm_move_ordered",
           "the demand of the queues requires the move", std::move(fields));
  this->OnMoveAnswered(vm, pool, outcome);
}

void VmDriver::OnMoveAnswered(const VmId& vm, const ServiceId& pool, VmOrderOutcome outcome) {
  const auto found = this->moving.find(vm);
  if (found == this->moving.end()) {
    return;  // The list has shown it in its new pool before the answer.
  }
  PendingMove& move = found->second;
  const TimePoint now = this->context.Now();
  move.is_in_flight = false;
  move.next_try = now + kUnansweredOrderRetryDelay;
  switch (outcome) {
    case VmOrderOutcome::kDone:
      move.is_unanswered = false;
      move.is_done = true;
      move.since = now;
      this->DropMoveRecord(vm, move);
      return;
    case VmOrderOutcome::kNoAnswer:
      move.is_unanswered = true;
      return;
    case VmOrderOutcome::kNotAllowed:
      this->refused_moves.insert({vm, pool});
      this->ForgetMove(vm);
      return;
    case VmOrderOutcome::kTokenTooLow:
      this->is_stopped = true;
      return;
    case VmOrderOutcome::kRateLimited:
      this->budget.OnRefused(now);
      move.next_try = now + kUnsentOrderRetryDelay;
      return;
    case VmOrderOutcome::kNotSent:
      move.next_try = now + kUnsentOrderRetryDelay;
      return;
    case VmOrderOutcome::kBusy:
      if (!move.is_unanswered) {
        this->ForgetMove(vm);
      }
      return;
  }
}

}  // namespace chervilspar::job_entry
