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

namespace chervilspar::job_entry {

/// What all parts of an entry use. The entry runs on one thread: the platform's VMs give a quarter
/// of one core, on which threads only take turns.
struct Context {
  const JobEntrySettings& settings;
  Links& links;
  const Clock& clock;
  telemetry::MetricsRegistry& metrics;
  boost::asio::io_context& io;

  TimePoint Now() const { return this->clock.Now(); }
};

/// Runs a coroutine on the entry's thread until it ends.
template <typename Coroutine>
void Spawn(const Context& context, Coroutine coroutine) {
  boost::asio::co_spawn(context.io, std::move(coroutine), boost::asio::detached);
}

/// Runs all, at most `at_once` side by side; true when all gave true. What they use must live until
/// they have ended.
boost::asio::awaitable<bool> RunAll(const Context& context,
                                    std::vector<boost::asio::awaitable<bool>> all,
                                    std::size_t at_once);

/// One line for a decision or a change of what this process believes.
void LogEvent(telemetry::LogLevel level, std::string event, std::string message,
              std::vector<telemetry::LogField> fields = {}, std::string request = {});

/// Waits for `span`.
boost::asio::awaitable<void> Pause(const Context& context, Duration span);

std::string MillisecondsText(Duration span);

}  // namespace chervilspar::job_entry
