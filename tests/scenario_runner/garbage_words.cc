#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "chervilspar/base/random.h"

#include "scenario.h"

namespace chervilspar::scenario {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kNoiseBytes = std::size_t{64} * 1024;
constexpr std::uint64_t kNoiseSeed = 20261202;
constexpr Duration kTimeout = std::chrono::seconds(5);

/// Sends bytes and ends the connection without waiting for an answer.
void SendRaw(const SocketAddress& address, const std::string& bytes) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({asio::ip::make_address(address.ip), address.port}, error);
  if (!error) {
    asio::write(socket, asio::buffer(bytes), error);
  }
}

std::string Noise() {
  SeededRandom random(kNoiseSeed);
  std::string noise;
  while (noise.size() < kNoiseBytes) {
    noise += static_cast<char>(random.Next());
  }
  return noise;
}

/// What a scanner, a broken client and an attacker send.
std::vector<std::string> Garbage() {
  const std::string head = "POST /v1/services/s1/requests HTTP/1.1\r\nHost: a\r\n";
  return {Noise(), "\x16\x03\x01\x02\x01\xfc\x03\x03",
          // A frame that claims two gigabytes.
          std::string("\x7f\xff\xff\xff", 4) + "short", std::string("\xff\xff\xff\xff", 4), head,
          head + "Content-Length: 99999999999999999999\r\n\r\n",
          head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
          head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
          head + "X: " + std::string(kNoiseBytes, 'x') + "\r\n\r\n", "GET / HTTP/9.9\r\n\r\n"};
}

}  // namespace

void Scenario::AddGarbageWords() {
  this->vocabulary.Add("send garbage to entry <entry>", [this](const Arguments& a) -> Status {
    const inventory::EntryVm& entry = this->fleet->Plan().inventory.entries.at(EntryId{a[0]});
    for (const std::string& bytes : Garbage()) {
      SendRaw(*ParseSocketAddress(entry.http_address), bytes);
      SendRaw(*ParseSocketAddress(entry.peer_address), bytes);
    }
    return Done{};
  });
  this->vocabulary.Add("append garbage to log", [this](const Arguments&) -> Status {
    http::BlockingClient client;
    for (const std::string& record :
         {std::string("not a record"), std::string("{}"), std::string(R"({"format":999})"),
          std::string(R"({"id":"x","kind":"unknown","version":999999})"), std::string(1000, '[')}) {
      const http::Exchange exchange = client.Call(
          this->fleet->Plan().log.address, {"POST", "/v1/log/records", {}, record}, kTimeout);
      if (!exchange.response) {
        return exchange.reason;
      }
    }
    return Done{};
  });
}

}  // namespace chervilspar::scenario
