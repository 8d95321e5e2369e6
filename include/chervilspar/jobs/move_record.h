#pragma once

#include <string>
#include <string_view>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"

namespace chervilspar::jobs {

/// A move of a VM that is or will be ordered; stored before the order, as it may be executed late,
/// also under the next owner.
struct MoveRecord {
  VmId vm;
  ServiceId pool;
  /// The endpoint on the VM, which gets no work until the outcome of the order is known.
  std::string endpoint;

  friend bool operator==(const MoveRecord&, const MoveRecord&) = default;
};

std::string EncodeMoveRecord(const MoveRecord& move);
/// Fails with `ErrorCode::kMalformed` if the record can't be decoded.
Result<MoveRecord> DecodeMoveRecord(std::string_view text);

}  // namespace chervilspar::jobs
