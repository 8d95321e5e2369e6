#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace chervilspar::jobs {

/// An owner's stored promise to let the leases on an endpoint lapse. Until the notice is deleted
/// from the store, the owner neither renews leases nor starts runs on the endpoint.
///
/// Without it, a successor that can't reach the endpoint has to assume that its predecessor renewed
/// the leases until the end of its term, and each change of owner would delay the time at which the
/// runs on the endpoint are abandoned.
struct LapseNotice {
  std::string endpoint;
  /// The fencing token of the owner that made the notice.
  std::uint64_t token = 0;
  /// How long after the notice was made the leases have lapsed, by its owner's clock. Stored in
  /// milliseconds, rounded up.
  Duration remaining{};

  friend bool operator==(const LapseNotice&, const LapseNotice&) = default;
};

std::string EncodeLapseNotice(const LapseNotice& notice);
/// On failure, the reason names the first field that is missing or invalid; it names none if `text`
/// isn't a JSON object.
Result<LapseNotice> DecodeLapseNotice(std::string_view text);

}  // namespace chervilspar::jobs
