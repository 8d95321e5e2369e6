#include "connection.h"

#include <algorithm>
#include <array>
#include <exception>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include "connection_set.h"
#include "wire.h"

namespace chervilspar::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadChunk = std::size_t{8} * 1024;
/// Bytes of further requests that are read ahead while one is handled. They are read only so that
/// a hang-up behind them is seen; above this the caller has to wait.
constexpr std::size_t kMaxReadAhead = std::size_t{16} * 1024;
/// How long a closing connection goes on reading. Closing while unread bytes are in the socket
/// resets the connection, and the caller may then lose the last answer.
constexpr Duration kLingerTime = std::chrono::seconds(2);

}  // namespace

ConnectionContext::ConnectionContext(const ServerLimits& limits)
    : limits(limits),
      pending_bytes(std::max(limits.pending_bytes,
                             limits.header_bytes + limits.body_bytes + 2 * kMaxReadAhead)) {}

void ConnectionContext::Report(BadInput fault) const {
  if (this->observer != nullptr) {
    this->observer->OnBadInput(fault);
  }
}

Connection::Connection(asio::ip::tcp::socket socket, std::shared_ptr<ConnectionContext> context,
                       ConnectionSet& set)
    : socket(std::move(socket)),
      context(std::move(context)),
      set(set),
      held(this->context->pending_bytes) {
  this->set.Add(this);
}

Connection::~Connection() { this->set.Remove(this); }

void Connection::EnterPhase(Phase next, std::optional<Duration> time) {
  this->phase = next;
  this->deadline.reset();
  if (time) {
    this->deadline = this->context->clock.Now() + *time;
  }
}

void Connection::CloseIfOverdue(TimePoint now) {
  if (!this->deadline || now < *this->deadline) {
    return;
  }
  error_code ignored;
  if (this->phase == Phase::kIdle && this->socket.available(ignored) > 0) {
    return;  // a request has come and is about to be read
  }
  if (this->phase == Phase::kReading || this->phase == Phase::kWriting) {
    this->context->Report(BadInput::kTimedOut);
  }
  this->Close();
}

void Connection::HastenIdle(TimePoint deadline) {
  if (this->phase == Phase::kIdle && this->deadline && *this->deadline > deadline) {
    this->deadline = deadline;
  }
}

void Connection::Close() {
  error_code ignored;
  this->socket.close(ignored);
}

asio::awaitable<void> Connection::Run() {
  const std::shared_ptr<Connection> keep_alive = this->shared_from_this();
  while (true) {
    const bool has_bytes = co_await this->WaitForRequest();
    if (!has_bytes) {
      co_return;
    }
    const ReadOutcome outcome = co_await this->ReadRequest();
    if (outcome == ReadOutcome::kEnded) {
      co_return;
    }
    if (outcome == ReadOutcome::kNoRoom) {
      co_await this->RefuseForRoom();
      break;
    }
    const AfterAnswer after = co_await this->Answer();
    if (after == AfterAnswer::kClose) {
      break;
    }
  }
  co_await this->Linger();
}

