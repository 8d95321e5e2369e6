#pragma once

#include <memory>

#include "job_entry/candidacy.h"
#include "job_entry/operator_view.h"
#include "job_entry/owner_directory.h"
#include "job_entry/owner_term.h"

namespace chervilspar::job_entry {

/// Runs as a candidate in the store's group, and holds the term while this entry is chosen.
///
/// The group is only a hint: it may choose another member at any time, or two members for a moment.
/// The token of the term separates two owners. A change of owner takes about half a second without
/// decisions, so an owner that is still a member remains owner, whichever member the group would
/// choose next.
class Election : public std::enable_shared_from_this<Election> {
 public:
  Election(const Context& context, OperatorView& operators, OwnerDirectory& directory);

  void Start() { Spawn(this->context, this->Run(this->shared_from_this())); }
  /// Leaves the group, so that another entry takes over at once.
  boost::asio::awaitable<void> Resign();
  /// Null while another entry is owner.
  std::shared_ptr<OwnerTerm> Term() const;

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<Election> self);
  /// Waits until the operators' rules are known and this entry may stand.
  boost::asio::awaitable<void> AwaitRules();
  /// Decides from the current members of the group whether this entry runs as a candidate.
  boost::asio::awaitable<void> Review();
  /// Called when no member has clearly more cores. `is_first`: the first review, which needs no
  /// confirmation.
  void ConsiderCandidacy(bool is_first, std::size_t members);
  boost::asio::awaitable<void> WithdrawCandidacy();
  boost::asio::awaitable<void> JoinOnce();
  boost::asio::awaitable<void> Leave();
  /// Records when a join was sent, and logs one that was sent or answered late.
  void RecordJoin(TimePoint sent);
  /// True when the newest claim has named this entry for `kMaxTimeWithoutTerm` while it has no
  /// term.
  bool IsNamedWithoutTerm();
  /// True while the member with the newest claim is still in the group.
  boost::asio::awaitable<bool> HasLiveOwner();
  /// Passes the members to the fleet observer, which chooses the entries that forward orders.
  void PublishMembers();
  /// Writes a claim at this offset; false when it is refused or its outcome is unknown.
  boost::asio::awaitable<bool> Claim(std::uint64_t offset);
  /// Announces the token of a claim, so that the store refuses the predecessor's records.
  boost::asio::awaitable<bool> Announce(ProgressWriter& writer);
  /// Claims at this offset and begins a term if the claim is stored.
  void BeginTerm(std::uint64_t offset);
  boost::asio::awaitable<void> TakeOver(std::shared_ptr<Election> self, std::uint64_t offset);
  static std::string MakeMember(const Context& context, const Candidacy& candidacy);

  /// A read of the list of members. It is valid while the group's generation is the same.
  struct MembersSnapshot {
    std::string owner;
    std::uint64_t generation = 0;
    TimePoint at{};

    /// Whether this snapshot is still valid in place of a read at `current`.
    bool Covers(const MembersSnapshot& current) const;
  };

  boost::asio::awaitable<void> ReadMembers(std::shared_ptr<Election> self,
                                           MembersSnapshot snapshot);

  const Context context;
  OperatorView& operators;
  OwnerDirectory& directory;
  const Candidacy candidacy;
  const std::string member;
  bool is_candidate = false;
  /// Consecutive reviews that found no member with clearly more cores.
  int clear_reviews = 0;
  TimePoint next_review{};
  std::uint64_t generation = 0;
  /// The last snapshot in which the owner was a member.
  MembersSnapshot last_live;
  /// The last snapshot that was passed to the fleet observer.
  MembersSnapshot last_published;
  bool is_resigned = false;
  bool is_joined = true;
  /// The list of members is being read for `last_published`.
  bool is_publishing = false;
  /// A claim of this entry, or the announcement of its token, is in progress.
  bool is_claiming = false;
  /// The claim is not stored, or this entry has resigned: the announcement isn't retried any more.
  bool is_claim_abandoned = false;
  /// Since when the newest claim has named this entry while it has no term.
  std::optional<TimePoint> named_without_term_since;
  /// When the last join was sent.
  std::optional<TimePoint> last_join_sent;
  /// When the store last failed to answer a join.
  std::optional<TimePoint> join_failed_at;
  std::shared_ptr<OwnerTerm> term;
};

}  // namespace chervilspar::job_entry
