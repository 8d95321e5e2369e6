#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>

#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// An entry's claim to be the owner, as stored.
struct OwnerClaim {
  std::string entry;
  /// The name of the entry in the group; new with each start of the process.
  std::string member;
  /// Where the owner answers the requests of other entries.
  SocketAddress address;

  friend bool operator==(const OwnerClaim&, const OwnerClaim&) = default;
};

std::string EncodeClaim(const OwnerClaim& claim);
Result<OwnerClaim> DecodeClaim(const std::string& text);

/// The key under which claims are written.
inline constexpr const char* kOwnerKey = "owner";

/// The newest claim to be the owner that this entry has read.
class OwnerDirectory : public RecordListener {
 public:
  explicit OwnerDirectory(const Context& context);

  void Start() { this->tail->Start(); }
  void OnRecords(const std::vector<KeyedRecord>& records) override;
  const std::optional<OwnerClaim>& Owner() const { return this->owner; }
  /// The offset after the claim of `Owner`: that of the next claim, unless another entry claims
  /// first. Nothing while the claims are unknown.
  std::optional<std::uint64_t> NextClaimOffset() const {
    return std::max(this->tail->Next(), this->refreshed_offset);
  }
  /// Reads the newest claim now, independently of the pending read that follows the topic.
  boost::asio::awaitable<void> Refresh(Duration timeout);
  /// The latest time at which there was certainly no claim after that of `Owner`.
  std::optional<TimePoint> Proof() const { return this->tail->Proof(); }
  /// An owner must learn of another claim soon and uses the short wait; other entries only need the
  /// address of the owner.
  void UseShortWait(bool is_short);
  /// Queries the store now: true if the newest claim is that of `member`.
  boost::asio::awaitable<bool> IsNewestClaim(std::string member, Duration timeout) const;

 private:
  const Context context;
  std::optional<OwnerClaim> owner;
  /// The offset after the claim that `Refresh` has read.
  std::optional<std::uint64_t> refreshed_offset;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
