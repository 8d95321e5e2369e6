#include "job_entry/order_sender.h"

#include <algorithm>
#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// An endpoint answers within a few milliseconds. A longer wait would only delay the second try,
/// which settles what became of the first.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(400);
/// On top of the time that a renewal may wait at the endpoint.
constexpr Duration kHoldMargin = std::chrono::milliseconds(500);
/// Between two renewals that had nothing to wait for, or failed.
constexpr Duration kHoldPause = std::chrono::milliseconds(300);
/// An endpoint without work is looked at again when it gets some; this only bounds a missed
/// wake-up.
constexpr Duration kIdlePause = std::chrono::seconds(1);
/// Between the beginnings of two renewals. Tasks of one step end close to each other, and each
/// renewal is priced; an end is heard 20 ms later on average.
constexpr Duration kHoldSpacing = std::chrono::milliseconds(60);
/// The same for each endpoint that is at work, when that is longer: together they then take no more
/// than 4,000 renewals a second from the one process that decides.
constexpr Duration kHoldSpacingPerEndpoint = std::chrono::microseconds(250);
/// Ends wait for their record before they are confirmed; usually a few milliseconds.
constexpr Duration kStoreWait = std::chrono::milliseconds(250);

}  // namespace

struct OrderSender::Channel : std::enable_shared_from_this<Channel> {
  Channel(OrderSender& sender, std::string endpoint)
      : context(sender.context),
        scheduler(sender.scheduler),
        on_news(sender.on_news),
        may_start(sender.may_start),
        endpoint(std::move(endpoint)),
        held_count(sender.held_count),
        wakeup(std::make_shared<http::Wakeup>(sender.context.io.get_executor())) {}

  void StartSenders() {
    const std::size_t most = this->context.links.endpoints->OrdersAtOnce(this->endpoint);
    while (this->senders < std::min(most, this->queue.size())) {
      ++this->senders;
      Spawn(this->context, this->SendLoop(this->shared_from_this()));
    }
  }

  asio::awaitable<void> SendLoop([[maybe_unused]] std::shared_ptr<Channel> self) {
    while (!this->is_stopped && !this->queue.empty()) {
      const Order order = std::move(this->queue.front());
      this->queue.pop_front();
      co_await std::visit([this](const auto& one) { return this->Carry(one); }, order);
      if (!this->is_stopped) {
        this->on_news();
      }
    }
    --this->senders;
  }

  /// The orders live in the sending loop until they are carried out.
  asio::awaitable<void> Carry(const jobs::StartOrder& order) {
    OrderOutcome outcome = OrderOutcome::kRefused;
    if (this->may_start(order.endpoint)) {
      outcome = co_await this->context.links.endpoints->Start(order, kOrderTimeout);
    }
    this->context.metrics.Count(
        {"chervilspar_starts_total", {{"outcome", jobs::ToString(outcome)}}});
    if (!this->is_stopped) {
      this->scheduler.OnStartAnswered(order, outcome, this->context.Now());
      this->wakeup->Notify();
    }
  }

  asio::awaitable<void> Carry(const jobs::StopOrder& order) {
    const OrderOutcome outcome = co_await this->context.links.endpoints->Stop(order, kOrderTimeout);
    this->context.metrics.Count(
        {"chervilspar_stops_total", {{"outcome", jobs::ToString(outcome)}}});
    if (!this->is_stopped) {
      this->scheduler.OnStopAnswered(order, outcome, this->context.Now());
    }
  }

  asio::awaitable<void> Carry(const jobs::PaceOrder& order) {
    const OrderOutcome outcome = co_await this->context.links.endpoints->Pace(order, kOrderTimeout);
    this->context.metrics.Count(
        {"chervilspar_paces_total", {{"outcome", jobs::ToString(outcome)}}});
    if (!this->is_stopped) {
      this->scheduler.OnPaceAnswered(order, outcome);
    }
  }

  asio::awaitable<void> HoldLoop([[maybe_unused]] std::shared_ptr<Channel> self) {
    while (!this->is_stopped) {
      const jobs::HoldPlan plan = this->scheduler.PlanHold(this->endpoint, this->context.Now());
      this->CountHeld(plan.is_needed);
      if (!plan.is_needed || plan.order.address.ip.empty()) {
        co_await this->wakeup->WaitFor(kIdlePause);
        continue;
      }
      const TimePoint begin = this->context.Now();
      const bool is_held = co_await this->Hold(plan.order);
      if (this->is_stopped) {
        break;
      }
      this->on_news();
      const bool has_waited = plan.order.wait > Duration::zero();
      if (this->is_store_awaited) {
        co_await this->wakeup->WaitFor(kStoreWait);
        this->is_store_awaited = false;
      } else if (!is_held || !has_waited) {
        co_await this->wakeup->WaitFor(kHoldPause);
      }
      const Duration passed = this->context.Now() - begin;
      const Duration spacing =
          std::max<Duration>(kHoldSpacing, kHoldSpacingPerEndpoint * *this->held_count);
      if (passed < spacing) {
        co_await Pause(this->context, spacing - passed);
      }
    }
    this->CountHeld(false);
  }

