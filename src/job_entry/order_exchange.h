#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/carried_endpoints.h"
#include "job_entry/order_carrier.h"

namespace chervilspar::job_entry {

/// Takes the orders that other entries want carried, and the answers to what others carry for this
/// one.
class OrderExchange {
 public:
  /// `endpoints` must outlive this object.
  OrderExchange(const Context& context, CarriedEndpoints& endpoints)
      : context(context), endpoints(endpoints) {}

  /// Listens at the carrier's address; does nothing where the settings name none.
  Status Open(Links& links);
  /// Whether tasks may be started in this entry's zone now; asked for each start that it carries.
  void SetMayStart(std::function<bool()> may_start);
  /// Bytes of carried orders and their answers that were sent and received so far.
  struct Bytes {
    std::size_t sent = 0;
    std::size_t received = 0;
  };
  Bytes CarriedBytes() const;
  /// Takes and sends nothing any more.
  void Close();

 private:
  void OnFrame(const std::string& frame);

  const Context context;
  CarriedEndpoints& endpoints;
  bool is_closed = false;
  std::unique_ptr<rpc::PeerTransport> transport;
  std::optional<OrderCarrier> carrier;
};

}  // namespace chervilspar::job_entry
