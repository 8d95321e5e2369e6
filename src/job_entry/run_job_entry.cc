#include "chervilspar/job_entry/run_job_entry.h"

#include <csignal>
#include <cstdio>
#include <ctime>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "job_entry/caller_handler.h"
#include "job_entry/order_exchange.h"
#include "job_entry/traffic_meter.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUnavailable = 5;
constexpr int kExitConnectionsCut = 6;
/// The store has up to ten pending long-poll reads at once, in addition to writes.
constexpr std::size_t kConnectionsPerAddress = 32;
/// Maximum age of the operators' rules at which the entry is ready. A read of the rules returns
/// every second and proves them current, so an older proof means that the store does not respond to
/// this entry. The balancer takes two more seconds to detect a failed health check.
constexpr Duration kMaxReadyRulesAge = std::chrono::milliseconds(1700);
/// After a SIGTERM, new connections arrive until two of the balancer's health checks have failed.
constexpr Duration kBalancerDetectionTime = std::chrono::milliseconds(2300);
/// Health checks and reads of metrics have no body and come from a few places.
constexpr std::size_t kMaxHealthConnections = 256;
constexpr std::size_t kMaxHealthBodyBytes = std::size_t{4} * 1024;
constexpr std::size_t kMaxHealthPendingBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kSweepInterval = std::chrono::seconds(2);
constexpr std::clock_t kMillisecondsPerSecond = 1000;

http::ServerLimits CallerLimits(const JobEntrySettings& settings) {
  http::ServerLimits limits;
  limits.connections = settings.max_connections;
  limits.body_bytes = settings.max_body_bytes;
  limits.pending_bytes = settings.max_pending_bytes;
  return limits;
}

http::ServerLimits PeerLimits(const JobEntrySettings& settings) {
  http::ServerLimits limits;
  limits.pending_bytes = settings.max_pending_bytes;
  return limits;
}

http::ServerLimits HealthLimits() {
  http::ServerLimits limits;
  limits.connections = kMaxHealthConnections;
  limits.body_bytes = kMaxHealthBodyBytes;
  limits.pending_bytes = kMaxHealthPendingBytes;
  return limits;
}

/// Answers the balancer's health checks and serves metrics.
class HealthHandler final : public http::Handler {
 public:
  HealthHandler(const Context& context, OperatorView& operators, const bool& is_stopping)
      : context(context), operators(operators), is_stopping(is_stopping) {}

  asio::awaitable<http::Response> Handle(http::Request request,
                                         std::shared_ptr<http::CancelToken>) override {
    if (http::PathOf(request.target) == "/metrics") {
      http::Response response;
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      this->context.metrics.Set({"chervilspar_log_lines_dropped", {}},
                                static_cast<double>(telemetry::DroppedLogLines()));
      response.body = this->context.metrics.Render();
      co_return response;
    }
    if (http::PathOf(request.target) != this->context.settings.health_path) {
      co_return http::ErrorResponse(404, "not_found", "There is no such page.");
    }
    if (!this->IsReady()) {
      co_return http::ErrorResponse(503, "not_ready", "Not ready.");
    }
    http::Response ready;
    co_return ready;
  }

 private:
  bool IsReady() const {
    return !this->is_stopping && this->operators.Policy() != nullptr &&
           this->operators.IsFresh(kMaxReadyRulesAge);
  }

  const Context context;
  OperatorView& operators;
  const bool& is_stopping;
};

/// All components of one entry process.
class JobEntryNode {
 public:
  JobEntryNode(const Context& context, http::Client& client, TrafficMeter& traffic,
               OrderExchange& exchange)
      : context(context),
        client(client),
        traffic(traffic),
        exchange(exchange),
        operators(context),
        directory(context),
        relay(context, this->directory, client),
        writer(std::make_shared<JobWriter>(context, &this->relay)),
        election(std::make_shared<Election>(context, this->operators, this->directory)),
        queries(context, *this->election, this->directory, client),
        admission(std::make_shared<AdmissionView>(context, this->operators, *this->election,
                                                  this->directory, client, *this->writer,
                                                  this->queries)),
        callers(context, this->operators, *this->writer, this->queries, this->admission.get()),
        peers(*this->election, context),
        health(context, this->operators, this->is_stopping),
        signals(context.io, SIGTERM, SIGINT, SIGHUP) {
    exchange.SetMayStart(
        [this] { return this->operators.MayStartIn(this->context.settings.zone); });
    exchange.SetAnswerer(
        [this](const http::Request& request) { return this->peers.AnswerQuestion(request); });
  }

