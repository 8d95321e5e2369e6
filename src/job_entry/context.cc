#include "job_entry/context.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

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

asio::awaitable<void> Pause(const Context& context, Duration span) {
  asio::steady_timer timer(context.io, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string MillisecondsText(Duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

}  // namespace chervilspar::job_entry
