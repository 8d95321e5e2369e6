#include "job_entry/ask_owner.h"

#include <algorithm>
#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// A reply to a question in a frame takes about 60 ms, most of it until the frame is sent.
constexpr Duration kFrameTimeout = std::chrono::milliseconds(350);
/// Questions that have to be answered sooner are asked in a request of their own.
constexpr Duration kMinFrameTime = std::chrono::milliseconds(200);

}  // namespace

asio::awaitable<std::optional<http::Response>> AskOwner(const Context& context,
                                                        http::Client& client, OwnerClaim owner,
                                                        http::Request request, Duration timeout) {
  const TimePoint deadline = context.Now() + timeout;
  if (context.links.owner_questions != nullptr && timeout >= kMinFrameTime) {
    http::Request question = request;
    std::optional<http::Response> reply = co_await context.links.owner_questions->Ask(
        owner.member, std::move(question), std::min(timeout, kFrameTimeout));
    if (reply) {
      co_return reply;
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
  }
  co_return exchange.response;
}

}  // namespace chervilspar::job_entry
