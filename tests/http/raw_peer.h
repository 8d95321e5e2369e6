#pragma once

#include <array>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "chervilspar/base/socket_address.h"

namespace chervilspar::http {

/// Speaks raw bytes to a server, as a faulty caller does.
class RawCaller {
 public:
  explicit RawCaller(const SocketAddress& address) : socket(this->io) {
    this->socket.connect({boost::asio::ip::make_address(address.ip), address.port});
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }
  void ShutSending() { this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
  void Close() { this->socket.close(); }

  /// Everything up to the end of the connection.
  std::string ReadToEnd() {
    return this->ReadWhile([](const std::string&) { return true; });
  }
  /// Reads until `part` has come, or to the end.
  std::string ReadUntil(const std::string& part) {
    return this->ReadWhile(
        [&part](const std::string& all) { return all.find(part) == std::string::npos; });
  }

 private:
  std::string ReadWhile(const std::function<bool(const std::string&)>& wants_more) {
    std::string all;
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    while (!error && wants_more(all)) {
      all.append(chunk.data(), this->socket.read_some(boost::asio::buffer(chunk), error));
    }
    return all;
  }

  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket;
};

/// Accepts connections one after the other and runs a script on each, as a faulty endpoint does.
class RawServer {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  RawServer(int connections, std::function<void(Socket&, int)> script)
      : acceptor(this->io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread([this, connections, script = std::move(script)] {
          for (int i = 0; i < connections; ++i) {
            Socket socket(this->io);
            this->acceptor.accept(socket);
            script(socket, i);
          }
        }) {}
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() { this->thread.join(); }

  SocketAddress Address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

  /// Reads until the end of a request's header.
  static std::string ReadHeader(Socket& socket) {
    std::string all;
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    while (!error && all.find("\r\n\r\n") == std::string::npos) {
      all.append(chunk.data(), socket.read_some(boost::asio::buffer(chunk), error));
    }
    return all;
  }
  static void Write(Socket& socket, const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

 private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

}  // namespace chervilspar::http
