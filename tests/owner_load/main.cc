// Measures what one owner's process costs: the real program as the owner, with its store, VM
// service, endpoints and the entries that forward its orders in this process.
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "chervilspar/http/client.h"
#include "chervilspar/http/server.h"

#include "bench/fleet/child_process.h"
#include "bench/fleet/free_ports.h"
#include "tests/job_entry/carrier_entry.h"
#include "tests/soak/store_server.h"

namespace chervilspar::owner_load {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using job_entry::Topic;

constexpr int kPools = 4;
constexpr int kZones = 5;
constexpr int kTeams = 60;
constexpr std::uint32_t kPartitions = 8;
constexpr std::int64_t kEndpointCpu = 64000;
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
/// Between two questions for the outlook.
constexpr Duration kAskPause = std::chrono::seconds(1);
constexpr Duration kWarmUp = std::chrono::seconds(6);
/// Each pool has its turn for so long, in which it gets `kTurnFactor` times its mean.
constexpr Duration kTurn = std::chrono::seconds(4);
constexpr double kTurnFactor = 2.2;
constexpr double kOffTurnFactor = 0.6;

struct Options {
  std::string binary = "build/chervilspar";
  std::string log = "/tmp/chervilspar-owner-load.log";
  int endpoints = 1000;
  int carriers = 14;
  int askers = 100;
  /// Questions for the state of a job, each second and asking entry.
  int finds_per_outlook = 4;
  /// Each question is a request of its own, as an owner of an earlier version expects it.
  bool asks_by_http = false;
  double jobs_per_second = 170;
  int long_running_jobs = 40;
  int seconds = 20;
  /// Further flags of the owner; earlier versions know fewer.
  std::vector<std::string> owner_flags = {"--account-shares", "true", "--job-admission", "true",
                                          "--preemption",     "true", "--pool-sizing",   "demand",
                                          "--link-budget",    "true"};
};

/// The jobs of one queue.
struct Kind {
  const char* queue;
  double share;
  std::uint32_t steps;
  std::int64_t cpu;
  Duration time;
};

constexpr Kind kKinds[kPools] = {{"q0", 0.368, 2, 8900, std::chrono::milliseconds(640)},
                                 {"q1", 0.077, 2, 19000, std::chrono::milliseconds(1300)},
                                 {"q2", 0.462, 2, 8900, std::chrono::milliseconds(640)},
                                 {"q3", 0.093, 2, 19000, std::chrono::milliseconds(1300)}};

/// Lists the VMs of all endpoints and refuses to move them.
class VmServer final : public http::Handler {
 public:
  explicit VmServer(std::string list) : list(std::move(list)) {}
  asio::awaitable<http::Response> Handle(http::Request request,
                                         std::shared_ptr<http::CancelToken>) override {
    http::Response response;
    response.headers.Add("Content-Type", "application/json");
    const bool is_list = http::PathOf(request.target) == "/-/machines";
    response.status = is_list ? 200 : 400;
    response.body = is_list ? this->list : "{}";
    co_return response;
  }

 private:
  const std::string list;
};

class OwnerLoad {
 public:
  OwnerLoad(asio::io_context& io, const Options& options)
      : io(io),
        options(options),
        store(io),
        store_server(this->store),
        table(io, this->run_times),
        vm_server(this->VmList()) {
    this->store.answer_time = std::chrono::milliseconds(4);
    this->store_address = this->Listen(this->store_server);
    this->vm_address = this->Listen(this->vm_server);
    this->PublishRules();
    for (int i = 0; i < options.endpoints; ++i) {
      this->Register(i);
    }
    for (int i = 0; i < options.carriers; ++i) {
      this->AddCarrier(i);
    }
  }

