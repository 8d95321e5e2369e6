#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace chervilspar::jobs {

/// An owner's word that it lets the leases on an endpoint lapse. Until the notice is dropped from
/// the store, the owner neither renews nor starts anything there.
///
/// Without it, a successor that can't reach the endpoint has to assume that its predecessor renewed
/// to the last, and each change of owner puts off the time at which what ran there is given up.
struct LapseNotice {
  std::string endpoint;
  /// The fencing token of the owner that gives its word.
  std::uint64_t token = 0;
  /// The leases have lapsed so long after the notice was made, by the clock of its owner.
  Duration remaining{};

  friend bool operator==(const LapseNotice&, const LapseNotice&) = default;
};

std::string EncodeLapseNotice(const LapseNotice& notice);
/// The reason names the first field that can't be read.
Result<LapseNotice> DecodeLapseNotice(std::string_view text);

}  // namespace chervilspar::jobs
