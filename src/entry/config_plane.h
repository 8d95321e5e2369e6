#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/config_log/appender.h"
#include "chervilspar/config_log/key_overlay.h"
#include "chervilspar/config_log/log_follower.h"
#include "chervilspar/platform/log_service.h"

#include "entry/entry_context.h"

namespace chervilspar::entry {

/// Hears of every change of the folded state, one at a time and never of an older state after a
/// newer one, on the thread that read it.
class StateListener {
 public:
  virtual ~StateListener() = default;
  virtual void OnState(std::shared_ptr<const config_log::FleetState> state,
                       const config_log::FollowUpdate& update) = 0;
  /// The log was read to its end for the first time since the start.
  virtual void OnReadToEnd() = 0;
  /// Withdrawals that the log does not hold yet, to be told to the peers.
  virtual void OnWithdrawals(const std::vector<config_log::KeyDigest>& digests) = 0;
};

/// Follows the log, appends to it, and keeps the withdrawals that run ahead of it. One thread
/// reads, one appends; both end with `Stop`.
class ConfigPlane {
 public:
  using Done = std::function<void(const config_log::AppendOutcome&)>;

  ConfigPlane(const EntryContext& context, std::unique_ptr<platform::LogService> log,
              StateListener& listener);
  ~ConfigPlane();
  ConfigPlane(const ConfigPlane&) = delete;
  ConfigPlane& operator=(const ConfigPlane&) = delete;

  void Start();
  void Stop();

  std::shared_ptr<const config_log::FleetState> State() const;
  /// Whether the log was read without error within `span`.
  bool WasLogReadWithin(Duration span) const;
  bool HasReachedEnd() const;

  /// Appends records; `done` is called once, on another thread, when their fate is known or after
  /// `timeout`.
  void Submit(const RecordId& subject, std::vector<config_log::Record> records, Duration timeout,
              Done done);
  /// Makes an id that no other record has.
  RecordId MakeRecordId(std::string_view prefix);

  /// The team that a key belongs to, unless it is withdrawn.
  std::optional<TeamId> Authenticate(std::string_view key) const;
  /// Applies a withdrawal at once; it is appended until the log holds it. Whether it was news.
  bool Withdraw(const config_log::KeyDigest& digest);
  std::vector<config_log::KeyDigest> PendingWithdrawals() const;

  void OnPeerRecords(const std::vector<config_log::LogRecord>& records);
  void OnPeerState(std::string_view encoded);
  /// What a peer needs to catch up from an offset: records, or the encoded state.
  struct CatchUp {
    std::vector<config_log::LogRecord> records;
    std::string state;
  };
  CatchUp CatchUpFrom(config_log::Offset offset) const;

 private:
  void ReadLoop();
  void AppendLoop();
  void ReadOnce();
  void HandleUpdate(const config_log::FollowUpdate& update);
  void TellState(const config_log::FollowUpdate& update);
  void TellReadToEnd();
  void OnReadFailure(const Reason& reason);
  void OnReadSuccess();
  void Run(config_log::AppendActions actions);
  void AppendOne(const config_log::Record& record);
  void AppendPendingWithdrawals();
  void WriteSnapshotIfDue();
  bool Sleep(Duration span);

  const EntryContext& context;
  std::unique_ptr<platform::LogService> log;
  StateListener& listener;

  /// Held while the listener is told of a state; taken before `follow_mutex`.
  std::mutex tell_mutex;
  mutable std::mutex follow_mutex;
  config_log::LogFollower follower;
  config_log::KeyOverlay overlay;
  std::shared_ptr<const config_log::FleetState> state;
  std::optional<TimePoint> last_read;
  bool is_log_down = false;
  bool told_end = false;

  mutable std::mutex append_mutex;
  std::condition_variable append_wakeup;
  config_log::Appender appender;
  SeededRandom random;
  std::map<RecordId, Done> waiting;
  std::vector<config_log::Record> to_send;
  std::uint64_t last_record = 0;
  std::map<config_log::KeyDigest, TimePoint> withdrawal_sent_at;

  std::mutex stop_mutex;
  std::condition_variable stop_wakeup;
  bool stopping = false;
  std::thread reader;
  std::thread writer;
};

}  // namespace chervilspar::entry