  asio::awaitable<void> Run() {
    this->StartOwner();
    co_await this->Wait(kWarmUp);
    for (int i = 0; i < this->options.long_running_jobs; ++i) {
      this->Submit(i % kPools, true);
    }
    for (int i = 0; i < this->options.askers; ++i) {
      asio::co_spawn(this->io, this->AskRepeatedly(i), asio::detached);
    }
    const TimePoint begin = this->clock.Now();
    const TimePoint end = begin + std::chrono::seconds(this->options.seconds);
    Duration cpu_before = this->owner->CpuTime();
    job_entry::EndpointCounts before = this->table.counts;
    TimePoint reported = begin;
    double due[kPools] = {};
    std::size_t heartbeat = 0;
    TimePoint last = begin;
    while (this->clock.Now() < end) {
      co_await this->Wait(kTick);
      const TimePoint now = this->clock.Now();
      const std::chrono::duration<double> passed = now - last;
      last = now;
      const auto turn = static_cast<int>((now - begin) / kTurn) % kPools;
      for (int pool = 0; pool < kPools; ++pool) {
        due[pool] += passed.count() * this->options.jobs_per_second * kKinds[pool].share *
                     (pool == turn ? kTurnFactor : kOffTurnFactor);
        for (; due[pool] >= 1; due[pool] -= 1) {
          this->Submit(pool, false);
        }
      }
      const auto beats =
          static_cast<std::size_t>((now - begin) * this->options.endpoints / kHeartbeat);
      for (; heartbeat < beats; ++heartbeat) {
        this->Register(
            static_cast<int>(heartbeat % static_cast<std::size_t>(this->options.endpoints)));
      }
      if (now - reported >= std::chrono::seconds(4)) {
        this->Report(before, cpu_before, now - reported);
        before = this->table.counts;
        cpu_before = this->owner->CpuTime();
        reported = now;
      }
    }
    const std::chrono::duration<double> all = this->owner->CpuTime();
    std::printf("whole: owner %.2f s of processor, %zu MB, %llu starts, %llu replies\n",
                all.count(), this->owner->ResidentBytes() / 1000000,
                static_cast<unsigned long long>(this->table.counts.starts),
                static_cast<unsigned long long>(this->replies));
    this->owner.reset();
    std::fflush(stdout);
    std::_Exit(0);
  }

 private:
  void Report(const job_entry::EndpointCounts& before, Duration cpu_before, Duration passed) {
    const job_entry::EndpointCounts& now = this->table.counts;
    const std::chrono::duration<double> cpu = this->owner->CpuTime() - cpu_before;
    const std::chrono::duration<double> seconds = passed;
    const auto starts = static_cast<double>(now.starts - before.starts);
    const auto confirmed = static_cast<double>(now.confirmed - before.confirmed);
    const std::chrono::duration<double, std::milli> until =
        now.until_confirmed - before.until_confirmed;
    std::printf(
        "%5.0f starts/s %5.0f ends/s %5.0f renewals/s  cpu %.3f of a core, %.0f us a start; ends "
        "confirmed after %.0f ms\n",
        starts / seconds.count(), static_cast<double>(now.ends - before.ends) / seconds.count(),
        static_cast<double>(now.renewals - before.renewals) / seconds.count(),
        cpu.count() / seconds.count(), cpu.count() * 1e6 / std::max(starts, 1.0),
        until.count() / std::max(confirmed, 1.0));
    std::fflush(stdout);
  }

  SocketAddress Listen(http::Handler& handler) {
    SocketAddress address = this->ports.Next();
    auto server = http::Server::Listen({&this->io}, address, {}, handler);
    if (!server) {
      throw std::runtime_error(ToString(server.LastReason()));
    }
    this->servers.push_back(std::move(server).Value());
    return address;
  }

  static std::string EndpointName(int endpoint) {
    return "worker-" + std::to_string(10000 + endpoint);
  }

  std::string VmList() const {
    json::array machines;
    for (int i = 0; i < this->options.endpoints; ++i) {
      machines.push_back({{"host_id", "host-" + std::to_string(i)},
                          {"pool", "pool" + std::to_string(i % kPools)},
                          {"phase", "up"},
                          {"zone", "zone-" + std::to_string(i / kPools % kZones)},
                          {"labels", json::array{"kind", "rack-" + std::to_string(i / 20)}},
                          {"capacity", {{"cpu", kEndpointCpu}, {"mem_mb", 128000}}},
                          {"id", EndpointName(i)}});
    }
    return json::serialize(json::object{{"machines", machines}, {"next_token", ""}});
  }

