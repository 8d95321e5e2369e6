#include "entry/config_plane.h"

#include <utility>

#include "chervilspar/base/hash.h"
#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/record_codec.h"
#include "chervilspar/telemetry/logger.h"

namespace chervilspar::entry {

namespace {

/// Records asked for in one read; a start from an old offset takes several reads.
constexpr std::size_t kReadRecords = 500;
/// How long a read waits at the log for a new record.
constexpr Duration kReadWait = std::chrono::milliseconds(900);
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(200);
/// Longest that the append thread sleeps before it looks for work by itself.
constexpr Duration kAppendIdle = std::chrono::milliseconds(100);
/// A withdrawal that is not seen in the log by then is appended again.
constexpr Duration kWithdrawalRepeat = std::chrono::seconds(3);
constexpr Duration kOwnRecordTimeout = std::chrono::seconds(30);

}  // namespace

ConfigPlane::ConfigPlane(const EntryContext& context, std::unique_ptr<platform::LogService> log,
                         StateListener& listener)
    : context(context),
      log(std::move(log)),
      listener(listener),
      follower(context.self.id,
               config_log::SnapshotPolicy{.max_age = context.settings.snapshot_max_age},
               context.Now()),
      state(this->follower.State()),
      appender(config_log::AppendPolicy{}),
      random(StableHash(context.self.id.text, context.self.incarnation.nonce)) {}

ConfigPlane::~ConfigPlane() { this->Stop(); }

void ConfigPlane::Start() {
  this->reader = std::thread([this] { this->ReadLoop(); });
  this->writer = std::thread([this] { this->AppendLoop(); });
}

void ConfigPlane::Stop() {
  {
    const std::lock_guard lock(this->stop_mutex);
    this->stopping = true;
  }
  this->stop_wakeup.notify_all();
  this->append_wakeup.notify_all();
  for (std::thread* thread : {&this->reader, &this->writer}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

std::shared_ptr<const config_log::FleetState> ConfigPlane::State() const {
  const std::lock_guard lock(this->follow_mutex);
  return this->state;
}

bool ConfigPlane::WasLogReadWithin(Duration span) const {
  const std::lock_guard lock(this->follow_mutex);
  return this->last_read && this->context.Now() - *this->last_read <= span;
}

bool ConfigPlane::HasReachedEnd() const {
  const std::lock_guard lock(this->follow_mutex);
  return this->follower.HasReachedEnd();
}

void ConfigPlane::Submit(const RecordId& subject, std::vector<config_log::Record> records,
                         Duration timeout, Done done) {
  config_log::AppendActions actions;
  {
    const std::lock_guard lock(this->append_mutex);
    const TimePoint now = this->context.Now();
    this->waiting[subject] = std::move(done);
    actions = this->appender.Submit(subject, std::move(records), now + timeout, now);
  }
  this->Run(std::move(actions));
}

RecordId ConfigPlane::MakeRecordId(std::string_view prefix) {
  const std::lock_guard lock(this->append_mutex);
  ++this->last_record;
  return RecordId{std::string(prefix) + "-" + this->context.self.id.text + "-" +
                  std::to_string(this->context.self.incarnation.nonce) + "-" +
                  std::to_string(this->last_record)};
}

std::optional<TeamId> ConfigPlane::Authenticate(std::string_view key) const {
  const config_log::KeyDigest digest = config_log::DigestOf(key);
  const std::lock_guard lock(this->follow_mutex);
  return this->overlay.Authenticate(*this->state, digest);
}

bool ConfigPlane::Withdraw(const config_log::KeyDigest& digest) {
  bool is_news = false;
  {
    const std::lock_guard lock(this->follow_mutex);
    const bool is_folded = this->state->withdrawn.contains(digest);
    is_news = !is_folded && this->overlay.Withdraw(digest);
  }
  if (is_news) {
    this->context.Note(
        {.kind = telemetry::EventKind::kKeyWithdrawn, .why = "a withdrawal came ahead of the log"});
    this->listener.OnWithdrawals({digest});
    this->append_wakeup.notify_all();
  }
  return is_news;
}

std::vector<config_log::KeyDigest> ConfigPlane::PendingWithdrawals() const {
  const std::lock_guard lock(this->follow_mutex);
  return {this->overlay.Pending().begin(), this->overlay.Pending().end()};
}

void ConfigPlane::OnPeerRecords(const std::vector<config_log::LogRecord>& records) {
  if (records.empty()) {
    return;
  }
  config_log::FollowUpdate update;
  {
    const std::lock_guard lock(this->follow_mutex);
    const config_log::ReadBatch batch{records.front().offset, records.back().offset + 1, records,
                                      config_log::BatchSource::kPeer};
    update = this->follower.OnBatch(batch, this->context.Now());
    this->state = this->follower.State();
    this->overlay.OnState(*this->state);
  }
  this->HandleUpdate(update);
}

void ConfigPlane::OnPeerState(std::string_view encoded) {
  Result<config_log::FleetState> decoded = config_log::DecodeState(encoded);
  if (!decoded) {
    telemetry::Log(telemetry::LogLevel::kWarning, "peer_state_unreadable",
                   ToString(decoded.LastReason()));
    return;
  }
  config_log::FollowUpdate update;
  {
    const std::lock_guard lock(this->follow_mutex);
    update = this->follower.OnPeerState(std::move(decoded).Value(), this->context.Now());
    this->state = this->follower.State();
    this->overlay.OnState(*this->state);
  }
  this->HandleUpdate(update);
}

ConfigPlane::CatchUp ConfigPlane::CatchUpFrom(config_log::Offset offset) const {
  const std::lock_guard lock(this->follow_mutex);
  CatchUp catch_up;
  if (this->state->next_offset <= offset) {
    return catch_up;
  }
  catch_up.records = this->follower.TailFrom(offset);
  if (catch_up.records.empty()) {
    catch_up.state = config_log::EncodeState(*this->state);
  }
  return catch_up;
}

bool ConfigPlane::Sleep(Duration span) {
  std::unique_lock lock(this->stop_mutex);
  return !this->stop_wakeup.wait_for(lock, span, [this] { return this->stopping; });
}

void ConfigPlane::ReadLoop() {
  while (this->Sleep(Duration::zero())) {
    this->ReadOnce();
  }
}

void ConfigPlane::ReadOnce() {
  config_log::Offset from = 0;
  {
    const std::lock_guard lock(this->follow_mutex);
    from = this->follower.ReadFrom();
  }
  // Up to the end nothing is waited for: an entry that starts on an empty log has to know at once
  // that it had no predecessor.
  const Duration wait = this->HasReachedEnd() ? kReadWait : Duration::zero();
  Result<platform::ReadBatch> batch =
      this->log->Read(from, kReadRecords, wait, wait + this->context.settings.log_timeout);
  if (!batch) {
    this->OnReadFailure(batch.LastReason());
    return;
  }
  this->OnReadSuccess();
  config_log::FollowUpdate update;
  {
    const std::lock_guard lock(this->follow_mutex);
    const TimePoint now = this->context.Now();
    if (batch->kind == platform::ReadKind::kGap) {
      update = this->follower.OnTooOld(batch->first, batch->next, now);
    } else {
      config_log::ReadBatch read{batch->first, batch->next, {}, config_log::BatchSource::kLog};
      for (const platform::LogRecord& record : batch->records) {
        read.records.push_back({record.offset, record.data});
      }
      update = this->follower.OnBatch(read, now);
    }
    this->state = this->follower.State();
    this->overlay.OnState(*this->state);
  }
  this->HandleUpdate(update);
  this->TellReadToEnd();
  this->WriteSnapshotIfDue();
}

void ConfigPlane::OnReadFailure(const Reason& reason) {
  bool is_new = false;
  {
    const std::lock_guard lock(this->follow_mutex);
    is_new = !std::exchange(this->is_log_down, true);
  }
  if (is_new) {
    telemetry::Log(telemetry::LogLevel::kWarning, "log_down", ToString(reason));
    this->context.Note({.kind = telemetry::EventKind::kLogDown, .why = ToString(reason)});
  }
  this->Sleep(kPauseAfterFailure);
}

void ConfigPlane::OnReadSuccess() {
  bool is_back = false;
  {
    const std::lock_guard lock(this->follow_mutex);
    this->last_read = this->context.Now();
    is_back = std::exchange(this->is_log_down, false);
  }
  if (is_back) {
    telemetry::Log(telemetry::LogLevel::kInfo, "log_up", "the log answers again");
    this->context.Note({.kind = telemetry::EventKind::kLogUp, .why = "the log answers again"});
  }
}

void ConfigPlane::HandleUpdate(const config_log::FollowUpdate& update) {
  for (const config_log::FoldOutcome& outcome : update.outcomes) {
    config_log::AppendActions actions;
    {
      const std::lock_guard lock(this->append_mutex);
      actions = this->appender.OnFolded(outcome, this->context.Now());
    }
    this->Run(std::move(actions));
  }
  this->TellState(update);
}

// The state is looked up under the lock that also covers telling of it: of two threads that have
// folded, the slower one then tells of the newest state once more, and never of an older one.
void ConfigPlane::TellState(const config_log::FollowUpdate& update) {
  if (!update.changed) {
    return;
  }
  const std::lock_guard lock(this->tell_mutex);
  this->listener.OnState(this->State(), update);
}

// What goes wrong otherwise: a peer's thread has folded the configuration and not yet told of it
// when the log's thread comes to the end. Limits that hear of the end first take the fleet for a
// new one and don't wait out what a predecessor lent. So the newest state is told once more before
// the end.
void ConfigPlane::TellReadToEnd() {
  const std::lock_guard lock(this->tell_mutex);
  {
    const std::lock_guard follow_lock(this->follow_mutex);
    if (!this->follower.HasReachedEnd() || std::exchange(this->told_end, true)) {
      return;
    }
  }
  this->listener.OnState(this->State(), {});
  this->listener.OnReadToEnd();
}

void ConfigPlane::Run(config_log::AppendActions actions) {
  std::vector<std::pair<Done, config_log::AppendOutcome>> calls;
  {
    const std::lock_guard lock(this->append_mutex);
    std::move(actions.send.begin(), actions.send.end(), std::back_inserter(this->to_send));
    for (config_log::AppendOutcome& outcome : actions.finished) {
      const auto found = this->waiting.find(outcome.record);
      if (found != this->waiting.end()) {
        calls.emplace_back(std::move(found->second), std::move(outcome));
        this->waiting.erase(found);
      }
    }
  }
  this->append_wakeup.notify_all();
  for (const auto& [done, outcome] : calls) {
    if (done) {
      done(outcome);
    }
  }
}

void ConfigPlane::AppendLoop() {
  while (this->Sleep(Duration::zero())) {
    std::vector<config_log::Record> batch;
    {
      std::unique_lock lock(this->append_mutex);
      this->append_wakeup.wait_for(lock, kAppendIdle, [this] { return !this->to_send.empty(); });
      batch = std::exchange(this->to_send, {});
    }
    for (const config_log::Record& record : batch) {
      this->AppendOne(record);
    }
    this->AppendPendingWithdrawals();
    config_log::AppendActions actions;
    {
      const std::lock_guard lock(this->append_mutex);
      actions = this->appender.OnTick(this->context.Now());
    }
    this->Run(std::move(actions));
  }
}

void ConfigPlane::AppendOne(const config_log::Record& record) {
  const platform::AppendOutcome outcome =
      this->log->Append(config_log::EncodeRecord(record), this->context.settings.log_timeout);
  this->context.metrics.Count(
      {"chervilspar_log_appends_total", {{"result", std::string(ToString(outcome.verdict))}}});
  const std::lock_guard lock(this->append_mutex);
  if (outcome.offset) {
    this->appender.OnAnswer(record.id, *outcome.offset);
  } else {
    this->appender.OnFailure(record.id, this->context.Now(), this->random);
  }
}

void ConfigPlane::AppendPendingWithdrawals() {
  const TimePoint now = this->context.Now();
  for (const config_log::KeyDigest& digest : this->PendingWithdrawals()) {
    {
      const std::lock_guard lock(this->append_mutex);
      const auto sent = this->withdrawal_sent_at.find(digest);
      if (sent != this->withdrawal_sent_at.end() && now - sent->second < kWithdrawalRepeat) {
        continue;
      }
      this->withdrawal_sent_at[digest] = now;
    }
    // All entries that know of the withdrawal make the same record, of which the fold takes one.
    const RecordId id{"withdraw-" + digest.hex};
    config_log::Record record{id, this->context.self.id, this->context.WallNow(),
                              config_log::KeyWithdrawn{digest}};
    this->Submit(id, {std::move(record)}, kWithdrawalRepeat, nullptr);
  }
}

void ConfigPlane::WriteSnapshotIfDue() {
  std::shared_ptr<const config_log::FleetState> snapshot;
  {
    const std::lock_guard lock(this->follow_mutex);
    const TimePoint now = this->context.Now();
    if (!this->follower.IsSnapshotDue(now)) {
      return;
    }
    this->follower.OnSnapshotWritten(now);
    snapshot = this->state;
  }
  const RecordId id = this->MakeRecordId("snapshot");
  this->Submit(id,
               config_log::MakeSnapshotRecords(id, this->context.self.id, this->context.WallNow(),
                                               *snapshot),
               kOwnRecordTimeout, nullptr);
  this->context.Note({.kind = telemetry::EventKind::kSnapshotWritten,
                      .why = "at offset " + std::to_string(snapshot->next_offset)});
}

}  // namespace chervilspar::entry
