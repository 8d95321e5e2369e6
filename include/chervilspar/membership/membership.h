#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/membership/agreement.h"
#include "chervilspar/membership/guard.h"
#include "chervilspar/membership/heartbeat.h"

namespace chervilspar::membership {

/// Time between two heartbeats to the same peer. At this interval a configuration change completes
/// within 3 s even when two consecutive heartbeats are lost.
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

/// A peer without a heartbeat for this long is unresponsive: four in a row were lost.
inline constexpr Duration kPeerTimeout = std::chrono::seconds(2);

/// Minimum time between two ticks that counts as a pause of this process.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/// The identity of this process; constant while it runs.
struct Self {
  EntryId id;
  Incarnation incarnation;
  ZoneId zone;
};

/// The entries of a state that was built from the log.
EntryList EntryListOf(const config_log::FleetState& state);

/// Safety mechanisms of `Membership` that a test may disable.
struct MembershipGuards {
  /// An entry owns nothing until it has read the log to its end since its start.
  Guard read_to_end = Guard::kOn;
  /// Former entries are awaited until they have confirmed or an operator declares them gone.
  Guard await_former = Guard::kOn;
};

/// Whether a peer responds, by the time of its last heartbeat.
enum class Reachability {
  /// No heartbeat received since this process started.
  kUnknown,
  /// The last heartbeat came less than `kPeerTimeout` ago.
  kReachable,
  /// The last heartbeat is older: the peer is paused, cut off or gone. As these can't be
  /// distinguished, a missing heartbeat never frees anything that the peer may hold.
  kUnresponsive,
};

/// The last known state of a peer.
struct PeerView {
  Reachability reachability = Reachability::kUnknown;
  /// The peer's last heartbeat; empty fields when unknown.
  Heartbeat last;
  /// When the last heartbeat came, by this process's monotonic clock.
  TimePoint last_contact;
};

/// How a received heartbeat was handled.
enum class HeartbeatOutcome {
  /// The peer's incarnation was already known; its state was updated.
  kKnownIncarnation,
  /// First heartbeat from this peer since this process started.
  kNewPeer,
  /// The peer was restarted or replaced; requests to its predecessor are void.
  kNewIncarnation,
  /// Sent by this entry, by an unknown sender or by an earlier incarnation, or out of order;
  /// nothing
  /// was updated.
  kIgnored,
};

/// A time during which this process was paused, by its own monotonic clock.
struct Pause {
  TimePoint from;
  TimePoint until;
};

/// Tracks the other entries: which there are, whether they respond, which configuration versions
/// they have confirmed, and whether this entry may own units and request ids.
///
/// All times come from this process's monotonic clock, which advances while the process is paused.
/// They are never compared with other entries' clocks.
class Membership {
 public:
  Membership(Self self, TimePoint started, MembershipGuards guards = {});

  /// Applies the list of entries. Versions must not decrease; the list may change within one
  /// version when an entry is declared gone.
  void OnConfiguration(const EntryList& list);
  /// Call when the log has been read to a position that was its end at some time after this process
  /// started.
  void OnReadToEnd();
  /// Sets the log offset of the next record to apply. Must not decrease.
  void OnFolded(config_log::Offset next_offset);
  /// Takes the result of `quota::Quota::SettledVersion`. Ignores versions older than the last.
  void OnSettled(config_log::ConfigVersion version);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /// Call at least every `kHeartbeatInterval`. Returns the time since the last call if it was a
  /// pause of this process.
  std::optional<Pause> Tick(TimePoint now);

  /// The heartbeat to send to every entry of `HeartbeatTargets()`.
  Heartbeat MakeHeartbeat(HybridTime sent_at) const;
  /// Entries to send heartbeats to: all listed and former entries except this one.
  std::set<EntryId> HeartbeatTargets() const;

  PeerView View(const EntryId& peer, TimePoint now) const;
  std::vector<EntryId> ReachablePeers(TimePoint now) const;

  /// Whether this entry may own anything (units of limits, request ids). False until it has read
  /// the log to its end since its start.
  ///
  /// An entry may confirm a configuration that takes units from it and then crash. If its
  /// replacement starts during an outage of the log from a peer that still has the older
  /// configuration, it would use units that another entry now owns, and the team would exceed its
  /// limit.
  bool MayOwn() const;

  /// Which entries have applied exactly the current configuration.
  Agreement Applied() const;
  /// Which entries' use is covered by the split of exactly the current configuration.
  Agreement Settled() const;

  const Self& Me() const { return this->self; }
  config_log::ConfigVersion Version() const { return this->list.version; }

 private:
  struct Peer {
    Heartbeat last;
    TimePoint last_contact;
  };

  Agreement AgreementOn(config_log::ConfigVersion by_all, const std::set<EntryId>& reached) const;
  void UpdateFormer(const EntryList& next);
  bool MayTrackSender(const Heartbeat& heartbeat) const;
  bool IsStale(const Peer& known, const Heartbeat& heartbeat, TimePoint now) const;
  void ApplyReports(const Heartbeat& heartbeat);
  void UpdateAgreement();
  void RemoveEndedGone(TimePoint now);

  Self self;
  MembershipGuards guards;
  EntryList list;
  /// Former entries, of this list and of earlier ones since the start, that are still awaited.
  std::set<EntryId> former;
  /// Former entries that are no longer awaited, as all entries had applied a version and settled in
  /// it.
  std::set<EntryId> retired;
  /// When each gone entry stops being awaited to settle, by this process's monotonic clock. Empty
  /// until the first tick after the entry was declared gone.
  std::map<EntryId, std::optional<TimePoint>> gone_until;
  LogProgress log_progress = LogProgress::kCatchingUp;
  config_log::Offset next_offset = 0;
  config_log::ConfigVersion settled_version = 0;
  config_log::ConfigVersion applied_by_all = 0;
  config_log::ConfigVersion settled_by_all = 0;
  std::map<EntryId, Peer> peers;
  /// Entries that reported exactly the current version as applied.
  std::set<EntryId> applied;
  /// Entries that reported exactly the current version as settled.
  std::set<EntryId> settled;
  TimePoint last_tick;
};

}  // namespace chervilspar::membership
