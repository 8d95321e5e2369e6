#include "chervilspar/entry/run_entry.h"

#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

#include "chervilspar/telemetry/logger.h"

#include "entry/entry_node.h"

namespace chervilspar::entry {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUnavailable = 5;
/// A drain that had to be given up.
constexpr int kExitCut = 6;
constexpr Duration kMaxClockAhead = std::chrono::seconds(60);

std::uint64_t MakeNonce() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Blocks the signals that end the process in this thread and all that it starts, so that one
/// thread can wait for them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void WaitForSignal(const sigset_t& signals) {
  int signal = 0;
  while (sigwait(&signals, &signal) != 0) {
  }
}

}  // namespace

int RunEntry(const EntrySettings& settings) {
  const sigset_t signals = BlockStopSignals();
  const Status logging =
      telemetry::SetUpLogging({settings.id, settings.zone, settings.log_level, settings.log_file});
  if (!logging) {
    std::fprintf(stderr, "%s\n", ToString(logging.LastReason()).c_str());
    return kExitUnavailable;
  }
  const SystemClock clock;
  telemetry::EventRing events(settings.id, settings.event_ring_size, kMaxClockAhead);
  telemetry::MetricsRegistry metrics;
  const membership::Self self{settings.id, {clock.WallNow(), MakeNonce()}, settings.zone};
  const EntryContext context{settings, clock, self, events, metrics};
  EntryNode node(context);
  const Status started = node.Start();
  if (!started) {
    telemetry::Log(telemetry::LogLevel::kError, "start_failed", ToString(started.LastReason()));
    telemetry::FlushLogging();
    return kExitUnavailable;
  }
  context.Note({.kind = telemetry::EventKind::kEntryStarted});
  telemetry::Log(telemetry::LogLevel::kInfo, "started", "serving at " + settings.http_address);
  WaitForSignal(signals);
  // A second signal ends the wait for requests in flight.
  std::thread second([&] {
    WaitForSignal(signals);
    node.Hurry();
  });
  second.detach();
  const bool is_drained = node.ShutDown();
  telemetry::FlushLogging();
  // The node's threads may still hold the detached thread's references; the process ends here.
  std::_Exit(is_drained ? kExitOk : kExitCut);
}

}  // namespace chervilspar::entry
