#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace boost::asio {
class io_context;
}

namespace chervilspar::rpc {

/// Bounds of the traffic between entries.
struct TransportLimits {
  /// Longest frame. A whole encoded fleet state must fit (docs/CAPACITY.md gives its size).
  std::size_t frame_bytes = 16U << 20U;
  /// Most bytes waiting for one peer; what comes on top is dropped and counted.
  std::size_t queue_bytes = 32U << 20U;
  /// Most bytes of frames that have begun to arrive and are not whole, over all connections; a
  /// connection that would go above that is closed. One frame always has room.
  std::size_t arriving_bytes = 64U << 20U;
  /// Most connections accepted from other entries at once.
  std::size_t connections = 64;
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration write_timeout = std::chrono::seconds(2);
  /// A connection without a frame for this long is closed; heartbeats come far more often.
  Duration idle_timeout = std::chrono::seconds(30);
  /// First and longest pause between two tries to connect.
  Duration reconnect_min = std::chrono::milliseconds(50);
  Duration reconnect_max = std::chrono::seconds(1);

  friend bool operator==(const TransportLimits&, const TransportLimits&) = default;
};

/// What the transport has seen since its start.
struct TransportCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_received = 0;
  /// Frames dropped because the peer's queue was full or its connection broke.
  std::uint64_t frames_dropped = 0;
  /// Frames with a length outside the limits; the connection is closed.
  std::uint64_t bad_frames = 0;

  friend bool operator==(const TransportCounters&, const TransportCounters&) = default;
};

/// Carries frames between entries over TCP, each a four-byte big-endian length and that many bytes.
///
/// Delivery is not guaranteed: a frame may be lost when a connection breaks, and the modules above
/// are written for loss, delay and repetition. Frames to one peer stay in order while its
/// connection lasts. Safe to call from any thread.
class PeerTransport {
 public:
  /// Called for each received frame on one of the context's threads.
  using Receiver = std::function<void(std::string frame)>;

  virtual ~PeerTransport() = default;

  /// Queues a frame for the peer at `address` ("ip:port"), connecting when needed.
  virtual void Send(const std::string& address, std::string frame) = 0;
  /// Closes all connections and stops accepting.
  virtual void Stop() = 0;
  virtual TransportCounters Counters() const = 0;
};

/// Opens a transport that listens on `listen_address` ("ip:port").
Result<std::unique_ptr<PeerTransport>> OpenPeerTransport(boost::asio::io_context& context,
                                                         const std::string& listen_address,
                                                         const TransportLimits& limits,
                                                         PeerTransport::Receiver receiver);

}  // namespace chervilspar::rpc
