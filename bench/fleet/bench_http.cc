#include "bench/fleet/bench_http.h"

#include <array>
#include <cstdio>
#include <list>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "bench/fleet/callers.h"
#include "bench/fleet/load_loop.h"

namespace chervilspar::scenario {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::array<std::uint32_t, 4> kConnections = {1, 16, 64, 256};
constexpr std::uint32_t kHalfLoadConnections = 64;
constexpr std::size_t kIdleConnections = 1'000;
/// Endpoints of 8 slots each: more than any load here fills, so that they are never what refuses.
constexpr std::uint32_t kWorkers = 40;
/// The team's upper limit, likewise.
constexpr std::uint32_t kPlenty = 1'024;
constexpr unsigned kOk = 200;
constexpr Duration kStartTimeout = std::chrono::seconds(30);
const EntryId kEntry{"e1"};
const TeamId kTeam{"t1"};
const std::string kBody = R"({"work_ms":0,"text":"harness 4711, inspected"})";

/// One measured row, with the processor time of each process over it.
struct Row {
  std::string path;
  std::uint32_t connections = 0;
  LoadResult load;
  Duration entry_cpu = Duration::zero();
  Duration endpoint_cpu = Duration::zero();

  double Cores() const {
    const Duration sum = this->load.own_cpu + this->entry_cpu + this->endpoint_cpu;
    return std::chrono::duration<double>(sum).count() / this->load.seconds;
  }
  double RatePerCore() const { return this->load.Rate() / this->Cores(); }
  double EntryMicrosPerRequest() const {
    return static_cast<double>(this->entry_cpu.count()) / static_cast<double>(this->load.answered);
  }
};

void Print(const Row& row) {
  std::printf("%-8s %5u %10.0f %8.2f %10.0f %9lld %9lld %10.1f %7llu\n", row.path.c_str(),
              row.connections, row.load.Rate(), row.Cores(), row.RatePerCore(),
              static_cast<long long>(row.load.p50.count()),
              static_cast<long long>(row.load.p99.count()), row.EntryMicrosPerRequest(),
              static_cast<unsigned long long>(row.load.failed));
  std::fflush(stdout);
}

http::Request DirectRequest(std::uint64_t number, const std::string& tag) {
  http::Request request{"POST", "/v1/tasks", {}, kBody};
  request.headers.Add("Chervilspar-Task-Id", tag + std::to_string(number));
  request.headers.Add("Chervilspar-Team", kTeam.text);
  request.headers.Add("Chervilspar-Service", "s1");
  return request;
}

http::Request EntryRequest(const std::string& key) {
  http::Request request{"POST", "/v1/services/s1/requests", {}, kBody};
  request.headers.Add("Authorization", "Bearer " + key);
  request.headers.Add("Chervilspar-Idempotent", "true");
  return request;
}

class BenchHttp {
 public:
  BenchHttp(const RunSettings& settings, Duration span) : fleet(settings, Shape()), span(span) {}

  Status Prepare();
  Row Measure(const std::string& path, std::uint32_t connections, std::optional<double> rate);
  void MeasureIdleMemory();

