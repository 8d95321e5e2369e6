#include "entry/caller_request.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "chervilspar/http/server.h"
#include "chervilspar/idempotency/uuid_v7.h"

namespace chervilspar::entry {

namespace {

constexpr std::string_view kBearer = "Bearer ";

Rejection BadRequest(std::string_view field, std::string message) {
  return {400, "invalid-argument", std::string(field) + ": " + std::move(message), Verdict::kNotRun,
          Duration::zero()};
}

std::string_view Find(const http::Headers& headers, std::string_view name) {
  return headers.Find(name).value_or(std::string_view());
}

std::optional<Rejection> ReadKey(const http::Headers& headers, CallerRequest& out) {
  const std::string_view authorization = Find(headers, "Authorization");
  if (!authorization.starts_with(kBearer) || authorization.size() == kBearer.size()) {
    return Rejection{401, "unauthenticated", "Authorization: expected 'Bearer KEY'",
                     Verdict::kNotRun, Duration::zero()};
  }
  out.key = std::string(authorization.substr(kBearer.size()));
  return std::nullopt;
}

std::optional<Rejection> ReadId(const http::Headers& headers, CallerRequest& out) {
  const std::optional<std::string_view> text = headers.Find("Idempotency-Key");
  if (!text) {
    return std::nullopt;
  }
  const Result<idempotency::UuidV7> id = idempotency::ParseUuidV7(*text);
  if (!id) {
    return BadRequest(id.LastReason().field, id.LastReason().message);
  }
  out.id = id->id;
  return std::nullopt;
}

std::optional<Rejection> ReadTimeout(const http::Headers& headers, CallerRequest& out) {
  constexpr std::string_view kName = "Chervilspar-Timeout-Ms";
  const std::optional<std::string_view> text = headers.Find(kName);
  if (!text) {
    return std::nullopt;
  }
  std::int64_t millis = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), millis);
  const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(kMaxTimeout);
  if (error != std::errc() || end != text->data() + text->size() || millis < 1 ||
      millis > longest.count()) {
    return BadRequest(kName,
                      "expected whole milliseconds from 1 to " + std::to_string(longest.count()));
  }
  out.timeout = std::chrono::milliseconds(millis);
  return std::nullopt;
}

/// Reads "true" or "false"; `value` is left alone when the header is missing.
std::optional<Rejection> ReadFlag(const http::Headers& headers, std::string_view name,
                                  bool& value) {
  const std::optional<std::string_view> text = headers.Find(name);
  if (!text) {
    return std::nullopt;
  }
  if (*text != "true" && *text != "false") {
    return BadRequest(name, "expected 'true' or 'false'");
  }
  value = *text == "true";
  return std::nullopt;
}

std::optional<Rejection> ReadFlags(const http::Headers& headers, CallerRequest& out) {
  bool is_idempotent = false;
  bool is_urgent = false;
  std::optional<Rejection> fault = ReadFlag(headers, "Chervilspar-Idempotent", is_idempotent);
  if (!fault) {
    fault = ReadFlag(headers, "Chervilspar-Urgent", is_urgent);
  }
  out.idempotency =
      is_idempotent ? admission::Idempotency::kIdempotent : admission::Idempotency::kNotIdempotent;
  out.work_class = is_urgent ? admission::WorkClass::kUrgent : admission::WorkClass::kNormal;
  return fault;
}

std::optional<Rejection> ReadTarget(const http::Request& request, CallerRequest& out) {
  const std::vector<std::string_view> parts = http::PathSegments(http::PathOf(request.target));
  const bool is_request =
      parts.size() == 4 && parts[0] == "v1" && parts[1] == "services" && parts[3] == "requests";
  if (!is_request) {
    return Rejection{404, "not-found", "no such path", Verdict::kNotRun, Duration::zero()};
  }
  if (request.method != "POST") {
    return Rejection{405, "method-not-allowed", "expected POST", Verdict::kNotRun,
                     Duration::zero()};
  }
  out.service = ServiceId{std::string(parts[2])};
  return std::nullopt;
}

}  // namespace

std::variant<CallerRequest, Rejection> ReadCallerRequest(http::Request request) {
  CallerRequest out;
  std::optional<Rejection> fault = ReadTarget(request, out);
  for (const auto read : {&ReadKey, &ReadId, &ReadTimeout, &ReadFlags}) {
    if (!fault) {
      fault = read(request.headers, out);
    }
  }
  if (fault) {
    return *std::move(fault);
  }
  out.content_type = std::string(Find(request.headers, "Content-Type"));
  out.body = std::move(request.body);
  return out;
}

void AddVerdict(http::Response& response, Verdict verdict, const RequestId& id) {
  response.headers.Add("Chervilspar-Verdict", ToString(verdict));
  if (!id.IsEmpty()) {
    response.headers.Add("Chervilspar-Request-Id", id.text);
  }
}

http::Response ToResponse(const Rejection& rejection, const RequestId& id) {
  http::Response response =
      http::ErrorResponse(rejection.status, rejection.code, rejection.message, id.text);
  AddVerdict(response, rejection.verdict, id);
  if (rejection.retry_after > Duration::zero()) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(rejection.retry_after).count();
    const auto seconds = std::max<std::int64_t>(1, (millis + 999) / 1000);
    response.headers.Add("Retry-After", std::to_string(seconds));
    response.headers.Add("Chervilspar-Retry-After-Ms", std::to_string(millis));
  }
  return response;
}

}  // namespace chervilspar::entry
