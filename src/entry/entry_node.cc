#include "entry/entry_node.h"

#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chervilspar/platform/http_platform.h"
#include "chervilspar/telemetry/logger.h"

#include "entry/json_answer.h"
#include "entry/settings_view.h"

namespace chervilspar::entry {

namespace asio = boost::asio;

namespace {

constexpr Duration kServiceTick = std::chrono::milliseconds(10);
constexpr Duration kLimitTick = std::chrono::milliseconds(25);
constexpr Duration kPreemptionTick = std::chrono::milliseconds(100);
constexpr Duration kReportPeriod = std::chrono::milliseconds(250);
constexpr Duration kViewPeriod = std::chrono::milliseconds(250);
constexpr Duration kHousekeepingPeriod = std::chrono::seconds(5);
/// How long the health check fails before connections are refused, so that the balancer has taken
/// this entry out by then.
constexpr Duration kBalancerGrace = std::chrono::seconds(1);
/// Longest that a shutdown waits for lent units to come back; the lender's rules cover the rest.
constexpr Duration kLoanGrace = std::chrono::seconds(2);
constexpr Duration kPollPeriod = std::chrono::milliseconds(20);

http::ServerLimits LimitsOf(const EntrySettings& settings) {
  http::ServerLimits limits;
  limits.header_bytes = settings.max_header_bytes;
  limits.body_bytes = settings.max_body_bytes;
  limits.connections = settings.max_connections;
  limits.idle_timeout = settings.idle_timeout;
  limits.read_timeout = settings.read_timeout;
  limits.write_timeout = settings.write_timeout;
  return limits;
}

}  // namespace

EntryNode::EntryNode(const EntryContext& context)
    : context(context),
      io_threads(context.settings.threads),
      control(1),
      peers(context),
      limits(context, this->peers),
      ledger(context, this->peers),
      services(context, this->limits),
      config(context,
             platform::MakeHttpLogService(CheckedAddress(context.settings.log_address),
                                          RoutesOf(context.settings)),
             *this),
      maintenance(context, this->config, this->peers, this->drains,
                  platform::MakeHttpVmListService(CheckedAddress(context.settings.vm_list_address),
                                                  RoutesOf(context.settings))),
      dispatcher(context, this->limits, this->drains),
      pipeline(context, {this->config, this->peers, this->limits, this->ledger, this->services,
                         this->dispatcher}),
      operators(context,
                {this->config, this->peers, this->limits, this->services, this->maintenance}) {
  this->peers.Connect({&this->config, &this->limits, &this->ledger, &this->services});
}

EntryNode::~EntryNode() {
  this->maintenance.Stop();
  this->config.Stop();
  this->peers.Stop();
  this->server.reset();
  this->io_threads.Stop();
  this->control.Stop();
}

Status EntryNode::Start() {
  Status opened = this->peers.Open(this->control.Context(0));
  if (!opened) {
    return opened;
  }
  auto listening = http::Server::Listen(this->io_threads.Contexts(),
                                        CheckedAddress(this->context.settings.http_address),
                                        LimitsOf(this->context.settings), *this, this);
  if (!listening) {
    return listening.LastReason();
  }
  this->server = std::move(listening).Value();
  this->context.metrics.AddCollector(
      [this](telemetry::MetricsRegistry& metrics) { this->CollectGauges(metrics); });
  this->config.Start();
  this->maintenance.Start();
  this->StartPeriodicWork();
  return Done{};
}

void EntryNode::StartPeriodicWork() {
  const auto start = [this](Duration period, void (EntryNode::*work)()) {
    asio::co_spawn(this->control.Context(0), this->Every(period, work), asio::detached);
  };
  start(kServiceTick, &EntryNode::TickServices);
  start(kLimitTick, &EntryNode::TickLimits);
  start(kPreemptionTick, &EntryNode::TickPreemption);
  start(kReportPeriod, &EntryNode::SendReports);
  start(this->context.settings.heartbeat_interval, &EntryNode::Heartbeat);
  start(kViewPeriod, &EntryNode::RefreshView);
  start(kHousekeepingPeriod, &EntryNode::Housekeeping);
}

asio::awaitable<void> EntryNode::Every(Duration period, void (EntryNode::*work)()) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    (this->*work)();
    timer.expires_after(period);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void EntryNode::TickServices() { this->services.Tick(); }

void EntryNode::TickLimits() {
  this->services.ReportWaiting();
  this->limits.Tick();
}

void EntryNode::TickPreemption() {
  this->NoteEjections();
  for (const auto& host : this->services.All()) {
    for (ServiceHost::Preemption& preemption : host->Preemptions()) {
      const char* act = "checkpoint";
      if (preemption.preempt.kind == scheduling::PreemptKind::kThrottle) {
        act = "throttle";
      } else if (preemption.preempt.kind == scheduling::PreemptKind::kStop) {
        act = "stop";
      }
      this->context.Note({.kind = telemetry::EventKind::kPreempted,
                          .vm = preemption.preempt.endpoint,
                          .why = std::string(act) + " a task for urgent work"});
      asio::co_spawn(this->io_threads.Context(0),
                     this->dispatcher.SendTaskAct(std::move(preemption.address),
                                                  std::move(preemption.task), act),
                     asio::detached);
    }
  }
}

void EntryNode::SendReports() { this->peers.SendReports(); }

void EntryNode::Heartbeat() { this->peers.Heartbeat(); }

void EntryNode::RefreshView() {
  // The control thread and the reader of the log both come here. Under one lock the newer state
  // always comes last; otherwise an older one could stay in force and send work to a VM that
  // leaves.
  const std::lock_guard lock(this->view_mutex);
  const auto state = this->config.State();
  ViewFreshness freshness;
  freshness.is_log_fresh = this->config.WasLogReadWithin(kViewBound);
  freshness.own_zone = this->context.self.zone;
  freshness.zones_in_agreement = this->peers.ZonesInAgreement();
  freshness.listed_leaving = this->maintenance.ListedLeaving();
  if (this->viewed_state == state && this->viewed_freshness == freshness) {
    return;
  }
  this->services.Configure(*state, freshness);
  this->viewed_state = state;
  this->viewed_freshness = freshness;
}

void EntryNode::NoteEjections() {
  std::set<VmId> ejected;
  for (const auto& host : this->services.All()) {
    for (const VmId& vm : host->EjectedEndpoints()) {
      ejected.insert(vm);
      if (!this->noted_ejected.contains(vm)) {
        this->context.Note({.kind = telemetry::EventKind::kEndpointEjected,
                            .vm = vm,
                            .why = "it fails, is slow or does not answer"});
      }
    }
  }
  for (const VmId& vm : this->noted_ejected) {
    if (!ejected.contains(vm)) {
      this->context.Note({.kind = telemetry::EventKind::kEndpointReturned,
                          .vm = vm,
                          .why = "its probes went well, or it left the service"});
    }
  }
  this->noted_ejected = std::move(ejected);
}

void EntryNode::Housekeeping() {
  this->ledger.Tick();
  this->dispatcher.CloseStale();
}

asio::awaitable<http::Response> EntryNode::Handle(http::Request request,
                                                  std::shared_ptr<http::CancelToken> caller) {
  const std::string path(http::PathOf(request.target));
  if (path == "/healthz") {
    co_return this->Health();
  }
  if (path == "/metrics") {
    co_return this->Metrics();
  }
  if (path.starts_with("/v1/operator/")) {
    co_return co_await this->operators.Serve(std::move(request));
  }
  co_return co_await this->pipeline.Serve(std::move(request), std::move(caller));
}

http::Response EntryNode::Health() const {
  if (this->phase == Phase::kDraining) {
    return JsonAnswer({{"status", "shutting-down"}}, 503);
  }
  if (this->config.State()->version == 0) {
    return JsonAnswer({{"status", "no-configuration"}}, 503);
  }
  return JsonAnswer({{"status", "serving"}});
}

http::Response EntryNode::Metrics() {
  http::Response response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = this->context.metrics.Render();
  return response;
}

void EntryNode::CollectGauges(telemetry::MetricsRegistry& metrics) {
  const auto state = this->config.State();
  metrics.Set({"chervilspar_config_version", {}}, static_cast<double>(state->version));
  metrics.Set({"chervilspar_log_offset", {}}, static_cast<double>(state->next_offset));
  metrics.Set({"chervilspar_requests_in_flight", {}},
              static_cast<double>(this->pipeline.InFlight()));
  metrics.Set({"chervilspar_remembered_request_ids", {}},
              static_cast<double>(this->ledger.RememberedIds()));
  this->CollectUnits(metrics);
  const rpc::TransportCounters counters = this->peers.Counters();
  metrics.Set({"chervilspar_peer_bytes_sent", {}}, static_cast<double>(counters.bytes_sent));
  metrics.Set({"chervilspar_peer_frames_dropped", {}},
              static_cast<double>(counters.frames_dropped));
  metrics.Set({"chervilspar_peer_bad_frames", {}}, static_cast<double>(counters.bad_frames));
  for (const auto& host : this->services.All()) {
    const telemetry::MetricLabel label{"service", host->Service().text};
    metrics.Set({"chervilspar_waiting", {label}}, static_cast<double>(host->WaitingCount()));
    metrics.Set({"chervilspar_running", {label}}, static_cast<double>(host->RunningCount()));
  }
}

void EntryNode::CollectUnits(telemetry::MetricsRegistry& metrics) {
  for (const auto& [id, team] : this->config.State()->inventory.teams) {
    const quota::TeamUnits units = this->limits.Units(id);
    const telemetry::MetricLabel label{"team", id.text};
    const auto set = [&metrics, &label](const char* kind, std::uint32_t value) {
      metrics.Set({"chervilspar_team_units", {{"kind", kind}, label}}, value);
    };
    set("owned", units.owned);
    set("borrowed", units.borrowed);
    set("lent", units.lent);
    set("running", units.running);
  }
}

void EntryNode::OnBadInput(http::BadInput fault) {
  this->context.metrics.Count({"chervilspar_bad_input_total", {{"fault", http::ToString(fault)}}});
}

void EntryNode::OnState(std::shared_ptr<const config_log::FleetState> state,
                        const config_log::FollowUpdate& update) {
  if (state->version > 0) {
    this->limits.OnState(*state);
    this->ledger.OnState(*state);
    this->peers.OnState(*state);
    this->RefreshView();
  }
  this->NoteOutcomes(*state, update);
}

void EntryNode::NoteOutcomes(const config_log::FleetState& state,
                             const config_log::FollowUpdate& update) {
  if (update.replaced) {
    this->context.Note({.kind = telemetry::EventKind::kSnapshotInstalled,
                        .why = "now at offset " + std::to_string(state.next_offset)});
  }
  for (const config_log::FoldOutcome& outcome : update.outcomes) {
    if (outcome.verdict == config_log::FoldVerdict::kAccepted) {
      const bool is_publish = this->noted_version.exchange(outcome.version) != outcome.version;
      this->context.Note({.kind = is_publish ? telemetry::EventKind::kConfigAccepted
                                             : telemetry::EventKind::kRecordAccepted,
                          .why = outcome.record.text,
                          .fields = {{"offset", std::to_string(outcome.offset)},
                                     {"version", std::to_string(outcome.version)}}});
    } else if (outcome.reason) {
      const bool is_unreadable = outcome.verdict == config_log::FoldVerdict::kUnreadable;
      this->context.Note({.kind = is_unreadable ? telemetry::EventKind::kRecordUnreadable
                                                : telemetry::EventKind::kRecordRejected,
                          .why = outcome.record.text + ": " + ToString(*outcome.reason),
                          .fields = {{"offset", std::to_string(outcome.offset)}}});
    }
  }
}

void EntryNode::OnReadToEnd() {
  this->peers.OnReadToEnd();
  this->limits.OnMayOwn();
  this->ledger.OnMayOwn();
}

void EntryNode::OnWithdrawals(const std::vector<config_log::KeyDigest>& digests) {
  this->peers.Broadcast(rpc::Withdrawals{digests});
}

bool EntryNode::WaitForRequests(Duration span) {
  const TimePoint until = this->context.Now() + span;
  while (this->context.Now() < until && !this->hurrying) {
    if (this->server->WaitUntilDrained(kPollPeriod)) {
      return true;
    }
  }
  return false;
}

void EntryNode::ReturnLoans() {
  this->limits.BeginShutdown();
  const TimePoint until = this->context.Now() + kLoanGrace;
  while (!this->limits.IsIdle() && this->context.Now() < until && !this->hurrying) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

bool EntryNode::ShutDown() {
  this->phase = Phase::kDraining;
  telemetry::Log(telemetry::LogLevel::kInfo, "shutting_down",
                 std::to_string(this->pipeline.InFlight()) + " requests in flight");
  this->context.Note({.kind = telemetry::EventKind::kEntryStopping,
                      .why = std::to_string(this->pipeline.InFlight()) + " requests in flight"});
  this->server->BeginDrain();
  std::this_thread::sleep_for(kBalancerGrace);
  this->server->StopAccepting();
  const bool is_drained = this->WaitForRequests(this->context.settings.drain_deadline);
  this->ReturnLoans();
  this->context.Note({.kind = telemetry::EventKind::kEntryStopped});
  telemetry::Log(telemetry::LogLevel::kInfo, "stopped",
                 is_drained ? "nothing was in flight" : "the deadline passed");
  return is_drained;
}

}  // namespace chervilspar::entry
