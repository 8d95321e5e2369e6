#include "chervilspar/base/socket_address.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace chervilspar {

namespace {

Reason BadAddress(std::string_view text) {
  return {ErrorCode::kInvalidArgument, "",
          "'" + std::string(text) + "' is not of the form IP:PORT, such as 10.0.0.1:8080"};
}

bool IsIpNumber(const std::string& ip, int family) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(family, ip.c_str(), parsed.data()) == 1;
}

}  // namespace

Result<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return BadAddress(text);
  }
  const std::string_view port_text = text.substr(colon + 1);
  SocketAddress address;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), address.port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) {
    return BadAddress(text);
  }
  const std::string_view host = text.substr(0, colon);
  const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  address.ip = std::string(is_bracketed ? host.substr(1, host.size() - 2) : host);
  if (!IsIpNumber(address.ip, is_bracketed ? AF_INET6 : AF_INET)) {
    return BadAddress(text);
  }
  return address;
}

std::string ToString(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

}  // namespace chervilspar
