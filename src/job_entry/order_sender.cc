#include "job_entry/order_sender.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// An endpoint answers within a few milliseconds. A longer timeout would only delay the second
/// attempt, which finds out what became of the first.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(400);
/// Added to the time that a lease renewal may wait at the endpoint.
constexpr Duration kRenewalMargin = std::chrono::milliseconds(500);
/// The pause after a renewal that failed or that did not wait at the endpoint.
constexpr Duration kRenewalPause = std::chrono::milliseconds(300);
/// An endpoint without work is woken up when it gets some; this limits the delay after a missed
/// wake-up.
constexpr Duration kIdleRecheckInterval = std::chrono::seconds(1);
/// The minimum interval between the starts of two renewals. Tasks of one step end at about the same
/// time, and each renewal is billed; the interval delays the report of an end by 20 ms on average.
constexpr Duration kMinRenewalInterval = std::chrono::milliseconds(60);
/// The same for each endpoint with active leases, if that is longer in total: it limits the load of
/// the owner's process to 4,000 renewals a second.
constexpr Duration kMinRenewalIntervalPerEndpoint = std::chrono::microseconds(250);
/// The longest wait for the records of ended runs, which must be stored before the ends are
/// confirmed. Storing usually takes a few milliseconds.
constexpr Duration kMaxStoreWait = std::chrono::milliseconds(250);
/// What one renewal takes of the owner's link, by the layout of the messages: forwarded, up to 70
/// bytes and a part of the frame and of its packet; sent directly, a request with its headers.
constexpr std::int64_t kForwardedRenewalBytes = 160;
constexpr std::int64_t kDirectRenewalBytes = 400;

}  // namespace

struct OrderSender::Channel : std::enable_shared_from_this<Channel> {
  Channel(OrderSender& sender, std::string endpoint)
      : context(sender.context),
        scheduler(sender.scheduler),
        on_change(sender.on_change),
        may_start(sender.may_start),
        endpoint(std::move(endpoint)),
        renewing_count(sender.renewing_count),
        awaiting(sender.awaiting),
        wakeup(std::make_shared<http::Wakeup>(sender.context.io.get_executor())),
        answer(std::make_shared<http::Wakeup>(sender.context.io.get_executor())) {}

  void StartSenders() {
    const std::size_t max_orders =
        this->context.links.endpoints->MaxConcurrentOrders(this->endpoint);
    // Stops don't wait for the answers to starts.
    const std::size_t min_senders = this->stops.empty() ? 0 : 1;
    const std::size_t max_senders =
        std::max(max_orders - std::min(max_orders, this->forwarded), min_senders);
    while (this->senders < std::min(max_senders, this->stops.size() + this->queue.size())) {
      ++this->senders;
      Spawn(this->context, this->SendLoop(this->shared_from_this()));
    }
  }

  bool HasOrdersInFlight() const { return this->senders > 0 || this->forwarded > 0; }

  asio::awaitable<void> SendLoop([[maybe_unused]] std::shared_ptr<Channel> self) {
    while (!this->is_stopped && this->HasOrders()) {
      const Order order = this->TakeOrder();
      co_await std::visit([this](const auto& one) { return this->Execute(one); }, order);
      if (!this->is_stopped) {
        this->on_change();
      }
    }
    --this->senders;
  }

  bool HasOrders() const { return !this->stops.empty() || !this->queue.empty(); }

  /// Stops go first: behind the starts for an endpoint that doesn't answer, they would wait for
  /// seconds.
  Order TakeOrder() {
    if (!this->stops.empty()) {
      const jobs::StopOrder stop = std::move(this->stops.front());
      this->stops.pop_front();
      return stop;
    }
    Order order = std::move(this->queue.front());
    this->queue.pop_front();
    return order;
  }

