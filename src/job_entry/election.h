#pragma once

#include <memory>

#include "job_entry/candidacy.h"
#include "job_entry/operator_view.h"
#include "job_entry/owner_directory.h"
#include "job_entry/owner_term.h"

namespace chervilspar::job_entry {

/// Stands for owner in the store's group, and holds the term while this entry is chosen.
///
/// The group is only a hint: it may choose another at any time, or two for a moment. What keeps two
/// owners apart is the token of the term. A change costs about half a second without decisions, so
/// an owner that is still a member stays owner, whomever the group would choose next.
class Election : public std::enable_shared_from_this<Election> {
 public:
  Election(const Context& context, OperatorView& operators, OwnerDirectory& directory);

  void Start() { Spawn(this->context, this->Run(this->shared_from_this())); }
  /// Leaves the group, so that another takes over at once.
  boost::asio::awaitable<void> Resign();
  /// Null while another entry is owner.
  std::shared_ptr<OwnerTerm> Term() const;

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<Election> self);
  /// Decides by the members that the group has now whether this entry stands for owner.
  boost::asio::awaitable<void> Review();
  /// No member goes first. `is_first`: the first look at all, which needs no second.
  void StandAfterLook(bool is_first, std::size_t members);
  boost::asio::awaitable<void> StandBack();
  boost::asio::awaitable<void> JoinOnce();
  boost::asio::awaitable<void> Leave();
  /// Tells of a join that came or was answered late.
  void NoteJoin(TimePoint sent);
  /// True when the newest claim has named this entry for a while although it schedules nothing.
  bool IsNamedInVain();
  /// True while the member that claimed last is still in the group.
  boost::asio::awaitable<bool> HasLivingOwner();
  /// Tells those who choose the carriers of orders who is in the group.
  void TellMembers();
  /// Writes a claim that is to stand at this offset; false when it doesn't or may not.
  boost::asio::awaitable<bool> Claim(std::uint64_t offset);
  /// Announces the token of a claim, so that its predecessor's records are refused.
  boost::asio::awaitable<bool> Announce(ProgressWriter& writer);
  /// Claims at this offset and begins a term if the claim is stored.
  void BeginTerm(std::uint64_t offset);
  boost::asio::awaitable<void> TakeOver(std::shared_ptr<Election> self, std::uint64_t offset);
  static std::string MakeMember(const Context& context, const Candidacy& candidacy);

  /// What a reading of the list of members showed. It holds while the group's generation stays.
  struct Look {
    std::string owner;
    std::uint64_t generation = 0;
    TimePoint at{};

    /// Whether this look still says what one at `now` would.
    bool Covers(const Look& now) const;
  };

  boost::asio::awaitable<void> ReadMembers(std::shared_ptr<Election> self, Look look);

  const Context context;
  OperatorView& operators;
  OwnerDirectory& directory;
  const Candidacy candidacy;
  const std::string member;
  bool is_standing = false;
  /// Looks at the group in a row that showed no member with clearly more processor.
  int free_looks = 0;
  TimePoint next_review{};
  std::uint64_t generation = 0;
  /// The last look that showed the owner among the members.
  Look seen_living;
  /// The last look that was told.
  Look told;
  bool is_resigned = false;
  bool is_joined = true;
  /// The list of members is being read for `told`.
  bool is_telling = false;
  /// A claim of this entry, or the announcement of its token, is on its way.
  bool is_claiming = false;
  /// The claim is not stored, or nothing is to come of it: no announcement is tried any more.
  bool is_claim_over = false;
  /// Since when the newest claim names this entry and it has no term.
  std::optional<TimePoint> named_in_vain;
  /// When the last join was sent.
  std::optional<TimePoint> joined_at;
  /// When the store last failed to answer a join.
  std::optional<TimePoint> missed;
  std::shared_ptr<OwnerTerm> term;
};

}  // namespace chervilspar::job_entry
