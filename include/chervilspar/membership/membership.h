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

/// Time between two heartbeats to the same peer. Twice a second keeps a change of configuration
/// within 3 s even when two heartbeats in a row are lost.
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

/// A peer unheard for this long is silent: four heartbeats were lost in a row.
inline constexpr Duration kPeerTimeout = std::chrono::seconds(2);

/// A gap between two ticks that counts as a pause of this process.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/// This process, for its whole life.
struct Self {
  EntryId id;
  Incarnation incarnation;
  ZoneId zone;
};

/// The entries of a folded state.
EntryList EntryListOf(const config_log::FleetState& state);

/// Safety mechanisms of `Membership` that a test may take out.
struct MembershipGuards {
  /// An entry owns nothing until it has read the log to its end since its start.
  Guard read_to_end = Guard::kOn;
  /// Former entries are awaited until they have confirmed or an operator declares them gone.
  Guard await_former = Guard::kOn;
};

enum class Reachability {
  /// Never heard of in this life.
  kUnknown,
  /// Heard of within `kPeerTimeout`.
  kReachable,
  /// Heard of, but not lately: paused, cut off or gone. Which of these can't be told, so that
  /// silence never frees anything that the peer may hold.
  kUnresponsive,
};

/// What this entry knows of another.
struct PeerView {
  Reachability reachability = Reachability::kUnknown;
  /// The peer's last heartbeat; empty fields when unknown.
  Heartbeat last;
  /// Own monotonic time at which it came.
  TimePoint last_contact;
};

/// What a heartbeat told that was not known before.
enum class HeartbeatOutcome {
  kKnownIncarnation,
  /// First word of this peer in this life.
  kNewPeer,
  /// The peer was restarted or replaced: what its predecessor was sent or asked is void.
  kNewIncarnation,
  /// From an earlier life or from an unknown sender; nothing was taken over.
  kIgnored,
};

/// A stop of this process that its own clock shows.
struct Pause {
  TimePoint from;
  TimePoint until;
};

/// Each entry's knowledge of the others: who they are, how fresh the news of them is, what they
/// have confirmed, and what this entry may do on that knowledge.
///
/// Time comes in as the own monotonic clock, which runs on while the process is stopped; other
/// entries' clocks are never compared with it.
class Membership {
 public:
  Membership(Self self, TimePoint started, MembershipGuards guards = {});

  /// A record was folded. Versions must not go back; an entry may be declared gone within one.
  void OnConfiguration(const EntryList& list);
  /// The log has been read to an end that was its end at a moment after this process's start.
  void OnReadToEnd();
  void OnFolded(config_log::Offset next_offset);
  /// `quota::Quota` has come within the split of this configuration. Older news is passed over.
  void OnSettled(config_log::ConfigVersion version);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /// Call at least every `kHeartbeatInterval`. Tells of a pause of this process since the last
  /// call.
  std::optional<Pause> Tick(TimePoint now);

  /// The heartbeat to send to every entry of `HeartbeatTargets()`.
  Heartbeat MakeHeartbeat(HybridTime sent_at) const;
  /// Entries to send heartbeats to: all that are listed or former, but this one.
  std::set<EntryId> HeartbeatTargets() const;

  PeerView View(const EntryId& peer, TimePoint now) const;
  std::vector<EntryId> ReachablePeers(TimePoint now) const;

  /// Whether this entry may own anything (units of limits, request ids). False until it has read
  /// the log to its end since its start.
  ///
  /// What goes wrong otherwise: an entry confirms a configuration that takes units from it and
  /// dies; its replacement starts in an outage from a peer that still has the older configuration,
  /// and uses units that another entry was given meanwhile. One notices a team above its limit.
  bool MayOwn() const;

  /// Who acts by exactly the current configuration.
  Agreement Applied() const;
  /// Whose use is within the split of exactly the current configuration.
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
  /// Former entries, of the list and of this life's earlier lists, that are still awaited.
  std::set<EntryId> former;
  /// Former entries that have come to a version that all have reached.
  std::set<EntryId> retired;
  /// Gone entries that are still awaited to have settled, until a time on the own clock; no time
  /// before the first tick after the news.
  std::map<EntryId, std::optional<TimePoint>> gone_until;
  LogProgress log_progress = LogProgress::kCatchingUp;
  config_log::Offset next_offset = 0;
  config_log::ConfigVersion settled_version = 0;
  config_log::ConfigVersion applied_by_all = 0;
  config_log::ConfigVersion settled_by_all = 0;
  std::map<EntryId, Peer> peers;
  /// Who reported exactly the current version.
  std::set<EntryId> applied;
  std::set<EntryId> settled;
  TimePoint last_tick;
};

}  // namespace chervilspar::membership
