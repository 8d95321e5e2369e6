#include "job_entry/carried_endpoints.h"

#include <random>
#include <utility>

#include "job_entry/frame_interval.h"
#include "job_entry/member_name.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// Orders of one scheduling decision go to their carrier in one batch.
constexpr Duration kOrderDelay = std::chrono::milliseconds(3);
/// Added to the timeout at the endpoint: covers both network hops to the carrier and the queueing
/// there.
constexpr Duration kForwardingMargin = std::chrono::milliseconds(250);
/// Concurrent orders to one endpoint through a carrier. The carrier limits the concurrency at the
/// endpoint; here a large number only lets orders share a batch.
constexpr std::size_t kMaxForwardedOrders = 24;
/// Longer than an order with a callback takes, including the repetition of a start.
constexpr Duration kLongestOrder = std::chrono::seconds(5);
/// Between two checks for orders with callbacks that weren't answered in time.
constexpr Duration kReviewInterval = std::chrono::milliseconds(50);
/// Unanswered orders whose carriers are remembered, in case an answer comes late.
constexpr std::size_t kMaxAbandonedOrders = 1024;

/// Order numbers start at a random value. A restarted process keeps its address, and carriers may
/// still answer orders of the previous process; these answers must not match new orders.
std::uint64_t RandomFirstNumber() {
  std::random_device device;
  // At most 62 bits: the number is signed on the wire and has to be able to count up.
  return (std::uint64_t{device()} << 30U) ^ device();
}

/// Whether this outcome proves that the order has reached the endpoint.
bool HasReachedEndpoint(OrderOutcome outcome) {
  return outcome != OrderOutcome::kNoAnswer && outcome != OrderOutcome::kNotSent &&
         outcome != OrderOutcome::kTooLate && outcome != OrderOutcome::kPayloadMissing;
}

}  // namespace

CarriedEndpoints::CarriedEndpoints(const Context& context, std::unique_ptr<EndpointLink> direct)
    : context(context),
      direct(std::move(direct)),
      choice(context.settings.decisions.carriers, context.settings.cores),
      next_number(RandomFirstNumber()),
      review(context.io) {}

void CarriedEndpoints::Open(rpc::PeerTransport& transport, std::string own_address) {
  this->transport = &transport;
  this->own_address = std::move(own_address);
  this->batches = std::make_shared<AddressBatcher<rpc::OrderBatch>>(
      this->context, [this, &transport](const std::string& address, rpc::OrderBatch batch) {
        const auto span = this->context.Measure(telemetry::WorkPart::kCarry);
        const rpc::CarrierMessage message(std::move(batch));
        std::string frame = rpc::Encode(message);
        if (this->context.settings.decisions.scheduler.budgets_link) {
          this->traffic.OnBatch(address, std::get<rpc::OrderBatch>(message), frame.size());
        }
        transport.Send(address, std::move(frame));
      });
}

void CarriedEndpoints::SetMembers(const std::vector<std::string>& members) {
  std::vector<jobs::Carrier> carriers;
  for (const std::string& member : members) {
    std::optional<jobs::Carrier> carrier = CarrierOf(member);
    if (carrier && carrier->address != this->own_address) {
      carriers.push_back(*std::move(carrier));
    }
  }
  this->choice.SetCarriers(carriers);
  this->frame_interval = FrameInterval(carriers.size(), this->context.settings.cores);
  // Carriers that have left the group won't answer.
  for (const auto& [number, entry] : this->pending) {
    if (!this->choice.IsCarrier(entry->carrier)) {
      entry->wakeup->Notify();
    }
  }
  this->ReviewForwarded();
}

void CarriedEndpoints::SetEndpoints(const std::vector<jobs::EndpointRecord>& endpoints) {
  this->choice.SetEndpoints(endpoints);
}

std::optional<std::string> CarriedEndpoints::CarrierFor(const std::string& endpoint) const {
  return this->transport == nullptr ? std::nullopt
                                    : this->choice.Choose(endpoint, this->context.Now());
}