  void PublishRules() {
    json::array routes;
    json::array services;
    for (int i = 0; i < kPools; ++i) {
      routes.push_back(json::object{{"name", kKinds[i].queue},
                                    {"host", "127.0.0.1"},
                                    {"path_prefix", "/" + std::string(kKinds[i].queue) + "/"},
                                    {"service", "pool" + std::to_string(i)},
                                    {"attempts", 3},
                                    {"prio", i % 2},
                                    {"slack_factor", 1.5},
                                    {"target_runtime_ms", 600}});
      services.push_back(json::object{{"name", "pool" + std::to_string(i)}});
    }
    json::array tenants;
    for (int i = 0; i < kTeams; ++i) {
      tenants.push_back(json::object{{"name", "team-" + std::to_string(i)},
                                     {"weight", 1 + i % 3},
                                     {"api_keys", json::array{"key-" + std::to_string(i)}},
                                     {"cap", {{"cpu", 20000000}}}});
    }
    this->store.At(Topic::kOperators, 0)
        .records.push_back({"config", json::serialize(json::object{{"version", 1},
                                                                   {"routes", routes},
                                                                   {"tenants", tenants},
                                                                   {"services", services}})});
  }

  void Register(int endpoint) {
    const json::object record{
        {"service", "pool" + std::to_string(endpoint % kPools)},
        {"address", "127.0.0.1:" + std::to_string(20000 + endpoint)},
        {"zone", "zone-" + std::to_string(endpoint / kPools % kZones)},
        {"version", "v1"},
        {"slots", 8},
        {"phase", "ready"},
        {"cold_left_ms", 0},
        {"seq", ++this->heartbeats},
        {"born", 1},
        {"capacity", {{"cpu", kEndpointCpu}, {"mem_mb", 128000}, {"gpu", 0}}},
        {"labels", json::array{"kind", "rack-" + std::to_string(endpoint / 20)}}};
    this->store.At(Topic::kEndpoints, 0)
        .records.push_back({EndpointName(endpoint), json::serialize(record)});
  }

  void AddCarrier(int number) {
    this->carriers.push_back(std::make_unique<job_entry::CarrierEntry>(
        this->io, this->ports.Next(), ZoneId{"zone-" + std::to_string(number % kZones)},
        this->table));
    const Status opened =
        this->carriers.back()->Open(this->store, "b-carrier-" + std::to_string(number));
    if (!opened) {
      throw std::runtime_error(ToString(opened.LastReason()));
    }
  }

  void StartOwner() {
    this->peer_address = this->ports.Next();
    std::vector<std::string> command{this->options.binary,
                                     "job-entry",
                                     "--id",
                                     "a-owner",
                                     "--zone",
                                     "zone-0",
                                     "--callers-address",
                                     ToString(this->ports.Next()),
                                     "--health-address",
                                     ToString(this->ports.Next()),
                                     "--peer-address",
                                     ToString(this->peer_address),
                                     "--carrier-address",
                                     ToString(this->ports.Next()),
                                     "--store-address",
                                     ToString(this->store_address),
                                     "--vm-service-address",
                                     ToString(this->vm_address),
                                     "--job-partitions",
                                     std::to_string(kPartitions),
                                     "--lease-limit",
                                     "6000ms",
                                     "--vm-order-pause",
                                     "500ms",
                                     "--cores",
                                     "0.5",
                                     "--link-rate",
                                     "200",
                                     "--progress-form",
                                     "compact"};
    command.insert(command.end(), this->options.owner_flags.begin(),
                   this->options.owner_flags.end());
    std::filesystem::remove(this->options.log);
    this->owner = std::make_unique<scenario::ChildProcess>(
        std::move(command), scenario::OutputFiles{this->options.log, this->options.log});
    std::printf("owner is process %d\n", this->owner->Pid());
    std::fflush(stdout);
  }

  void Submit(int pool, bool is_long_running) {
    const Kind& kind = kKinds[pool];
    jobs::Job job;
    job.id = jobs::JobId{0x9e3779b97f4a7c15ULL * ++this->submitted};
    job.queue = kind.queue;
    job.service = ServiceId{"pool" + std::to_string(pool)};
    job.team = TeamId{"team-" + std::to_string(this->submitted * 7 % kTeams)};
    job.payload = std::string(200, 'x');
    job.accepted_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->clock.WallNow().time_since_epoch())
                          .count();
    jobs::Step step;
    step.count = is_long_running ? 24 : 8;
    step.need = {is_long_running ? 2000 : kind.cpu, 1000, 0};
    step.estimate_ms =
        is_long_running ? 900
                        : std::chrono::duration_cast<std::chrono::milliseconds>(kind.time).count();
    step.is_long_running = is_long_running;
    if (is_long_running) {
      step.max_unavailable = 2;
    } else {
      this->run_times[job.id.number] = kind.time;
    }
    job.steps = {step};
    if (!is_long_running && (kind.steps > 1 && (pool % 2 == 1 || this->submitted % 10 < 6))) {
      step.after = {0};
      job.steps.push_back(step);
    }
    this->store.At(Topic::kJobs, static_cast<std::uint32_t>(this->submitted % kPartitions))
        .records.push_back({jobs::ToString(job.id), jobs::EncodeJob(job)});
    this->recent = job.id;
  }

