#include "tests/unruly_clients/crowd.h"

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace chervilspar::unruly_clients {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kMaxPlayTime(8);
constexpr std::chrono::seconds kStayTime(1);
constexpr std::chrono::milliseconds kLookInterval(10);
constexpr std::chrono::milliseconds kByteInterval(5);
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;

class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& io, const Crowd& crowd, tcp::endpoint server)
      : crowd(crowd), server(std::move(server)), socket(io), timer(io) {}

  asio::awaitable<void> Run() {
    const std::shared_ptr<Client> keep_alive = this->shared_from_this();
    error_code error;
    co_await this->socket.async_connect(this->server,
                                        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      this->socket.set_option(tcp::no_delay(true), error);
    }
    if (!error && this->crowd.reads_answers) {
      asio::co_spawn(this->socket.get_executor(), this->ReadAll(), asio::detached);
    }
    co_await this->Send(this->crowd.begin,
                        this->crowd.sends_single_bytes && !this->crowd.sends_begin_whole);
    const std::string piece = this->Piece();
    while (!this->has_failed && !piece.empty() && this->sent < this->crowd.max_bytes) {
      co_await this->Send(piece, this->crowd.sends_single_bytes);
    }
    this->is_done = true;
  }

  bool IsDone() const { return this->is_done; }

 private:
  std::string Piece() const {
    std::string piece;
    while (!this->crowd.more.empty() && piece.size() < kPieceBytes) {
      piece += this->crowd.more;
    }
    return piece;
  }

  asio::awaitable<void> Send(std::string bytes, bool are_bytes_single) {
    const std::size_t step = are_bytes_single ? 1 : bytes.size();
    for (std::size_t at = 0; at < bytes.size() && !this->has_failed; at += step) {
      error_code error;
      co_await asio::async_write(this->socket, asio::buffer(bytes.data() + at, step),
                                 asio::redirect_error(asio::use_awaitable, error));
      this->has_failed = static_cast<bool>(error);
      this->sent += step;
      if (this->crowd.sends_single_bytes) {
        this->timer.expires_after(kByteInterval);
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      }
    }
  }

  asio::awaitable<void> ReadAll() {
    const std::shared_ptr<Client> keep_alive = this->shared_from_this();
    std::array<char, 4096> scrap{};
    error_code error;
    while (!error) {
      co_await this->socket.async_read_some(asio::buffer(scrap),
                                            asio::redirect_error(asio::use_awaitable, error));
    }
  }

  const Crowd& crowd;
  const tcp::endpoint server;
  tcp::socket socket;
  asio::steady_timer timer;
  std::size_t sent = 0;
  bool has_failed = false;
  bool is_done = false;
};

}  // namespace

void Play(const Crowd& crowd, const SocketAddress& address,
          const std::function<bool()>& is_enough) {
  asio::io_context io;
  const tcp::endpoint server(asio::ip::make_address(address.ip), address.port);
  std::vector<std::shared_ptr<Client>> clients;
  for (std::size_t i = 0; i < crowd.clients; ++i) {
    clients.push_back(std::make_shared<Client>(io, crowd, server));
    asio::co_spawn(io, clients.back()->Run(), asio::detached);
  }
  const auto is_done = [](const std::shared_ptr<Client>& client) { return client->IsDone(); };
  const auto end = std::chrono::steady_clock::now() + kMaxPlayTime;
  while (!std::all_of(clients.begin(), clients.end(), is_done) && !is_enough() &&
         std::chrono::steady_clock::now() < end) {
    io.run_for(kLookInterval);
    io.restart();
  }
  if (!is_enough()) {
    io.restart();
    io.run_for(kStayTime);
  }
}

}  // namespace chervilspar::unruly_clients
