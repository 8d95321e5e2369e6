#include "request_reader.h"

#include <cstddef>
#include <iterator>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "chervilspar/base/assert.h"

namespace chervilspar::http {

namespace beast = boost::beast;

namespace {

constexpr unsigned kHttp11 = 11;
/// Each field takes far more memory than the few bytes that a caller needs for it.
constexpr std::ptrdiff_t kMaxFields = 128;

BadInput FaultOf(const beast::error_code& error) {
  if (error == beast::http::error::header_limit) {
    return BadInput::kHeaderTooLarge;
  }
  if (error == beast::http::error::body_limit) {
    return BadInput::kBodyTooLarge;
  }
  return BadInput::kMalformed;
}

}  // namespace

RequestReader::RequestReader(const ServerLimits& limits) {
  CHERVILSPAR_ASSERT(limits.header_bytes <= std::numeric_limits<std::uint32_t>::max());
  this->parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  this->parser.body_limit(limits.body_bytes);
  // Each call of the parser takes one part at most, so that the header is checked before anything
  // behind it is looked at.
  this->parser.eager(false);
}

std::size_t RequestReader::Feed(std::string_view bytes) {
  std::size_t taken = 0;
  while (this->state == ReadState::kNeedMore && taken < bytes.size()) {
    beast::error_code error;
    const std::string_view rest = bytes.substr(taken);
    const std::size_t count =
        this->parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
    taken += count;
    this->taken_bytes += count;
    if (error == beast::http::error::need_more) {
      this->CheckFieldCount();
      break;
    }
    if (error) {
      this->Fail(FaultOf(error));
      break;
    }
    this->CheckHeader();
    if (this->state == ReadState::kNeedMore && this->parser.is_done()) {
      this->state = ReadState::kWhole;
    }
  }
  return taken;
}

void RequestReader::Fail(BadInput kind) {
  this->state = ReadState::kFault;
  this->fault = kind;
}

std::size_t RequestReader::HeldBytes() const {
  if (!this->header_checked) {
    return this->taken_bytes;
  }
  return this->taken_header_bytes +
         static_cast<std::size_t>(this->parser.content_length().value_or(0));
}

void RequestReader::CheckFieldCount() {
  const auto& fields = this->parser.get();
  if (!this->header_checked && std::distance(fields.begin(), fields.end()) > kMaxFields) {
    this->Fail(BadInput::kHeaderTooLarge);
  }
}

void RequestReader::CheckHeader() {
  if (this->header_checked || !this->parser.is_header_done()) {
    return;
  }
  this->CheckFieldCount();
  if (this->state == ReadState::kFault) {
    return;
  }
  this->header_checked = true;
  this->taken_header_bytes = this->taken_bytes;
  const auto& fields = this->parser.get();
  using beast::http::field;
  if (fields.count(field::transfer_encoding) > 0) {
    return this->Fail(BadInput::kChunked);
  }
  for (const field once : {field::content_length, field::host, field::authorization}) {
    if (fields.count(once) > 1) {
      return this->Fail(BadInput::kDuplicateHeader);
    }
  }
  if (fields.version() == kHttp11 && fields.count(field::host) == 0) {
    return this->Fail(BadInput::kMalformed);
  }
  const auto expect = fields.find(field::expect);
  this->continue_expected =
      expect != fields.end() && beast::iequals(expect->value(), "100-continue");
}

Response RequestReader::FaultResponse() const {
  CHERVILSPAR_ASSERT(this->state == ReadState::kFault);
  const char* code = ToString(this->fault);
  switch (this->fault) {
    case BadInput::kHeaderTooLarge:
      return ErrorResponse(431, code, "The header is larger than this server takes.");
    case BadInput::kBodyTooLarge:
      return ErrorResponse(413, code, "The body is larger than this server takes.");
    case BadInput::kDuplicateHeader:
      return ErrorResponse(400, code,
                           "Content-Length, Host and Authorization may stand only once.");
    case BadInput::kChunked:
      return ErrorResponse(411, code, "Send the body with Content-Length, not in chunks.");
    default:
      return ErrorResponse(400, code, "This is not a well-formed HTTP/1.1 request.");
  }
}

bool RequestReader::IsKeepAlive() const { return this->parser.get().keep_alive(); }

Request RequestReader::Take() {
  CHERVILSPAR_ASSERT(this->state == ReadState::kWhole);
  auto message = this->parser.release();
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace chervilspar::http
