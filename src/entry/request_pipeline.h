#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "chervilspar/http/server.h"

#include "entry/caller_request.h"
#include "entry/config_plane.h"
#include "entry/dispatcher.h"
#include "entry/entry_context.h"
#include "entry/peer_plane.h"
#include "entry/request_ledger.h"
#include "entry/service_plane.h"

namespace chervilspar::entry {

/// Serves callers' requests: read, authenticate, register, admit, queue,
/// limit, place, dispatch, answer.
/// Each request is one coroutine; the decisions are made by the shards of `ServicePlane`.
class RequestPipeline {
 public:
  struct Parts {
    ConfigPlane& config;
    PeerPlane& peers;
    LimitKeeper& limits;
    RequestLedger& ledger;
    ServicePlane& services;
    Dispatcher& dispatcher;
  };

  RequestPipeline(const EntryContext& context, const Parts& parts);

  boost::asio::awaitable<http::Response> Serve(http::Request request,
                                               std::shared_ptr<http::CancelToken> caller);

  /// Requests that are being served.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  /// One request on its way through the filters.
  struct Job {
    CallerRequest request;
    TeamId team;
    RequestId id;
    TimePoint arrived;
    TimePoint deadline;
    std::shared_ptr<ServiceHost> host;
    std::shared_ptr<PendingRequest> pending;
    admission::TicketId ticket;
    std::optional<idempotency::Attempt> attempt;
    /// The least certain verdict of all tries so far.
    Verdict verdict = Verdict::kNotRun;
  };
  using Answer = std::variant<http::Response, Rejection>;

  std::optional<Rejection> Authenticate(Job& job) const;
  std::optional<Rejection> CheckKeyFreshness(const config_log::FleetState& state) const;
  std::optional<Rejection> FindService(Job& job) const;
  std::optional<Rejection> Identify(Job& job) const;
  std::optional<Rejection> Admit(Job& job);
  boost::asio::awaitable<Answer> Run(Job& job);
  boost::asio::awaitable<std::optional<Rejection>> Register(Job& job);
  Rejection RegistrationRefused(const Job& job, idempotency::Registration registration,
                                idempotency::KeyOrigin origin) const;
  boost::asio::awaitable<std::variant<StartOrder, Rejection>> AwaitStart(Job& job);
  boost::asio::awaitable<std::optional<Answer>> TryOnce(Job& job, StartOrder order);
  Answer AnswerFrom(Job& job, TryEnd end, const dispatch::TryResult& result) const;
  void Finish(Job& job, const Answer& answer);
  http::Response ToHttp(const Job& job, Answer answer) const;

  const EntryContext& context;
  Parts parts;
  std::atomic<std::size_t> in_flight{0};
};

}  // namespace chervilspar::entry
