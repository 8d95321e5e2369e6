#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chervilspar/rpc/carrier_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/address_batches.h"
#include "job_entry/context.h"
#include "job_entry/work_queue.h"

namespace chervilspar::job_entry {

/// Carries out orders to endpoints for the entry that schedules, and tells it what came of them.
///
/// Decides nothing: tokens, run numbers and times of leases stand in the orders, and the endpoints
/// compare them. An order that is carried out late here is one that its endpoint carried out late.
class OrderCarrier {
 public:
  /// `link`: the way to the endpoints; `transport` takes the answers.
  OrderCarrier(const Context& context, EndpointLink& link, rpc::PeerTransport& transport);

  /// Whether tasks may be started in this entry's zone now. An entry that was frozen finds orders
  /// that were right when they were given.
  void SetMayStart(std::function<bool()> may_start) { this->may_start = std::move(may_start); }

  void OnBatch(const rpc::OrderBatch& batch);

 private:
  /// Where an answer goes, and until when its order is worth carrying out.
  struct Origin {
    std::string reply_address;
    Duration timeout{};
    TimePoint expires{};
  };

  template <typename Order, typename Carry>
  void Queue(const rpc::Carried<Order>& carried, const Origin& origin, Carry carry);
  boost::asio::awaitable<jobs::OrderOutcome> Start(jobs::StartOrder order, Duration timeout);
  boost::asio::awaitable<void> Hold(rpc::Carried<jobs::HoldOrder> carried, Origin origin);
  void Answer(const Origin& origin, rpc::CarriedAnswer answer);
  WorkQueue& LaneOf(const std::string& endpoint);

  const Context context;
  EndpointLink& link;
  std::shared_ptr<AddressBatches<rpc::CarriedAnswers>> answers;
  std::function<bool()> may_start;
  std::map<std::string, std::shared_ptr<WorkQueue>> lanes;
};

}  // namespace chervilspar::job_entry
