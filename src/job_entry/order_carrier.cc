#include "job_entry/order_carrier.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// Answers within this time go back in one batch.
constexpr Duration kBatchDelay = std::chrono::milliseconds(8);
/// The queues kept per endpoint. All are dropped when there are more, since endpoints come and go
/// under new names.
constexpr std::size_t kMaxQueues = 4096;

}  // namespace

OrderCarrier::OrderCarrier(const Context& context, EndpointLink& link,
                           rpc::PeerTransport& transport)
    : context(context),
      link(link),
      answers(std::make_shared<AddressBatcher<rpc::CarriedAnswers>>(
          context, kBatchDelay,
          [&transport](const std::string& address, rpc::CarriedAnswers batch) {
            transport.Send(address, rpc::Encode(std::move(batch)));
          })) {}

WorkQueue& OrderCarrier::QueueFor(const std::string& endpoint) {
  if (this->queues.size() > kMaxQueues) {
    this->queues.clear();
  }
  std::shared_ptr<WorkQueue>& queue = this->queues[endpoint];
  if (queue == nullptr) {
    queue = std::make_shared<WorkQueue>(this->context, kMaxOrdersPerEndpoint);
  }
  return *queue;
}

template <typename Order, typename Execute>
void OrderCarrier::Enqueue(const rpc::Carried<Order>& carried, const Origin& origin,
                           Execute execute) {
  this->QueueFor(carried.order.endpoint)
      .Add([this, carried, origin, execute]() -> asio::awaitable<void> {
        OrderOutcome outcome = OrderOutcome::kTooLate;
        if (this->context.Now() < origin.expires) {
          outcome = co_await execute(carried.order, origin.timeout);
        }
        this->Answer(origin, {carried.number, outcome, std::nullopt});
      });
}

void OrderCarrier::OnBatch(const rpc::OrderBatch& batch) {
  const Origin origin{batch.reply_address, batch.timeout, this->context.Now() + batch.timeout};
  for (const auto& stop : batch.stops) {
    this->Enqueue(stop, origin, [this](const jobs::StopOrder& order, Duration timeout) {
      return this->link.Stop(order, timeout);
    });
  }
  for (const auto& start : batch.starts) {
    this->Enqueue(start, origin, [this](const jobs::StartOrder& order, Duration timeout) {
      return this->Start(order, timeout);
    });
  }
  for (const auto& pace : batch.paces) {
    this->Enqueue(pace, origin, [this](const jobs::ThrottleOrder& order, Duration timeout) {
      return this->link.Throttle(order, timeout);
    });
  }
  for (const auto& hold : batch.holds) {
    Spawn(this->context, this->RenewLease(hold, origin));
  }
}

asio::awaitable<OrderOutcome> OrderCarrier::Start(jobs::StartOrder order, Duration timeout) {
  if (this->may_start && !this->may_start()) {
    co_return OrderOutcome::kRefused;
  }
  co_return co_await this->link.Start(std::move(order), timeout);
}

asio::awaitable<void> OrderCarrier::RenewLease(rpc::Carried<jobs::RenewalOrder> carried,
                                               Origin origin) {
  const Duration timeout = origin.timeout + carried.order.wait;
  RenewalOutcome held = co_await this->link.RenewLease(std::move(carried.order), timeout);
  this->Answer(origin, {carried.number, held.outcome, std::move(held.report)});
}

void OrderCarrier::Answer(const Origin& origin, rpc::CarriedAnswer answer) {
  this->answers->At(origin.reply_address).push_back(std::move(answer));
}

}  // namespace chervilspar::job_entry
