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

/// A VM as it appears in the platform's VM list.
struct VmRecord {
  VmId id;
  ServiceId pool;
  VmPhase phase = VmPhase::kDown;
  ZoneId zone;
  std::string rack;
  Resources capacity;
  /// The endpoint that runs on the VM; empty if there is none.
  std::string endpoint;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

/// An operators' request to reboot each of these VMs by a deadline, at most `max_down` at once.
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
  /// Carried out, either now or by an earlier order.
  kDone,
  kTokenTooLow,
  /// The VM is not up, or is leaving.
  kBusy,
  /// The wave doesn't include the VM, or the VM or pool doesn't exist.
  kNotAllowed,
  /// Rejected by a rate limit; nothing was done.
  kRateLimited,
  /// The order wasn't sent; nothing was done.
  kNotSent,
  /// The order may have been carried out, or may be carried out later.
  kNoAnswer,
};

const char* ToString(VmOrderOutcome outcome);

/// The progress of a wave; stored, so that the next owner doesn't evacuate the same VMs again.
struct WaveProgress {
  std::uint64_t number = 0;
  std::set<VmId> rebooted;
  /// VMs whose reboot has been or will be ordered, and whose reboot is not known to have begun. An
  /// order without an answer may be executed seconds later, also under the next owner.
  std::set<VmId> ordered;
  /// The endpoints on these VMs, as far as known. They get no work until the outcome is known.
  std::map<VmId, std::string> closed;
  /// The start of the wave has been reported to the operators.
  bool is_reported = false;
  /// The completion of the wave has been reported to the operators.
  bool is_complete = false;

  friend bool operator==(const WaveProgress&, const WaveProgress&) = default;
};

std::string EncodeWaveProgress(const WaveProgress& progress);
/// Fails with `ErrorCode::kMalformed` if the record can't be decoded.
Result<WaveProgress> DecodeWaveProgress(std::string_view text);

/// The evacuations and reboots that are due now.
struct UpkeepPlan {
  /// Endpoints to evacuate: they get no new work, and their work is moved away.
  std::vector<std::string> evacuate;
  /// Empty VMs that may be rebooted now.
  std::vector<VmId> reboot;
  /// Endpoints of the wave whose VMs are still to be rebooted; evacuated work shouldn't move there.
  std::set<std::string> due;
  /// The reboots of all VMs of the wave have started.
  bool is_complete = false;

  friend bool operator==(const UpkeepPlan&, const UpkeepPlan&) = default;
};

/// The planner's view of an endpoint on a VM.
struct EndpointLoad {
  bool is_empty = false;
  /// The endpoint runs long-running tasks, which are moved one at a time and take longest.
  bool has_long_running = false;
  /// The endpoint's zone gets no new work.
  bool is_cordoned = false;
  /// The fraction of its pool's cpu that is in use, 0 to 1.
  double pool_load = 0;
};

/// Selects the VMs of a wave that are evacuated and rebooted next. Has no state.
///
/// Waves may coincide with peaks of the queues. Evacuating the VMs of the least loaded pools first,
/// and only a part of each pool at once, preserves capacity in the pools with a peak. Empty VMs in
/// a cordoned zone precede all others because they serve no work.
class UpkeepPlanner {
 public:
  /// VMs that can't be selected now.
  struct UnavailableVms {
    /// Ordered to reboot, and not known to be up again.
    std::set<VmId> down;
    /// Being moved between pools.
    std::set<VmId> moving;
    /// Their reboot was rejected recently.
    std::set<VmId> refused;
  };
  /// `evacuating`: the VMs that earlier plans evacuate. `loads`: by endpoint.
  static UpkeepPlan Plan(const Wave& wave, const WaveProgress& progress,
                         const std::vector<VmRecord>& vms, const UnavailableVms& unavailable,
                         const std::set<VmId>& evacuating,
                         const std::map<std::string, EndpointLoad>& loads);
};

}  // namespace chervilspar::jobs
