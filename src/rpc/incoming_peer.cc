#include "rpc/incoming_peer.h"

#include <algorithm>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/read.hpp>

namespace chervilspar::rpc {

namespace asio = boost::asio;

namespace {
/// Memory for a frame grows by at most this much ahead of what has really arrived, so that a peer
/// (or anything else that connects) can't make the entry allocate by announcing a huge length.
constexpr std::size_t kChunkBytes = 64U << 10U;
}  // namespace

IncomingPeer::IncomingPeer(asio::ip::tcp::socket socket, const TransportLimits& limits,
                           std::shared_ptr<SharedCounters> counters,
                           PeerTransport::Receiver receiver)
    : socket(std::move(socket)),
      idle_timer(this->socket.get_executor()),
      limits(limits),
      counters(std::move(counters)),
      receiver(std::move(receiver)) {}

void IncomingPeer::Start() {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] { self->ReadHeader(); });
}

void IncomingPeer::Close() {
  asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this()] {
    boost::system::error_code ignored;
    self->socket.close(ignored);
    self->idle_timer.cancel();
  });
}

void IncomingPeer::ArmIdleTimeout() {
  this->idle_timer.expires_after(this->limits.idle_timeout);
  this->idle_timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          boost::system::error_code ignored;
          self->socket.close(ignored);
        }
      });
}

void IncomingPeer::ReadHeader() {
  this->ArmIdleTimeout();
  asio::async_read(
      this->socket, asio::buffer(this->header),
      [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t) {
        if (error) {
          self->idle_timer.cancel();
          return;
        }
        self->OnHeader();
      });
}

void IncomingPeer::OnHeader() {
  const std::size_t length = DecodeFrameHeader(this->header);
  if (length == 0 || length > this->limits.frame_bytes) {
    ++this->counters->bad_frames;
    this->Close();
    return;
  }
  this->body.clear();
  this->ReadBody(length);
}

void IncomingPeer::ReadBody(std::size_t missing) {
  const std::size_t chunk = std::min(missing, kChunkBytes);
  const std::size_t have = this->body.size();
  this->body.resize(have + chunk);
  asio::async_read(this->socket, asio::buffer(this->body.data() + have, chunk),
                   [self = this->shared_from_this(), missing](
                       const boost::system::error_code& error, std::size_t received) {
                     if (error) {
                       self->idle_timer.cancel();
                       return;
                     }
                     self->OnChunk(received, missing);
                   });
}

void IncomingPeer::OnChunk(std::size_t received, std::size_t missing) {
  const std::size_t rest = missing - received;
  if (rest > 0) {
    this->ReadBody(rest);
    return;
  }
  ++this->counters->frames_received;
  this->counters->bytes_received += kFrameHeaderBytes + this->body.size();
  this->receiver(std::exchange(this->body, std::string()));
  this->ReadHeader();
}

}  // namespace chervilspar::rpc
