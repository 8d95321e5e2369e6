#include "job_entry/ask_owner.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Questions that have to be answered sooner are asked in a request of their own.
constexpr Duration kMinFrameTime = std::chrono::milliseconds(200);

}  // namespace

asio::awaitable<std::optional<http::Response>> AskOwner(const Context& context,
                                                        http::Client& client, OwnerClaim owner,
                                                        http::Request request, Duration timeout) {
  const TimePoint deadline = context.Now() + timeout;
  OwnerQuestions* const questions = context.links.owner_questions;
  const bool is_framed = questions != nullptr && timeout >= kMinFrameTime;
  if (is_framed) {
    http::Request question = request;
    QuestionOutcome outcome = co_await questions->Ask(owner.member, std::move(question), timeout);
    if (outcome.response || !outcome.may_request) {
      co_return std::move(outcome.response);
    }
  }
  const Duration left = deadline - context.Now();
  if (left <= Duration::zero()) {
    co_return std::nullopt;
  }
  const http::Exchange exchange =
      co_await client.Send(owner.address, std::move(request), left, nullptr);
  if (!exchange.response) {
    client.CloseIdle(owner.address);
    context.metrics.Count({"chervilspar_owner_questions_failed_total", {}});
  } else if (is_framed) {
    questions->OnRequestAnswered();
  }
  co_return exchange.response;
}

}  // namespace chervilspar::job_entry
