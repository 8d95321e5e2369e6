#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilspar/http/wakeup.h"
#include "chervilspar/jobs/carrier_choice.h"
#include "chervilspar/rpc/carrier_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/address_batches.h"
#include "job_entry/context.h"
#include "job_entry/forwarded_traffic.h"
#include "job_entry/payload_cache.h"

namespace chervilspar::job_entry {

/// The owner's link to the endpoints. With many endpoints, orders are forwarded by other entries;
/// with few, or when no other entry is near, they are sent directly.
class CarriedEndpoints final : public EndpointLink, public FleetObserver {
 public:
  CarriedEndpoints(const Context& context, std::unique_ptr<EndpointLink> direct);

  /// Enables forwarding by other entries; they send their answers to `own_address`.
  void Open(rpc::PeerTransport& transport, std::string own_address);
  void OnAnswers(rpc::CarriedAnswers answers);
  EndpointLink& Direct() { return *this->direct; }

  void SetMembers(const std::vector<std::string>& members) override;
  void SetEndpoints(const std::vector<jobs::EndpointRecord>& endpoints) override;
  void UpdateEndpoints(const jobs::EndpointChanges& changes) override {
    this->choice.UpdateEndpoints(changes);
  }
  jobs::LinkTraffic TakeTraffic() override { return this->traffic.Take(); }

  boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder order,
                                                    Duration timeout) override;
  boost::asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order,
                                                  Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order, Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::ThrottleOrder order,
                                                      Duration timeout) override;
  bool ForwardStart(jobs::StartOrder& order, Duration timeout, StartCallback&& on_outcome) override;
  bool ForwardRenewal(jobs::RenewalOrder& order, Duration timeout,
                      RenewalCallback&& on_outcome) override;
  std::size_t MaxConcurrentOrders(const std::string& endpoint) const override;

 private:
  /// A start whose answer is awaited. Its payload is kept in case that the carrier lacks it.
  struct ForwardedStart {
    jobs::StartOrder order;
    std::uint64_t payload_digest = 0;
    Duration timeout{};
    std::string carrier;
    TimePoint expires{};
    /// It was sent once more with its payload.
    bool is_repeated = false;
    StartCallback on_outcome;
  };

  /// An order whose answer is awaited.
  struct PendingOrder {
    std::string carrier;
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<rpc::CarriedAnswer> answer;
  };

  struct ForwardedRenewal {
    std::string carrier;
    TimePoint expires{};
    RenewalCallback on_outcome;
  };

  /// The list of a batch that holds orders of one kind, and the call that sends such an order
  /// directly.
  template <typename Order>
  using BatchList = std::vector<rpc::Carried<Order>> rpc::OrderBatch::*;
  template <typename Order>
  using DirectCall = boost::asio::awaitable<jobs::OrderOutcome> (EndpointLink::*)(Order, Duration);

  template <typename Order>
  boost::asio::awaitable<jobs::OrderOutcome> SendOrder(Order order, Duration timeout,
                                                       BatchList<Order> list,
                                                       DirectCall<Order> direct_call);
  /// Sends the start in the next frame, without its payload if the carrier is known to have it.
  void QueueStart(ForwardedStart start, bool may_omit_payload);
  void OnStartAnswer(ForwardedStart start, const rpc::CarriedAnswer& answer);
  /// True if an order that was forwarded with a callback has this number.
  bool CallBack(rpc::CarriedAnswer& answer);
  /// Gives up the orders with callbacks whose time is over or whose carrier has left.
  void ReviewForwarded();
  void ReviewForwardedLater();
  std::optional<std::string> CarrierFor(const std::string& endpoint) const;
  /// Waits for the answer to the order with this number. The outcome is `kNoAnswer` when none comes
  /// in time; the order may have been executed all the same.
  boost::asio::awaitable<rpc::CarriedAnswer> AwaitAnswer(std::string carrier, std::uint64_t number,
                                                         Duration timeout);
  boost::asio::awaitable<jobs::OrderOutcome> AwaitOutcome(std::string carrier, std::uint64_t number,
                                                          Duration timeout);
  /// The batch to which an order is added that may wait for `delay`.
  rpc::OrderBatch& BatchFor(const std::string& carrier, Duration timeout, Duration delay);
  /// Whether carriers are asked to keep payloads.
  bool KeepsPayloads() const;
  /// Updates what is known of the carrier that has answered.
  void RecordAnswer(const std::string& carrier, jobs::OrderOutcome outcome);
  void Abandon(std::uint64_t number, const std::string& carrier);
  void OnLateAnswer(const rpc::CarriedAnswer& answer);

  const Context context;
  std::unique_ptr<EndpointLink> direct;
  rpc::PeerTransport* transport = nullptr;
  std::string own_address;
  jobs::CarrierChoice choice;
  /// Starts at a random number and counts up.
  std::uint64_t next_number;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingOrder>> pending;
  std::unordered_map<std::uint64_t, ForwardedStart> forwarded_starts;
  std::unordered_map<std::uint64_t, ForwardedRenewal> forwarded_renewals;
  boost::asio::steady_timer review;
  bool is_review_due = false;
  /// The carriers of abandoned orders by order number, limited to the newest.
  std::map<std::uint64_t, std::string> abandoned;
  std::shared_ptr<AddressBatcher<rpc::OrderBatch>> batches;
  Duration frame_interval{};
  ForwardedTraffic traffic;
  KnownPayloads known_payloads;
};

}  // namespace chervilspar::job_entry
