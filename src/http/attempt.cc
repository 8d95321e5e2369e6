#include "attempt.h"

#include <algorithm>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include "response_reader.h"
#include "wire.h"

namespace chervilspar::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// An answer is read in chunks of the first size at first. A chunk that was filled doubles the next
/// one, as each takes a turn of the thread, and a busy thread would take seconds for a long answer.
constexpr std::size_t kFirstReadChunk = std::size_t{8} * 1024;
constexpr std::size_t kMaxReadChunk = std::size_t{256} * 1024;

/// Whether an endpoint's whole answer says that it did not start the request.
bool SaysNotRun(const Response& response) {
  const bool may_refuse = response.status == 503 || response.status == 409;
  return may_refuse && response.headers.Find("Chervilspar-Not-Run").has_value();
}

}  // namespace

Attempt::Attempt(const ClientLimits& limits, std::unique_ptr<ConnectionPool::Lease> lease,
                 asio::any_io_executor executor)
    : limits(limits),
      lease(std::move(lease)),
      executor(std::move(executor)),
      timer(this->executor) {}

asio::awaitable<Exchange> Attempt::Run(SocketAddress address, Request request, Duration timeout,
                                       std::shared_ptr<CancelToken> cancel) {
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + timeout;
  const CancelToken::Registration watch = this->WatchToken(cancel);
  const bool is_head = request.method == "HEAD";
  if (!this->lease->is_reused) {
    const bool is_connected = co_await this->Dial(address, timeout);
    if (!is_connected) {
      co_return this->Failed(
          {ErrorCode::kUnavailable, "", "can't connect to " + ToString(address)});
    }
  }
  this->EndAfter(deadline - clock.Now(), Ending::kTimeout);
  if (this->ending != Ending::kNone || (cancel && cancel->IsCancelled())) {
    co_return this->Failed({ErrorCode::kUnavailable, "", "cancelled before it was sent"});
  }
  const bool is_written = co_await this->Write(address, std::move(request));
  if (!is_written) {
    co_return this->Failed({ErrorCode::kUnavailable, "", "the connection broke while sending"});
  }
  Exchange exchange = co_await this->ReadAnswer(is_head);
  this->timer.cancel();
  co_return exchange;
}

CancelToken::Registration Attempt::WatchToken(const std::shared_ptr<CancelToken>& cancel) {
  if (!cancel) {
    return {};
  }
  return cancel->OnCancel([weak = this->weak_from_this(), executor = this->executor] {
    asio::post(executor, [weak] {
      if (const auto self = weak.lock()) {
        self->End(Ending::kCancelled);
      }
    });
  });
}

void Attempt::EndAfter(Duration span, Ending why) {
  this->timer.expires_after(span);
  const int number = ++this->deadline_number;
  this->timer.async_wait([weak = this->weak_from_this(), why, number](const error_code& error) {
    const auto self = weak.lock();
    if (!error && self && number == self->deadline_number) {
      self->End(why);
    }
  });
}

/// If the path to the peer is cut, the request waits in the send buffer, and after a plain close
/// the kernel would still deliver it when the path is back, seconds after the caller has acted on
/// its failure. A reset drops what was not delivered.
void Attempt::End(Ending why) {
  if (this->ending == Ending::kNone) {
    this->ending = why;
    error_code ignored;
    this->lease->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->lease->socket.close(ignored);
  }
}

asio::awaitable<bool> Attempt::Dial(const SocketAddress& address, Duration timeout) {
  const Duration limit = std::min(timeout, this->limits.connect_timeout);
  this->EndAfter(limit, limit == timeout ? Ending::kTimeout : Ending::kConnectTimeout);
  error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
  if (error) {
    co_return false;
  }
  co_await this->lease->socket.async_connect(endpoint,
                                             asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    this->lease->socket.set_option(asio::ip::tcp::no_delay(true), error);
  }
  co_return !error && this->ending == Ending::kNone;
}

asio::awaitable<bool> Attempt::Write(const SocketAddress& address, Request request) {
  auto message = ToWire(std::move(request), ToString(address));
  error_code error;
  this->tracker.OnBeforeWrite();
  this->bytes_sent = co_await boost::beast::http::async_write(
      this->lease->socket, message, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<Exchange> Attempt::ReadAnswer(bool is_head) {
  using BodyRule = ResponseReader::BodyRule;
  ResponseReader reader(this->limits, is_head ? BodyRule::kNone : BodyRule::kAsDeclared);
  std::string buffer;
  std::size_t chunk = kFirstReadChunk;
  while (reader.Current() == ResponseReader::State::kNeedMore) {
    const std::size_t before = buffer.size();
    buffer.resize(before + chunk);
    error_code error;
    const std::size_t count = co_await this->lease->socket.async_read_some(
        asio::buffer(buffer.data() + before, chunk),
        asio::redirect_error(asio::use_awaitable, error));
    buffer.resize(before + count);
    this->bytes_received += count;
    if (error) {
      co_return this->Failed(reader.ReasonOfEnd());
    }
    chunk = count == chunk ? std::min(2 * chunk, kMaxReadChunk) : chunk;
    buffer.erase(0, reader.Feed(buffer));
  }
  if (reader.Current() == ResponseReader::State::kFault) {
    co_return this->Failed(reader.Fault());
  }
  const bool is_reusable = reader.IsKeepAlive() && buffer.empty();
  co_return this->Settle(reader.Take(), is_reusable);
}

Exchange Attempt::Settle(Response response, bool is_reusable) {
  if (SaysNotRun(response)) {
    this->tracker.OnRefusedByEndpoint();
  } else {
    this->tracker.OnWholeAnswer();
  }
  if (is_reusable && this->ending == Ending::kNone) {
    this->lease->GiveBack();
  }
  return {this->tracker.Current(), std::move(response), {}};
}

Exchange Attempt::Failed(Reason reason) const {
  switch (this->ending) {
    case Ending::kTimeout:
      reason = {ErrorCode::kDeadlineExceeded, "", "no whole answer in time"};
      break;
    case Ending::kConnectTimeout:
      reason = {ErrorCode::kUnavailable, "", "no connection in time"};
      break;
    case Ending::kCancelled:
      reason = {ErrorCode::kUnavailable, "", "cancelled"};
      break;
    case Ending::kNone:
      break;
  }
  return {this->tracker.Current(), std::nullopt, std::move(reason)};
}

}  // namespace chervilspar::http
