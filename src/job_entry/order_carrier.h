#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chervilspar/rpc/carrier_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/address_batches.h"
#include "job_entry/context.h"
#include "job_entry/payload_cache.h"
#include "job_entry/work_queue.h"

namespace chervilspar::job_entry {

/// Forwards orders of the owner to endpoints and reports their outcomes to it.
///
/// Makes no decisions: the orders contain tokens, run numbers and lease times, and the endpoints
/// check these. A delay here is therefore as safe as a delay at the endpoint.
class OrderCarrier {
 public:
  /// `link` sends the orders to the endpoints, `transport` sends back the answers. Both must
  /// outlive this object.
  OrderCarrier(const Context& context, EndpointLink& link, rpc::PeerTransport& transport);

  /// Sets the check whether tasks may be started in this entry's zone now. A process that resumes
  /// after being suspended may find orders that are no longer allowed.
  void SetMayStart(std::function<bool()> may_start) { this->may_start = std::move(may_start); }

  void OnBatch(const rpc::OrderBatch& batch);

 private:
  /// Where the answer goes, and when the order expires.
  struct Origin {
    std::string reply_address;
    Duration timeout{};
    TimePoint expires{};
    /// How long answers may be collected.
    Duration answer_delay{};
  };

  void EnqueueStart(rpc::Carried<jobs::StartOrder> start, const Origin& origin);
  template <typename Order, typename Execute>
  void Enqueue(const rpc::Carried<Order>& carried, const Origin& origin, bool keeps_payload,
               Execute execute);
  boost::asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order, Duration timeout);
  boost::asio::awaitable<void> RenewLease(rpc::Carried<jobs::RenewalOrder> carried, Origin origin);
  void Answer(const Origin& origin, rpc::CarriedAnswer answer);
  WorkQueue& QueueFor(const std::string& endpoint);

  const Context context;
  EndpointLink& link;
  std::shared_ptr<AddressBatcher<rpc::CarriedAnswers>> answers;
  std::function<bool()> may_start;
  PayloadCache payloads;
  std::map<std::string, std::shared_ptr<WorkQueue>> queues;
};

}  // namespace chervilspar::job_entry
