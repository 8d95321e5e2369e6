#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include "bench/fleet/bench_http.h"
#include "bench/fleet/demo.h"
#include "bench/fleet/load_loop.h"
#include "scenario.h"

namespace chervilspar::scenario {
namespace {

constexpr int kFailed = 1;
constexpr int kBadScript = 2;
constexpr int kBenchSeconds = 3;

int RunFile(const RunSettings& settings, const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  const Result<std::vector<ScriptLine>> script = ParseScript(text.str());
  Scenario scenario(settings);
  const Status known = script ? scenario.Words().Check(*script) : Status(script.LastReason());
  if (!stream || !known) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(),
                 stream ? ToString(known.LastReason()).c_str() : "can't be read");
    return kBadScript;
  }
  const Status run = RunScript(*script, scenario.Words());
  if (!run) {
    std::printf("%sFAILED %s: %s\noutput in %s\n", scenario.Summary().c_str(), file.c_str(),
                ToString(run.LastReason()).c_str(), settings.out_dir.c_str());
    return kFailed;
  }
  const Result<Counters> counters = scenario.Conclude();
  if (!counters) {
    std::printf("FAILED %s: %s\n", file.c_str(), ToString(counters.LastReason()).c_str());
    return kFailed;
  }
  std::printf("%s%s\n%s %s\n", scenario.Summary().c_str(), counters->ToJson().c_str(),
              counters->IsClean() ? "passed" : "FAILED", file.c_str());
  return counters->IsClean() ? 0 : kFailed;
}

/// A closed loop of one team's callers on one service of a running entry.
int RunCalls(const std::string& entry, const std::string& service, std::uint32_t connections,
             int seconds) {
  const Result<SocketAddress> address = ParseSocketAddress(entry);
  const char* key = std::getenv("CHERVILSPAR_TEAM_KEY");
  if (!address || key == nullptr) {
    std::fprintf(stderr, "--entry must be IP:PORT and CHERVILSPAR_TEAM_KEY be set\n");
    return kBadScript;
  }
  LoadSettings load;
  load.addresses = {*address};
  load.connections = connections;
  load.span = std::chrono::seconds(seconds);
  load.make = [&](std::uint64_t number) {
    http::Request request{"POST", "/v1/services/" + service + "/requests", {}, {}};
    request.headers.Add("Authorization", std::string("Bearer ") + key);
    request.body = R"({"work_ms":10,"number":)" + std::to_string(number) + "}";
    return request;
  };
  const LoadResult result = RunLoad(load);
  std::printf("%llu answered, %llu failed, %.0f a second, p50 %lld us, p99 %lld us\n",
              static_cast<unsigned long long>(result.answered),
              static_cast<unsigned long long>(result.failed), result.Rate(),
              static_cast<long long>(result.p50.count()),
              static_cast<long long>(result.p99.count()));
  return result.answered > 0 ? 0 : kFailed;
}

RunSettings MakeSettings(const std::string& bin_dir, const std::string& out_dir) {
  RunSettings settings{bin_dir, out_dir};
  if (out_dir.empty()) {
    settings.out_dir = bin_dir + "/scenario-out/" + std::to_string(getpid());
  }
  std::filesystem::create_directories(settings.out_dir);
  return settings;
}

int Main(int argc, char** argv) {
  CLI::App app("Runs scenarios against real processes on loopback.");
  app.require_subcommand(1);
  std::string bin_dir = "build";
  std::string out_dir;
  std::string file;
  int exit_code = 0;
  app.add_option("--bin-dir", bin_dir, "build directory with the programs");
  app.add_option("--out-dir", out_dir, "where output of the processes goes");
  CLI::App* run = app.add_subcommand("run", "run one script");
  run->add_option("file", file)->required();
  run->callback([&] { exit_code = RunFile(MakeSettings(bin_dir, out_dir), file); });
  CLI::App* words = app.add_subcommand("words", "print all statements");
  words->callback(
      [&] { std::printf("%s", Scenario(MakeSettings(bin_dir, out_dir)).Words().Help().c_str()); });
  std::string inventory_file;
  CLI::App* demo = app.add_subcommand("demo", "half a minute in the life of a fleet");
  demo->add_option("--inventory", inventory_file)->required();
  demo->callback([&] { exit_code = RunDemo(MakeSettings(bin_dir, out_dir), inventory_file); });
  int seconds = kBenchSeconds;
  CLI::App* bench = app.add_subcommand("bench-http", "measure the way through an entry");
  bench->add_option("--seconds", seconds, "for each row");
  bench->callback([&] {
    exit_code = RunBenchHttp(MakeSettings(bin_dir, out_dir), std::chrono::seconds(seconds));
  });
  std::string entry;
  std::string service;
  std::uint32_t connections = 1;
  CLI::App* call = app.add_subcommand("call", "load one service of a running entry");
  call->add_option("--entry", entry, "IP:PORT")->required();
  call->add_option("--service", service)->required();
  call->add_option("--connections", connections);
  call->add_option("--seconds", seconds);
  call->callback([&] { exit_code = RunCalls(entry, service, connections, seconds); });
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}

}  // namespace
}  // namespace chervilspar::scenario

int main(int argc, char** argv) { return chervilspar::scenario::Main(argc, argv); }