  Status Start() {
    const JobEntrySettings& settings = this->context.settings;
    for (const auto& [address, limits, handler, server] :
         {std::tuple(settings.callers, CallerLimits(settings),
                     static_cast<http::Handler*>(&this->callers), &this->caller_server),
          std::tuple(settings.peers, PeerLimits(settings),
                     static_cast<http::Handler*>(&this->peers), &this->peer_server),
          std::tuple(settings.health, HealthLimits(), static_cast<http::Handler*>(&this->health),
                     &this->health_server)}) {
      if (Status status = this->Listen(address, limits, *handler, *server); !status) {
        return status;
      }
    }
    if (settings.metrics) {
      // An entry without metrics is better than none, so a failure here does not stop it.
      const Status status =
          this->Listen(*settings.metrics, HealthLimits(), this->health, this->metrics_server);
      if (!status) {
        LogEvent(telemetry::LogLevel::kWarning, "metrics_unavailable",
                 ToString(status.LastReason()));
      }
    }
    this->operators.Start();
    this->directory.Start();
    this->election->Start();
    Spawn(this->context, this->WaitForSignals());
    Spawn(this->context, this->SweepConnections());
    return Done{};
  }

  int ExitCode() const { return this->exit_code; }

 private:
  Status Listen(const SocketAddress& address, const http::ServerLimits& limits,
                http::Handler& handler, std::unique_ptr<http::Server>& server) {
    auto listening = http::Server::Listen({&this->context.io}, address, limits, handler);
    if (!listening) {
      return listening.LastReason();
    }
    server = std::move(listening).Value();
    return Done{};
  }

  asio::awaitable<void> WaitForSignals() {
    while (!this->is_stopping) {
      boost::system::error_code error;
      const int signal =
          co_await this->signals.async_wait(asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      if (signal == SIGHUP) {
        LogEvent(telemetry::LogLevel::kInfo, "reload_ignored",
                 "settings are read only at process start; rules are read from the store");
        continue;
      }
      co_await this->ShutDown();
    }
  }

  /// First fails the health check, then closes the listener, then waits for the requests in flight
  /// until the drain time is over. A caller whose request is cut off by the end of the process
  /// cannot know whether it took effect.
  asio::awaitable<void> ShutDown() {
    const TimePoint deadline = this->context.Now() + this->context.settings.drain_time;
    this->is_stopping = true;
    LogEvent(telemetry::LogLevel::kInfo, "stopping", "received a signal to stop");
    this->caller_server->BeginDrain();
    co_await this->election->Resign();
    co_await Pause(this->context, kBalancerDetectionTime);
    this->caller_server->StopAccepting();
    while (this->caller_server->ConnectionCount() > 0 && this->context.Now() < deadline) {
      co_await Pause(this->context, kDrainPollInterval);
    }
    this->exit_code = this->caller_server->ConnectionCount() > 0 ? kExitConnectionsCut : kExitOk;
    if (const std::shared_ptr<OwnerTerm> term = this->election->Term()) {
      term->Stop("the process is stopping");
    }
    LogEvent(telemetry::LogLevel::kInfo, "stopped", "process ends",
             {{"connections", std::to_string(this->caller_server->ConnectionCount())}});
    this->context.io.stop();
  }

  asio::awaitable<void> SweepConnections() {
    while (true) {
      co_await Pause(this->context, kSweepInterval);
      this->client.CloseStale();
      const OrderExchange::Traffic carried = this->exchange.CarriedTraffic();
      this->traffic.Add("carried", carried.Frames() - this->carried.Frames(),
                        carried.bytes_sent - this->carried.bytes_sent,
                        carried.bytes_received - this->carried.bytes_received);
      this->carried = carried;
      this->traffic.Report();
      this->ReportWork();
    }
  }

  /// Logged by the owner only, as the other entries do little of this work.
  void ReportWork() {
    const std::vector<telemetry::WorkMeter::Amount> amounts = this->context.work.Take();
    const std::clock_t processor = std::clock();
    const std::clock_t used = processor - std::exchange(this->processor, processor);
    if (this->election->Term() == nullptr) {
      return;
    }
    std::vector<telemetry::LogField> fields;
    fields.reserve(amounts.size() + 1);
    // More than the sum of the parts: connections, timers and memory belong to none of them.
    fields.push_back(
        {"processor", std::to_string(used * kMillisecondsPerSecond / CLOCKS_PER_SEC) + " ms"});
    for (const telemetry::WorkMeter::Amount& amount : amounts) {
      fields.push_back({telemetry::ToString(amount.part),
                        std::to_string(amount.calls) + " calls, " + MillisecondsText(amount.time) +
                            " ms, longest " + MillisecondsText(amount.longest)});
    }
    LogEvent(telemetry::LogLevel::kInfo, "owner_work",
             "how long each part of the work kept the thread since the last report",
             std::move(fields));
  }

  const Context context;
  http::Client& client;
  TrafficMeter& traffic;
  OrderExchange& exchange;
  /// The forwarded orders' traffic at the last report.
  OrderExchange::Traffic carried;
  /// The processor time of this process at the last report.
  std::clock_t processor = 0;
  bool is_stopping = false;
  int exit_code = kExitOk;
  OperatorView operators;
  OwnerDirectory directory;
  PeerRelay relay;
  std::shared_ptr<JobWriter> writer;
  std::shared_ptr<Election> election;
  JobQueries queries;
  std::shared_ptr<AdmissionView> admission;
  CallerHandler callers;
  PeerHandler peers;
  HealthHandler health;
  asio::signal_set signals;
  std::unique_ptr<http::Server> caller_server;
  std::unique_ptr<http::Server> peer_server;
  std::unique_ptr<http::Server> health_server;
  std::unique_ptr<http::Server> metrics_server;
};

}  // namespace