std::size_t CarriedEndpoints::MaxConcurrentOrders(const std::string& endpoint) const {
  return this->CarrierFor(endpoint) ? kMaxForwardedOrders : kMaxOrdersPerEndpoint;
}

rpc::OrderBatch& CarriedEndpoints::BatchFor(const std::string& carrier, Duration timeout,
                                            Duration delay) {
  rpc::OrderBatch& batch = this->batches->At(carrier, delay);
  batch.answer_delay = this->frame_interval;
  batch.reply_address = this->own_address;
  batch.timeout = std::max(batch.timeout, timeout);
  return batch;
}

void CarriedEndpoints::OnAnswers(rpc::CarriedAnswers answers) {
  for (rpc::CarriedAnswer& answer : answers) {
    if (this->CallBack(answer)) {
      continue;
    }
    const auto found = this->pending.find(answer.number);
    if (found == this->pending.end()) {
      this->OnLateAnswer(answer);
      continue;
    }
    this->RecordAnswer(found->second->carrier, answer.outcome);
    found->second->answer = std::move(answer);
    found->second->wakeup->Notify();
  }
}

void CarriedEndpoints::RecordAnswer(const std::string& carrier, OrderOutcome outcome) {
  if (outcome == OrderOutcome::kNoAnswer) {
    // The carrier may be disconnected from the endpoint while another carrier isn't.
    this->choice.OnUnanswered(carrier, this->context.Now());
  } else {
    this->choice.OnAnswered(carrier);
  }
}

void CarriedEndpoints::Abandon(std::uint64_t number, const std::string& carrier) {
  this->choice.OnUnanswered(carrier, this->context.Now());
  this->known_payloads.RemoveAll(carrier);
  this->abandoned.emplace(number, carrier);
  if (this->abandoned.size() > kMaxAbandonedOrders) {
    this->abandoned.erase(this->abandoned.begin());
  }
}

/// Only updates the choice of carriers: the order's sender has timed out and finds the order's
/// state by a status request or a stop.
void CarriedEndpoints::OnLateAnswer(const rpc::CarriedAnswer& answer) {
  const auto found = this->abandoned.find(answer.number);
  if (found == this->abandoned.end()) {
    return;
  }
  if (HasReachedEndpoint(answer.outcome)) {
    this->choice.OnAnsweredLate(found->second, this->context.Now());
  }
  this->abandoned.erase(found);
}

asio::awaitable<rpc::CarriedAnswer> CarriedEndpoints::AwaitAnswer(std::string carrier,
                                                                  std::uint64_t number,
                                                                  Duration timeout) {
  const auto entry = std::make_shared<PendingOrder>();
  entry->carrier = std::move(carrier);
  entry->wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  this->pending.emplace(number, entry);
  co_await entry->wakeup->WaitFor(timeout + kForwardingMargin);
  this->pending.erase(number);
  if (entry->answer) {
    co_return *std::move(entry->answer);
  }
  this->Abandon(number, entry->carrier);
  this->context.metrics.Count({"chervilspar_carried_unanswered_total", {}});
  rpc::CarriedAnswer none;
  none.number = number;
  co_return none;
}

asio::awaitable<RenewalOutcome> CarriedEndpoints::RenewLease(jobs::RenewalOrder order,
                                                             Duration timeout) {
  const auto held = std::make_shared<RenewalOutcome>();
  const auto wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  const bool is_forwarded =
      this->ForwardRenewal(order, timeout, [held, wakeup](RenewalOutcome outcome) {
        *held = std::move(outcome);
        wakeup->Notify();
      });
  if (!is_forwarded) {
    co_return co_await this->direct->RenewLease(std::move(order), timeout);
  }
  // Without an answer, the review calls back.
  co_await wakeup->WaitFor(timeout + kLongestOrder);
  co_return std::move(*held);
}