  /// Questions of other entries: one outlook a second, and a job's state.
  asio::awaitable<void> AskRepeatedly(int number) {
    job_entry::CarrierEntry entry(this->io, this->ports.Next(),
                                  ZoneId{"zone-" + std::to_string(number % kZones)}, this->table);
    http::Client client({.connections_per_address = 4}, {});
    if (!this->options.asks_by_http && !entry.OpenAsCaller(this->store)) {
      co_return;
    }
    co_await this->Wait(std::chrono::milliseconds(10 * number));
    while (true) {
      http::Request outlook;
      outlook.method = "POST";
      outlook.target = "/v1/admission";
      outlook.body = R"({"entry":"e)" + std::to_string(number) + R"(","refused":[]})";
      co_await this->Ask(entry, client, std::move(outlook));
      for (int i = 0; i < this->options.finds_per_outlook; ++i) {
        co_await this->Wait(kAskPause / this->options.finds_per_outlook);
        http::Request find;
        find.target = "/v1/jobs/" + jobs::ToString(this->recent);
        co_await this->Ask(entry, client, std::move(find));
      }
    }
  }

  asio::awaitable<void> Ask(job_entry::CarrierEntry& entry, http::Client& client,
                            http::Request request) {
    if (this->options.asks_by_http) {
      co_await client.Send(this->peer_address, std::move(request), kAskPause, nullptr);
      co_return;
    }
    const std::string owner = this->store.members.begin()->first;
    const job_entry::QuestionOutcome outcome =
        co_await entry.Questions().Ask(owner, std::move(request), kAskPause);
    this->replies += outcome.response ? 1 : 0;
  }

  asio::awaitable<void> Wait(Duration duration) {
    asio::steady_timer timer(this->io, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  asio::io_context& io;
  const Options options;
  const SystemClock clock;
  scenario::FreePorts ports;
  job_entry::FakeStore store;
  soak::StoreServer store_server;
  std::unordered_map<std::uint64_t, Duration> run_times;
  job_entry::EndpointTable table;
  VmServer vm_server;
  SocketAddress store_address;
  SocketAddress vm_address;
  SocketAddress peer_address;
  std::vector<std::unique_ptr<http::Server>> servers;
  std::vector<std::unique_ptr<job_entry::CarrierEntry>> carriers;
  std::unique_ptr<scenario::ChildProcess> owner;
  std::uint64_t submitted = 0;
  std::uint64_t heartbeats = 0;
  jobs::JobId recent;
  std::uint64_t replies = 0;
};

int Main(int argc, char** argv) {
  Options options;
  CLI::App app("Measures what an owner costs");
  app.add_option("--binary", options.binary, "The program [build/chervilspar]");
  app.add_option("--log", options.log, "The owner's log");
  app.add_option("--endpoints", options.endpoints, "[1000]");
  app.add_option("--carriers", options.carriers, "Entries that forward orders [14]");
  app.add_option("--askers", options.askers, "Entries that ask for the outlook [100]");
  app.add_option("--finds", options.finds_per_outlook,
                 "Questions for a job a second and entry [4]");
  app.add_flag("--asks-by-http", options.asks_by_http, "Each question is an HTTP request");
  app.add_option("--jobs-per-second", options.jobs_per_second, "[170]");
  app.add_option("--long-running-jobs", options.long_running_jobs, "[40]");
  app.add_option("--owner-flags", options.owner_flags,
                 "Flags of the owner beside the common ones [those of all optional parts]")
      ->delimiter(' ');
  app.add_option("--seconds", options.seconds, "[20]");
  CLI11_PARSE(app, argc, argv);
  asio::io_context io(1);
  OwnerLoad load(io, options);
  asio::co_spawn(io, load.Run(), asio::detached);
  io.run();
  return 0;
}

}  // namespace
}  // namespace chervilspar::owner_load

int main(int argc, char** argv) { return chervilspar::owner_load::Main(argc, argv); }
