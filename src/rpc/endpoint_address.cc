#include "rpc/endpoint_address.h"

#include <charconv>
#include <cstdint>

namespace chervilspar::rpc {

namespace {

Reason BadAddress(const std::string& address) {
  return {ErrorCode::kInvalidArgument, "address", "'" + address + "' is not of the form ip:port"};
}

}  // namespace

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return BadAddress(address);
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [stop, error] = std::from_chars(begin, end, port);
  if (error != std::errc() || stop != end || begin == end) {
    return BadAddress(address);
  }
  boost::system::error_code failed;
  const auto ip = boost::asio::ip::make_address(host, failed);
  if (failed) {
    return BadAddress(address);
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace chervilspar::rpc
