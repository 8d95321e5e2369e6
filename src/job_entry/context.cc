#include "job_entry/context.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chervilspar/http/wakeup.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Bounds the delay that a missed notification causes.
constexpr Duration kRecheckInterval = std::chrono::seconds(1);

}  // namespace

void LogEvent(telemetry::LogLevel level, std::string event, std::string message,
              std::vector<telemetry::LogField> fields, std::string request) {
  telemetry::LogLine line;
  line.level = level;
  line.event = std::move(event);
  line.message = std::move(message);
  line.request = RequestId{std::move(request)};
  line.fields = std::move(fields);
  telemetry::Log(line);
}

asio::awaitable<void> Pause(const Context& context, Duration duration) {
  asio::steady_timer timer(context.io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> RunAll(const Context& context, std::vector<asio::awaitable<bool>> tasks,
                             std::size_t max_concurrent) {
  struct Shared {
    std::vector<asio::awaitable<bool>> tasks;
    std::size_t next = 0;
    std::size_t runners = 0;
    bool are_all_true = true;
    std::shared_ptr<http::Wakeup> ended;
  };
  const auto shared = std::make_shared<Shared>();
  shared->tasks = std::move(tasks);
  shared->ended = std::make_shared<http::Wakeup>(context.io.get_executor());
  const auto run = [](std::shared_ptr<Shared> shared) -> asio::awaitable<void> {
    while (shared->next < shared->tasks.size()) {
      asio::awaitable<bool> task = std::move(shared->tasks[shared->next++]);
      const bool is_true = co_await std::move(task);
      shared->are_all_true = shared->are_all_true && is_true;
    }
    --shared->runners;
    shared->ended->Notify();
  };
  shared->runners = std::min(max_concurrent, shared->tasks.size());
  for (std::size_t i = shared->runners; i > 0; --i) {
    Spawn(context, run(shared));
  }
  while (shared->runners > 0) {
    co_await shared->ended->WaitFor(kRecheckInterval);
  }
  co_return shared->are_all_true;
}

std::string MillisecondsText(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace chervilspar::job_entry
