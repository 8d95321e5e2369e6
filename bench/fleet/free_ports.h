#pragma once

#include <cstdint>

#include "chervilspar/base/socket_address.h"

namespace chervilspar::scenario {

/// Gives out loopback addresses whose ports are free, each once. Takes them from below the range
/// that the kernel uses for outgoing connections, so that none is taken between choice and use.
class FreePorts {
 public:
  FreePorts();
  SocketAddress Next();

 private:
  std::uint32_t next;
};

}  // namespace chervilspar::scenario
