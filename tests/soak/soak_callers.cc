#include "tests/soak/soak_callers.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace chervilspar::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr Duration kCallTimeout = milliseconds(3000);
constexpr int kTries = 6;
/// Jobs a second; six endpoints of eight cores have room for about three times as much.
constexpr int kMostPauseMs = 120;
/// From the withdrawal of a key until no entry may take a call with it.
constexpr Duration kWithdrawalLimit = std::chrono::seconds(5);
/// From an acceptance until a job that waits has to be in its queue's count.
constexpr Duration kVisibleLimit = std::chrono::seconds(5);
constexpr Duration kCountPace = milliseconds(250);
constexpr int kCancelledPercent = 10;
constexpr int kTwicePercent = 10;
constexpr unsigned kGone = 410;
/// Of so many jobs, one repeats.
constexpr int kJobsPerRepeated = 12;
constexpr int kMostRepeats = 24;
constexpr int kMostIntervalMs = 100;

json::object StepOf(std::uint32_t count) {
  return {{"count", count}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 150}};
}

/// None if the answer can't be read.
std::size_t PendingOf(const std::string& text) {
  boost::system::error_code error;
  const json::value body = json::parse(text, error);
  const json::value* pending =
      !error && body.is_object() ? body.as_object().if_contains("pending") : nullptr;
  return pending != nullptr && pending->is_int64() ? pending->to_number<std::size_t>() : 0;
}

}  // namespace

SoakCallers::SoakCallers(SoakFleet& fleet, std::uint64_t seed)
    : fleet(fleet),
      random(seed),
      count_random(~seed),
      repeat_random(seed + 1),
      client({.connections_per_address = 256}, {}) {}