 private:
  static FleetShape Shape() {
    FleetShape shape;
    shape.zones = 1;
    shape.entries = 1;
    shape.services = 1;
    shape.workers = kWorkers;
    shape.spares = 0;
    shape.teams = 1;
    shape.limit = kPlenty;
    return shape;
  }
  template <typename Condition>
  static bool Await(Condition condition) {
    const TimePoint end = SystemClock().Now() + kStartTimeout;
    while (!condition()) {
      if (SystemClock().Now() > end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
  }

  Fleet fleet;
  Duration span;
  int runs = 0;
};

Status BenchHttp::Prepare() {
  this->fleet.StartStandins();
  this->fleet.StartEntry(kEntry);
  const bool is_ready = Await([this] { return this->fleet.Publish(kEntry).HasValue(); }) &&
                        Await([this] { return this->fleet.IsReady(kEntry); }) &&
                        Await([this] { return this->fleet.GiveKey(kTeam, kEntry).HasValue(); });
  Callers callers(this->fleet);
  const bool is_served = is_ready && Await([&] {
                           return callers.Probe(kTeam, ServiceId{"s1"}, kEntry, kOk).HasValue();
                         });
  if (!is_served) {
    return Reason{ErrorCode::kUnavailable, "", "the entry serves nothing"};
  }
  return Done{};
}

Row BenchHttp::Measure(const std::string& path, std::uint32_t connections,
                       std::optional<double> rate) {
  const bool is_direct = path == "direct";
  const std::string key = this->fleet.KeyOf(kTeam);
  const std::string tag = std::to_string(++this->runs) + "-";
  LoadSettings load;
  if (is_direct) {
    for (const auto& [id, vm] : this->fleet.Plan().inventory.vms) {
      load.addresses.push_back(*ParseSocketAddress(vm.address));
    }
  } else {
    load.addresses = {this->fleet.HttpAddress(kEntry)};
  }
  load.connections = connections;
  load.span = this->span;
  load.rate = rate;
  load.make = [=](std::uint64_t number) {
    return is_direct ? DirectRequest(number, tag) : EntryRequest(key);
  };
  Row row;
  row.path = path;
  row.connections = connections;
  const Duration entry_before = this->fleet.Entry(kEntry)->CpuTime();
  const Duration endpoint_before = this->fleet.EndpointCpuTime();
  row.load = RunLoad(load);
  row.entry_cpu =
      is_direct ? Duration::zero() : this->fleet.Entry(kEntry)->CpuTime() - entry_before;
  row.endpoint_cpu = this->fleet.EndpointCpuTime() - endpoint_before;
  Print(row);
  return row;
}

/// Opens connections, has one answer on each, and leaves them idle.
void BenchHttp::MeasureIdleMemory() {
  ChildProcess* entry = this->fleet.Entry(kEntry);
  const std::size_t before = entry->ResidentBytes();
  asio::io_context io;
  std::list<asio::ip::tcp::socket> sockets;
  const SocketAddress address = this->fleet.HttpAddress(kEntry);
  for (std::size_t i = 0; i < kIdleConnections; ++i) {
    asio::ip::tcp::socket& socket = sockets.emplace_back(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: bench\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    asio::streambuf answer;
    asio::read_until(socket, answer, "\r\n\r\n");
  }
  const std::size_t after = entry->ResidentBytes();
  constexpr double kMegabyte = 1e6;
  std::printf("\nentry memory: %.1f MB before, %.1f MB with %zu idle connections\n",
              static_cast<double>(before) / kMegabyte, static_cast<double>(after) / kMegabyte,
              kIdleConnections);
  std::printf("%s\n", json::serialize(json::object{{"idle_connections", kIdleConnections},
                                                   {"resident_bytes_before", before},
                                                   {"resident_bytes_after", after}})
                          .c_str());
}

}  // namespace

int RunBenchHttp(const RunSettings& settings, Duration span) {
  BenchHttp bench(settings, span);
  const Status ready = bench.Prepare();
  if (!ready) {
    std::printf("%s\n", ToString(ready.LastReason()).c_str());
    return 1;
  }
  std::printf("%-8s %5s %10s %8s %10s %9s %9s %10s %7s\n", "path", "conns", "req/s", "cores",
              "req/s/core", "p50 us", "p99 us", "entry us", "failed");
  double entry_rate = 0;
  for (const std::uint32_t connections : kConnections) {
    const Row direct = bench.Measure("direct", connections, std::nullopt);
    const Row entry = bench.Measure("entry", connections, std::nullopt);
    entry_rate = connections == kHalfLoadConnections ? entry.load.Rate() : entry_rate;
    std::printf("  per core used, entry to direct: %.2f\n",
                entry.RatePerCore() / direct.RatePerCore());
  }
  std::printf("half load, %.0f requests a second:\n", entry_rate / 2);
  const Row direct = bench.Measure("direct", kHalfLoadConnections, entry_rate / 2);
  const Row entry = bench.Measure("entry", kHalfLoadConnections, entry_rate / 2);
  std::printf("  p99, entry to direct: %.2f\n", static_cast<double>(entry.load.p99.count()) /
                                                    static_cast<double>(direct.load.p99.count()));
  bench.MeasureIdleMemory();
  return 0;
}

}  // namespace chervilspar::scenario