  /// Settles the start without a coroutine: forwards it, or withdraws it if it may not be sent.
  /// False if it has to wait for its turn or to be sent directly.
  bool SendAtOnce(jobs::StartOrder& order) {
    const EndpointLink& link = *this->context.links.endpoints;
    const bool is_busy = this->HasOrders() || (this->HasOrdersInFlight() &&
                                               this->senders + this->forwarded >=
                                                   link.MaxConcurrentOrders(this->endpoint));
    if (this->is_stopped || is_busy) {
      return false;
    }
    jobs::StartOrder run;
    run.endpoint = order.endpoint;
    run.task = order.task;
    run.run = order.run;
    run.token = order.token;
    if (const std::optional<OrderOutcome> obstacle = this->ObstacleTo(order)) {
      this->OnStartAnswer(run, *obstacle);
      return true;
    }
    const bool is_forwarded = this->context.links.endpoints->ForwardStart(
        order, kOrderTimeout,
        [self = this->shared_from_this(), run = std::move(run)](const jobs::StartAnswer& answer) {
          --self->forwarded;
          self->OnStartAnswer(run, answer);
          if (!self->is_stopped) {
            self->on_change();
            self->StartSenders();
          }
        });
    this->forwarded += is_forwarded ? 1 : 0;
    return is_forwarded;
  }

  /// The outcome of a start that may not be sent, as it is no longer wanted or allowed.
  std::optional<OrderOutcome> ObstacleTo(const jobs::StartOrder& order) {
    if (!this->scheduler.MaySendStart(order, this->context.Now())) {
      return OrderOutcome::kWithdrawn;
    }
    if (!this->may_start(order.endpoint)) {
      return OrderOutcome::kRefused;
    }
    return std::nullopt;
  }

  /// `order` must live until the coroutine ends; the sending loop keeps it.
  asio::awaitable<void> Execute(const jobs::StartOrder& order) {
    if (const std::optional<OrderOutcome> obstacle = this->ObstacleTo(order)) {
      this->OnStartAnswer(order, *obstacle);
      co_return;
    }
    const jobs::StartAnswer answer =
        co_await this->context.links.endpoints->Start(order, kOrderTimeout);
    this->OnStartAnswer(order, answer);
  }

  /// Only what names the run in `order` has to be set, and its token.
  void OnStartAnswer(const jobs::StartOrder& order, const jobs::StartAnswer& answer) {
    this->context.metrics.Count(
        {"chervilspar_starts_total", {{"outcome", jobs::ToString(answer.outcome)}}});
    if (!this->is_stopped) {
      const auto span = this->context.Measure(telemetry::WorkPart::kOrder);
      this->scheduler.OnStartAnswered(order, answer, this->context.Now());
      this->wakeup->Notify();
    }
  }

  asio::awaitable<void> Execute(const jobs::StopOrder& order) {
    const OrderOutcome outcome = co_await this->context.links.endpoints->Stop(order, kOrderTimeout);
    this->context.metrics.Count(
        {"chervilspar_stops_total", {{"outcome", jobs::ToString(outcome)}}});
    if (!this->is_stopped) {
      this->scheduler.OnStopAnswered(order, outcome, this->context.Now());
    }
  }

  asio::awaitable<void> Execute(const jobs::ThrottleOrder& order) {
    const OrderOutcome outcome =
        co_await this->context.links.endpoints->Throttle(order, kOrderTimeout);
    this->context.metrics.Count(
        {"chervilspar_paces_total", {{"outcome", jobs::ToString(outcome)}}});
    if (!this->is_stopped) {
      this->scheduler.OnThrottleAnswered(order, outcome);
    }
  }

