#include "job_entry/vm_list_interval.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// For each VM in the list, and at most.
constexpr Duration kPacePerVm = std::chrono::milliseconds(3);
constexpr Duration kLongestPace = std::chrono::milliseconds(1000);
/// The same where the link binds: waves and moves still go on.
constexpr Duration kLongestNarrowPace = std::chrono::milliseconds(2000);
/// Bytes of one VM in the list.
constexpr double kBytesPerVm = 160;
/// The part of the link that the list may take.
constexpr double kShareOfLink = 0.05;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;

}  // namespace

Duration VmListInterval(std::size_t vms, double link_rate) {
  const double bits = static_cast<double>(vms) * kBytesPerVm * kBitsPerByte;
  const std::chrono::duration<double> by_link(bits / (link_rate * kBitsPerMegabit * kShareOfLink));
  const Duration by_vms = std::min<Duration>(kLongestPace, kPacePerVm * static_cast<int>(vms));
  return std::clamp(std::chrono::duration_cast<Duration>(by_link), by_vms, kLongestNarrowPace);
}

}  // namespace chervilspar::job_entry
