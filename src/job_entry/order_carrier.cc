#include "job_entry/order_carrier.h"

#include <type_traits>
#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// Answers within this time go back in one batch, if the owner asks for no other time.
constexpr Duration kDefaultAnswerDelay = std::chrono::milliseconds(8);
/// The queues kept per endpoint. All are dropped when there are more, since endpoints come and go
/// under new names.
constexpr std::size_t kMaxQueues = 4096;
/// Two thousand payloads of 1,000 bytes, several seconds of starts on a link of 2 Mbit/s.
constexpr std::size_t kMaxPayloadCacheBytes = std::size_t{2} * 1000 * 1000;

}  // namespace

OrderCarrier::OrderCarrier(const Context& context, EndpointLink& link,
                           rpc::PeerTransport& transport)
    : context(context),
      link(link),
      answers(std::make_shared<AddressBatcher<rpc::CarriedAnswers>>(
          context,
          [&transport](const std::string& address, rpc::CarriedAnswers batch) {
            transport.Send(address, rpc::Encode(std::move(batch)));
          })),
      payloads(kMaxPayloadCacheBytes) {}

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
                           bool keeps_payload, Execute execute) {
  const WorkQueue::Work work = [this, carried, origin, keeps_payload,
                                execute]() -> asio::awaitable<void> {
    jobs::StartAnswer answer(OrderOutcome::kTooLate);
    if (this->context.Now() < origin.expires) {
      answer = co_await execute(carried.order, origin.timeout);
    }
    this->Answer(origin,
                 {carried.number, answer.outcome, std::nullopt, keeps_payload, answer.clock_ms});
  };
  WorkQueue& queue = this->QueueFor(carried.order.endpoint);
  if constexpr (std::is_same_v<Order, jobs::StopOrder>) {
    queue.AddUrgent(work);
  } else {
    queue.Add(work);
  }
}

void OrderCarrier::OnBatch(const rpc::OrderBatch& batch) {
  const Origin origin{batch.reply_address, batch.timeout, this->context.Now() + batch.timeout,
                      batch.answer_delay.value_or(kDefaultAnswerDelay)};
  for (const auto& stop : batch.stops) {
    this->Enqueue(stop, origin, false, [this](const jobs::StopOrder& order, Duration timeout) {
      return this->link.Stop(order, timeout);
    });
  }
  for (const auto& start : batch.starts) {
    this->EnqueueStart(start, origin);
  }
  for (const auto& pace : batch.paces) {
    this->Enqueue(pace, origin, false, [this](const jobs::ThrottleOrder& order, Duration timeout) {
      return this->link.Throttle(order, timeout);
    });
  }
  for (const auto& hold : batch.holds) {
    Spawn(this->context, this->RenewLease(hold, origin));
  }
}

void OrderCarrier::EnqueueStart(rpc::Carried<jobs::StartOrder> start, const Origin& origin) {
  const bool is_budgeted = this->context.settings.decisions.scheduler.budgets_link;
  bool keeps_payload = false;
  if (start.kept_payload) {
    const std::string* payload = this->payloads.Find(start.order.task.job, *start.kept_payload);
    if (payload == nullptr) {
      this->Answer(origin, {start.number, OrderOutcome::kPayloadMissing, std::nullopt, false});
      return;
    }
    start.order.payload = *payload;
    keeps_payload = true;
  } else if (is_budgeted) {
    keeps_payload = this->payloads.Put(start.order.task.job, start.order.payload);
  }
  this->Enqueue(start, origin, keeps_payload,
                [this](const jobs::StartOrder& order, Duration timeout) {
                  return this->Start(order, timeout);
                });
}

asio::awaitable<jobs::StartAnswer> OrderCarrier::Start(jobs::StartOrder order, Duration timeout) {
  if (this->may_start && !this->may_start()) {
    co_return jobs::StartAnswer(OrderOutcome::kRefused);
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
  this->answers->At(origin.reply_address, origin.answer_delay).push_back(std::move(answer));
}

}  // namespace chervilspar::job_entry
