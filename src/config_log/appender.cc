#include "chervilspar/config_log/appender.h"

#include <algorithm>

namespace chervilspar::config_log {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// Doublings of the backoff after which it stays; 2^20 first backoffs are above every maximum.
constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

const char* ToString(AppendResult result) {
  switch (result) {
    case AppendResult::kAccepted:
      return "accepted";
    case AppendResult::kRejected:
      return "rejected";
    case AppendResult::kNotAppended:
      return "not-appended";
    case AppendResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

AppendActions Appender::Submit(const RecordId& subject, std::vector<Record> records,
                               TimePoint deadline, TimePoint now) {
  AppendActions actions;
  if (this->entries.size() + records.size() > this->policy.max_waiting) {
    actions.finished.push_back(AppendOutcome{
        subject, AppendResult::kNotAppended, -1, 0,
        Reason{ErrorCode::kResourceExhausted, "", "too many records wait for the log"}});
    return actions;
  }
  for (Record& record : records) {
    Entry entry;
    entry.subject = subject;
    entry.record = std::move(record);
    entry.due = now;
    entry.deadline = deadline;
    this->entries.push_back(std::move(entry));
  }
  this->SendDue(now, actions);
  return actions;
}

void Appender::Refill(TimePoint now) {
  if (this->refilled_at && now > *this->refilled_at) {
    const double seconds =
        static_cast<double>((now - *this->refilled_at).count()) / kMicrosecondsPerSecond;
    this->tokens =
        std::min(this->policy.burst, this->tokens + seconds * this->policy.rate_per_second);
  }
  this->refilled_at = std::max(now, this->refilled_at.value_or(now));
}

void Appender::SendDue(TimePoint now, AppendActions& actions) {
  this->Refill(now);
  for (Entry& entry : this->entries) {
    if (entry.state != SendState::kQueued || entry.due > now) {
      continue;
    }
    if (this->tokens < 1.0) {
      return;
    }
    this->tokens -= 1.0;
    entry.state = SendState::kInFlight;
    entry.sent_before = true;
    entry.due = now + this->policy.answer_timeout;
    actions.send.push_back(entry.record);
  }
}

void Appender::OnAnswer(const RecordId& record, Offset) {
  for (Entry& entry : this->entries) {
    if (entry.record.id == record) {
      entry.state = SendState::kAppended;
    }
  }
}

void Appender::OnFailure(const RecordId& record, TimePoint now, Random& random) {
  for (Entry& entry : this->entries) {
    if (entry.record.id != record || entry.state != SendState::kInFlight) {
      continue;
    }
    const std::uint32_t doublings = std::min(entry.failures++, kMaxDoublings);
    const Duration doubled = this->policy.first_backoff * (std::int64_t{1} << doublings);
    const Duration backoff = std::min(this->policy.max_backoff, doubled);
    // Half to whole: entries that lost the log together don't come back together.
    const double factor = 0.5 + 0.5 * random.Unit();
    entry.state = SendState::kQueued;
    entry.due =
        now + Duration(static_cast<std::int64_t>(static_cast<double>(backoff.count()) * factor));
  }
}

void Appender::Finish(const RecordId& subject) {
  std::erase_if(this->entries, [&subject](const Entry& entry) { return entry.subject == subject; });
}

AppendActions Appender::OnFolded(const FoldOutcome& outcome, TimePoint now) {
  AppendActions actions;
  const auto entry =
      std::find_if(this->entries.begin(), this->entries.end(), [&outcome](const Entry& candidate) {
        return candidate.subject == outcome.record || candidate.record.id == outcome.record;
      });
  if (entry == this->entries.end()) {
    return actions;
  }
  if (outcome.verdict == FoldVerdict::kPassedOver) {
    entry->state = SendState::kAppended;
    return actions;
  }
  AppendOutcome finished{entry->subject, AppendResult::kUnknown, outcome.offset, outcome.version,
                         outcome.reason};
  if (outcome.verdict == FoldVerdict::kAccepted) {
    finished.result = AppendResult::kAccepted;
  } else if (outcome.verdict == FoldVerdict::kRejected) {
    finished.result = AppendResult::kRejected;
  }
  this->Finish(RecordId(finished.record));
  actions.finished.push_back(std::move(finished));
  this->SendDue(now, actions);
  return actions;
}

void Appender::ExpireLate(TimePoint now, AppendActions& actions) {
  while (true) {
    const auto late = std::find_if(this->entries.begin(), this->entries.end(),
                                   [now](const Entry& entry) { return entry.deadline <= now; });
    if (late == this->entries.end()) {
      return;
    }
    const RecordId subject = late->subject;
    // A publish in parts can't take effect while one part was never sent.
    const bool all_sent = std::all_of(
        this->entries.begin(), this->entries.end(),
        [&subject](const Entry& entry) { return entry.subject != subject || entry.sent_before; });
    const AppendResult result = all_sent ? AppendResult::kUnknown : AppendResult::kNotAppended;
    this->Finish(subject);
    actions.finished.push_back(AppendOutcome{
        subject, result, -1, 0,
        Reason{ErrorCode::kDeadlineExceeded, "", "not read back from the log in time"}});
  }
}

AppendActions Appender::OnTick(TimePoint now) {
  AppendActions actions;
  this->ExpireLate(now, actions);
  for (Entry& entry : this->entries) {
    if (entry.state == SendState::kInFlight && entry.due <= now) {
      entry.state = SendState::kQueued;
    }
  }
  this->SendDue(now, actions);
  return actions;
}

std::optional<TimePoint> Appender::NextTick() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
  for (const Entry& entry : this->entries) {
    consider(entry.deadline);
    if (entry.state != SendState::kAppended) {
      consider(entry.due);
    }
  }
  if (next && this->tokens < 1.0 && this->refilled_at) {
    const double wait = (1.0 - this->tokens) / this->policy.rate_per_second;
    const TimePoint refill =
        *this->refilled_at + Duration(static_cast<std::int64_t>(wait * kMicrosecondsPerSecond) + 1);
    next = std::max(*next, refill);
  }
  return next;
}

}  // namespace chervilspar::config_log
