#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/carried_endpoints.h"
#include "job_entry/order_carrier.h"
#include "job_entry/question_exchange.h"

namespace chervilspar::job_entry {

/// The connection to other entries: receives orders that this entry forwards for the owner, and the
/// answers to orders that others forward for this entry.
class OrderExchange {
 public:
  /// `endpoints` must outlive this object.
  OrderExchange(const Context& context, CarriedEndpoints& endpoints)
      : context(context), endpoints(endpoints) {}

  /// Listens on the `carrier` address of the settings and registers the fleet_observer in `links`;
  /// does nothing if no address is set. Fails if the address can't be opened.
  Status Open(Links& links);
  /// Sets the check whether tasks may be started in this entry's zone; it is evaluated for each
  /// forwarded start.
  void SetMayStart(std::function<bool()> may_start);
  /// Sets what answers questions of other entries while this entry is the owner.
  void SetAnswerer(QuestionExchange::Answerer answerer);
  /// Frames of forwarded orders and of answers to them since the process start.
  struct Traffic {
    std::size_t frames_sent = 0;
    std::size_t frames_received = 0;
    std::size_t bytes_sent = 0;
    std::size_t bytes_received = 0;

    std::size_t Frames() const { return this->frames_sent + this->frames_received; }
  };
  Traffic CarriedTraffic() const;
  /// Stops sending and receiving.
  void Close();

 private:
  void OnFrame(const std::string& frame);

  const Context context;
  CarriedEndpoints& endpoints;
  bool is_closed = false;
  std::unique_ptr<rpc::PeerTransport> transport;
  std::optional<OrderCarrier> carrier;
  std::optional<QuestionExchange> questions;
};

}  // namespace chervilspar::job_entry
