#include "control.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

namespace chervilspar::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
constexpr std::string_view kPrefix = "/control/";
}  // namespace

asio::awaitable<Reply> ControlHandler::Handle(http::Request request) {
  if (request.method == "GET" && request.target.starts_with(kPrefix)) {
    std::optional<std::string> report = this->target.Report(request.target.substr(kPrefix.size()));
    co_return report ? JsonReply(*std::move(report)) : JsonReply("{}", 404);
  }
  boost::system::error_code error;
  const json::value value = json::parse(request.body, error);
  if (error || !value.is_object() || !this->target.Apply(value.get_object())) {
    co_return JsonReply(R"({"code":"unknown-switch"})", 400);
  }
  co_return JsonReply("{}");
}

asio::awaitable<void> Sleep(Duration span) {
  if (span <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(span);
  co_await timer.async_wait(asio::use_awaitable);
}

std::int64_t IntegerOr(const json::object& object, std::string_view name, std::int64_t fallback) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

bool FlagOr(const json::object& object, std::string_view name, bool fallback) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

std::string TextOr(const json::object& object, std::string_view name, const std::string& fallback) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : fallback;
}

std::int64_t UnixMicros() { return SystemClock().WallNow().time_since_epoch().count(); }

}  // namespace chervilspar::standins