asio::awaitable<void> SoakCallers::Pause(Duration span) {
  asio::steady_timer timer(this->fleet.io, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void SoakCallers::Violate(const jobs::JobId& id, const std::string& what) {
  this->fleet.endpoints.violations.push_back("job " + jobs::ToString(id) + " " + what);
}

void SoakCallers::OnWithdrawn() { this->withdrawn = SystemClock().Now(); }

asio::awaitable<http::Exchange> SoakCallers::Call(const char* method, jobs::JobId id,
                                                  std::string body, std::string key) {
  co_return co_await this->Send(method, jobs::ToString(id), std::move(body), std::move(key),
                                this->random);
}

asio::awaitable<http::Exchange> SoakCallers::Send(const char* method, const std::string& target,
                                                  std::string body, std::string key,
                                                  SeededRandom& choice) {
  const EntryPlace& place = this->fleet.places[choice.Below(this->fleet.places.size())];
  http::Request request;
  request.method = method;
  request.target = "/bookings/" + target;
  request.headers.Add("Api-Key", std::move(key));
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  co_return co_await this->client.Send(place.callers, std::move(request), kCallTimeout, nullptr);
}

asio::awaitable<void> SoakCallers::Load(TimePoint until) {
  const SystemClock clock;
  while (clock.Now() < until) {
    const jobs::JobId id{this->random.Next()};
    json::array steps;
    std::vector<std::uint32_t> counts;
    for (std::uint64_t i = this->random.Below(2) + 1; i > 0; --i) {
      const auto count = static_cast<std::uint32_t>(1 + this->random.Below(4));
      json::object step = StepOf(count);
      if (!counts.empty()) {
        step["after"] = json::array{static_cast<std::int64_t>(counts.size() - 1)};
      }
      counts.push_back(count);
      steps.push_back(std::move(step));
    }
    json::object job{{"spec", "work"}, {"steps", steps}};
    if (this->fleet.sizes.has_changes) {
      this->AddRepeats(job, this->all[id]);
    }
    std::string body = json::serialize(job);
    this->fleet.asked[id] = counts;
    this->all[id];
    const bool has_withdrawn_key = this->random.Below(10) == 0;
    asio::co_spawn(this->fleet.io, this->HandIn(id, std::move(body), has_withdrawn_key),
                   asio::detached);
    co_await this->Pause(milliseconds(this->random.Below(kMostPauseMs)));
  }
}

void SoakCallers::AddRepeats(json::object& body, CallerJob& job) {
  if (this->repeat_random.Below(kJobsPerRepeated) != 0) {
    return;
  }
  const auto now = SystemClock().WallNow().time_since_epoch();
  const auto interval = static_cast<std::int64_t>(this->repeat_random.Below(kMostIntervalMs));
  job.occurrences = static_cast<std::uint32_t>(1 + this->repeat_random.Below(kMostRepeats));
  body["repeats"] = job.occurrences;
  body["first_ms"] = std::chrono::duration_cast<milliseconds>(now).count() - kMostIntervalMs;
  body["interval_ms"] = interval;
}

asio::awaitable<void> SoakCallers::HandIn(jobs::JobId id, std::string body,
                                          bool has_withdrawn_key) {
  const std::string key = has_withdrawn_key ? kWithdrawnKey : kKey;
  bool is_certain = true;
  for (int i = 0; i < kTries; ++i) {
    const TimePoint sent = SystemClock().Now();
    const http::Exchange exchange = co_await this->Call("POST", id, body, key);
    CallerJob& job = this->all[id];
    const unsigned status = exchange.response ? exchange.response->status : 0;
    if (status == 200) {
      job.is_accepted = true;
      job.accepted_at = SystemClock().Now();
      if (has_withdrawn_key && this->withdrawn && sent > *this->withdrawn + kWithdrawalLimit) {
        this->Violate(id, "was accepted with a key that had been withdrawn");
      }
      break;
    }
    const bool is_answered_not_run = status == 503 || status == 429 || status == 401;
    is_certain = is_certain && (is_answered_not_run || exchange.verdict == Verdict::kNotRun);
    if (status == 401) {
      break;
    }
    co_await this->Pause(milliseconds(100 + this->random.Below(400)));
  }
  CallerJob& job = this->all[id];
  job.is_refused = !job.is_accepted && is_certain;
  if (!job.is_accepted) {
    co_return;
  }
  if (this->random.Below(100) < kCancelledPercent) {
    co_await this->CancelSoon(id);
  } else if (this->random.Below(100) < kTwicePercent) {
    co_await this->Pause(milliseconds(this->random.Below(3000)));
    co_await this->Call("POST", id, body, kKey);
  }
}

asio::awaitable<void> SoakCallers::CancelSoon(jobs::JobId id) {
  co_await this->Pause(milliseconds(this->random.Below(300)));
  this->all[id].is_cancelled = true;
  for (int i = 0; i < kTries; ++i) {
    const http::Exchange exchange = co_await this->Call("DELETE", id, "", kKey);
    if (exchange.response &&
        (exchange.response->status == 200 || exchange.response->status == kGone)) {
      this->all[id].is_cancel_accepted = true;
      co_return;
    }
    co_await this->Pause(milliseconds(200));
  }
}

asio::awaitable<bool> SoakCallers::AreSettled() {
  // A copy: answers may come while jobs are still being handed in.
  const std::map<jobs::JobId, CallerJob> known = this->all;
  for (const auto& [id, job] : known) {
    if (!job.is_accepted || job.is_cancelled || job.is_shown_complete) {
      continue;
    }
    const http::Exchange exchange = co_await this->Call("GET", id, "", kKey);
    const bool is_complete = exchange.response && exchange.response->status == 200 &&
                             exchange.response->body.find("complete") != std::string::npos;
    this->all[id].is_shown_complete = is_complete;
    if (is_complete) {
      for (std::uint32_t occurrence = 0; occurrence < job.occurrences; ++occurrence) {
        this->CheckDone(id, occurrence);
      }
    }
  }
  // A job may have been accepted while the others were asked for.
  co_return std::none_of(this->all.begin(), this->all.end(), [](const auto& entry) {
    const CallerJob& job = entry.second;
    return job.is_accepted && !job.is_cancelled && !job.is_shown_complete;
  });
}

void SoakCallers::CheckDone(const jobs::JobId& id, std::uint32_t occurrence) {
  const std::vector<std::uint32_t>& counts = this->fleet.asked.at(id);
  for (std::uint32_t step = 0; step < counts.size(); ++step) {
    for (std::uint32_t i = 0; i < counts[step]; ++i) {
      if (!this->fleet.endpoints.done.contains({id, occurrence, step, i})) {
        this->Violate(id, "is shown as complete, and a task of it has not ended well");
      }
    }
  }
}

std::size_t SoakCallers::WaitingSince(TimePoint time) const {
  std::set<jobs::JobId> begun;
  for (const auto& [task, started] : this->fleet.endpoints.last_start) {
    begun.insert(task.job);
  }
  const auto waits = [&](const auto& entry) {
    const CallerJob& job = entry.second;
    return job.is_accepted && !job.is_cancelled && job.accepted_at < time &&
           !begun.contains(entry.first);
  };
  return static_cast<std::size_t>(std::count_if(this->all.begin(), this->all.end(), waits));
}

asio::awaitable<void> SoakCallers::WatchCounts(TimePoint until) {
  const SystemClock clock;
  while (clock.Now() < until) {
    co_await this->Pause(kCountPace);
    const TimePoint since = clock.Now() - kVisibleLimit;
    const http::Exchange exchange = co_await this->Send("GET", "", "", kKey, this->count_random);
    if (!exchange.response || exchange.response->status != 200) {
      continue;
    }
    const std::size_t waiting = this->WaitingSince(since);
    const std::size_t told = PendingOf(exchange.response->body);
    if (2 * told < waiting) {
      this->fleet.endpoints.violations.push_back(std::to_string(told) + " jobs are said to wait; " +
                                                 std::to_string(waiting) +
                                                 " have waited for too long to be missing");
    }
  }
}

void SoakCallers::CheckEnd() {
  this->fleet.endpoints.Advance();
  std::set<jobs::JobId> started;
  for (const auto& [task, time] : this->fleet.endpoints.last_start) {
    started.insert(task.job);
    const CallerJob& job = this->all[task.job];
    if (job.is_cancel_accepted && this->fleet.endpoints.IsRunning(task)) {
      this->Violate(task.job, "runs on although it was cancelled");
    }
  }
  for (const auto& [id, job] : this->all) {
    if (job.is_refused && started.contains(id)) {
      this->Violate(id, "was refused as not run, and has run");
    }
    if (job.is_accepted && !job.is_cancelled && !job.is_shown_complete) {
      this->Violate(id, "was accepted and is not complete long after the last fault");
    }
  }
}

}  // namespace chervilspar::soak