bool CarriedEndpoints::ForwardRenewal(jobs::RenewalOrder& order, Duration timeout,
                                      RenewalCallback&& on_outcome) {
  std::optional<std::string> carrier = this->CarrierFor(order.endpoint);
  if (!carrier) {
    return false;
  }
  const std::uint64_t number = this->next_number++;
  rpc::OrderBatch& batch = this->BatchFor(*carrier, timeout - order.wait, this->frame_interval);
  batch.holds.push_back({number, std::move(order), std::nullopt});
  this->forwarded_renewals.emplace(
      number,
      ForwardedRenewal{*std::move(carrier), this->context.Now() + timeout + kForwardingMargin,
                       std::move(on_outcome)});
  this->ReviewForwardedLater();
  return true;
}

bool CarriedEndpoints::CallBack(rpc::CarriedAnswer& answer) {
  if (const auto found = this->forwarded_renewals.find(answer.number);
      found != this->forwarded_renewals.end()) {
    const ForwardedRenewal renewal = std::move(found->second);
    this->forwarded_renewals.erase(found);
    this->RecordAnswer(renewal.carrier, answer.outcome);
    RenewalOutcome held{answer.outcome, std::move(answer.report)};
    if (held.outcome == OrderOutcome::kDone && !held.report) {
      held.outcome = OrderOutcome::kNoAnswer;
    }
    renewal.on_outcome(std::move(held));
    return true;
  }
  if (const auto found = this->forwarded_starts.find(answer.number);
      found != this->forwarded_starts.end()) {
    ForwardedStart start = std::move(found->second);
    this->forwarded_starts.erase(found);
    this->RecordAnswer(start.carrier, answer.outcome);
    this->OnStartAnswer(std::move(start), answer);
    return true;
  }
  return false;
}

template <typename Order>
asio::awaitable<OrderOutcome> CarriedEndpoints::SendOrder(Order order, Duration timeout,
                                                          BatchList<Order> list,
                                                          DirectCall<Order> direct_call) {
  std::optional<std::string> carrier = this->CarrierFor(order.endpoint);
  if (!carrier) {
    return (this->direct.get()->*direct_call)(std::move(order), timeout);
  }
  const std::uint64_t number = this->next_number++;
  (this->BatchFor(*carrier, timeout, kOrderDelay).*list).push_back({number, std::move(order)});
  return this->AwaitOutcome(*std::move(carrier), number, timeout);
}

asio::awaitable<OrderOutcome> CarriedEndpoints::AwaitOutcome(std::string carrier,
                                                             std::uint64_t number,
                                                             Duration timeout) {
  const rpc::CarriedAnswer answer = co_await this->AwaitAnswer(std::move(carrier), number, timeout);
  co_return answer.outcome;
}

asio::awaitable<jobs::StartAnswer> CarriedEndpoints::Start(jobs::StartOrder order,
                                                           Duration timeout) {
  const auto answer = std::make_shared<jobs::StartAnswer>(OrderOutcome::kNoAnswer);
  const auto wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  const bool is_forwarded =
      this->ForwardStart(order, timeout, [answer, wakeup](jobs::StartAnswer answered) {
        *answer = answered;
        wakeup->Notify();
      });
  if (!is_forwarded) {
    co_return co_await this->direct->Start(std::move(order), timeout);
  }
  // Without an answer, the review calls back.
  co_await wakeup->WaitFor(kLongestOrder);
  co_return *answer;
}

bool CarriedEndpoints::ForwardStart(jobs::StartOrder& order, Duration timeout,
                                    StartCallback&& on_outcome) {
  std::optional<std::string> carrier = this->CarrierFor(order.endpoint);
  if (!carrier) {
    return false;
  }
  ForwardedStart start;
  start.payload_digest = rpc::PayloadDigest(order.payload);
  start.order = std::move(order);
  start.timeout = timeout;
  start.carrier = *std::move(carrier);
  start.on_outcome = std::move(on_outcome);
  if (this->KeepsPayloads()) {
    this->traffic.OnQueued(
        start.carrier,
        jobs::LinkBudget::StartBytes(start.order.payload.size(), start.order.checkpoint.size()));
  }
  this->QueueStart(std::move(start), this->KeepsPayloads());
  return true;
}

