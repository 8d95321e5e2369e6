#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "chervilspar/base/verdict.h"
#include "chervilspar/http/client.h"
#include "chervilspar/load_balancing/endpoint.h"

#include "entry/caller_request.h"
#include "entry/drain_watch.h"
#include "entry/entry_context.h"
#include "entry/limit_keeper.h"
#include "entry/pending_request.h"

namespace chervilspar::entry {

/// One try at an endpoint, as it ended.
struct TryEnd {
  load_balancing::Outcome outcome = load_balancing::Outcome::kUnreachable;
  Verdict verdict = Verdict::kNotRun;
  /// The endpoint's whole answer, when it ran the task.
  std::optional<http::Response> response;
  /// Why there is no answer.
  Reason reason;
  Duration measured = Duration::zero();
};

/// What is sent, besides the body.
struct TaskOrder {
  StartOrder start;
  std::string address;
  ServiceId service;
  RequestId request;
  /// Until the caller's deadline.
  Duration left = Duration::zero();
};

/// Sends tasks to endpoints and judges how each try ended. The only place that decides on an
/// outcome from what was seen on the wire.
class Dispatcher {
 public:
  Dispatcher(const EntryContext& context, LimitKeeper& limits, DrainWatch& drains);

  boost::asio::awaitable<TryEnd> Send(TaskOrder order, const CallerRequest& request,
                                      std::shared_ptr<PendingRequest> pending);
  /// Sends an order (checkpoint, throttle, stop) for a running task; best effort.
  boost::asio::awaitable<void> SendTaskAct(std::string address, TaskId task, std::string act);
  /// Closes connections that were idle for long.
  void CloseStale() { this->client.CloseStale(); }

 private:
  TryEnd Judge(http::Exchange exchange, const TaskOrder& order) const;
  http::Request MakeRequest(const TaskOrder& order, const CallerRequest& request) const;
  /// Stops a task of unknown fate at its endpoint and frees its unit when the endpoint says that
  /// it has ended. Without this a slow endpoint goes on with work that nobody waits for, and the
  /// unit counts until the task lease has passed.
  boost::asio::awaitable<void> CancelTask(SocketAddress address, TaskId task);

  const EntryContext& context;
  LimitKeeper& limits;
  DrainWatch& drains;
  http::Client client;
};

}  // namespace chervilspar::entry
