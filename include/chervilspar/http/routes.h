#pragma once

#include <map>
#include <string>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/base/socket_address.h"

namespace chervilspar::http {

/// Which address to dial for an address that is asked for: itself, unless a route says otherwise.
/// Lets traffic run through an address translator, or in tests through a relay that cuts it.
class Routes {
 public:
  Routes() = default;

  /// Reads routes of the form "FROM=TO", both "ip:port".
  static Result<Routes> Parse(const std::vector<std::string>& texts);

  SocketAddress Resolve(const SocketAddress& address) const;

  friend bool operator==(const Routes&, const Routes&) = default;

 private:
  std::map<SocketAddress, SocketAddress> targets;
};

}  // namespace chervilspar::http
