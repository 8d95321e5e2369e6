#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "chervilspar/rpc/peer_transport.h"

namespace chervilspar::rpc {

/// Counters shared by all connections of a transport.
struct SharedCounters {
  std::atomic<std::uint64_t> frames_sent{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> frames_received{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> frames_dropped{0};
  std::atomic<std::uint64_t> bad_frames{0};
};

/// The outgoing connection to one peer, with its bounded queue. All work runs on its strand.
class OutgoingPeer : public std::enable_shared_from_this<OutgoingPeer> {
 public:
  OutgoingPeer(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint,
               const TransportLimits& limits, std::shared_ptr<SharedCounters> counters);

  void Send(std::string frame);
  void Stop();

 private:
  enum class State { kIdle, kConnecting, kBackingOff, kOpen, kStopped };

  void Enqueue(std::string frame);
  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void BackOff();
  void WriteNext();
  void OnWritten(const boost::system::error_code& error);
  void ArmTimeout(Duration span);
  void Break();
  void DropQueue();

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  const boost::asio::ip::tcp::endpoint endpoint;
  const TransportLimits limits;
  std::shared_ptr<SharedCounters> counters;
  State state = State::kIdle;
  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  Duration next_pause;
};

}  // namespace chervilspar::rpc
