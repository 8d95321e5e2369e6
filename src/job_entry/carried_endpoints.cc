#include "job_entry/carried_endpoints.h"

#include <random>
#include <utility>

#include "job_entry/member_name.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// Orders that are decided on together go to a carrier together.
constexpr Duration kGather = std::chrono::milliseconds(3);
/// On top of what an order may take at its endpoint: the ways to the carrier and back, and what
/// waits there.
constexpr Duration kWayMargin = std::chrono::milliseconds(250);
/// Orders to one endpoint under way at once. The carrier brings them to the endpoint a few at a
/// time; here they only have to be gathered.
constexpr std::size_t kCarriedAtOnce = 24;
/// Orders without answer whose carriers are remembered, in case they answer late.
constexpr std::size_t kMostGivenUp = 1024;

/// What can go wrong: this process starts again at its address while a carrier still holds orders
/// of the former one, and takes the answers to these for answers to its own.
std::uint64_t FirstNumber() {
  std::random_device device;
  // Signed on the wire, with room to count up.
  return (std::uint64_t{device()} << 30U) ^ device();
}

/// Whether the order has reached the endpoint for certain.
bool IsFromEndpoint(OrderOutcome outcome) {
  return outcome != OrderOutcome::kNoAnswer && outcome != OrderOutcome::kNotSent &&
         outcome != OrderOutcome::kTooLate;
}

}  // namespace

CarriedEndpoints::CarriedEndpoints(const Context& context, std::unique_ptr<EndpointLink> direct)
    : context(context),
      direct(std::move(direct)),
      choice(context.settings.decisions.carriers, context.settings.cores),
      next_number(FirstNumber()) {}

void CarriedEndpoints::Open(rpc::PeerTransport& transport, std::string own_address) {
  this->transport = &transport;
  this->own_address = std::move(own_address);
  this->batches = std::make_shared<AddressBatches<rpc::OrderBatch>>(
      this->context, kGather, [&transport](const std::string& address, rpc::OrderBatch batch) {
        transport.Send(address, rpc::Encode(std::move(batch)));
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
  // Who is no member any more won't answer.
  for (const auto& [number, entry] : this->waiting) {
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
  return this->CarrierFor(endpoint) ? kCarriedAtOnce : kMaxOrdersPerEndpoint;
}

rpc::OrderBatch& CarriedEndpoints::BatchFor(const std::string& carrier, Duration timeout) {
  rpc::OrderBatch& batch = this->batches->At(carrier);
  batch.reply_address = this->own_address;
  batch.timeout = std::max(batch.timeout, timeout);
  return batch;
}

void CarriedEndpoints::OnAnswers(rpc::CarriedAnswers answers) {
  for (rpc::CarriedAnswer& answer : answers) {
    const auto found = this->waiting.find(answer.number);
    if (found == this->waiting.end()) {
      this->TakeLate(answer);
      continue;
    }
    if (answer.outcome == OrderOutcome::kNoAnswer) {
      // Its way to the endpoint may be cut where another's isn't.
      this->choice.OnUnanswered(found->second->carrier, this->context.Now());
    } else {
      this->choice.OnAnswered(found->second->carrier);
    }
    found->second->answer = std::move(answer);
    found->second->wakeup->Notify();
  }
}

void CarriedEndpoints::GiveUp(std::uint64_t number, const std::string& carrier) {
  this->choice.OnUnanswered(carrier, this->context.Now());
  this->given_up.emplace(number, carrier);
  if (this->given_up.size() > kMostGivenUp) {
    this->given_up.erase(this->given_up.begin());
  }
}

/// What it says of the order comes too late for whoever gave it; a look or a stop settles that.
void CarriedEndpoints::TakeLate(const rpc::CarriedAnswer& answer) {
  const auto found = this->given_up.find(answer.number);
  if (found == this->given_up.end()) {
    return;
  }
  if (IsFromEndpoint(answer.outcome)) {
    this->choice.OnAnsweredLate(found->second, this->context.Now());
  }
  this->given_up.erase(found);
}

asio::awaitable<rpc::CarriedAnswer> CarriedEndpoints::Await(std::string carrier,
                                                            std::uint64_t number,
                                                            Duration timeout) {
  const auto entry = std::make_shared<Waiting>();
  entry->carrier = std::move(carrier);
  entry->wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  this->waiting.emplace(number, entry);
  co_await entry->wakeup->WaitFor(timeout + kWayMargin);
  this->waiting.erase(number);
  if (entry->answer) {
    co_return *std::move(entry->answer);
  }
  this->GiveUp(number, entry->carrier);
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
  rpc::CarriedAnswer answer = co_await this->Await(std::move(carrier), number, timeout);
  RenewalOutcome held;
  held.outcome = answer.outcome;
  held.report = std::move(answer.report);
  if (held.outcome == OrderOutcome::kDone && !held.report) {
    held.outcome = OrderOutcome::kNoAnswer;
  }
  co_return held;
}

template <typename Order>
asio::awaitable<OrderOutcome> CarriedEndpoints::Give(Order order, Duration timeout,
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
  const rpc::CarriedAnswer answer = co_await this->Await(std::move(carrier), number, timeout);
  co_return answer.outcome;
}

asio::awaitable<OrderOutcome> CarriedEndpoints::Start(jobs::StartOrder order, Duration timeout) {
  return this->Give(std::move(order), timeout, &rpc::OrderBatch::starts, &EndpointLink::Start);
}

asio::awaitable<OrderOutcome> CarriedEndpoints::Stop(jobs::StopOrder order, Duration timeout) {
  return this->Give(std::move(order), timeout, &rpc::OrderBatch::stops, &EndpointLink::Stop);
}

asio::awaitable<OrderOutcome> CarriedEndpoints::Throttle(jobs::ThrottleOrder order,
                                                         Duration timeout) {
  return this->Give(std::move(order), timeout, &rpc::OrderBatch::paces, &EndpointLink::Throttle);
}

}  // namespace chervilspar::job_entry
