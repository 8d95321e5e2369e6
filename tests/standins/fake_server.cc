#include "fake_server.h"

#include <cstdio>
#include <cstdlib>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "chervilspar/base/scope_guard.h"

namespace chervilspar::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxBody = std::uint64_t{16} * 1024 * 1024;

http::Request FromWire(beast::http::request<beast::http::string_body> message) {
  http::Request request{
      std::string(message.method_string()), std::string(message.target()), {}, {}};
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

std::string Render(const Reply& reply, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(reply.response.status) + " -\r\n";
  for (const http::Header& header : reply.response.headers.All()) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += keep_alive ? "" : "Connection: close\r\n";
  text += "Content-Length: " + std::to_string(reply.response.body.size()) + "\r\n\r\n";
  const bool is_truncated = reply.fault == WireFault::kTruncated;
  return text + (is_truncated ? reply.response.body.substr(0, reply.response.body.size() / 2)
                              : reply.response.body);
}

}  // namespace

FakeServer::FakeServer(asio::io_context& io, SocketAddress address, ReplyHandler& handler,
                       std::size_t max_connections)
    : io(io), address(std::move(address)), handler(handler), max_connections(max_connections) {}

void FakeServer::Start() {
  const tcp::endpoint endpoint(asio::ip::make_address(this->address.ip), this->address.port);
  this->run = std::make_shared<Run>(this->io);
  error_code error;
  this->run->acceptor.open(endpoint.protocol(), error);
  this->run->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  this->run->acceptor.bind(endpoint, error);
  if (!error) {
    this->run->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    std::fprintf(stderr, "%s: %s\n", ToString(this->address).c_str(), error.message().c_str());
    std::exit(1);
  }
  asio::co_spawn(this->io, Accept(*this, this->run), asio::detached);
}

void FakeServer::Stop() {
  if (!this->run) {
    return;
  }
  error_code ignored;
  this->run->acceptor.close(ignored);
  for (tcp::socket& socket : this->run->sockets) {
    socket.close(ignored);
  }
  this->run.reset();
}

asio::awaitable<void> FakeServer::Accept(FakeServer& server, std::shared_ptr<Run> run) {
  while (run->acceptor.is_open()) {
    tcp::socket socket(server.io);
    error_code error;
    co_await run->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error || run->sockets.size() >= server.max_connections) {
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    run->sockets.push_back(std::move(socket));
    asio::co_spawn(server.io, Serve(server, run, std::prev(run->sockets.end())), asio::detached);
  }
}

asio::awaitable<void> FakeServer::Serve(FakeServer& server, std::shared_ptr<Run> run,
                                        SocketPlace place) {
  const ScopeGuard leave([&run, place] { run->sockets.erase(place); });
  tcp::socket& socket = *place;
  beast::flat_buffer buffer;
  error_code error;
  while (!error && socket.is_open()) {
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(kMaxBody);
    co_await beast::http::async_read(socket, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const bool keep_alive = parser.get().keep_alive();
    const Reply reply = co_await server.handler.Handle(FromWire(parser.release()));
    if (reply.fault == WireFault::kClosed || !socket.is_open()) {
      co_return;
    }
    if (reply.fault != WireFault::kSilent) {
      const std::string bytes = Render(reply, keep_alive);
      co_await asio::async_write(socket, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    if (reply.fault == WireFault::kTruncated || !keep_alive) {
      co_return;
    }
  }
}

Reply JsonReply(std::string body, unsigned status) {
  return {{status, {{"Content-Type", "application/json"}}, std::move(body)}, WireFault::kNone};
}

}  // namespace chervilspar::standins
