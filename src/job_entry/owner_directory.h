#pragma once

#include <memory>
#include <optional>

#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// An entry's claim to schedule, as it stands in the store.
struct OwnerClaim {
  std::string entry;
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

 private:
  std::optional<OwnerClaim> owner;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
