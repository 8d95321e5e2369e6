// A small HTTP/1.1 server and client for the stand-ins.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline asio::awaitable<void> Sleep(std::chrono::milliseconds span) {
  asio::steady_timer timer(co_await asio::this_coro::executor, span);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

inline Response Reply(unsigned status, std::string body, const char* type = "application/json") {
  Response response;
  response.result(status);
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

/// Answers requests until `Stop`, which resets all connections.
class Server {
 public:
  /// No response means that the peer gets none: the connection stays open and silent.
  using Handler = std::function<asio::awaitable<std::optional<Response>>(Request)>;

  Server(asio::io_context& io, unsigned short port, Handler handler)
      : io(io), port(port), handler(std::move(handler)) {}

  void Start() {
    this->acceptor = std::make_shared<tcp::acceptor>(this->io);
    this->acceptor->open(tcp::v4());
    this->acceptor->set_option(tcp::acceptor::reuse_address(true));
    this->acceptor->bind({asio::ip::make_address("127.0.0.1"), this->port});
    this->acceptor->listen();
    asio::co_spawn(this->io, this->Accept(this->acceptor), asio::detached);
  }

  void Stop() {
    boost::system::error_code error;
    if (this->acceptor) {
      this->acceptor->close(error);
    }
    for (const auto& socket : this->sockets) {
      socket->set_option(asio::socket_base::linger(true, 0), error);
      socket->close(error);
    }
    this->sockets.clear();
  }

 private:
  asio::awaitable<void> Accept(std::shared_ptr<tcp::acceptor> listener) {
    while (listener->is_open()) {
      auto socket = std::make_shared<tcp::socket>(this->io);
      boost::system::error_code error;
      co_await listener->async_accept(*socket, asio::redirect_error(asio::use_awaitable, error));
      if (!error) {
        this->sockets.insert(socket);
        asio::co_spawn(this->io, this->Serve(socket), asio::detached);
      }
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket) {
    beast::flat_buffer buffer;
    boost::system::error_code error;
    socket->set_option(tcp::no_delay(true), error);
    while (socket->is_open()) {
      Request request;
      co_await http::async_read(*socket, buffer, request,
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        break;
      }
      const bool is_kept = request.keep_alive();
      std::optional<Response> response = co_await this->handler(std::move(request));
      if (!response) {
        // Reads until the peer gives up, and drops what comes.
        std::array<char, 4096> scrap;
        while (!error) {
          co_await socket->async_read_some(asio::buffer(scrap),
                                           asio::redirect_error(asio::use_awaitable, error));
        }
        break;
      }
      response->keep_alive(is_kept);
      response->prepare_payload();
      co_await http::async_write(*socket, *response,
                                 asio::redirect_error(asio::use_awaitable, error));
      if (error || !is_kept) {
        break;
      }
    }
    socket->close(error);
    this->sockets.erase(socket);
  }

  asio::io_context& io;
  const unsigned short port;
  const Handler handler;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::set<std::shared_ptr<tcp::socket>> sockets;
};

/// Sends one request on a connection of its own; nothing if there was no whole answer in time.
inline asio::awaitable<std::optional<Response>> Call(unsigned short port, Request request,
                                                     std::chrono::milliseconds timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  boost::system::error_code error;
  co_await stream.async_connect({asio::ip::make_address("127.0.0.1"), port},
                                asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  request.prepare_payload();
  co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  beast::flat_buffer buffer;
  Response response;
  co_await http::async_read(stream, buffer, response,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  co_return response;
}

}  // namespace review
