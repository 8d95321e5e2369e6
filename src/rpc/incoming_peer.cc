#include "rpc/incoming_peer.h"

#include <algorithm>
#include <utility>

#include <boost/asio/dispatch.hpp>

namespace chervilspar::rpc {

namespace asio = boost::asio;

namespace {
/// Bytes read at a time. Memory for a frame grows by at most this much ahead of what has really
/// arrived, so that a peer (or anything else that connects) can't make the entry allocate by
/// announcing a huge length.
constexpr std::size_t kChunkBytes = 16U << 10U;
}  // namespace

IncomingPeer::IncomingPeer(asio::ip::tcp::socket socket, const TransportLimits& limits,
                           std::shared_ptr<ByteBudget> budget,
                           std::shared_ptr<SharedCounters> counters,
                           PeerTransport::Receiver receiver)
    : socket(std::move(socket)),
      idle_timer(this->socket.get_executor()),
      limits(limits),
      budget(std::move(budget)),
      held(*this->budget),
      counters(std::move(counters)),
      receiver(std::move(receiver)) {}

void IncomingPeer::Start() {
  asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this()] { self->Read(); });
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

void IncomingPeer::Read() {
  this->ArmIdleTimeout();
  const std::size_t have = this->arrived.size();
  this->arrived.resize(have + kChunkBytes);
  this->socket.async_read_some(asio::buffer(this->arrived.data() + have, kChunkBytes),
                               [self = this->shared_from_this(), have](
                                   const boost::system::error_code& error, std::size_t received) {
                                 self->arrived.resize(have + received);
                                 if (error) {
                                   self->idle_timer.cancel();
                                   return;
                                 }
                                 self->OnRead(received);
                               });
}

void IncomingPeer::OnRead(std::size_t received) {
  this->counters->bytes_received += received;
  if (!this->TakeFrames() || !this->MakeRoom()) {
    ++this->counters->bad_frames;
    this->Close();
    return;
  }
  this->Read();
}

bool IncomingPeer::MakeRoom() {
  if (this->arrived.empty()) {
    if (this->arrived.capacity() > kChunkBytes) {
      this->arrived.shrink_to_fit();
    }
    return this->held.Resize(0);
  }
  return this->held.Resize(std::max(this->arrived.size() + kChunkBytes, this->arrived.capacity()));
}

bool IncomingPeer::TakeFrames() {
  std::size_t taken = 0;
  while (this->arrived.size() - taken >= kFrameHeaderBytes) {
    FrameHeader header{};
    std::copy_n(this->arrived.begin() + static_cast<std::ptrdiff_t>(taken), kFrameHeaderBytes,
                header.begin());
    const std::size_t length = DecodeFrameHeader(header);
    if (length == 0 || length > this->limits.frame_bytes) {
      return false;
    }
    if (this->arrived.size() - taken - kFrameHeaderBytes < length) {
      break;
    }
    ++this->counters->frames_received;
    this->receiver(this->arrived.substr(taken + kFrameHeaderBytes, length));
    taken += kFrameHeaderBytes + length;
  }
  this->arrived.erase(0, taken);
  return true;
}

}  // namespace chervilspar::rpc
