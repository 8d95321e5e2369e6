#pragma once

#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilspar/base/byte_budget.h"

#include "rpc/frame.h"
#include "rpc/outgoing_peer.h"

namespace chervilspar::rpc {

/// An accepted connection: reads frames one after the other and hands them on.
class IncomingPeer : public std::enable_shared_from_this<IncomingPeer> {
 public:
  IncomingPeer(boost::asio::ip::tcp::socket socket, const TransportLimits& limits,
               std::shared_ptr<ByteBudget> budget, std::shared_ptr<SharedCounters> counters,
               PeerTransport::Receiver receiver);

  void Start();
  void Close();

 private:
  void Read();
  void OnRead(std::size_t received);
  /// Hands on the whole frames at the front of what has arrived; false for a length out of range.
  bool TakeFrames();
  /// Makes room for what has arrived and the next piece; false if there is none.
  bool MakeRoom();
  void ArmIdleTimeout();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer idle_timer;
  const TransportLimits limits;
  std::shared_ptr<ByteBudget> budget;
  /// What `arrived` holds of the budget.
  ByteBudget::Share held;
  std::shared_ptr<SharedCounters> counters;
  PeerTransport::Receiver receiver;
  /// What has arrived and is not handed on yet.
  std::string arrived;
};

}  // namespace chervilspar::rpc
