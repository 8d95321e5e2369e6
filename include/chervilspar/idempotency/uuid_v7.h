#pragma once

#include <string_view>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace chervilspar::idempotency {

/// A UUID of version 7 (RFC 9562). Its first 48 bits are the Unix time of its creation in
/// milliseconds.
struct UuidV7 {
  /// Canonical lower-case text, so that two spellings of a UUID identify the same request.
  RequestId id;
  /// Creation time by the clock of its creator.
  WallTime minted;

  friend bool operator==(const UuidV7&, const UuidV7&) = default;
};

/// Errors: `kInvalidArgument` with field `Idempotency-Key`.
Result<UuidV7> ParseUuidV7(std::string_view text);

UuidV7 MakeUuidV7(WallTime now, Random& random);

}  // namespace chervilspar::idempotency
