#include "rpc/endpoint_address.h"

#include "chervilspar/base/socket_address.h"

namespace chervilspar::rpc {

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return parsed.LastReason();
  }
  boost::system::error_code failed;
  const auto ip = boost::asio::ip::make_address(parsed->ip, failed);
  if (failed) {
    return Reason{ErrorCode::kInvalidArgument, "address", "'" + address + "' is no IP number"};
  }
  return boost::asio::ip::tcp::endpoint(ip, parsed->port);
}

}  // namespace chervilspar::rpc
