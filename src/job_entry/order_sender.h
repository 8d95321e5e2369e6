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

/// Carries orders to endpoints and renews leases there: for each endpoint one renewal at a time and
/// a few orders side by side.
class OrderSender {
 public:
  /// `may_start`: whether a task may be started at this endpoint now; asked just before the order
  /// leaves, as it may have waited.
  OrderSender(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_news,
              std::function<bool(const std::string&)> may_start);
  ~OrderSender();

  void Send(jobs::Orders orders);
  /// Begins to look after endpoints that are new to it.
  void UpdateEndpoints(const std::vector<std::string>& endpoints);
  /// A record was stored: renewals that confirm ends may go on.
  void OnStored();
  void Stop();

 private:
  /// What concerns one endpoint; lives as long as one of its coroutines.
  struct Channel;
  using Order = std::variant<jobs::StartOrder, jobs::StopOrder, jobs::PaceOrder>;

  Channel& ChannelOf(const std::string& endpoint);
  /// Ends the channels of all others. `endpoints` in ascending order.
  void DropExcept(const std::vector<std::string>& endpoints);
  template <typename T>
  void PushAll(std::vector<T>& orders);

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_news;
  const std::function<bool(const std::string&)> may_start;
  std::map<std::string, std::shared_ptr<Channel>> channels;
  /// Endpoints whose leases are being renewed.
  const std::shared_ptr<int> held_count = std::make_shared<int>(0);
};

}  // namespace chervilspar::job_entry