int RunJobEntry(const JobEntrySettings& settings, LinkFactory& factory) {
  std::signal(SIGPIPE, SIG_IGN);
  const Status logging = telemetry::SetUpLogging({.entry = settings.id,
                                                  .zone = settings.zone,
                                                  .min_level = settings.log_level,
                                                  .path = "",
                                                  .stream = telemetry::LogStream::kStandardOutput});
  if (!logging) {
    std::fprintf(stderr, "%s\n", ToString(logging.LastReason()).c_str());
    return kExitUnavailable;
  }
  const SystemClock clock;
  telemetry::MetricsRegistry metrics;
  // Nothing but this thread uses it, so that it needs no locks.
  asio::io_context io(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
  http::ClientLimits limits;
  limits.connections_per_address = kConnectionsPerAddress;
  TrafficMeter traffic(metrics);
  http::Client client(limits, {}, &traffic);
  Links links = factory.Make(settings, client);
  telemetry::WorkMeter work(clock, metrics);
  const Context context{settings, links, clock, metrics, io, work};
  auto carried = std::make_unique<CarriedEndpoints>(context, std::move(links.endpoints));
  OrderExchange exchange(context, *carried);
  links.endpoints = std::move(carried);
  if (const Status opened = exchange.Open(links); !opened) {
    // Orders are then sent directly, as in a small fleet.
    LogEvent(telemetry::LogLevel::kWarning, "carrying_unavailable", ToString(opened.LastReason()));
  }
  JobEntryNode node(context, client, traffic, exchange);
  const Status started = node.Start();
  if (!started) {
    LogEvent(telemetry::LogLevel::kError, "start_failed", ToString(started.LastReason()));
    telemetry::FlushLogging();
    return kExitUnavailable;
  }
  LogEvent(telemetry::LogLevel::kInfo, "started", "serving at " + ToString(settings.callers));
  io.run();
  telemetry::FlushLogging();
  // Suspended coroutines still refer to the components, so the process exits without destroying
  // them.
  std::_Exit(node.ExitCode());
}

}  // namespace chervilspar::job_entry
