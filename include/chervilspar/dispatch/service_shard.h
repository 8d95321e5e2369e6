#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "chervilspar/admission/admission_controller.h"
#include "chervilspar/admission/refusal.h"
#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"
#include "chervilspar/dispatch/shard_options.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/scheduling/preempt.h"
#include "chervilspar/scheduling/quota_gate.h"
#include "chervilspar/scheduling/shard_report.h"
#include "chervilspar/scheduling/team_share.h"

/// Joins admission, fair queue, balancer and retry policy into the decisions for one service.
namespace chervilspar::dispatch {

/// Accepted, or the final answer.
struct Admission {
  std::optional<admission::Refusal> refusal;

  bool IsAccepted() const { return !this->refusal.has_value(); }
  friend bool operator==(const Admission&, const Admission&) = default;
};

/// Send this ticket to this endpoint now. Its slot is counted as taken from here on.
struct Start {
  admission::Ticket ticket;
  VmId endpoint;
  /// The expected run time, for the task lease.
  Duration expected_run_time = Duration::zero();

  friend bool operator==(const Start&, const Start&) = default;
};

/// A waiting ticket that was given up; answer its caller at once.
struct GivenUp {
  admission::TicketId ticket;
  admission::Refusal refusal;

  friend bool operator==(const GivenUp&, const GivenUp&) = default;
};

/// What follows from the end of one try.
enum class AfterTry {
  /// Answer the caller from the outcome of this try; the shard has forgotten the ticket.
  kAnswer,
  /// The ticket waits again; a later `Next` sends it.
  kWaitsAgain,
};

/// What became of a cancelled ticket.
enum class CancelResult {
  /// It was waiting, will never be started, and is forgotten.
  kForgotten,
  /// It is running; stop it at its endpoint. It ends by `OnFinished`, without another try.
  kRunning,
  kUnknown,
};

/// What `OnFinished` decided.
struct TryResult {
  AfterTry after = AfterTry::kAnswer;
  /// Set when the answer is a refusal by this entry (the request was not run).
  std::optional<admission::Refusal> refusal;

  friend bool operator==(const TryResult&, const TryResult&) = default;
};

/// All decisions of one entry for one service. Not thread-safe: each shard lives under one lock.
/// Every accepted ticket gets exactly one end: an `OnFinished` with `kAnswer`, a place in the list
/// of `Expire`, or `Cancel`.
///
/// The driver calls `Next` until it returns nothing after each `Admit`, `OnFinished`,
/// `OnLimitFreed` and `OnPeerReport`; while `WaitingCount()` is not zero, calls `Expire` and then
/// `Next` at least every 10 ms (both are cheap when nothing is due); and calls `Preemptions` and
/// `Expire` every 100 ms.
class ServiceShard {
 public:
  ServiceShard(ServiceId service, EntryId self, ZoneId zone, ShardOptions options = {});
  ~ServiceShard();
  ServiceShard(const ServiceShard&) = delete;
  ServiceShard& operator=(const ServiceShard&) = delete;

  /// Takes a new list of teams. Waiting tickets of teams that are gone come out of the next
  /// `Expire` as refused; running ones finish.
  void SetTeams(const std::vector<scheduling::TeamShare>& teams, TimePoint now);
  /// Takes a new list of endpoints that may get new work. Tasks running at one that is gone from
  /// the list are still counted until they end.
  void SetEndpoints(const std::vector<load_balancing::Endpoint>& endpoints, TimePoint now);

  /// Takes the sizes of all VMs in the service's pools, also of those that are away now. A request
  /// that fits none of them is refused for good. Without sizes nothing is refused for its size.
  void SetShapes(std::vector<admission::Requirement> shapes);

  Admission Admit(const admission::Ticket& ticket, TimePoint now, Random& random);
  /// The next ticket to send, if a slot, a permitted team and a fit endpoint come together.
  std::optional<Start> Next(TimePoint now, scheduling::QuotaGate& gate, Random& random);
  /// The try at `endpoint` ended. `measured` is the run time as the endpoint reported it, or the
  /// time from send to answer.
  TryResult OnFinished(admission::TicketId ticket, const VmId& endpoint,
                       load_balancing::Outcome outcome, Duration measured, TimePoint now,
                       Random& random);
  /// The caller has gone.
  CancelResult Cancel(admission::TicketId ticket, TimePoint now);
  /// Tickets whose deadline can no longer be met, each with its final answer.
  std::vector<GivenUp> Expire(TimePoint now, Random& random);
  /// Running tasks whose slot is needed for urgent work.
  std::vector<scheduling::Preempt> Preemptions(TimePoint now);
  /// Units of the team's limit have come back, so it may start again.
  void OnLimitFreed(const TeamId& team);

  /// Whether peers should hear of this service now. Ask every `ShardOptions::report_period`. While
  /// loads hardly change, one report in `ShardOptions::longest_report_period` is enough.
  bool IsReportDue(TimePoint now) const;
  /// What the other entries need to know; make and send one when it is due.
  /// This entry, too, divides the slots by the demand that it has last reported, so that all
  /// entries work with the same figures.
  scheduling::ShardReport LocalReport(TimePoint now);
  /// Takes a peer's report that was made `age` ago. Reports of one peer replace each other; a peer
  /// that is silent for `ShardOptions::peer_timeout` no longer counts.
  void OnPeerReport(const EntryId& peer, const ZoneId& peer_zone,
                    const scheduling::ShardReport& report, Duration age, TimePoint now);

  std::size_t WaitingCount() const;
  std::size_t RunningCount() const;
  /// Endpoints that are ejected now, for status and explanations.
  std::vector<VmId> EjectedEndpoints(TimePoint now) const;
  /// Tasks of a team: waiting and running here.
  std::size_t WaitingCount(const TeamId& team) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace chervilspar::dispatch
