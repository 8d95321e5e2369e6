// A small blocking HTTP/1.1 server and client on loopback sockets, for stand-ins of the review
// cases.
#pragma once

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace review {

using SteadyClock = std::chrono::steady_clock;

/// Milliseconds since the first call in this process.
inline double NowMs() {
  static const SteadyClock::time_point begin = SteadyClock::now();
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  unsigned status = 200;
  std::string body = "{}";
  std::string type = "application/json";
};

inline std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out +=
          static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

namespace detail {

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

/// Reads one message. Returns false when the connection ends or `deadline_ms` passes; a negative
/// deadline is none.
inline bool ReadMessage(int fd, std::string& buffer, double deadline_ms, std::string& first_line,
                        std::map<std::string, std::string>& headers, std::string& body) {
  const auto fill = [&]() {
    int wait = -1;
    if (deadline_ms >= 0) {
      wait = static_cast<int>(deadline_ms - NowMs()) + 1;
      if (wait <= 0) {
        return false;
      }
    }
    pollfd poller{fd, POLLIN, 0};
    if (::poll(&poller, 1, wait) <= 0) {
      return false;
    }
    char chunk[16384];
    const ssize_t count = ::recv(fd, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  const std::string head = buffer.substr(0, end);
  std::size_t line = head.find("\r\n");
  first_line = head.substr(0, line);
  headers.clear();
  while (line != std::string::npos) {
    const std::size_t next = head.find("\r\n", line + 2);
    const std::string field =
        head.substr(line + 2, next == std::string::npos ? std::string::npos : next - line - 2);
    const std::size_t colon = field.find(':');
    if (colon != std::string::npos) {
      std::size_t begin = colon + 1;
      while (begin < field.size() && field[begin] == ' ') {
        ++begin;
      }
      headers[Lower(field.substr(0, colon))] = field.substr(begin);
    }
    line = next;
  }
  const auto length = headers.find("content-length");
  const std::size_t size =
      length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
  while (buffer.size() < end + 4 + size) {
    if (!fill()) {
      return false;
    }
  }
  body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return true;
}

inline bool WriteAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace detail

/// Returns a loopback port that is free now.
inline std::uint16_t FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = detail::Loopback(0);
  socklen_t size = sizeof(address);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

inline std::string AddressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/// Serves on a loopback port, with a thread for each connection. A handler that returns nothing
/// leaves its request unanswered; the connection stays open until the caller closes it.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler) : handler(std::move(handler)) {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = detail::Loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(this->listener, 256) != 0) {
      std::_Exit(2);
    }
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    std::thread([this] { this->Accept(); }).detach();
  }

  std::uint16_t Port() const { return this->port; }

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        this->Serve(fd);
        ::close(fd);
      }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer;
    std::string first;
    Request request;
    while (detail::ReadMessage(fd, buffer, -1, first, request.headers, request.body)) {
      const std::size_t space = first.find(' ');
      const std::size_t end = first.find(' ', space + 1);
      request.method = first.substr(0, space);
      const std::string target = first.substr(space + 1, end - space - 1);
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      request.query.clear();
      for (std::size_t at = mark; at != std::string::npos && at < target.size();) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair =
            target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
          request.query[pair.substr(0, equals)] = PercentDecode(pair.substr(equals + 1));
        }
        at = next;
      }
      const std::optional<Response> response = this->handler(request);
      if (!response) {
        while (detail::ReadMessage(fd, buffer, -1, first, request.headers, request.body)) {
        }
        return;
      }
      const std::string text = "HTTP/1.1 " + std::to_string(response->status) +
                               " X\r\nContent-Type: " + response->type +
                               "\r\nContent-Length: " + std::to_string(response->body.size()) +
                               "\r\n\r\n" + response->body;
      if (!detail::WriteAll(fd, text)) {
        return;
      }
    }
  }

  Handler handler;
  int listener = -1;
  std::uint16_t port = 0;
};

/// Sends one request on a connection of its own. Returns nothing without a whole answer in time.
inline std::optional<Response> Call(std::uint16_t port, const std::string& method,
                                    const std::string& target,
                                    const std::map<std::string, std::string>& headers,
                                    const std::string& body, double timeout_ms) {
  const double deadline = NowMs() + timeout_ms;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = detail::Loopback(port);
  std::optional<Response> out;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    if (!headers.contains("Host")) {
      text += "Host: 127.0.0.1\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> fields;
    Response response;
    if (detail::WriteAll(fd, text) &&
        detail::ReadMessage(fd, buffer, deadline, first, fields, response.body) &&
        first.size() > 12) {
      response.status = static_cast<unsigned>(std::strtoul(first.c_str() + 9, nullptr, 10));
      out = std::move(response);
    }
  }
  ::close(fd);
  return out;
}

}  // namespace review
