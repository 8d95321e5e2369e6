#include "job_entry/carried_endpoints.h"

#include <random>
#include <utility>

#include "job_entry/member_name.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// Orders of one scheduling decision go to their carrier in one batch.
constexpr Duration kBatchDelay = std::chrono::milliseconds(3);
/// Added to the timeout at the endpoint: covers both network hops to the carrier and the queueing
/// there.
constexpr Duration kForwardingMargin = std::chrono::milliseconds(250);
/// Concurrent orders to one endpoint through a carrier. The carrier limits the concurrency at the
/// endpoint; here a large number only lets orders share a batch.
constexpr std::size_t kMaxForwardedOrders = 24;
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
      next_number(RandomFirstNumber()) {}

void CarriedEndpoints::Open(rpc::PeerTransport& transport, std::string own_address) {
  this->transport = &transport;
  this->own_address = std::move(own_address);
  this->batches = std::make_shared<AddressBatcher<rpc::OrderBatch>>(
      this->context, kBatchDelay,
      [this, &transport](const std::string& address, rpc::OrderBatch batch) {
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
  // Carriers that have left the group won't answer.
  for (const auto& [number, entry] : this->pending) {
    if (!this->choice.IsCarrier(entry->carrier)) {
      entry->wakeup->Notify();
    }
  }
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

rpc::OrderBatch& CarriedEndpoints::BatchFor(const std::string& carrier, Duration timeout) {
  rpc::OrderBatch& batch = this->batches->At(carrier);
  batch.reply_address = this->own_address;
  batch.timeout = std::max(batch.timeout, timeout);
  return batch;
}

void CarriedEndpoints::OnAnswers(rpc::CarriedAnswers answers) {
  for (rpc::CarriedAnswer& answer : answers) {
    const auto found = this->pending.find(answer.number);
    if (found == this->pending.end()) {
      this->OnLateAnswer(answer);
      continue;
    }
    if (answer.outcome == OrderOutcome::kNoAnswer) {
      // The carrier may be disconnected from the endpoint while another carrier isn't.
      this->choice.OnUnanswered(found->second->carrier, this->context.Now());
    } else {
      this->choice.OnAnswered(found->second->carrier);
    }
    found->second->answer = std::move(answer);
    found->second->wakeup->Notify();
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
  std::optional<std::string> carrier = this->CarrierFor(order.endpoint);
  if (!carrier) {
    return this->direct->RenewLease(std::move(order), timeout);
  }
  const std::uint64_t number = this->next_number++;
  rpc::OrderBatch& batch = this->BatchFor(*carrier, timeout - order.wait);
  batch.holds.push_back({number, std::move(order)});
  return this->AwaitReport(*std::move(carrier), number, timeout);
}

asio::awaitable<RenewalOutcome> CarriedEndpoints::AwaitReport(std::string carrier,
                                                              std::uint64_t number,
                                                              Duration timeout) {
  rpc::CarriedAnswer answer = co_await this->AwaitAnswer(std::move(carrier), number, timeout);
  RenewalOutcome held;
  held.outcome = answer.outcome;
  held.report = std::move(answer.report);
  if (held.outcome == OrderOutcome::kDone && !held.report) {
    held.outcome = OrderOutcome::kNoAnswer;
  }
  co_return held;
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
  (this->BatchFor(*carrier, timeout).*list).push_back({number, std::move(order)});
  return this->AwaitOutcome(*std::move(carrier), number, timeout);
}

asio::awaitable<OrderOutcome> CarriedEndpoints::AwaitOutcome(std::string carrier,
                                                             std::uint64_t number,
                                                             Duration timeout) {
  const rpc::CarriedAnswer answer = co_await this->AwaitAnswer(std::move(carrier), number, timeout);
  co_return answer.outcome;
}

asio::awaitable<OrderOutcome> CarriedEndpoints::Start(jobs::StartOrder order, Duration timeout) {
  std::optional<std::string> carrier = this->CarrierFor(order.endpoint);
  if (carrier && this->context.settings.decisions.scheduler.budgets_link) {
    return this->ForwardStart(*std::move(carrier), std::move(order), timeout);
  }
  return this->SendOrder(std::move(order), timeout, &rpc::OrderBatch::starts, &EndpointLink::Start);
}

asio::awaitable<rpc::CarriedAnswer> CarriedEndpoints::QueueStart(
    const std::string& carrier, rpc::Carried<jobs::StartOrder> start, Duration timeout) {
  const std::uint64_t number = this->next_number++;
  start.number = number;
  this->BatchFor(carrier, timeout).starts.push_back(std::move(start));
  return this->AwaitAnswer(carrier, number, timeout);
}

asio::awaitable<OrderOutcome> CarriedEndpoints::ForwardStart(std::string carrier,
                                                             jobs::StartOrder order,
                                                             Duration timeout) {
  const jobs::JobId job = order.task.job;
  const std::uint64_t digest = rpc::PayloadDigest(order.payload);
  this->traffic.OnQueued(
      carrier, jobs::LinkBudget::StartBytes(order.payload.size(), order.checkpoint.size()));
  rpc::Carried<jobs::StartOrder> start{0, order, std::nullopt};
  if (!order.payload.empty() && this->known_payloads.Has(carrier, job, digest)) {
    start.order.payload.clear();
    start.kept_payload = digest;
  }
  rpc::CarriedAnswer answer = co_await this->QueueStart(carrier, std::move(start), timeout);
  if (answer.outcome == OrderOutcome::kPayloadMissing) {
    // The carrier has restarted or dropped the payload. Nothing has run.
    this->known_payloads.Remove(carrier, job);
    this->context.metrics.Count({"chervilspar_payloads_sent_again_total", {}});
    // A variable, as GCC 12 destroys some temporaries of an awaited expression twice.
    rpc::Carried<jobs::StartOrder> complete{0, std::move(order), std::nullopt};
    answer = co_await this->QueueStart(carrier, std::move(complete), timeout);
  }
  if (answer.keeps_payload) {
    this->known_payloads.Add(carrier, job, digest);
  }
  co_return answer.outcome;
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
