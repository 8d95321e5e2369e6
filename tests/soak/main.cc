// Runs entry processes under random faults and checks what callers and endpoints see.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chervilspar/telemetry/logger.h"

#include "tests/soak/faults.h"

namespace chervilspar::soak {
namespace {

namespace asio = boost::asio;

/// From the last fault until all that was accepted has to be complete: leases, a change of owner
/// and a backlog of a few seconds.
constexpr Duration kSettleTime = std::chrono::seconds(25);
constexpr Duration kLook = std::chrono::milliseconds(500);
constexpr Duration kWarmUp = std::chrono::seconds(2);
constexpr std::size_t kMostTold = 20;
/// Thousandths of a core of each endpoint when room is tight.
constexpr std::int64_t kTightCpu = 2000;

struct Options {
  std::string binary = "build/chervilspar";
  std::string log_dir = "/tmp/chervilspar-soak";
  std::uint64_t seed = 1;
  int seconds = 20;
  int runs = 1;
  /// Other entries carry the owner's orders.
  bool are_orders_carried = false;
  /// Endpoints have little more room than the jobs need, so that jobs wait after each fault.
  bool is_room_tight = false;
  /// As in `SoakSizes`.
  bool has_changes = false;
  /// Seeds that failed once, one a line, with the cause after the number.
  std::string regressions;
};

asio::awaitable<void> Sleep(asio::io_context& io, Duration span) {
  asio::steady_timer timer(io, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> Play(SoakFleet& fleet, SoakCallers& callers, Faults& faults, int seconds) {
  const SystemClock clock;
  fleet.Publish({SoakCallers::kKey, SoakCallers::kWithdrawnKey});
  for (std::size_t i = 0; i < fleet.places.size(); ++i) {
    fleet.StartEntry(i);
  }
  co_await Sleep(fleet.io, kWarmUp);
  const TimePoint until = clock.Now() + std::chrono::seconds(seconds);
  asio::co_spawn(fleet.io, callers.Load(until), asio::detached);
  asio::co_spawn(fleet.io, callers.WatchCounts(until + kSettleTime), asio::detached);
  asio::co_spawn(fleet.io, faults.WatchProcesses(), asio::detached);
  if (fleet.sizes.has_changes) {
    asio::co_spawn(fleet.io, faults.RunChanges(until), asio::detached);
    asio::co_spawn(fleet.io, faults.RunOddEntries(until), asio::detached);
  }
  co_await faults.Run(until);
  const TimePoint deadline = clock.Now() + kSettleTime;
  bool are_settled = false;
  while (!are_settled && clock.Now() < deadline) {
    co_await Sleep(fleet.io, kLook);
    are_settled = co_await callers.AreSettled();
  }
  callers.CheckEnd();
  fleet.io.stop();
}

/// True when nothing was violated.
bool RunSeed(const Options& options, std::uint64_t seed) {
  const std::string log_dir = options.log_dir + "/" + std::to_string(seed);
  std::filesystem::remove_all(log_dir);
  std::filesystem::create_directories(log_dir);
  asio::io_context io(1);
  SoakSizes sizes;
  sizes.are_orders_carried = options.are_orders_carried;
  sizes.endpoint_cpu = options.is_room_tight ? kTightCpu : sizes.endpoint_cpu;
  sizes.has_changes = options.has_changes;
  SoakFleet fleet(io, sizes, options.binary, log_dir);
  SoakCallers callers(fleet, seed);
  Faults faults(fleet, callers, seed ^ 0x5eedULL);
  asio::co_spawn(io, Play(fleet, callers, faults, options.seconds), asio::detached);
  io.run();
  int accepted = 0;
  int cancelled = 0;
  int refused = 0;
  for (const auto& [id, job] : callers.Jobs()) {
    accepted += job.is_accepted ? 1 : 0;
    cancelled += job.is_cancelled ? 1 : 0;
    refused += job.is_refused ? 1 : 0;
  }
  std::printf(
      "seed %llu: %zu jobs, %d accepted, %d cancelled, %d refused; %zu starts; %zu violations\n",
      static_cast<unsigned long long>(seed), callers.Jobs().size(), accepted, cancelled, refused,
      fleet.endpoints.starts.size(), fleet.endpoints.violations.size());
  const std::vector<std::string>& violations = fleet.endpoints.violations;
  for (std::size_t i = 0; i < violations.size() && i < kMostTold; ++i) {
    std::printf("  VIOLATED: %s\n", violations[i].c_str());
  }
  if (!fleet.endpoints.violations.empty()) {
    std::printf("  logs: %s\n", log_dir.c_str());
  }
  const bool has_run = accepted > 0 && !fleet.endpoints.starts.empty();
  if (!has_run) {
    std::printf("  nothing was served\n");
  }
  return has_run && fleet.endpoints.violations.empty();
}

std::vector<std::uint64_t> SeedsOf(const Options& options) {
  std::vector<std::uint64_t> seeds;
  std::ifstream file(options.regressions);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::uint64_t seed = 0;
    if (words >> seed) {
      seeds.push_back(seed);
    }
  }
  for (int i = 0; i < options.runs; ++i) {
    seeds.push_back(options.seed + static_cast<std::uint64_t>(i));
  }
  return seeds;
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app(
      "Runs entry processes under random faults and checks what callers and endpoints see");
  app.add_option("--binary", options.binary, "The program [build/chervilspar]");
  app.add_option("--log-dir", options.log_dir, "Where the entries' logs go; one folder a seed");
  app.add_option("--seed", options.seed, "The first seed [1]");
  app.add_option("--seconds", options.seconds, "How long faults come [20]");
  app.add_option("--runs", options.runs, "Seeds in a row [1]");
  app.add_flag("--carried", options.are_orders_carried,
               "Other entries carry the owner's orders to the endpoints");
  app.add_flag("--tight", options.is_room_tight,
               "Endpoints have little more room than the jobs need");
  app.add_flag("--changes", options.has_changes,
               "Jobs repeat and runs fail, endpoints hang, the queue is removed for some time, and "
               "the store takes small records only");
  app.add_option("--regressions", options.regressions, "A file of seeds to run first");
  CLI11_PARSE(app, argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const Status logging = telemetry::SetUpLogging({.min_level = telemetry::LogLevel::kError});
  if (!logging) {
    std::fprintf(stderr, "%s\n", ToString(logging.LastReason()).c_str());
    return 2;
  }
  const std::vector<std::uint64_t> seeds = SeedsOf(options);
  const auto failed = std::count_if(seeds.begin(), seeds.end(),
                                    [&](std::uint64_t seed) { return !RunSeed(options, seed); });
  std::printf("%ld of %zu seeds failed\n", static_cast<long>(failed), seeds.size());
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace chervilspar::soak

int main(int argc, char** argv) { return chervilspar::soak::Main(argc, argv); }
