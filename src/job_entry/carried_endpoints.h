#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/http/wakeup.h"
#include "chervilspar/jobs/carrier_choice.h"
#include "chervilspar/rpc/carrier_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/address_batches.h"
#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// The owner's way to the endpoints: through other entries where there are many endpoints, directly
/// where there are few or no other entry is near.
class CarriedEndpoints final : public EndpointLink, public FleetObserver {
 public:
  CarriedEndpoints(const Context& context, std::unique_ptr<EndpointLink> direct);

  /// From here on orders may go through other entries; their answers come to `own_address`.
  void Open(rpc::PeerTransport& transport, std::string own_address);
  void OnAnswers(rpc::CarriedAnswers answers);
  EndpointLink& Direct() { return *this->direct; }

  void SetMembers(const std::vector<std::string>& members) override;
  void SetEndpoints(const std::vector<jobs::EndpointRecord>& endpoints) override;

  boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder order,
                                                    Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Start(jobs::StartOrder order,
                                                   Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order, Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::ThrottleOrder order,
                                                      Duration timeout) override;
  std::size_t MaxConcurrentOrders(const std::string& endpoint) const override;

 private:
  /// An order whose answer is waited for.
  struct Waiting {
    std::string carrier;
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<rpc::CarriedAnswer> answer;
  };

  /// Where a batch keeps orders of one kind, and how they are given without a carrier.
  template <typename Order>
  using BatchList = std::vector<rpc::Carried<Order>> rpc::OrderBatch::*;
  template <typename Order>
  using DirectCall = boost::asio::awaitable<jobs::OrderOutcome> (EndpointLink::*)(Order, Duration);

  template <typename Order>
  boost::asio::awaitable<jobs::OrderOutcome> Give(Order order, Duration timeout,
                                                  BatchList<Order> list,
                                                  DirectCall<Order> direct_call);
  std::optional<std::string> CarrierFor(const std::string& endpoint) const;
  /// Waits for what comes of the order with this number; without an answer in time it may have been
  /// carried out.
  boost::asio::awaitable<rpc::CarriedAnswer> Await(std::string carrier, std::uint64_t number,
                                                   Duration timeout);
  boost::asio::awaitable<RenewalOutcome> AwaitReport(std::string carrier, std::uint64_t number,
                                                     Duration timeout);
  boost::asio::awaitable<jobs::OrderOutcome> AwaitOutcome(std::string carrier, std::uint64_t number,
                                                          Duration timeout);
  rpc::OrderBatch& BatchFor(const std::string& carrier, Duration timeout);
  void GiveUp(std::uint64_t number, const std::string& carrier);
  void TakeLate(const rpc::CarriedAnswer& answer);

  const Context context;
  std::unique_ptr<EndpointLink> direct;
  rpc::PeerTransport* transport = nullptr;
  std::string own_address;
  jobs::CarrierChoice choice;
  /// Counts up from a random number.
  std::uint64_t next_number;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting;
  /// The carriers of orders that were given up on, by number; the newest only.
  std::map<std::uint64_t, std::string> given_up;
  std::shared_ptr<AddressBatches<rpc::OrderBatch>> batches;
};

}  // namespace chervilspar::job_entry
