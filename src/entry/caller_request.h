#pragma once

#include <optional>
#include <string>
#include <variant>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/http/message.h"

/// First filter of the pipeline: an HTTP request becomes a typed request, or its final answer.
namespace chervilspar::entry {

/// A caller's request, read and checked for form. Whose it is, is not known yet.
struct CallerRequest {
  ServiceId service;
  std::string key;
  /// As given by the caller, in canonical form; empty when it gave none.
  RequestId id;
  Duration timeout = std::chrono::seconds(30);
  admission::Idempotency idempotency = admission::Idempotency::kNotIdempotent;
  admission::WorkClass work_class = admission::WorkClass::kNormal;
  std::string body;
  std::string content_type;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// The final answer to a request that this entry did not run to its end.
struct Rejection {
  unsigned status = 500;
  std::string code;
  std::string message;
  Verdict verdict = Verdict::kNotRun;
  /// When to come back; zero when that doesn't help.
  Duration retry_after = Duration::zero();

  friend bool operator==(const Rejection&, const Rejection&) = default;
};

/// Longest deadline that a caller may ask for. Longer work belongs to tasks that report by
/// themselves; a connection held for hours would not survive the maintenance of its own entry.
inline constexpr Duration kMaxTimeout = std::chrono::minutes(10);

std::variant<CallerRequest, Rejection> ReadCallerRequest(http::Request request);

/// The HTTP answer for a rejection, with its verdict and the time to come back.
http::Response ToResponse(const Rejection& rejection, const RequestId& id);

/// Adds the headers that every answer has.
void AddVerdict(http::Response& response, Verdict verdict, const RequestId& id);

}  // namespace chervilspar::entry
