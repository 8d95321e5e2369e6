#include "tests/job_entry/fake_endpoints.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::OrderOutcome;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(3);

TimePoint Now() { return SystemClock().Now(); }

std::int64_t ClockMs(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

TimePoint FromClock(std::int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

}  // namespace

void FakeEndpoints::Endpoint::Restart() {
  const std::int64_t next_born_ms = this->born_ms + 1;
  *this = {};
  this->born_ms = next_born_ms;
}

void FakeEndpoints::Confirm(const Endpoint& endpoint, const jobs::EndedRun& ended) {
  if (ended.end != jobs::RunEnd::kDone) {
    return;
  }
  const TimePoint ended_at = endpoint.ended_at.at(ended.number);
  if (endpoint.lapsed_at > ended_at) {
    return;
  }
  this->confirmed.insert(ended.task);
  if (this->last_start[ended.task] > ended_at) {
    this->violations.push_back(jobs::ToString(ended.task) +
                               " started after its end had been confirmed");
  }
}

void FakeEndpoints::Advance() {
  const TimePoint now = Now();
  for (auto& [id, endpoint] : this->endpoints) {
    if (endpoint.lease_end < now) {
      endpoint.lapsed_at = endpoint.lease_end;
    }
    for (auto run = endpoint.active.begin(); run != endpoint.active.end();) {
      const bool is_done = run->second.ends <= now && run->second.ends <= run->second.lease_end;
      if (!is_done && run->second.lease_end > now) {
        ++run;
        continue;
      }
      const bool is_failed =
          is_done && this->fails_run && this->fails_run(run->first, run->second.number);
      const jobs::RunEnd end = is_failed ? jobs::RunEnd::kFailed
                               : is_done ? jobs::RunEnd::kDone
                                         : jobs::RunEnd::kLeaseLapsed;
      endpoint.ended.push_back({endpoint.next_end++, run->first, run->second.number, end, ""});
      if (end == jobs::RunEnd::kDone) {
        this->done.insert(run->first);
      }
      endpoint.ended_at[endpoint.next_end - 1] = is_done ? run->second.ends : now;
      run = endpoint.active.erase(run);
    }
  }
}

bool FakeEndpoints::IsRunning(const jobs::TaskKey& task) const {
  return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                     [&](const auto& entry) { return entry.second.active.contains(task); });
}

