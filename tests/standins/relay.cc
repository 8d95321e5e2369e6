#include "relay.h"

#include <array>
#include <cstdio>
#include <cstdlib>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace chervilspar::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kChunk = std::size_t{16} * 1024;
constexpr milliseconds kCutPoll(10);

tcp::endpoint EndpointOf(const SocketAddress& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

/// A reset tells the other side at once, as a process that died does.
void Reset(RelayGroup& group) {
  for (const std::weak_ptr<tcp::socket>& weak : group.sockets) {
    if (const std::shared_ptr<tcp::socket> socket = weak.lock()) {
      error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  group.sockets.clear();
}

}  // namespace

asio::awaitable<void> Relay::WaitUntilHealed(const Way& way) {
  while (way.group->is_cut || (way.is_back && way.group->is_cut_back) ||
         way.connection < way.group->silent_below) {
    co_await Sleep(kCutPoll);
    if (way.from != nullptr && !way.from->is_open()) {
      co_return;  // reset meanwhile
    }
  }
}

void Relay::Add(const std::string& group, const SocketAddress& listen,
                const SocketAddress& target) {
  auto& entry = this->groups[group];
  if (!entry) {
    entry = std::make_shared<RelayGroup>();
  }
  asio::co_spawn(this->io, this->Accept(entry, listen, target), asio::detached);
}

asio::awaitable<void> Relay::Accept(std::shared_ptr<RelayGroup> group, SocketAddress listen,
                                    SocketAddress target) {
  tcp::acceptor acceptor(this->io);
  error_code error;
  acceptor.open(EndpointOf(listen).protocol(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind(EndpointOf(listen), error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    std::fprintf(stderr, "relay %s: %s\n", ToString(listen).c_str(), error.message().c_str());
    std::exit(1);
  }
  while (true) {
    Socket from(this->io);
    co_await acceptor.async_accept(from, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      asio::co_spawn(this->io, Connect(group, std::move(from), target), asio::detached);
    }
  }
}

asio::awaitable<void> Relay::Connect(std::shared_ptr<RelayGroup> group, Socket from,
                                     SocketAddress target) {
  const std::uint64_t connection = group->next_connection++;
  const Way arriving{group, nullptr, nullptr, connection, false};
  co_await WaitUntilHealed(arriving);
  const auto executor = from.get_executor();
  const auto near = std::make_shared<Socket>(std::move(from));
  const auto far = std::make_shared<Socket>(executor);
  error_code error;
  co_await far->async_connect(EndpointOf(target), asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  near->set_option(tcp::no_delay(true), error);
  far->set_option(tcp::no_delay(true), error);
  std::erase_if(group->sockets, [](const auto& socket) { return socket.expired(); });
  group->sockets.insert(group->sockets.end(), {near, far});
  Way there{group, near, far, connection, false};
  Way back{group, far, near, connection, true};
  asio::co_spawn(executor, Pump(std::move(there)), asio::detached);
  asio::co_spawn(executor, Pump(std::move(back)), asio::detached);
}

asio::awaitable<void> Relay::Pump(Way way) {
  const std::shared_ptr<Socket> from = way.from;
  const std::shared_ptr<Socket> to = way.to;
  std::vector<char> chunk(kChunk);
  error_code error;
  while (true) {
    const std::size_t count = co_await from->async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    const bool is_ended = static_cast<bool>(error);
    co_await Sleep(milliseconds(way.group->delay_ms));
    co_await WaitUntilHealed(way);
    if (is_ended) {
      break;
    }
    co_await asio::async_write(*to, asio::buffer(chunk.data(), count),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
  }
  if (error == asio::error::eof) {
    to->shutdown(tcp::socket::shutdown_send, error);
    co_return;
  }
  to->close(error);
  from->close(error);
}

bool Relay::ForEach(const json::object& switches, std::string_view name,
                    void (*change)(RelayGroup&, std::int64_t), std::int64_t value) {
  const json::value* names = switches.if_contains({name.data(), name.size()});
  if (names == nullptr) {
    return true;
  }
  if (!names->is_array()) {
    return false;
  }
  for (const json::value& group : names->get_array()) {
    const auto found =
        group.is_string() ? this->groups.find(group.get_string().c_str()) : this->groups.end();
    if (found == this->groups.end()) {
      return false;
    }
    change(*found->second, value);
  }
  return true;
}

bool Relay::Apply(const json::object& switches) {
  const bool is_cut_known = this->ForEach(
      switches, "cut", [](RelayGroup& group, std::int64_t) { group.is_cut = true; }, 0);
  const bool is_heal_known = this->ForEach(
      switches, "heal",
      [](RelayGroup& group, std::int64_t) { group.is_cut = group.is_cut_back = false; }, 0);
  const bool is_cut_back_known = this->ForEach(
      switches, "cut_back", [](RelayGroup& group, std::int64_t) { group.is_cut_back = true; }, 0);
  const bool is_reset_known = this->ForEach(
      switches, "reset", [](RelayGroup& group, std::int64_t) { Reset(group); }, 0);
  const bool is_silence_known = this->ForEach(
      switches, "silence",
      [](RelayGroup& group, std::int64_t) { group.silent_below = group.next_connection; }, 0);
  const bool is_delay_known = this->ForEach(
      switches, "delay",
      [](RelayGroup& group, std::int64_t delay_ms) { group.delay_ms = delay_ms; },
      IntegerOr(switches, "delay_ms", 0));
  return is_cut_known && is_cut_back_known && is_heal_known && is_reset_known && is_silence_known &&
         is_delay_known;
}

std::optional<std::string> Relay::Report(const std::string& name) {
  if (name != "groups") {
    return std::nullopt;
  }
  json::object report;
  for (const auto& [group, state] : this->groups) {
    report[group] = {{"cut", state->is_cut}, {"delay_ms", state->delay_ms}};
  }
  return json::serialize(report);
}

}  // namespace chervilspar::standins
