#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "chervilspar/http/wakeup.h"

#include "job_entry/context.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

/// Proof that no entry has claimed after this owner, which orders for VMs need.
///
/// All pending orders share one query. With one query each, a slow store would have all connections
/// to it in use, the joins of this owner would get none, and the group would drop it.
class OwnerProof {
 public:
  /// `member`: the name of this entry in its claim.
  OwnerProof(const Context& context, const OwnerDirectory& directory, std::string member);

  /// Records a proof from another source that there was no later claim at this time.
  void Record(TimePoint proof) { this->proof = std::max(this->proof, proof); }
  TimePoint Latest() const { return this->proof; }
  /// True when the proof is younger than `limit`; queries the store if necessary.
  boost::asio::awaitable<bool> IsYoungerThan(Duration limit);

 private:
  bool HasProof(Duration limit) const { return this->context.Now() - this->proof < limit; }
  /// Queries the store, or waits for the response to the query in progress.
  boost::asio::awaitable<void> QueryStore();

  const Context context;
  const OwnerDirectory& directory;
  const std::string member;
  TimePoint proof{};
  bool is_querying = false;
  std::vector<std::shared_ptr<http::Wakeup>> waiters;
};

}  // namespace chervilspar::job_entry
