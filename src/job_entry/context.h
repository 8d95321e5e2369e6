#pragma once

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilspar/base/time.h"
#include "chervilspar/job_entry/links.h"
#include "chervilspar/job_entry/settings.h"
#include "chervilspar/telemetry/logger.h"
#include "chervilspar/telemetry/metrics.h"
#include "chervilspar/telemetry/work_meter.h"

namespace chervilspar::job_entry {

/// The dependencies that all components of an entry share. The entry runs on one thread, as the
/// platform's VMs provide a quarter of one core, where more threads would only alternate.
struct Context {
  const JobEntrySettings& settings;
  Links& links;
  const Clock& clock;
  telemetry::MetricsRegistry& metrics;
  boost::asio::io_context& io;
  telemetry::WorkMeter& work;

  TimePoint Now() const { return this->clock.Now(); }
  /// Measures the work of this scope as `part`.
  telemetry::WorkMeter::Span Measure(telemetry::WorkPart part) const { return {this->work, part}; }
};

/// Runs a coroutine on the entry's thread until it ends.
template <typename Coroutine>
void Spawn(const Context& context, Coroutine coroutine) {
  boost::asio::co_spawn(context.io, std::move(coroutine), boost::asio::detached);
}

/// Runs all tasks, at most `max_concurrent` at a time; true if all returned true. Whatever the
/// tasks refer to must outlive them.
boost::asio::awaitable<bool> RunAll(const Context& context,
                                    std::vector<boost::asio::awaitable<bool>> tasks,
                                    std::size_t max_concurrent);

/// Logs a decision or a change in this process's view of the system. `request` is the id of the
/// request or job that it concerns.
void LogEvent(telemetry::LogLevel level, std::string event, std::string message,
              std::vector<telemetry::LogField> fields = {}, std::string request = {});

/// Waits for `duration`.
boost::asio::awaitable<void> Pause(const Context& context, Duration duration);

std::string MillisecondsText(Duration duration);

}  // namespace chervilspar::job_entry
