#pragma once

#include <memory>

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
  boost::asio::awaitable<void> JoinOnce();
  /// True while the member that claimed last is still in the group.
  boost::asio::awaitable<bool> HasLivingOwner();
  boost::asio::awaitable<void> BeginTerm();

  const Context context;
  OperatorView& operators;
  OwnerDirectory& directory;
  const std::string member;
  std::uint64_t generation = 0;
  bool is_resigned = false;
  bool is_joined = true;
  /// When the store last failed to answer a join.
  std::optional<TimePoint> missed;
  std::shared_ptr<OwnerTerm> term;
};

}  // namespace chervilspar::job_entry
