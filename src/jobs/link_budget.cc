#include "chervilspar/jobs/link_budget.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
/// The largest share of the link that starts may take.
constexpr double kMaxStartShare = 0.5;
/// The share that starts may take when renewals and stops fill the link. Without it, stops of
/// unanswered starts could hold back all starts for as long as they are repeated.
constexpr double kMinStartShare = 0.125;
/// The share of the link that starts, renewals and stops may take together; the rest is for joins,
/// progress and lists.
constexpr double kMaxOrderShare = 0.75;
/// The part of the allowance that is kept for long-running tasks and repeated starts.
constexpr double kKeptShare = 0.125;
/// The part of the link that renewals may take.
constexpr double kMaxRenewalShare = 0.25;
/// A start without its payload and checkpoint: about 100 bytes of the order and 80 of the record of
/// its progress, which is stored at least twice.
constexpr std::int64_t kStartBytes = 256;

double SecondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::int64_t ShareOf(std::int64_t bytes, double share) {
  return static_cast<std::int64_t>(static_cast<double>(bytes) * share);
}

}  // namespace

LinkBudget::LinkBudget(double link_rate)
    : capacity(static_cast<std::int64_t>(link_rate * kBytesPerMegabit * SecondsOf(kWindow))),
      bound(ShareOf(this->capacity, kMaxStartShare)) {}

std::int64_t LinkBudget::StartBytes(std::size_t payload_bytes, std::size_t checkpoint_bytes) {
  return kStartBytes + static_cast<std::int64_t>(payload_bytes + checkpoint_bytes);
}

LinkTraffic LinkBudget::Recent(TimePoint now) const {
  LinkTraffic sum;
  for (const Sent& entry : this->sent) {
    if (now - entry.at < kWindow) {
      sum.urgent += entry.traffic.urgent;
      sum.starts += entry.traffic.starts;
      sum.progress += entry.traffic.progress;
    }
  }
  return sum;
}

std::int64_t LinkBudget::Allowance(Precedence precedence, TimePoint now) const {
  const LinkTraffic recent = this->Recent(now);
  const std::int64_t left = ShareOf(this->capacity, kMaxOrderShare) - recent.urgent;
  const std::int64_t least = ShareOf(this->capacity, kMinStartShare);
  const std::int64_t limit = std::clamp(left, least, this->bound);
  const std::int64_t kept = precedence == Precedence::kNormal ? ShareOf(limit, kKeptShare) : 0;
  return std::max<std::int64_t>(limit - kept - recent.starts - this->reserved, 0);
}

bool LinkBudget::Admits(std::int64_t bytes, Precedence precedence, TimePoint now) const {
  if (bytes <= this->Allowance(precedence, now)) {
    return true;
  }
  return this->reserved == 0 && this->Recent(now).starts == 0;
}

LinkBudget::Sent& LinkBudget::Append(const LinkTraffic& traffic, TimePoint now) {
  while (!this->sent.empty() && now - this->sent.front().at >= kWindow) {
    this->sent.pop_front();
  }
  if (this->sent.empty() || this->sent.back().at != now) {
    this->sent.push_back({now, {}, 0});
  }
  Sent& last = this->sent.back();
  last.traffic.urgent += traffic.urgent;
  last.traffic.starts += traffic.starts;
  last.traffic.progress += traffic.progress;
  return last;
}

void LinkBudget::OnStartSent(std::int64_t bytes, TimePoint now) {
  LinkTraffic traffic;
  traffic.starts = bytes;
  this->Append(traffic, now).unmeasured += bytes;
}

void LinkBudget::OnTraffic(const LinkTraffic& traffic, TimePoint now) {
  LinkTraffic added = traffic;
  // The starts themselves were counted when they were sent.
  added.starts = std::max<std::int64_t>(traffic.start_difference, 0);
  this->Append(added, now);
  // After a longer pause, the starts that the difference belongs to may have left the window.
  const bool is_recent = now - this->last_traffic <= kWindow / 2;
  this->last_traffic = now;
  const std::int64_t saved = is_recent ? std::max<std::int64_t>(-traffic.start_difference, 0) : 0;
  this->Measure(traffic.starts - traffic.start_difference, saved, now);
}

void LinkBudget::Measure(std::int64_t expected, std::int64_t saved, TimePoint now) {
  for (Sent& entry : this->sent) {
    if (expected <= 0 || now - entry.at >= kWindow) {
      continue;
    }
    const std::int64_t part = std::min(expected, entry.unmeasured);
    const std::int64_t saved_part = saved * part / expected;
    entry.unmeasured -= part;
    entry.traffic.starts -= saved_part;
    expected -= part;
    saved -= saved_part;
  }
}

double LinkBudget::CoresPerSecond(double bytes_per_start, double cores_per_start) const {
  const double bytes_per_second = static_cast<double>(this->bound) / SecondsOf(kWindow);
  return bytes_per_second / std::max(bytes_per_start, static_cast<double>(kStartBytes)) *
         cores_per_start;
}

Duration RenewalInterval(const SchedulerOptions& options, std::size_t endpoints,
                         std::int64_t renewal_bytes, Duration lost_renewal) {
  if (!options.budgets_link) {
    return {};
  }
  const std::chrono::duration<double> by_link(
      static_cast<double>(endpoints) * static_cast<double>(renewal_bytes) /
      (options.link_rate * kBytesPerMegabit * kMaxRenewalShare));
  const Duration longest =
      std::min<Duration>(options.renewal_wait, options.lease - 2 * lost_renewal);
  return std::clamp<Duration>(std::chrono::duration_cast<Duration>(by_link), Duration::zero(),
                              std::max(longest, Duration::zero()));
}

}  // namespace chervilspar::jobs
