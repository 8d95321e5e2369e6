#pragma once

#include <memory>

#include "chervilspar/http/client.h"

namespace chervilspar::http {

/// Sends requests from a plain thread and blocks until each is settled. Keeps its connections
/// between calls. Calls from several threads run one after the other.
class BlockingClient {
 public:
  explicit BlockingClient(ClientLimits limits = {}, Routes routes = {});
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;
  ~BlockingClient();

  /// Takes at most `timeout` in all, from dialling to the answer's last byte. Cancelling `cancel`
  /// (may be null) from another thread ends the call early.
  Exchange Call(const SocketAddress& address, Request request, Duration timeout,
                std::shared_ptr<CancelToken> cancel = nullptr);

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace chervilspar::http
