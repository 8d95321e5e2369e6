#pragma once

#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "rpc/frame.h"
#include "rpc/outgoing_peer.h"

namespace chervilspar::rpc {

/// An accepted connection: reads frames one after the other and hands them on.
class IncomingPeer : public std::enable_shared_from_this<IncomingPeer> {
 public:
  IncomingPeer(boost::asio::ip::tcp::socket socket, const TransportLimits& limits,
               std::shared_ptr<SharedCounters> counters, PeerTransport::Receiver receiver);

  void Start();
  void Close();

 private:
  void ReadHeader();
  void OnHeader();
  void ReadBody(std::size_t missing);
  void OnChunk(std::size_t received, std::size_t missing);
  void ArmIdleTimeout();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer idle_timer;
  const TransportLimits limits;
  std::shared_ptr<SharedCounters> counters;
  PeerTransport::Receiver receiver;
  FrameHeader header{};
  std::string body;
};

}  // namespace chervilspar::rpc
