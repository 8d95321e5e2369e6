#include "chervilspar/http/client.h"

#include <algorithm>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "attempt.h"
#include "connection_pool.h"
#include "wire.h"

namespace chervilspar::http {

namespace asio = boost::asio;

/// Shared with the coroutines that are under way.
class Client::State {
 public:
  State(ClientLimits limits, Routes routes, TrafficObserver* observer)
      : limits(limits),
        routes(std::move(routes)),
        observer(observer),
        pool(std::make_shared<ConnectionPool>(this->limits)) {}

  static asio::awaitable<Exchange> Send(std::shared_ptr<State> self, SocketAddress address,
                                        Request request, Duration timeout,
                                        std::shared_ptr<CancelToken> cancel);

  const ClientLimits limits;
  const Routes routes;
  TrafficObserver* const observer;
  const std::shared_ptr<ConnectionPool> pool;
};

namespace {

Exchange NotSent(ErrorCode code, std::string field, std::string message) {
  return {Verdict::kNotRun, std::nullopt, {code, std::move(field), std::move(message)}};
}

bool IsSafeTarget(const std::string& target) {
  return !target.empty() &&
         std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c != '\x7f'; });
}

std::optional<Exchange> CheckRequest(const Request& request) {
  if (!IsSafeTarget(request.target)) {
    return NotSent(ErrorCode::kInvalidArgument, "target",
                   "has characters that a target can't have");
  }
  for (const Header& header : request.headers.All()) {
    if (!IsSafeHeader(header)) {
      return NotSent(ErrorCode::kInvalidArgument, header.name,
                     "has characters that a header can't have");
    }
  }
  return std::nullopt;
}

}  // namespace

asio::awaitable<Exchange> Client::State::Send(std::shared_ptr<State> self, SocketAddress address,
                                              Request request, Duration timeout,
                                              std::shared_ptr<CancelToken> cancel) {
  if (std::optional<Exchange> refused = CheckRequest(request)) {
    co_return *std::move(refused);
  }
  if (cancel && cancel->IsCancelled()) {
    co_return NotSent(ErrorCode::kUnavailable, "", "cancelled");
  }
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const SocketAddress dialled = self->routes.Resolve(address);
  auto lease = self->pool->Acquire(dialled, executor);
  if (!lease) {
    co_return NotSent(ErrorCode::kResourceExhausted, "",
                      "all connections to " + ToString(dialled) + " are busy");
  }
  const auto attempt = std::make_shared<Attempt>(self->limits, std::move(lease), executor);
  const std::string kind = request.kind;
  Exchange exchange =
      co_await attempt->Run(dialled, std::move(request), timeout, std::move(cancel));
  if (self->observer != nullptr) {
    self->observer->OnExchange(kind, attempt->BytesSent(), attempt->BytesReceived());
  }
  co_return exchange;
}

Client::Client(ClientLimits limits, Routes routes, TrafficObserver* observer)
    : state(std::make_shared<State>(limits, std::move(routes), observer)) {}

Client::~Client() { this->state->pool->Shut(); }

asio::awaitable<Exchange> Client::Send(SocketAddress address, Request request, Duration timeout,
                                       std::shared_ptr<CancelToken> cancel) {
  return State::Send(this->state, std::move(address), std::move(request), timeout,
                     std::move(cancel));
}

void Client::CloseIdle(const SocketAddress& address) {
  this->state->pool->CloseIdle(this->state->routes.Resolve(address));
}

void Client::CloseStale() { this->state->pool->CloseStale(); }

std::size_t Client::ConnectionCount() const { return this->state->pool->ConnectionCount(); }

}  // namespace chervilspar::http
