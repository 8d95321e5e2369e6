#include "tests/job_entry/fake_store.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

const Reason kNoAnswer{ErrorCode::kDeadlineExceeded, "", "no answer"};
constexpr Duration kStep = std::chrono::milliseconds(2);

TimePoint Now() { return SystemClock().Now(); }

}  // namespace

bool FakeStore::Accepts(const std::vector<KeyedRecord>& records) const {
  std::size_t total = 0;
  for (const KeyedRecord& record : records) {
    const std::size_t size = 1 + record.key.size() + record.value.value_or("").size();
    if (size > this->max_record_bytes) {
      return false;
    }
    total += size;
  }
  return total <= this->max_append_bytes;
}

asio::awaitable<void> FakeStoreLink::Wait(Duration duration) {
  asio::steady_timer timer(this->store.io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> FakeStoreLink::Reach(Duration timeout) {
  if (this->is_disconnected || this->store.is_down) {
    co_await this->Wait(timeout);
    co_return false;
  }
  co_await this->Wait(this->store.answer_time);
  co_return !this->is_disconnected && !this->store.is_down;
}

asio::awaitable<AppendOutcome> FakeStoreLink::Append(Topic topic, std::uint32_t partition,
                                                     std::vector<KeyedRecord> records,
                                                     std::optional<Writer> writer,
                                                     Duration timeout) {
  co_return co_await this->AppendIf(topic, partition, std::move(records), std::move(writer),
                                    std::nullopt, timeout);
}

asio::awaitable<AppendOutcome> FakeStoreLink::AppendAt(Topic topic, std::uint32_t partition,
                                                       std::vector<KeyedRecord> records,
                                                       std::uint64_t end, Duration timeout) {
  co_return co_await this->AppendIf(topic, partition, std::move(records), std::nullopt, end,
                                    timeout);
}

asio::awaitable<AppendOutcome> FakeStoreLink::AppendIf(Topic topic, std::uint32_t partition,
                                                       std::vector<KeyedRecord> records,
                                                       std::optional<Writer> writer,
                                                       std::optional<std::uint64_t> end,
                                                       Duration timeout) {
  AppendOutcome outcome;
  outcome.kind = AppendOutcome::Kind::kUnknown;
  const bool is_reached = co_await this->Reach(timeout);
  if (!is_reached) {
    co_return outcome;
  }
  if (this->unanswered_appends == topic) {
    co_await this->Wait(timeout);
    co_return outcome;
  }
  ++this->appends;
  if (this->rejects_appends) {
    outcome.kind = AppendOutcome::Kind::kRejected;
    co_return outcome;
  }
  if (this->refuse_appends > 0) {
    --this->refuse_appends;
    outcome.kind = AppendOutcome::Kind::kNotStored;
    co_return outcome;
  }
  FakeStore::Partition& at = this->store.At(topic, partition);
  Duration queue_time{};
  if (this->store.max_queue_time) {
    queue_time = std::max<Duration>(at.busy_until - Now(), Duration::zero());
    if (queue_time > *this->store.max_queue_time) {
      outcome.kind = AppendOutcome::Kind::kNotStored;
      co_return outcome;
    }
    at.busy_until = Now() + queue_time + this->store.append_time;
  }
  co_await this->Wait(queue_time + this->store.append_time);
  if (end && *end != at.records.size()) {
    outcome.kind = AppendOutcome::Kind::kEndMismatch;
    co_return outcome;
  }
  bool is_repeat = false;
  if (writer) {
    std::uint64_t& token = at.token_of_writer[writer->name];
    if (writer->token < token) {
      outcome.kind = AppendOutcome::Kind::kFenced;
      co_return outcome;
    }
    std::uint64_t& next = at.next_sequence[writer->name];
    if (writer->token > token) {
      token = writer->token;
      next = writer->sequence;
    }
    is_repeat = !records.empty() && writer->sequence + 1 == next;
    if (!is_repeat && !records.empty() && writer->sequence != next) {
      outcome.kind = AppendOutcome::Kind::kOutOfSequence;
      outcome.expected = next;
      co_return outcome;
    }
    next += !is_repeat && !records.empty() ? 1 : 0;
  }
  outcome.offset = at.records.size();
  if (!is_repeat && !this->store.Accepts(records)) {
    if (writer) {
      --at.next_sequence[writer->name];
    }
    ++this->store.rejected_appends;
    outcome.kind = AppendOutcome::Kind::kRejected;
    co_return outcome;
  }
  if (!is_repeat) {
    at.records.insert(at.records.end(), records.begin(), records.end());
  }
  if (this->lose_answers > 0) {
    --this->lose_answers;
    this->refuse_appends += this->refuses_after_loss ? 100 : 0;
    co_return outcome;
  }
  if (!this->is_disconnected) {
    outcome.kind = AppendOutcome::Kind::kStored;
  }
  co_return outcome;
}

asio::awaitable<Result<ReadOutcome>> FakeStoreLink::Read(Topic topic, std::uint32_t partition,
                                                         std::uint64_t from, Duration wait,
                                                         Duration timeout) {
  const TimePoint end = Now() + wait;
  while (true) {
    const bool is_reached = co_await this->Reach(timeout);
    if (!is_reached) {
      co_return kNoAnswer;
    }
    if (this->unanswered_reads == topic) {
      co_await this->Wait(timeout);
      co_return kNoAnswer;
    }
    const std::vector<KeyedRecord>& records = this->store.At(topic, partition).records;
    if (records.size() > from || Now() >= end) {
      ReadOutcome outcome;
      outcome.next = std::max<std::uint64_t>(from, records.size());
      outcome.is_at_end = true;
      if (records.size() > from) {
        outcome.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
      }
      co_return outcome;
    }
    co_await this->Wait(kStep);
  }
}

asio::awaitable<Result<NewestOutcome>> FakeStoreLink::ReadNewest(Topic topic,
                                                                 std::uint32_t partition,
                                                                 Duration timeout) {
  const int reads = ++this->reads[topic];
  this->max_concurrent_reads[topic] = std::max(this->max_concurrent_reads[topic], reads);
  const bool is_reached = co_await this->Reach(timeout);
  --this->reads[topic];
  if (!is_reached) {
    co_return kNoAnswer;
  }
  if (topic == Topic::kJobs) {
    co_await this->Wait(this->jobs_read_time);
  }
  std::map<std::string, std::optional<std::string>> newest;
  const std::vector<KeyedRecord>& records = this->store.At(topic, partition).records;
  for (const KeyedRecord& record : records) {
    newest[record.key] = record.value;
  }
  NewestOutcome outcome;
  outcome.next = records.size();
  for (const auto& [key, value] : newest) {
    if (value) {
      outcome.records.push_back({key, value});
    }
  }
  co_return outcome;
}

asio::awaitable<Result<Membership>> FakeStoreLink::Join(std::string member, std::uint64_t,
                                                        Duration time_to_live, Duration timeout) {
  const bool is_reached = co_await this->Reach(timeout);
  if (!is_reached) {
    co_return kNoAnswer;
  }
  const bool is_new = !this->store.members.contains(member);
  this->store.members[member] = {Now(), time_to_live};
  const std::size_t lapsed = std::erase_if(this->store.members, [](const auto& entry) {
    return Now() - entry.second.last > entry.second.time_to_live;
  });
  this->store.generation += (is_new ? 1 : 0) + lapsed;
  Membership membership;
  membership.generation = this->store.generation;
  membership.is_chosen = this->store.members.begin()->first == member;
  co_return membership;
}

asio::awaitable<Result<std::vector<std::string>>> FakeStoreLink::Members(Duration timeout) {
  const bool is_reached = co_await this->Reach(timeout);
  if (!is_reached) {
    co_return kNoAnswer;
  }
  std::vector<std::string> names;
  for (const auto& [name, member] : this->store.members) {
    if (Now() - member.last <= member.time_to_live) {
      names.push_back(name);
    }
  }
  co_return names;
}

asio::awaitable<Status> FakeStoreLink::Leave(std::string member, Duration timeout) {
  const bool is_reached = co_await this->Reach(timeout);
  if (!is_reached) {
    co_return kNoAnswer;
  }
  this->store.generation += this->store.members.erase(member);
  co_return Done{};
}

}  // namespace chervilspar::job_entry
