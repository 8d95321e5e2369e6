#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

const char* ToString(VmState state) {
  switch (state) {
    case VmState::kLive:
      return "live";
    case VmState::kLeaving:
      return "leaving";
    case VmState::kRebooting:
      return "rebooting";
    case VmState::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace chervilspar::platform
