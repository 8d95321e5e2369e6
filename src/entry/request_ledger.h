#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "chervilspar/base/random.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/idempotency/request_client.h"
#include "chervilspar/idempotency/request_registry.h"

#include "entry/entry_context.h"
#include "entry/peer_sender.h"
#include "entry/pending_request.h"

namespace chervilspar::entry {

/// Drives both sides of at-most-once: the ids that this entry owns, and the attempts that it makes.
class RequestLedger {
 public:
  RequestLedger(const EntryContext& context, PeerSender& sender);

  void OnState(const config_log::FleetState& state);
  void OnMayOwn();
  void OnApplied(const membership::Agreement& applied);
  void Tick();

  /// An id for a request that came without one.
  RequestId MakeOwnId();
  /// Asks the id's owner for leave; the answer comes to `pending`. None when no entry owns it, or
  /// its owner has not been heard of lately.
  std::optional<idempotency::Attempt> Begin(const RequestId& id,
                                            const std::shared_ptr<PendingRequest>& pending);
  /// The attempt ends before its dispatch and without an answer of the owner.
  void GiveUp(const idempotency::Attempt& attempt);
  /// The attempt, for which leave was given, has ended.
  void Finish(const idempotency::Attempt& attempt, Verdict verdict);

  void OnRegister(const EntryId& from, const idempotency::RegisterRequest& request);
  void OnReply(const idempotency::RegisterReply& reply);
  void OnOutcome(const EntryId& from, const idempotency::OutcomeReport& report);
  void OnOutcomeSeen(const idempotency::OutcomeSeen& seen);

  std::size_t RememberedIds();

 private:
  void SendOutcome(const std::optional<idempotency::OutgoingOutcome>& outcome);
  void DeliverReply(const idempotency::RegisterReply& reply);

  const EntryContext& context;
  PeerSender& sender;
  std::mutex registry_mutex;
  idempotency::RequestRegistry registry;
  std::mutex client_mutex;
  idempotency::RequestClient client;
  SeededRandom random;
  /// Requests that wait for their owner's answer, by attempt number.
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> waiting;
};

}  // namespace chervilspar::entry