  asio::awaitable<void> RenewalLoop([[maybe_unused]] std::shared_ptr<Channel> self) {
    while (!this->is_stopped) {
      const jobs::RenewalPlan plan = this->PlanRenewal();
      this->SetRenewing(plan.is_needed);
      if (!plan.is_needed || plan.order.address.ip.empty()) {
        co_await this->wakeup->WaitFor(kIdleRecheckInterval);
        continue;
      }
      const TimePoint begin = this->context.Now();
      const bool is_renewed = co_await this->Renew(plan.order);
      if (this->is_stopped) {
        break;
      }
      this->on_change();
      const bool has_waited = plan.order.wait > Duration::zero();
      const bool is_renewal_due =
          is_renewed && (plan.is_probe || this->scheduler.IsRestartUnconfirmed(this->endpoint));
      if (this->awaits_stored_ends) {
        this->awaiting->push_back(this->weak_from_this());
        co_await this->wakeup->WaitFor(kMaxStoreWait);
        this->awaits_stored_ends = false;
      } else if (!is_renewed || (!has_waited && !is_renewal_due)) {
        co_await this->wakeup->WaitFor(kRenewalPause);
      }
      const Duration elapsed = this->context.Now() - begin;
      const Duration interval = this->RenewalInterval();
      if (elapsed < interval) {
        co_await Pause(this->context, interval - elapsed);
      }
    }
    this->SetRenewing(false);
  }

  jobs::RenewalPlan PlanRenewal() {
    const auto span = this->context.Measure(telemetry::WorkPart::kRenew);
    return this->scheduler.PlanRenewal(this->endpoint, this->context.Now());
  }

  Duration RenewalInterval() const {
    const JobEntrySettings& settings = this->context.settings;
    jobs::SchedulerOptions options = settings.decisions.scheduler;
    options.lease = std::min(options.lease, settings.lease_limit);
    const bool is_forwarded =
        this->context.links.endpoints->MaxConcurrentOrders(this->endpoint) > kMaxOrdersPerEndpoint;
    const Duration by_link =
        jobs::RenewalInterval(options, static_cast<std::size_t>(*this->renewing_count),
                              is_forwarded ? kForwardedRenewalBytes : kDirectRenewalBytes,
                              options.renewal_wait + kRenewalMargin + kRenewalPause);
    return std::max<Duration>(
        {kMinRenewalInterval, kMinRenewalIntervalPerEndpoint * *this->renewing_count, by_link});
  }

  void SetRenewing(bool is_needed) {
    *this->renewing_count += (is_needed ? 1 : 0) - (this->is_renewing ? 1 : 0);
    this->is_renewing = is_needed;
  }

  bool ForwardRenewal(jobs::RenewalOrder order, Duration timeout) {
    return this->context.links.endpoints->ForwardRenewal(
        order, timeout, [self = this->shared_from_this()](RenewalOutcome held) {
          self->renewed = std::move(held);
          self->answer->Notify();
        });
  }

  /// Renews the leases at the endpoint; false when this failed.
  asio::awaitable<bool> Renew(const jobs::RenewalOrder& order) {
    const TimePoint sent = this->context.Now();
    const Duration timeout = order.wait + kRenewalMargin;
    if (this->ForwardRenewal(order, timeout)) {
      while (!this->renewed) {
        co_await this->answer->WaitFor(kIdleRecheckInterval);
      }
    } else {
      this->renewed = co_await this->context.links.endpoints->RenewLease(order, timeout);
    }
    const RenewalOutcome held = *std::exchange(this->renewed, std::nullopt);
    if (this->is_stopped) {
      co_return false;
    }
    if (!held.report) {
      this->context.metrics.Count(
          {"chervilspar_holds_failed_total", {{"outcome", jobs::ToString(held.outcome)}}});
      this->scheduler.OnRenewalFailed(this->endpoint, held.outcome, this->context.Now());
      co_return false;
    }
    const auto span = this->context.Measure(telemetry::WorkPart::kRenew);
    this->scheduler.OnRenewalAnswered(order, *held.report, sent, this->context.Now());
    // The report of an endpoint that has restarted is asked for again before it counts.
    this->awaits_stored_ends =
        !held.report->ended.empty() && !this->scheduler.IsRestartUnconfirmed(this->endpoint);
    co_return true;
  }

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_change;
  const std::function<bool(const std::string&)> may_start;
  const std::string endpoint;
  const std::shared_ptr<int> renewing_count;
  const std::shared_ptr<AwaitingChannels> awaiting;
  std::shared_ptr<http::Wakeup> wakeup;
  /// Notified when a forwarded renewal has ended, with what came of it.
  const std::shared_ptr<http::Wakeup> answer;
  std::optional<RenewalOutcome> renewed;
  std::deque<jobs::StopOrder> stops;
  /// All other orders.
  std::deque<Order> queue;
  /// Coroutines that send orders.
  std::size_t senders = 0;
  /// Starts that were forwarded without one and aren't answered yet.
  std::size_t forwarded = 0;
  bool is_stopped = false;
  bool has_renewal_loop = false;
  /// This endpoint is included in `renewing_count`.
  bool is_renewing = false;
  /// The endpoint has reported ends whose records aren't stored yet; it would report them again at
  /// once.
  bool awaits_stored_ends = false;
};

