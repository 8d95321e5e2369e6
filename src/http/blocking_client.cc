#include "chervilspar/http/blocking_client.h"

#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace chervilspar::http {

/// The io_context is run by whichever thread makes the call.
class BlockingClient::State {
 public:
  State(ClientLimits limits, Routes routes) : client(limits, std::move(routes)) {}

  std::mutex mutex;
  boost::asio::io_context context{1};
  Client client;
};

BlockingClient::BlockingClient(ClientLimits limits, Routes routes)
    : state(std::make_unique<State>(limits, std::move(routes))) {}

BlockingClient::~BlockingClient() = default;

Exchange BlockingClient::Call(const SocketAddress& address, Request request, Duration timeout,
                              std::shared_ptr<CancelToken> cancel) {
  const std::lock_guard lock(this->state->mutex);
  Exchange outcome;
  boost::asio::co_spawn(
      this->state->context,
      this->state->client.Send(address, std::move(request), timeout, std::move(cancel)),
      [&outcome](const std::exception_ptr& error, Exchange exchange) {
        if (error) {
          std::rethrow_exception(error);
        }
        outcome = std::move(exchange);
      });
  this->state->context.restart();
  this->state->context.run();
  return outcome;
}

}  // namespace chervilspar::http
