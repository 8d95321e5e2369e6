#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "chervilspar/base/result.h"

namespace chervilspar {

/// An IP number and a TCP port. Names are not resolved: processes learn addresses as numbers.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

/// Reads "10.0.0.1:8080" or "[fd00::1]:8080". Gives `kInvalidArgument` for anything else.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

/// The form that `ParseSocketAddress` reads.
std::string ToString(const SocketAddress& address);

}  // namespace chervilspar
