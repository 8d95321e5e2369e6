#include "chervilspar/jobs/promised_room.h"

#include <algorithm>
#include <cmath>

namespace chervilspar::jobs {

namespace {

/// No entry promises a time later than this.
constexpr double kMaxDueMs = 60000;

double MillisecondsUntil(TimePoint time, TimePoint now) {
  return std::chrono::duration<double, std::milli>(time - now).count();
}

bool IsValid(const Promise& promise) {
  return std::isfinite(promise.work) && promise.work >= 0 && std::isfinite(promise.due_in_ms) &&
         promise.due_in_ms <= kMaxDueMs;
}

}  // namespace

void PromisedRoom::Add(const std::vector<Promise>& refused, TimePoint now) {
  for (const Promise& promise : refused) {
    const auto known = this->promises.find(promise.job);
    const bool has_room = known != this->promises.end() || this->promises.size() < kMaxPromises;
    if (!IsValid(promise) || !has_room) {
      continue;
    }
    const TimePoint due =
        now + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double, std::milli>(std::max(promise.due_in_ms, 0.0)));
    Entry& entry = this->promises[promise.job];
    entry.promise = promise;
    entry.due = std::max(entry.due, due);
  }
}

void PromisedRoom::Review(TimePoint now, const std::function<bool(const JobId&)>& is_known) {
  std::erase_if(this->promises, [&](const auto& item) {
    return now > item.second.due + kPromiseGrace || is_known(item.first);
  });
}

void PromisedRoom::AddTo(AdmissionOutlook& outlook, TimePoint now, Duration horizon) const {
  for (const auto& [id, entry] : this->promises) {
    const double due_in_ms = MillisecondsUntil(entry.due, now);
    for (AccountOutlook& account : outlook.accounts) {
      if (account.team == entry.promise.team && account.queue == entry.promise.queue) {
        account.promised_work += entry.promise.work;
        account.promised_until_ms = std::max(account.promised_until_ms, due_in_ms);
      }
    }
    if (entry.due <= now + horizon) {
      Promise promise = entry.promise;
      promise.due_in_ms = due_in_ms;
      outlook.promises.push_back(std::move(promise));
    }
  }
}

}  // namespace chervilspar::jobs
