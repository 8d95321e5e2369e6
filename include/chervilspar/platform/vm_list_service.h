#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace chervilspar::platform {

/// State of a VM as the platform reports it, from best to worst. The VM list contains only live and
/// leaving VMs.
enum class VmState { kLive, kLeaving, kRebooting, kFailed };

/// Returns the lower-case name used on the wire.
const char* ToString(VmState state);

/// A VM of the VM list.
struct ListedVm {
  VmId vm;
  VmState state = VmState::kLive;
  /// "ip:port" of the endpoint.
  std::string address;

  friend bool operator==(const ListedVm&, const ListedVm&) = default;
};

/// The platform's list of VMs. It lags behind the actual state; VMs that no longer exist are not in
/// it.
struct VmList {
  /// Increases with each change that the platform has observed.
  std::int64_t sequence = 0;
  /// When the platform observed the VMs.
  WallTime as_of;
  std::vector<ListedVm> vms;

  friend bool operator==(const VmList&, const VmList&) = default;
};

/// The platform's description of one VM.
struct VmDescription {
  VmId vm;
  VmState state = VmState::kLive;
  /// Number of boots since the VM was created.
  std::int64_t boot = 0;
  /// The last reboot step that was executed; empty if there was none.
  StepId last_step;

  friend bool operator==(const VmDescription&, const VmDescription&) = default;
};

/// The platform's VM list and its operations on VMs. Calls block, at most until their timeout.
/// Thread-safe.
class VmListService {
 public:
  virtual ~VmListService() = default;
  virtual Result<VmList> List(Duration timeout) = 0;
  /// Requests a reboot under a step id. The platform executes each id once, so the request may be
  /// repeated after a lost answer.
  virtual Status Reboot(const VmId& vm, const StepId& step, Duration timeout) = 0;
  virtual Result<VmDescription> Describe(const VmId& vm, Duration timeout) = 0;
};

}  // namespace chervilspar::platform
