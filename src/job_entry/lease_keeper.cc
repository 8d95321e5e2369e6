#include "job_entry/lease_keeper.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Responses queue behind the records that are being read.
constexpr Duration kRenewalTimeout = std::chrono::milliseconds(1000);
/// Between two rounds of due renewals.
constexpr Duration kRoundInterval = std::chrono::milliseconds(30);

}  // namespace

LeaseKeeper::LeaseKeeper(const Context& context, const jobs::SchedulerOptions& options,
                         std::uint64_t token, std::function<TimePoint()> proof,
                         std::function<void()> on_superseded)
    : context(context),
      leases(options, token),
      proof(std::move(proof)),
      on_superseded(std::move(on_superseded)) {}

void LeaseKeeper::Start(const std::vector<jobs::EndpointRecord>& endpoints) {
  this->leases.SetEndpoints(endpoints);
  Spawn(this->context, this->Run(this->shared_from_this()));
}

void LeaseKeeper::Stop() { this->is_stopped = true; }

asio::awaitable<void> LeaseKeeper::WaitUntilSettled(Duration max_wait) {
  const TimePoint end = this->context.Now() + max_wait;
  do {
    co_await Pause(this->context, kRoundInterval);
  } while (!this->is_stopped && !this->leases.IsPollDone() && this->context.Now() < end);
}

asio::awaitable<void> LeaseKeeper::Run(std::shared_ptr<LeaseKeeper> self) {
  while (!this->is_stopped) {
    this->leases.SetProof(this->proof());
    for (jobs::RenewalOrder& order : this->leases.Plan(this->context.Now())) {
      Spawn(this->context, this->SendRenewal(self, std::move(order)));
    }
    co_await Pause(this->context, kRoundInterval);
  }
}

asio::awaitable<void> LeaseKeeper::SendRenewal([[maybe_unused]] std::shared_ptr<LeaseKeeper> self,
                                               jobs::RenewalOrder order) {
  const RenewalOutcome renewed =
      co_await this->context.links.endpoints->RenewLease(order, kRenewalTimeout);
  if (this->is_stopped) {
    co_return;
  }
  if (renewed.outcome == jobs::OrderOutcome::kTokenTooLow &&
      this->leases.IsTokenOfLaterOwner(order)) {
    this->on_superseded();
    co_return;
  }
  this->leases.OnAnswered(order, renewed.report, this->context.Now());
}

}  // namespace chervilspar::job_entry