bool CarriedEndpoints::KeepsPayloads() const {
  return this->context.settings.decisions.scheduler.budgets_link;
}

void CarriedEndpoints::QueueStart(ForwardedStart start, bool may_omit_payload) {
  const std::uint64_t number = this->next_number++;
  const jobs::StartOrder& order = start.order;
  rpc::OrderBatch& batch = this->BatchFor(start.carrier, start.timeout, kOrderDelay);
  rpc::Carried<jobs::StartOrder>& carried = batch.starts.emplace_back();
  carried.number = number;
  carried.order = {order.endpoint,   order.address, order.task,  order.run,         {},
                   order.checkpoint, order.ticket,  order.token, order.lease_end_ms};
  if (may_omit_payload && !order.payload.empty() &&
      this->known_payloads.Has(start.carrier, order.task.job, start.payload_digest)) {
    carried.kept_payload = start.payload_digest;
  } else {
    carried.order.payload = order.payload;
  }
  start.expires = this->context.Now() + start.timeout + kForwardingMargin;
  this->forwarded_starts.emplace(number, std::move(start));
  this->ReviewForwardedLater();
}

void CarriedEndpoints::OnStartAnswer(ForwardedStart start, const rpc::CarriedAnswer& answer) {
  if (answer.outcome == OrderOutcome::kPayloadMissing && !start.is_repeated) {
    // The carrier has restarted or dropped the payload. Nothing has run.
    this->known_payloads.Remove(start.carrier, start.order.task.job);
    this->context.metrics.Count({"chervilspar_payloads_sent_again_total", {}});
    start.is_repeated = true;
    this->QueueStart(std::move(start), false);
    return;
  }
  if (answer.keeps_payload) {
    this->known_payloads.Add(start.carrier, start.order.task.job, start.payload_digest);
  }
  start.on_outcome({answer.outcome, answer.clock_ms});
}

void CarriedEndpoints::ReviewForwardedLater() {
  if (this->is_review_due) {
    return;
  }
  this->is_review_due = true;
  this->review.expires_after(kReviewInterval);
  this->review.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->is_review_due = false;
      this->ReviewForwarded();
    }
  });
}

void CarriedEndpoints::ReviewForwarded() {
  const TimePoint now = this->context.Now();
  std::vector<std::pair<std::uint64_t, std::string>> overdue;
  const auto collect = [&](const auto& forwarded) {
    for (const auto& [number, order] : forwarded) {
      if (now >= order.expires || !this->choice.IsCarrier(order.carrier)) {
        overdue.emplace_back(number, order.carrier);
      }
    }
  };
  collect(this->forwarded_renewals);
  collect(this->forwarded_starts);
  for (const auto& [number, carrier] : overdue) {
    this->Abandon(number, carrier);
    this->context.metrics.Count({"chervilspar_carried_unanswered_total", {}});
    if (auto renewal = this->forwarded_renewals.extract(number)) {
      renewal.mapped().on_outcome({});
    } else if (auto start = this->forwarded_starts.extract(number)) {
      start.mapped().on_outcome(OrderOutcome::kNoAnswer);
    }
  }
  if (!this->forwarded_starts.empty() || !this->forwarded_renewals.empty()) {
    this->ReviewForwardedLater();
  }
}

asio::awaitable<OrderOutcome> CarriedEndpoints::Stop(jobs::StopOrder order, Duration timeout) {
  return this->SendOrder(std::move(order), timeout, &rpc::OrderBatch::stops, &EndpointLink::Stop);
}

asio::awaitable<OrderOutcome> CarriedEndpoints::Throttle(jobs::ThrottleOrder order,
                                                         Duration timeout) {
  return this->SendOrder(std::move(order), timeout, &rpc::OrderBatch::paces,
                         &EndpointLink::Throttle);
}

}  // namespace chervilspar::job_entry
