#include "bench/fleet/free_ports.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chervilspar/base/assert.h"
#include "chervilspar/base/hash.h"

namespace chervilspar::scenario {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t kFirstPort = 11'000;
constexpr std::uint32_t kLastPort = 32'000;

bool IsFree(std::uint16_t port) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io);
  boost::system::error_code error;
  acceptor.open(asio::ip::tcp::v4(), error);
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
  return !error;
}

}  // namespace

FreePorts::FreePorts() {
  const auto seed = MixBits(static_cast<std::uint64_t>(getpid()));
  this->next = kFirstPort + static_cast<std::uint32_t>(seed % (kLastPort - kFirstPort));
}

SocketAddress FreePorts::Next() {
  for (std::uint32_t tries = 0; tries < kLastPort - kFirstPort; ++tries) {
    const auto port = static_cast<std::uint16_t>(this->next);
    this->next = this->next + 1 >= kLastPort ? kFirstPort : this->next + 1;
    if (IsFree(port)) {
      return {"127.0.0.1", port};
    }
  }
  CHERVILSPAR_ASSERT(false && "no free port");
  return {};
}

}  // namespace chervilspar::scenario
