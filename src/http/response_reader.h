#pragma once

#include <cstddef>
#include <string_view>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "chervilspar/http/client.h"

namespace chervilspar::http {

/// Turns the bytes of a connection into one whole answer, or says why that is not possible. Knows
/// nothing of sockets.
///
/// The first half of an answer whose endpoint has died must not be taken for the whole. So an
/// answer must say its length, and one that ends early, or whose end is only the end of the
/// connection, is an error.
class ResponseReader {
 public:
  enum class State { kNeedMore, kWhole, kFault };
  /// Answers to HEAD have a length but no body.
  enum class BodyRule { kAsDeclared, kNone };

  ResponseReader(const ClientLimits& limits, BodyRule body_rule);

  /// Reads from the front of `bytes` and returns how many it has taken; the rest must be offered
  /// again together with what follows it.
  std::size_t Feed(std::string_view bytes);

  State Current() const { return this->state; }
  const Reason& Fault() const { return this->fault; }
  /// Why there is no whole answer, when the connection has ended now.
  Reason ReasonOfEnd() const;
  bool IsKeepAlive() const;
  /// The answer; only once, after `kWhole`.
  Response Take();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Fail(ErrorCode code, std::string message);
  void CheckHeader();
  void CheckUntaken(std::size_t bytes);

  Parser parser;
  /// Of a header, or of what stands between chunks or after them.
  const std::size_t max_untaken_bytes;
  State state = State::kNeedMore;
  Reason fault;
  bool header_checked = false;
};

}  // namespace chervilspar::http
