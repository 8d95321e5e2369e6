#pragma once

#include <functional>
#include <memory>

#include "chervilspar/jobs/interim_leases.h"

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Executes `jobs::InterimLeases` from when the endpoints are known until the term has read its
/// state.
class LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper> {
 public:
  /// `proof`: the latest time at which there was certainly no successor. `on_superseded`: called
  /// when an endpoint has seen a higher token.
  LeaseKeeper(const Context& context, const jobs::SchedulerOptions& options, std::uint64_t token,
              std::function<TimePoint()> proof, std::function<void()> on_superseded);

  void Start(const std::vector<jobs::EndpointRecord>& endpoints);
  /// No renewal is sent after this.
  void Stop();
  /// Waits until the endpoints have reported their runs, at most for `max_wait`.
  boost::asio::awaitable<void> WaitUntilSettled(Duration max_wait);
  const jobs::InterimLeases& Leases() const { return this->leases; }

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<LeaseKeeper> self);
  boost::asio::awaitable<void> SendRenewal(std::shared_ptr<LeaseKeeper> self,
                                           jobs::RenewalOrder order);

  const Context context;
  jobs::InterimLeases leases;
  const std::function<TimePoint()> proof;
  const std::function<void()> on_superseded;
  bool is_stopped = false;
};

}  // namespace chervilspar::job_entry
