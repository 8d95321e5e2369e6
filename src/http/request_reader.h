#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "chervilspar/http/message.h"
#include "chervilspar/http/server.h"

namespace chervilspar::http {

/// How far a request has been read.
enum class ReadState { kNeedMore, kWhole, kFault };

/// Turns the bytes of a connection into one request, or names what is wrong with them. Knows
/// nothing of sockets.
///
/// Two servers in a chain that disagree on where a request ends allow request smuggling. So a
/// transfer encoding, a repeated Content-Length or Host, and a repeated Authorization are refused,
/// not interpreted.
class RequestReader {
 public:
  explicit RequestReader(const ServerLimits& limits);

  /// Reads from the front of `bytes` and returns how many it has taken; the rest must be offered
  /// again together with what follows it.
  std::size_t Feed(std::string_view bytes);

  /// Bytes that the request holds so far or, once its header has announced them, will hold as a
  /// whole.
  std::size_t HeldBytes() const;

  ReadState State() const { return this->state; }
  /// What is wrong; only after `kFault`.
  BadInput Fault() const { return this->fault; }
  /// The answer to a faulty request.
  Response FaultResponse() const;
  /// Whether the caller waits for "100 Continue" before it sends the body.
  bool IsContinueExpected() const { return this->continue_expected; }
  /// Whether the caller lets the connection stay open; only after `kWhole`.
  bool IsKeepAlive() const;
  /// The request; only once, after `kWhole`.
  Request Take();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Fail(BadInput kind);
  void CheckHeader();
  void CheckFieldCount();

  Parser parser;
  std::size_t taken_bytes = 0;
  std::size_t taken_header_bytes = 0;
  ReadState state = ReadState::kNeedMore;
  BadInput fault = BadInput::kMalformed;
  bool header_checked = false;
  bool continue_expected = false;
};

}  // namespace chervilspar::http
