#include "job_entry/lease_keeper.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Answers wait behind what is being read.
constexpr Duration kHoldTimeout = std::chrono::milliseconds(1000);
/// Between two looks at what is due.
constexpr Duration kRound = std::chrono::milliseconds(30);

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

asio::awaitable<void> LeaseKeeper::Settle(Duration longest) {
  const TimePoint end = this->context.Now() + longest;
  do {
    co_await Pause(this->context, kRound);
  } while (!this->is_stopped && !this->leases.IsSettled() && this->context.Now() < end);
}

asio::awaitable<void> LeaseKeeper::Run(std::shared_ptr<LeaseKeeper> self) {
  while (!this->is_stopped) {
    this->leases.SetProof(this->proof());
    for (jobs::HoldOrder& order : this->leases.Plan(this->context.Now())) {
      Spawn(this->context, this->Carry(self, std::move(order)));
    }
    co_await Pause(this->context, kRound);
  }
}

asio::awaitable<void> LeaseKeeper::Carry([[maybe_unused]] std::shared_ptr<LeaseKeeper> self,
                                         jobs::HoldOrder order) {
  const std::string endpoint = order.endpoint;
  const RenewalOutcome held =
      co_await this->context.links.endpoints->RenewLease(std::move(order), kHoldTimeout);
  if (this->is_stopped) {
    co_return;
  }
  if (held.outcome == jobs::OrderOutcome::kTokenTooLow) {
    this->on_superseded();
    co_return;
  }
  this->leases.OnAnswered(endpoint, held.report, this->context.Now());
}

}  // namespace chervilspar::job_entry
