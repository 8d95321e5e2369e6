#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/admission_outlook.h"

namespace chervilspar::jobs {

/// The maximum number of refused jobs for which room is kept. Bounds the memory of the owner and
/// the size of the outlook.
inline constexpr std::size_t kMaxPromises = 256;
/// How long room is kept for a caller after the time at which it was to return.
inline constexpr Duration kPromiseGrace = std::chrono::seconds(2);

/// The jobs that entries have refused with a time to return, until they are stored or their callers
/// have not returned in time. Kept by the owner.
///
/// Load: hundreds of callers that were refused within a second. Without promises they would all be
/// told the same time, return together and be refused again.
class PromisedRoom {
 public:
  /// A job that is known already keeps the later of its two times, since its caller acts on the
  /// last answer. Without room, or if a value is invalid, the promise is dropped.
  void Add(const std::vector<Promise>& refused, TimePoint now);
  /// Drops the promises whose time is over, and those of jobs for which `is_known` returns true.
  void Review(TimePoint now, const std::function<bool(const JobId&)>& is_known);
  /// Adds the promised work to the accounts, and the promises that are due within `horizon`.
  void AddTo(AdmissionOutlook& outlook, TimePoint now, Duration horizon) const;
  std::size_t Count() const { return this->promises.size(); }

 private:
  struct Entry {
    Promise promise;
    TimePoint due{};
  };

  std::map<JobId, Entry> promises;
};

}  // namespace chervilspar::jobs
