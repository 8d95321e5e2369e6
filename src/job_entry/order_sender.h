#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "chervilspar/http/wakeup.h"
#include "chervilspar/jobs/scheduler.h"

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Sends orders to endpoints and renews leases there: one renewal at a time and a few concurrent
/// orders for each endpoint.
class OrderSender {
 public:
  /// `on_change` is called after each order or renewal. `may_start` returns whether a task may be
  /// started at this endpoint now; it is evaluated just before the order is sent, which may have
  /// been queued.
  OrderSender(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_change,
              std::function<bool(const std::string&)> may_start);
  ~OrderSender();

  void Send(jobs::Orders orders);
  /// Starts renewing leases at the endpoint, if it is new.
  void AddEndpoint(const std::string& endpoint);
  /// Plans a renewal of the endpoint now if none is in progress.
  void WakeEndpoint(const std::string& endpoint);
  /// The scheduler has forgotten these endpoints: stops renewing leases there, once their orders
  /// have been sent.
  void DropEndpoints(const std::vector<std::string>& endpoints);
  /// Records were stored: renewals that confirm ends may continue.
  void OnStored();
  void Stop();

 private:
  /// The orders and renewals of one endpoint; lives as long as any of its coroutines.
  struct Channel;
  using AwaitingChannels = std::vector<std::weak_ptr<Channel>>;
  using Order = std::variant<jobs::StartOrder, jobs::StopOrder, jobs::ThrottleOrder>;

  Channel& ChannelOf(const std::string& endpoint);
  void PushStarts(std::vector<jobs::StartOrder>& orders);
  template <typename T>
  void PushAll(std::vector<T>& orders);

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_change;
  const std::function<bool(const std::string&)> may_start;
  std::unordered_map<std::string, std::shared_ptr<Channel>> channels;
  /// Forgotten endpoints that still have orders.
  std::set<std::string> dropped;
  /// The channels whose endpoints have reported ends that aren't stored yet.
  const std::shared_ptr<AwaitingChannels> awaiting = std::make_shared<AwaitingChannels>();
  /// The number of endpoints whose leases are being renewed.
  const std::shared_ptr<int> renewing_count = std::make_shared<int>(0);
};

}  // namespace chervilspar::job_entry