OrderSender::OrderSender(const Context& context, jobs::Scheduler& scheduler,
                         std::function<void()> on_change,
                         std::function<bool(const std::string&)> may_start)
    : context(context),
      scheduler(scheduler),
      on_change(std::move(on_change)),
      may_start(std::move(may_start)) {}

OrderSender::~OrderSender() { this->Stop(); }

OrderSender::Channel& OrderSender::ChannelOf(const std::string& endpoint) {
  std::shared_ptr<Channel>& channel = this->channels[endpoint];
  if (channel == nullptr) {
    channel = std::make_shared<Channel>(*this, endpoint);
  }
  return *channel;
}

void OrderSender::PushStarts(std::vector<jobs::StartOrder>& orders) {
  for (jobs::StartOrder& order : orders) {
    Channel& channel = this->ChannelOf(order.endpoint);
    if (!channel.SendAtOnce(order)) {
      channel.queue.emplace_back(std::move(order));
      channel.StartSenders();
    }
  }
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
  // They may free the capacity that the starts need.
  for (jobs::StopOrder& stop : orders.stops) {
    Channel& channel = this->ChannelOf(stop.endpoint);
    channel.stops.push_back(std::move(stop));
    channel.StartSenders();
  }
  this->PushStarts(orders.starts);
  this->PushAll(orders.paces);
}

void OrderSender::AddEndpoint(const std::string& endpoint) {
  this->dropped.erase(endpoint);
  Channel& channel = this->ChannelOf(endpoint);
  if (!channel.has_renewal_loop) {
    channel.has_renewal_loop = true;
    Spawn(this->context, channel.RenewalLoop(channel.shared_from_this()));
  }
}

void OrderSender::WakeEndpoint(const std::string& endpoint) {
  const auto channel = this->channels.find(endpoint);
  if (channel != this->channels.end()) {
    channel->second->wakeup->Notify();
  }
}

/// Each VM that moves registers a new endpoint. Without this, the channels of thousands of former
/// endpoints would wake up every second.
void OrderSender::DropEndpoints(const std::vector<std::string>& endpoints) {
  this->dropped.insert(endpoints.begin(), endpoints.end());
  std::erase_if(this->dropped, [this](const std::string& endpoint) {
    const auto found = this->channels.find(endpoint);
    if (found == this->channels.end()) {
      return true;
    }
    Channel& channel = *found->second;
    if (channel.HasOrdersInFlight()) {
      return false;
    }
    channel.is_stopped = true;
    channel.wakeup->Notify();
    this->channels.erase(found);
    return true;
  });
}

void OrderSender::OnStored() {
  for (const std::weak_ptr<Channel>& awaiting : std::exchange(*this->awaiting, {})) {
    const std::shared_ptr<Channel> channel = awaiting.lock();
    if (channel != nullptr && channel->awaits_stored_ends) {
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
