#include "chervilspar/idempotency/ownership.h"

#include <cstdint>

#include "chervilspar/base/hash.h"

namespace chervilspar::idempotency {

std::optional<EntryId> OwnerOf(const RequestId& id, const std::set<EntryId>& entries) {
  const std::uint64_t id_hash = StableHash(id.text);
  std::optional<EntryId> owner;
  std::uint64_t highest = 0;
  for (const EntryId& entry : entries) {
    const std::uint64_t hash = StableHash(entry.text, id_hash);
    if (!owner || hash > highest) {
      owner = entry;
      highest = hash;
    }
  }
  return owner;
}

}  // namespace chervilspar::idempotency
