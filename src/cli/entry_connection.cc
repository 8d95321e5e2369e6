#include "cli/entry_connection.h"

#include "chervilspar/base/socket_address.h"
#include "chervilspar/http/blocking_client.h"
#include "chervilspar/http/routes.h"

namespace chervilspar::cli {

namespace {

/// An inventory for 8,800 VMs or a full ring of events has some megabytes.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} << 20U;

class HttpConnection final : public EntryConnection {
 public:
  explicit HttpConnection(http::Routes routes) : client(Limits(), std::move(routes)) {}

  http::Exchange Call(const std::string& address, const http::Request& request,
                      Duration timeout) override {
    const Result<SocketAddress> parsed = ParseSocketAddress(address);
    if (!parsed) {
      http::Exchange exchange;
      exchange.reason = parsed.LastReason();
      return exchange;
    }
    return this->client.Call(*parsed, request, timeout);
  }

 private:
  static http::ClientLimits Limits() {
    http::ClientLimits limits;
    limits.body_bytes = kMaxAnswerBytes;
    return limits;
  }

  http::BlockingClient client;
};

}  // namespace

Result<std::unique_ptr<EntryConnection>> MakeHttpConnection(
    const std::vector<std::string>& routes) {
  Result<http::Routes> parsed = http::Routes::Parse(routes);
  if (!parsed) {
    return parsed.LastReason();
  }
  std::unique_ptr<EntryConnection> connection =
      std::make_unique<HttpConnection>(std::move(parsed).Value());
  return Result<std::unique_ptr<EntryConnection>>(std::move(connection));
}

}  // namespace chervilspar::cli
