#include "response_reader.h"

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "chervilspar/base/assert.h"

namespace chervilspar::http {

namespace beast = boost::beast;

namespace {
constexpr unsigned kFirstFinalStatus = 200;
/// The shortest end of a body in chunks, "0\r\n\r\n". With fewer bytes, a second look at the last
/// chunk fails an assertion of the parser.
constexpr std::size_t kMinChunkedEnd = 5;
}  // namespace

ResponseReader::ResponseReader(const ClientLimits& limits, BodyRule body_rule)
    : max_untaken_bytes(limits.header_bytes) {
  this->parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  this->parser.body_limit(limits.body_bytes);
  // Each call of the parser takes one part at most, so that the header is checked before anything
  // behind it is looked at.
  this->parser.eager(false);
  this->parser.skip(body_rule == BodyRule::kNone);
}

std::size_t ResponseReader::Feed(std::string_view bytes) {
  std::size_t taken = 0;
  while (this->state == State::kNeedMore && taken < bytes.size()) {
    beast::error_code error;
    const std::string_view rest = bytes.substr(taken);
    if (this->header_checked && this->parser.chunked() && rest.size() < kMinChunkedEnd) {
      break;
    }
    taken += this->parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
    if (error == beast::http::error::need_more) {
      this->CheckUntaken(bytes.size() - taken);
      break;
    }
    if (error) {
      this->Fail(ErrorCode::kMalformed, "the answer is not HTTP/1.1: " + error.message());
      break;
    }
    this->CheckHeader();
    if (this->state == State::kNeedMore && this->parser.is_done()) {
      this->state = State::kWhole;
    }
  }
  return taken;
}

void ResponseReader::Fail(ErrorCode code, std::string message) {
  this->state = State::kFault;
  this->fault = {code, "", std::move(message)};
}

/// The parser's own limits cover the header and the body, but not what stands between chunks and
/// after them.
void ResponseReader::CheckUntaken(std::size_t bytes) {
  if (bytes > this->max_untaken_bytes) {
    this->Fail(ErrorCode::kMalformed, "the answer has a part without end of more than " +
                                          std::to_string(this->max_untaken_bytes) + " bytes");
  }
}

void ResponseReader::CheckHeader() {
  if (this->header_checked || !this->parser.is_header_done()) {
    return;
  }
  this->header_checked = true;
  const auto& fields = this->parser.get();
  if (fields.result_int() < kFirstFinalStatus) {
    return this->Fail(ErrorCode::kMalformed, "an interim answer that was not asked for");
  }
  if (fields.count(beast::http::field::content_length) > 1) {
    return this->Fail(ErrorCode::kMalformed, "the answer has two lengths");
  }
  if (this->parser.need_eof()) {
    return this->Fail(ErrorCode::kMalformed, "the answer does not say its length");
  }
}

Reason ResponseReader::ReasonOfEnd() const {
  if (!this->parser.got_some()) {
    return {ErrorCode::kUnavailable, "", "the connection was closed before any answer"};
  }
  return {ErrorCode::kDataLoss, "", "the connection was closed within the answer"};
}

bool ResponseReader::IsKeepAlive() const { return this->parser.get().keep_alive(); }

Response ResponseReader::Take() {
  CHERVILSPAR_ASSERT(this->state == State::kWhole);
  auto message = this->parser.release();
  Response response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace chervilspar::http
