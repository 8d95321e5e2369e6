#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "chervilspar/http/wakeup.h"

#include "job_entry/context.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

/// Proof that nobody has claimed after this owner, as orders need it where their receivers don't
/// compare tokens.
///
/// What can go wrong: each of many orders that wait together asks the store for itself. While the
/// store is slow, their questions take all connections to it, this owner's joins find none, and the
/// group drops it. So all wait for one answer.
class OwnerProof {
 public:
  /// `member`: this entry's name in its claim.
  OwnerProof(const Context& context, const OwnerDirectory& directory, std::string member);

  /// The store has shown otherwise that there was no other claim at this time.
  void Note(TimePoint proof) { this->proof = std::max(this->proof, proof); }
  /// True when the proof is younger than `limit`; asks the store if it has to.
  boost::asio::awaitable<bool> IsYoungerThan(Duration limit);

 private:
  bool HasProof(Duration limit) const { return this->context.Now() - this->proof < limit; }
  /// Asks the store, or waits for the answer to a question that is under way.
  boost::asio::awaitable<void> Ask();

  const Context context;
  const OwnerDirectory& directory;
  const std::string member;
  TimePoint proof{};
  bool is_asking = false;
  std::vector<std::shared_ptr<http::Wakeup>> waiting;
};

}  // namespace chervilspar::job_entry
