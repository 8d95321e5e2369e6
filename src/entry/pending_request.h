#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "chervilspar/admission/refusal.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/dispatch/service_shard.h"
#include "chervilspar/http/cancel_token.h"
#include "chervilspar/http/wakeup.h"
#include "chervilspar/idempotency/messages.h"
#include "chervilspar/quota/quota.h"

namespace chervilspar::entry {

/// Leave to send one try: where, under which task id, and until when the endpoint may start it.
struct StartOrder {
  dispatch::Start start;
  TaskId task;
  quota::StartPermit permit;
};

/// What has happened to a waiting request so far.
struct PendingNews {
  bool has_start = false;
  std::optional<admission::Refusal> given_up;
  std::optional<idempotency::Registration> registration;
  bool is_caller_gone = false;
};

/// The meeting point between the coroutine that serves one request and the threads that decide on
/// it. Thread-safe.
class PendingRequest {
 public:
  explicit PendingRequest(const boost::asio::any_io_executor& executor);

  void OnStart(StartOrder order);
  void OnGivenUp(admission::Refusal refusal);
  void OnRegistration(idempotency::Registration registration);
  /// The caller hung up; also ends an exchange that is running.
  void OnCallerGone();
  /// The running task is being stopped for urgent work.
  void OnStopping();

  /// Waits until something new has happened or `span` has passed.
  boost::asio::awaitable<void> Wait(Duration span) { return this->wakeup->WaitFor(span); }

  PendingNews News() const;
  /// Takes the start order, if there is one.
  std::optional<StartOrder> TakeStart();

  /// Cancelled when the exchange that is running should end.
  std::shared_ptr<http::CancelToken> ExchangeToken() const { return this->exchange; }
  bool IsCallerGone() const;
  /// Whether the running task was told to stop; forgets it for the next try.
  bool TakeStopping();

 private:
  mutable std::mutex mutex;
  PendingNews news;
  std::optional<StartOrder> start;
  bool stopping = false;
  std::shared_ptr<http::Wakeup> wakeup;
  std::shared_ptr<http::CancelToken> exchange;
};

}  // namespace chervilspar::entry
