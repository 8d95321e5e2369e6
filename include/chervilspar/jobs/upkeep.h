#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

enum class VmPhase { kUp, kMoving, kRebooting, kDown };

/// A VM as the platform lists it.
struct VmRecord {
  VmId id;
  ServiceId pool;
  VmPhase phase = VmPhase::kDown;
  ZoneId zone;
  std::string rack;
  Resources capacity;
  /// The endpoint that runs on it; empty when there is none.
  std::string endpoint;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

/// Operators ask that each of these VMs is rebooted by a time, at most `max_down` at once.
struct Wave {
  std::uint64_t number = 0;
  std::vector<VmId> vms;
  Duration deadline{};
  std::uint32_t max_down = 1;

  friend bool operator==(const Wave&, const Wave&) = default;
};

struct RebootOrder {
  VmId vm;
  std::uint64_t wave = 0;
  std::string holder;
  std::uint64_t token = 0;

  friend bool operator==(const RebootOrder&, const RebootOrder&) = default;
};

struct MoveOrder {
  VmId vm;
  ServiceId pool;
  std::string holder;
  std::uint64_t token = 0;

  friend bool operator==(const MoveOrder&, const MoveOrder&) = default;
};

enum class VmOrderOutcome {
  /// Carried out now or before.
  kDone,
  kTokenTooLow,
  /// The VM is not up, or leaving.
  kBusy,
  /// The wave doesn't name the VM, or there is no such VM or pool.
  kNotAllowed,
  /// Too many calls; nothing was done.
  kRateLimited,
  /// It did not leave this entry; nothing was done.
  kNotSent,
  /// It may be carried out, also later.
  kNoAnswer,
};

const char* ToString(VmOrderOutcome outcome);

/// How far the VMs of a wave are; stored, so that a successor doesn't empty them again.
struct WaveProgress {
  std::uint64_t number = 0;
  std::set<VmId> rebooted;
  /// Operators have been told that it is under way.
  bool is_reported = false;
  /// They have been told that it is complete.
  bool is_complete = false;

  friend bool operator==(const WaveProgress&, const WaveProgress&) = default;
};

std::string EncodeWaveProgress(const WaveProgress& progress);
Result<WaveProgress> DecodeWaveProgress(std::string_view text);

/// What the planner wants done now.
struct UpkeepPlan {
  /// Endpoints that get no new work and are emptied.
  std::vector<std::string> evacuate;
  /// VMs that are empty and may go down now.
  std::vector<VmId> reboot;
  /// Endpoints of the wave that are still to go down: work that stays shouldn't move there.
  std::set<std::string> due;
  /// The reboots of all VMs of the wave have begun.
  bool is_complete = false;

  friend bool operator==(const UpkeepPlan&, const UpkeepPlan&) = default;
};

/// What the planner knows of a VM's endpoint.
struct EndpointLoad {
  bool is_empty = false;
  /// Its tasks have to be moved one after the other, which takes longest.
  bool has_long_running = false;
  /// Its zone gets no new work.
  bool is_cordoned = false;
  /// Part of its pool's cpu that is in use, 0 to 1.
  double pool_load = 0;
};

/// Chooses which VMs of a wave are emptied and rebooted next. Pure.
///
/// The load that it answers: VMs go down while queues reach their peaks. Emptying those of the
/// least loaded pools first, and only a part of each pool at once, leaves room where the peak is.
/// Those that are empty in a cordoned zone go before all others, as nobody misses them.
class UpkeepPlanner {
 public:
  /// VMs that can't be chosen now.
  struct UnavailableVms {
    /// Ordered to reboot and not known to be up again.
    std::set<VmId> down;
    /// On their way between pools.
    std::set<VmId> moving;
    /// Their reboot was refused a moment ago.
    std::set<VmId> refused;
  };
  static UpkeepPlan Plan(const Wave& wave, const WaveProgress& progress,
                         const std::vector<VmRecord>& vms, const UnavailableVms& absent,
                         const std::set<VmId>& evacuating,
                         const std::map<std::string, EndpointLoad>& loads);
};

}  // namespace chervilspar::jobs
