#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>

#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// An entry's claim to schedule, as it stands in the store.
struct OwnerClaim {
  std::string entry;
  /// Its name in the group; new with each start of the process.
  std::string member;
  /// Where the owner answers other entries.
  SocketAddress address;

  friend bool operator==(const OwnerClaim&, const OwnerClaim&) = default;
};

std::string EncodeClaim(const OwnerClaim& claim);
Result<OwnerClaim> DecodeClaim(const std::string& text);

/// The key under which claims are written.
inline constexpr const char* kOwnerKey = "owner";

/// Who schedules, as far as this entry knows.
class OwnerDirectory : public RecordListener {
 public:
  explicit OwnerDirectory(const Context& context);

  void Start() { this->tail->Start(); }
  void OnRecords(const std::vector<KeyedRecord>& records) override;
  const std::optional<OwnerClaim>& Owner() const { return this->owner; }
  /// The offset after the claim that names `Owner`: where the next claim stands, unless another
  /// comes first. Nothing while claims aren't known.
  std::optional<std::uint64_t> NextClaim() const {
    return std::max(this->tail->Next(), this->next_read);
  }
  /// Reads the newest claim now, without waiting for the read that follows the topic.
  boost::asio::awaitable<void> ReadAnew(Duration timeout);
  /// Until this time, nobody had claimed after `Owner`.
  std::optional<TimePoint> Proof() const { return this->tail->Proof(); }
  /// An owner has to hear soon of another's claim; others only ask for its address.
  void FollowClosely(bool is_close);
  /// Asks the store now whether the newest claim is that of `member`.
  boost::asio::awaitable<bool> IsNewestClaim(std::string member, Duration timeout) const;

 private:
  const Context context;
  std::optional<OwnerClaim> owner;
  /// The offset after the claim that was read anew.
  std::optional<std::uint64_t> next_read;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
