#include "tests/job_entry/endpoint_table.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

/// Until an order is answered.
constexpr Duration kAnswerTime = std::chrono::milliseconds(3);
/// Until a long-running task is at work.
constexpr Duration kStartupTime = std::chrono::milliseconds(900);
constexpr std::int64_t kBornMs = 1;

std::int64_t ClockMs(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}  // namespace

asio::awaitable<void> EndpointTable::Wait(Duration duration) {
  asio::steady_timer timer(this->io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void EndpointTable::Advance(Endpoint& endpoint) {
  const TimePoint now = this->clock.Now();
  for (auto run = endpoint.active.begin(); run != endpoint.active.end();) {
    if (run->second.ends > now) {
      ++run;
      continue;
    }
    endpoint.ended_at[endpoint.next_end] = run->second.ends;
    endpoint.ended.push_back(
        {endpoint.next_end++, run->first, run->second.number, jobs::RunEnd::kDone, ""});
    ++this->counts.ends;
    run = endpoint.active.erase(run);
  }
}

void EndpointTable::Confirm(Endpoint& endpoint, std::uint64_t end) {
  std::erase_if(endpoint.ended, [end](const jobs::EndedRun& run) { return run.number <= end; });
  while (!endpoint.ended_at.empty() && endpoint.ended_at.begin()->first <= end) {
    this->counts.until_confirmed += this->clock.Now() - endpoint.ended_at.begin()->second;
    ++this->counts.confirmed;
    endpoint.ended_at.erase(endpoint.ended_at.begin());
  }
}

TimePoint EndpointTable::NextEnd(const Endpoint& endpoint) const {
  TimePoint next = TimePoint::max();
  for (const auto& [task, run] : endpoint.active) {
    next = std::min(next, run.ends);
  }
  return next;
}

asio::awaitable<RenewalOutcome> EndpointTable::RenewLease(jobs::RenewalOrder order, Duration) {
  ++this->counts.renewals;
  const TimePoint until = this->clock.Now() + order.wait;
  co_await this->Wait(kAnswerTime);
  Endpoint& endpoint = this->endpoints[order.endpoint];
  this->Confirm(endpoint, order.confirmed_end);
  this->Advance(endpoint);
  while (endpoint.ended.empty() && this->clock.Now() < until) {
    const TimePoint next = std::min(until, this->NextEnd(endpoint));
    co_await this->Wait(
        std::min<Duration>(next - this->clock.Now(), std::chrono::milliseconds(50)));
    this->Advance(endpoint);
  }
  const TimePoint now = this->clock.Now();
  RenewalOutcome held;
  held.outcome = OrderOutcome::kDone;
  held.report = jobs::RenewalReport{ClockMs(now), kBornMs, {}, endpoint.ended};
  for (const auto& [task, run] : endpoint.active) {
    const bool is_long_running = run.ends == TimePoint::max();
    const auto share = is_long_running ? (now - run.begins) * 100 / kStartupTime
                                       : (now - run.begins) * 100 / (run.ends - run.begins);
    held.report->active.push_back(
        {task, run.number, "", static_cast<int>(std::min<std::int64_t>(share, 100)), 500});
  }
  co_return held;
}

asio::awaitable<jobs::StartAnswer> EndpointTable::Start(jobs::StartOrder order, Duration) {
  co_await this->Wait(kAnswerTime);
  const TimePoint now = this->clock.Now();
  const auto time = this->run_times.find(order.task.job.number);
  const TimePoint ends = time == this->run_times.end() ? TimePoint::max() : now + time->second;
  this->endpoints[order.endpoint].active[order.task] = {order.run, now, ends};
  ++this->counts.starts;
  if (this->start_answer_time > Duration::zero()) {
    co_await this->Wait(this->start_answer_time);
  }
  co_return OrderOutcome::kDone;
}

asio::awaitable<OrderOutcome> EndpointTable::Stop(jobs::StopOrder order, Duration) {
  co_await this->Wait(kAnswerTime);
  ++this->counts.stops;
  Endpoint& endpoint = this->endpoints[order.endpoint];
  if (endpoint.active.erase(order.task) > 0) {
    endpoint.ended_at[endpoint.next_end] = this->clock.Now();
    endpoint.ended.push_back(
        {endpoint.next_end++, order.task, order.run, jobs::RunEnd::kStopped, ""});
  }
  co_return OrderOutcome::kDone;
}

asio::awaitable<OrderOutcome> EndpointTable::Throttle(jobs::ThrottleOrder, Duration) {
  co_await this->Wait(kAnswerTime);
  co_return OrderOutcome::kDone;
}

}  // namespace chervilspar::job_entry