asio::awaitable<void> FakeEndpointLink::Wait(Duration duration) {
  asio::steady_timer timer(this->all.io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<FakeEndpoints::Endpoint*> FakeEndpointLink::Reach(const std::string& endpoint,
                                                                  Duration timeout) {
  FakeEndpoints::Endpoint& found = this->all.endpoints[endpoint];
  if (this->is_disconnected || found.is_unreachable) {
    co_await this->Wait(timeout);
    co_return nullptr;
  }
  co_await this->Wait(this->delay + std::chrono::milliseconds(1));
  this->all.Advance();
  co_return this->is_disconnected || found.is_unreachable ? nullptr : &found;
}

asio::awaitable<RenewalOutcome> FakeEndpointLink::RenewLease(jobs::RenewalOrder order,
                                                             Duration timeout) {
  RenewalOutcome held;
  const TimePoint deadline = Now() + order.wait;
  const std::int64_t born_ms = this->all.endpoints[order.endpoint].born_ms;
  FakeEndpoints::Endpoint* endpoint = co_await this->Reach(order.endpoint, timeout);
  while (endpoint != nullptr) {
    if (endpoint->born_ms != born_ms) {
      co_return held;  // the process that received the order is gone
    }
    if (order.token < endpoint->token) {
      held.outcome = OrderOutcome::kTokenTooLow;
      co_return held;
    }
    endpoint->token = order.token;
    std::erase_if(endpoint->ended, [&](const auto& ended) {
      const bool is_confirmed = ended.number <= order.confirmed_end;
      if (is_confirmed) {
        this->all.Confirm(*endpoint, ended);
      }
      return is_confirmed;
    });
    // The order confirms ends reported before it was sent, not those that occur while it waits.
    order.confirmed_end = 0;
    if (order.lease_end_ms) {
      endpoint->lease_end = std::max(endpoint->lease_end, FromClock(*order.lease_end_ms));
    }
    for (auto& [task, run] : endpoint->active) {
      if (order.lease_end_ms) {
        run.lease_end = std::max(run.lease_end, FromClock(*order.lease_end_ms));
      }
    }
    if (!endpoint->ended.empty() || Now() >= deadline) {
      break;
    }
    co_await this->Wait(kStep);
    endpoint = co_await this->Reach(order.endpoint, timeout);
  }
  if (endpoint == nullptr) {
    co_return held;
  }
  held.outcome = OrderOutcome::kDone;
  held.report = jobs::RenewalReport{};
  held.report->clock_ms = ClockMs(Now());
  held.report->born_ms = endpoint->born_ms;
  held.report->ended = endpoint->ended;
  for (const auto& [task, run] : endpoint->active) {
    held.report->active.push_back(
        {task, run.number, "", static_cast<int>(ClockMs(Now()) % 100), 0});
  }
  co_return held;
}

asio::awaitable<jobs::StartAnswer> FakeEndpointLink::Start(jobs::StartOrder order,
                                                           Duration timeout) {
  ++this->starts;
  FakeEndpoints::Endpoint* endpoint = co_await this->Reach(order.endpoint, timeout);
  if (endpoint == nullptr) {
    co_return OrderOutcome::kNoAnswer;
  }
  if (order.token < endpoint->token) {
    co_return OrderOutcome::kTokenTooLow;
  }
  endpoint->token = order.token;
  if (FromClock(order.lease_end_ms) < Now()) {
    co_return OrderOutcome::kTooLate;
  }
  const auto active = endpoint->active.find(order.task);
  if (active != endpoint->active.end() && active->second.number == order.run) {
    co_return OrderOutcome::kDone;
  }
  if (order.run <= endpoint->last_run[order.task]) {
    co_return OrderOutcome::kRunTooOld;
  }
  if (this->all.IsRunning(order.task)) {
    this->all.violations.push_back(jobs::ToString(order.task) + " runs twice concurrently");
  }
  const bool has_succeeded = this->all.may_rerun_after_unreported_end
                                 ? this->all.confirmed.contains(order.task)
                                 : this->all.done.contains(order.task);
  if (has_succeeded) {
    this->all.violations.push_back(jobs::ToString(order.task) + " starts after it has succeeded");
  }
  endpoint->last_run[order.task] = order.run;
  endpoint->active[order.task] = {order.run, Now() + this->all.task_time,
                                  FromClock(order.lease_end_ms)};
  endpoint->lease_end = std::max(endpoint->lease_end, FromClock(order.lease_end_ms));
  this->all.starts.push_back(Now());
  this->all.last_start[order.task] = Now();
  co_return OrderOutcome::kDone;
}

asio::awaitable<OrderOutcome> FakeEndpointLink::Stop(jobs::StopOrder order, Duration timeout) {
  FakeEndpoints::Endpoint* endpoint = co_await this->Reach(order.endpoint, timeout);
  if (endpoint == nullptr) {
    co_return OrderOutcome::kNoAnswer;
  }
  if (order.token < endpoint->token) {
    co_return OrderOutcome::kTokenTooLow;
  }
  endpoint->token = order.token;
  const auto active = endpoint->active.find(order.task);
  endpoint->last_run[order.task] = std::max(endpoint->last_run[order.task], order.run);
  if (active != endpoint->active.end() && active->second.number <= order.run) {
    endpoint->ended.push_back(
        {endpoint->next_end++, order.task, active->second.number, jobs::RunEnd::kStopped, ""});
    endpoint->active.erase(active);
  }
  co_return OrderOutcome::kDone;
}

asio::awaitable<OrderOutcome> FakeEndpointLink::Throttle(jobs::ThrottleOrder order,
                                                         Duration timeout) {
  FakeEndpoints::Endpoint* endpoint = co_await this->Reach(order.endpoint, timeout);
  co_return endpoint == nullptr ? OrderOutcome::kNoAnswer : OrderOutcome::kDone;
}

}  // namespace chervilspar::job_entry
