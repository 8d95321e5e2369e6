#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

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
  /// Starts renewing leases at endpoints that are new and drops those that are not in the list.
  /// `endpoints` in ascending order.
  void UpdateEndpoints(const std::vector<std::string>& endpoints);
  /// Records were stored: renewals that confirm ends may continue.
  void OnStored();
  void Stop();

 private:
  /// The orders and renewals of one endpoint; lives as long as any of its coroutines.
  struct Channel;
  using Order = std::variant<jobs::StartOrder, jobs::StopOrder, jobs::ThrottleOrder>;

  Channel& ChannelOf(const std::string& endpoint);
  /// Ends the channels of all other endpoints that have no orders left. `endpoints` in ascending
  /// order.
  void DropExcept(const std::vector<std::string>& endpoints);
  template <typename T>
  void PushAll(std::vector<T>& orders);

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_change;
  const std::function<bool(const std::string&)> may_start;
  std::map<std::string, std::shared_ptr<Channel>> channels;
  /// The number of endpoints whose leases are being renewed.
  const std::shared_ptr<int> renewing_count = std::make_shared<int>(0);
};

}  // namespace chervilspar::job_entry