asio::awaitable<bool> Connection::WaitForRequest() {
  if (!this->buffer.empty()) {
    co_return true;
  }
  this->buffer.shrink_to_fit();
  this->held.Resize(0);
  this->EnterPhase(Phase::kIdle, this->context->limits.idle_timeout);
  error_code error;
  co_await this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                   asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Connection::ReadSome() {
  const std::size_t before = this->buffer.size();
  this->buffer.resize(before + kReadChunk);
  error_code error;
  const std::size_t count =
      co_await this->socket.async_read_some(asio::buffer(this->buffer.data() + before, kReadChunk),
                                            asio::redirect_error(asio::use_awaitable, error));
  this->buffer.resize(before + count);
  co_return !error;
}

/// Reads until `reader` has a whole request or a fault, there is no room for more, or the
/// connection has ended.
asio::awaitable<Connection::ReadOutcome> Connection::ReadRequest() {
  this->EnterPhase(Phase::kReading, this->context->limits.read_timeout);
  this->reader = std::make_unique<RequestReader>(this->context->limits);
  bool is_continued = false;
  bool has_begun = !this->buffer.empty();
  while (true) {
    this->buffer.erase(0, this->reader->Feed(this->buffer));
    if (this->reader->State() != ReadState::kNeedMore) {
      co_return ReadOutcome::kSettled;
    }
    if (!this->MakeRoom(this->reader->HeldBytes())) {
      co_return ReadOutcome::kNoRoom;
    }
    if (this->reader->IsContinueExpected() && !is_continued) {
      is_continued = true;
      co_await this->WriteContinue();
    }
    const bool has_more = co_await this->ReadSome();
    if (!has_more) {
      if (has_begun && this->socket.is_open()) {
        this->context->Report(BadInput::kTruncated);
      }
      co_return ReadOutcome::kEnded;
    }
    has_begun = true;
  }
}

bool Connection::MakeRoom(std::size_t request_bytes) {
  return this->held.Resize(request_bytes +
                           std::max(this->buffer.size() + kReadChunk, this->buffer.capacity()));
}

asio::awaitable<void> Connection::RefuseForRoom() {
  this->context->Report(BadInput::kTooManyBytes);
  this->reader.reset();
  this->buffer.clear();
  this->buffer.shrink_to_fit();
  this->held.Resize(0);
  Response refusal = ErrorResponse(
      503, ToString(BadInput::kTooManyBytes),
      "The requests that this server reads and handles hold all the memory for them.");
  refusal.headers.Add("Retry-After", "1");
  refusal.headers.Add("Chervilspar-Verdict", "not-run");
  co_await this->Write(std::move(refusal), AfterAnswer::kClose);
}

asio::awaitable<void> Connection::WriteContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code error;
  co_await asio::async_write(this->socket, asio::buffer(kContinue),
                             asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<Connection::AfterAnswer> Connection::Answer() {
  if (this->reader->State() == ReadState::kFault) {
    this->context->Report(this->reader->Fault());
    Response refusal = this->reader->FaultResponse();
    this->reader.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->held.Resize(0);
    co_await this->Write(std::move(refusal), AfterAnswer::kClose);
    co_return AfterAnswer::kClose;
  }
  const bool is_kept = this->reader->IsKeepAlive();
  this->request_bytes = this->reader->HeldBytes();
  this->held.Resize(std::min(this->held.Bytes(), this->request_bytes + this->buffer.capacity()));
  Request request = this->reader->Take();
  const bool is_head = request.method == "HEAD";
  this->reader.reset();
  if (this->HasCallerReset()) {
    co_return AfterAnswer::kClose;
  }
  Response response = co_await this->CallHandler(std::move(request));
  if (is_head) {
    response.body.clear();
  }
  const bool is_open = is_kept && !this->context->draining.load(std::memory_order_relaxed);
  const AfterAnswer after = is_open ? AfterAnswer::kKeepOpen : AfterAnswer::kClose;
  const bool is_written = co_await this->Write(std::move(response), after);
  co_return is_written ? after : AfterAnswer::kClose;
}

/// A request may have waited for longer than its caller did. Nobody reads the answer then.
bool Connection::HasCallerReset() {
  char next = 0;
  error_code error;
  this->socket.non_blocking(true, error);
  this->socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
  return error == asio::error::connection_reset;
}

asio::awaitable<Response> Connection::CallHandler(Request request) {
  this->EnterPhase(Phase::kHandling, std::nullopt);
  this->caller = CancelToken::Create();
  ++this->request_number;
  this->WatchCaller();
  Response response;
  try {
    response = co_await this->context->handler->Handle(std::move(request), this->caller);
  } catch (const std::exception& error) {
    response = ErrorResponse(500, "internal", error.what());
  }
  ++this->request_number;
  this->caller.reset();
  error_code ignored;
  this->socket.cancel(ignored);
  co_return response;
}

void Connection::WatchCaller() {
  this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this(), watched = this->request_number](const error_code& error) {
        if (!error) {
          self->OnCallerReadable(watched);
        }
      });
}

/// While a request is handled: either the caller has hung up or further requests have come.
void Connection::OnCallerReadable(std::uint64_t watched_request) {
  if (watched_request != this->request_number || this->buffer.size() >= kMaxReadAhead ||
      !this->MakeRoom(this->request_bytes)) {
    return;
  }
  const std::size_t before = this->buffer.size();
  this->buffer.resize(before + kReadChunk);
  error_code error;
  this->socket.non_blocking(true, error);
  const std::size_t count =
      this->socket.read_some(asio::buffer(this->buffer.data() + before, kReadChunk), error);
  this->buffer.resize(before + count);
  if (error && error != asio::error::would_block) {
    this->caller->Cancel();
    return;
  }
  this->WatchCaller();
}

asio::awaitable<bool> Connection::Write(Response response, AfterAnswer after) {
  this->EnterPhase(Phase::kWriting, this->context->limits.write_timeout);
  auto message = ToWire(std::move(response), after == AfterAnswer::kKeepOpen);
  error_code error;
  co_await boost::beast::http::async_write(this->socket, message,
                                           asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<void> Connection::Linger() {
  this->EnterPhase(Phase::kLingering, kLingerTime);
  this->reader.reset();
  error_code error;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::array<char, 1024> scrap;  // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (!error) {
    co_await this->socket.async_read_some(asio::buffer(scrap),
                                          asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace chervilspar::http
