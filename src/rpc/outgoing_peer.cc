#include "rpc/outgoing_peer.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "rpc/frame.h"

namespace chervilspar::rpc {

namespace asio = boost::asio;

OutgoingPeer::OutgoingPeer(asio::io_context& context, asio::ip::tcp::endpoint endpoint,
                           const TransportLimits& limits, std::shared_ptr<SharedCounters> counters)
    : strand(asio::make_strand(context)),
      socket(this->strand),
      timer(this->strand),
      endpoint(std::move(endpoint)),
      limits(limits),
      counters(std::move(counters)),
      next_pause(limits.reconnect_min) {}

void OutgoingPeer::Send(std::string frame) {
  asio::post(this->strand, [self = this->shared_from_this(), frame = std::move(frame)]() mutable {
    self->Enqueue(std::move(frame));
  });
}

void OutgoingPeer::Stop() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->state = State::kStopped;
    self->DropQueue();
    boost::system::error_code ignored;
    self->socket.close(ignored);
    self->timer.cancel();
  });
}

void OutgoingPeer::Enqueue(std::string frame) {
  const bool too_much = this->queued_bytes + frame.size() > this->limits.queue_bytes;
  if (this->state == State::kStopped || too_much) {
    ++this->counters->frames_dropped;
    return;
  }
  const FrameHeader header = EncodeFrameHeader(static_cast<std::uint32_t>(frame.size()));
  frame.insert(frame.begin(), header.begin(), header.end());
  this->queued_bytes += frame.size();
  this->queue.push_back(std::move(frame));
  if (this->state == State::kIdle) {
    this->Connect();
  } else if (this->state == State::kOpen && this->queue.size() == 1) {
    this->WriteNext();
  }
}

void OutgoingPeer::Connect() {
  this->state = State::kConnecting;
  this->socket = asio::ip::tcp::socket(this->strand);
  this->ArmTimeout(this->limits.connect_timeout);
  this->socket.async_connect(
      this->endpoint, [self = this->shared_from_this()](const boost::system::error_code& error) {
        self->OnConnected(error);
      });
}

void OutgoingPeer::OnConnected(const boost::system::error_code& error) {
  if (this->state != State::kConnecting) {
    return;
  }
  this->timer.cancel();
  if (error) {
    this->Break();
    return;
  }
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->state = State::kOpen;
  this->next_pause = this->limits.reconnect_min;
  if (!this->queue.empty()) {
    this->WriteNext();
  }
}

void OutgoingPeer::WriteNext() {
  this->ArmTimeout(this->limits.write_timeout);
  asio::async_write(this->socket, asio::buffer(this->queue.front()),
                    [self = this->shared_from_this()](const boost::system::error_code& error,
                                                      std::size_t) { self->OnWritten(error); });
}

void OutgoingPeer::OnWritten(const boost::system::error_code& error) {
  if (this->state != State::kOpen) {
    return;
  }
  this->timer.cancel();
  if (error) {
    this->Break();
    return;
  }
  ++this->counters->frames_sent;
  this->counters->bytes_sent += this->queue.front().size();
  this->queued_bytes -= this->queue.front().size();
  this->queue.pop_front();
  if (!this->queue.empty()) {
    this->WriteNext();
  }
}

void OutgoingPeer::ArmTimeout(Duration span) {
  this->timer.expires_after(span);
  this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& error) {
    const bool busy = self->state == State::kConnecting || self->state == State::kOpen;
    if (!error && busy) {
      self->Break();
    }
  });
}

// A frame that was partly written can't be continued on a new connection, and what waited behind it
// has grown old while the peer was away; heartbeats and retries bring the news again.
void OutgoingPeer::Break() {
  this->DropQueue();
  this->BackOff();
}

void OutgoingPeer::DropQueue() {
  this->counters->frames_dropped += this->queue.size();
  this->queue.clear();
  this->queued_bytes = 0;
}

void OutgoingPeer::BackOff() {
  this->state = State::kBackingOff;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->timer.expires_after(this->next_pause);
  this->next_pause = std::min(this->next_pause * 2, this->limits.reconnect_max);
  this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& error) {
    if (error || self->state != State::kBackingOff) {
      return;
    }
    self->state = State::kIdle;
    if (!self->queue.empty()) {
      self->Connect();
    }
  });
}

}  // namespace chervilspar::rpc