  void CountHeld(bool is_needed) {
    *this->held_count += (is_needed ? 1 : 0) - (this->is_held ? 1 : 0);
    this->is_held = is_needed;
  }

  asio::awaitable<bool> Hold(const jobs::HoldOrder& order) {
    const TimePoint sent = this->context.Now();
    const HeldOutcome held =
        co_await this->context.links.endpoints->Hold(order, order.wait + kHoldMargin);
    if (this->is_stopped) {
      co_return false;
    }
    if (!held.report) {
      this->context.metrics.Count(
          {"chervilspar_holds_failed_total", {{"outcome", jobs::ToString(held.outcome)}}});
      this->scheduler.OnHoldFailed(this->endpoint, held.outcome, this->context.Now());
      co_return false;
    }
    this->is_store_awaited = !held.report->ended.empty();
    this->scheduler.OnHeld(order, *held.report, sent, this->context.Now());
    co_return true;
  }

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_news;
  const std::function<bool(const std::string&)> may_start;
  const std::string endpoint;
  const std::shared_ptr<int> held_count;
  std::shared_ptr<http::Wakeup> wakeup;
  std::deque<Order> queue;
  std::size_t senders = 0;
  bool is_stopped = false;
  bool is_holding = false;
  /// Counted among the endpoints at work.
  bool is_held = false;
  /// Ends were told whose record isn't stored yet; the endpoint would tell them again at once.
  bool is_store_awaited = false;
};

OrderSender::OrderSender(const Context& context, jobs::Scheduler& scheduler,
                         std::function<void()> on_news,
                         std::function<bool(const std::string&)> may_start)
    : context(context),
      scheduler(scheduler),
      on_news(std::move(on_news)),
      may_start(std::move(may_start)) {}

OrderSender::~OrderSender() { this->Stop(); }

OrderSender::Channel& OrderSender::ChannelOf(const std::string& endpoint) {
  std::shared_ptr<Channel>& channel = this->channels[endpoint];
  if (channel == nullptr) {
    channel = std::make_shared<Channel>(*this, endpoint);
  }
  return *channel;
}

template <typename T>
void OrderSender::PushAll(std::vector<T>& orders) {
  for (T& order : orders) {
    Channel& channel = this->ChannelOf(order.endpoint);
    channel.queue.emplace_back(std::move(order));
    channel.StartSenders();
  }
}

void OrderSender::Send(jobs::Orders orders) {
  // Stops first: what they free may be what the starts need.
  this->PushAll(orders.stops);
  this->PushAll(orders.starts);
  this->PushAll(orders.paces);
}

void OrderSender::UpdateEndpoints(const std::vector<std::string>& endpoints) {
  this->DropExcept(endpoints);
  for (const std::string& id : endpoints) {
    Channel& channel = this->ChannelOf(id);
    if (!channel.is_holding) {
      channel.is_holding = true;
      Spawn(this->context, channel.HoldLoop(channel.shared_from_this()));
    }
  }
}

/// What can go wrong: each VM that moves registers a new endpoint, and the channels of thousands
/// that are gone wake up every second.
void OrderSender::DropExcept(const std::vector<std::string>& endpoints) {
  auto known = endpoints.begin();
  std::erase_if(this->channels, [&](const auto& entry) {
    known = std::lower_bound(known, endpoints.end(), entry.first);
    const bool is_known = known != endpoints.end() && *known == entry.first;
    Channel& channel = *entry.second;
    if (is_known || channel.senders > 0) {
      return false;
    }
    channel.is_stopped = true;
    channel.wakeup->Notify();
    return true;
  });
}

void OrderSender::OnStored() {
  for (const auto& [id, channel] : this->channels) {
    if (channel->is_store_awaited) {
      channel->wakeup->Notify();
    }
  }
}

void OrderSender::Stop() {
  for (const auto& [id, channel] : this->channels) {
    channel->is_stopped = true;
    channel->wakeup->Notify();
  }
}

}  // namespace chervilspar::job_entry
