#include "chervilspar/http/blocking_client.h"
#include "chervilspar/platform/http_platform.h"

#include "platform_bodies.h"

namespace chervilspar::platform {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kFirstServerError = 500;
/// The answer to a read may hold many records of up to 1 MiB each.
constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024 * 1024;

http::ClientLimits Limits() {
  http::ClientLimits limits;
  limits.connections_per_address = 1;
  limits.body_bytes = kMaxResponseBytes;
  return limits;
}

Reason UnexpectedStatus(unsigned status) {
  const ErrorCode code =
      status >= kFirstServerError ? ErrorCode::kUnavailable : ErrorCode::kInvalidArgument;
  return {code, "status", "the log answered " + std::to_string(status)};
}

class HttpLogService final : public LogService {
 public:
  HttpLogService(const SocketAddress& address, const http::Routes& routes)
      : address(address), appender(Limits(), routes), reader(Limits(), routes) {}

  AppendOutcome Append(std::string_view data, Duration timeout) override;
  Result<ReadBatch> Read(config_log::Offset from, std::size_t max, Duration wait,
                         Duration timeout) override;

 private:
  SocketAddress address;
  http::BlockingClient appender;
  http::BlockingClient reader;
};

AppendOutcome HttpLogService::Append(std::string_view data, Duration timeout) {
  http::Request request{"POST", "/v1/log/records", {}, std::string(data)};
  request.headers.Add("Content-Type", "application/json");
  const http::Exchange exchange = this->appender.Call(this->address, std::move(request), timeout);
  if (!exchange.response) {
    return {exchange.verdict, std::nullopt, exchange.reason};
  }
  // The record may have been written before a server error, but not before a client error.
  const unsigned status = exchange.response->status;
  if (status != kOk) {
    const Verdict verdict = status >= kFirstServerError ? Verdict::kMayHaveRun : Verdict::kNotRun;
    return {verdict, std::nullopt, UnexpectedStatus(status)};
  }
  const Result<config_log::Offset> offset = ParseAppendAnswer(exchange.response->body);
  if (!offset) {
    return {Verdict::kMayHaveRun, std::nullopt, offset.LastReason()};
  }
  return {Verdict::kCompleted, *offset, {}};
}

Result<ReadBatch> HttpLogService::Read(config_log::Offset from, std::size_t max, Duration wait,
                                       Duration timeout) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target = "/v1/log/records?from=" + std::to_string(from) +
                             "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait_ms);
  const http::Exchange exchange =
      this->reader.Call(this->address, {"GET", target, {}, {}}, timeout);
  if (!exchange.response) {
    return exchange.reason;
  }
  if (exchange.response->status == kGone) {
    return ParseGapAnswer(exchange.response->body, from);
  }
  if (exchange.response->status != kOk) {
    return UnexpectedStatus(exchange.response->status);
  }
  return ParseReadAnswer(exchange.response->body, from, max);
}

}  // namespace

std::unique_ptr<LogService> MakeHttpLogService(const SocketAddress& address,
                                               const http::Routes& routes) {
  return std::make_unique<HttpLogService>(address, routes);
}

}  // namespace chervilspar::platform
