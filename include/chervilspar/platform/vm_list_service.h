#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace chervilspar::platform {

/// State of a VM as the platform tells it. The list itself only knows live and leaving VMs.
enum class VmState { kLive, kLeaving, kRebooting, kFailed };

/// The lower-case name used on the wire.
const char* ToString(VmState state);

/// One line of the VM list.
struct ListedVm {
  VmId vm;
  VmState state = VmState::kLive;
  /// "ip:port" of the endpoint.
  std::string address;

  friend bool operator==(const ListedVm&, const ListedVm&) = default;
};

/// The platform's lagging list of VMs; a VM that is gone is not in it.
struct VmList {
  /// Grows with each change that the platform has seen.
  std::int64_t sequence = 0;
  /// When the platform looked.
  WallTime as_of;
  std::vector<ListedVm> vms;

  friend bool operator==(const VmList&, const VmList&) = default;
};

/// What the platform says of one VM.
struct VmDescription {
  VmId vm;
  VmState state = VmState::kLive;
  /// Boots since the VM was made.
  std::int64_t boot = 0;
  /// The last reboot step carried out; empty if none was.
  StepId last_step;

  friend bool operator==(const VmDescription&, const VmDescription&) = default;
};

/// The platform's VM list and the acts on VMs. Calls block; each ends within its timeout. Safe to
/// use from several threads.
class VmListService {
 public:
  virtual ~VmListService() = default;
  virtual Result<VmList> List(Duration timeout) = 0;
  /// Asks for a reboot under a step id; the platform carries each id out once, so repeating after
  /// a lost answer is harmless.
  virtual Status Reboot(const VmId& vm, const StepId& step, Duration timeout) = 0;
  virtual Result<VmDescription> Describe(const VmId& vm, Duration timeout) = 0;
};

}  // namespace chervilspar::platform
