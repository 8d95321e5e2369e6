#include "job_entry/admission_service.h"

#include <algorithm>

#include "job_entry/round_pause.h"

namespace chervilspar::job_entry {

namespace {

/// How long an outlook is reused at least. Computing it takes a pass over all jobs, and some 40
/// entries ask four times a second.
constexpr Duration kReuseTime = std::chrono::milliseconds(100);
/// Entries that asked within this time decide on the same outlook.
constexpr Duration kAskingTime = std::chrono::milliseconds(1000);
/// Bounds the memory for entries that asked.
constexpr std::size_t kMaxEntries = 1024;
/// Promises are passed on when they are due within this time, which is longer than an outlook is
/// used: up to 1,000 ms, after up to 600 ms between two questions.
constexpr Duration kPromiseHorizon = std::chrono::seconds(2);
constexpr double kMinAskAgainMs = 250;
/// Leaves an outlook usable for 400 ms when a question fails.
constexpr double kMaxAskAgainMs = 600;
/// While nothing is refused, an outlook serves only to notice that this has changed.
constexpr double kIdleAskAgainMs = 1000;
/// The part of the owner's link that answers may take.
constexpr double kLinkShare = 0.05;
/// One megabit per second, in bytes per millisecond.
constexpr double kBytesPerMsPerMegabit = 125;
/// Approximate sizes of an answer and its rows.
constexpr double kHeaderBytes = 400;
constexpr double kPoolBytes = 35;
constexpr double kAccountBytes = 80;
constexpr double kPromiseBytes = 60;

}  // namespace

std::uint32_t AdmissionService::CountEntries(const std::string& entry) {
  const TimePoint now = this->context.Now();
  std::erase_if(this->asked, [&](const auto& item) { return now - item.second > kAskingTime; });
  if (this->asked.size() < kMaxEntries) {
    this->asked[entry] = now;
  }
  return static_cast<std::uint32_t>(std::max<std::size_t>(this->asked.size(), 1));
}

double AdmissionService::AskAgainMs(const jobs::AdmissionOutlook& outlook) const {
  if (outlook.accounts.empty()) {
    return kIdleAskAgainMs;
  }
  const double bytes = kHeaderBytes + kPoolBytes * static_cast<double>(outlook.pools.size()) +
                       kAccountBytes * static_cast<double>(outlook.accounts.size()) +
                       kPromiseBytes * static_cast<double>(outlook.promises.size());
  const double bytes_per_ms = kLinkShare * kBytesPerMsPerMegabit * this->context.settings.link_rate;
  return std::clamp(bytes * outlook.entries / bytes_per_ms, kMinAskAgainMs, kMaxAskAgainMs);
}

jobs::AdmissionOutlook AdmissionService::Answer(const jobs::AdmissionQuestion& question,
                                                const jobs::Resources& listed) {
  const auto span = this->context.Measure(telemetry::WorkPart::kOutlook);
  const TimePoint now = this->context.Now();
  if (!this->outlook || now >= this->next_outlook) {
    this->outlook = this->scheduler.Outlook(listed, now);
    this->computed_at = now;
    const Duration taken = this->context.Now() - now;
    this->next_outlook = now + std::max(kReuseTime, PauseAfterPass(taken));
  }
  this->room.Add(question.refused, now);
  this->room.Review(now,
                    [this](const jobs::JobId& id) { return this->scheduler.Find(id).has_value(); });
  jobs::AdmissionOutlook answer = *this->outlook;
  answer.age_ms = std::chrono::duration<double, std::milli>(now - this->computed_at).count();
  answer.entries = this->CountEntries(question.entry);
  this->room.AddTo(answer, now, kPromiseHorizon);
  answer.ask_again_ms = this->AskAgainMs(answer);
  return answer;
}

}  // namespace chervilspar::job_entry
