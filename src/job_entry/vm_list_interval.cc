#include "job_entry/vm_list_interval.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// The interval grows with the number of VMs in the list, up to a maximum.
constexpr Duration kIntervalPerVm = std::chrono::milliseconds(3);
constexpr Duration kMaxInterval = std::chrono::milliseconds(1000);
/// Maximum where the link's bandwidth is the limit; waves and moves still make progress.
constexpr Duration kMaxIntervalOnSlowLink = std::chrono::milliseconds(2000);
/// Size of one VM in the list.
constexpr double kBytesPerVm = 160;
/// Maximum share of the link's bandwidth for the list.
constexpr double kMaxLinkShare = 0.05;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;

}  // namespace

Duration VmListInterval(std::size_t vms, double link_rate) {
  const double bits = static_cast<double>(vms) * kBytesPerVm * kBitsPerByte;
  const std::chrono::duration<double> by_link(bits / (link_rate * kBitsPerMegabit * kMaxLinkShare));
  const Duration by_vms = std::min<Duration>(kMaxInterval, kIntervalPerVm * static_cast<int>(vms));
  return std::clamp(std::chrono::duration_cast<Duration>(by_link), by_vms, kMaxIntervalOnSlowLink);
}

}  // namespace chervilspar::job_entry
