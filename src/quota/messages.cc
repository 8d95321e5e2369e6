#include "chervilspar/quota/messages.h"

namespace chervilspar::quota {

bool LendingMessage::IsEmpty() const {
  return this->requests.empty() && this->grants.empty() && this->returns.empty() &&
         this->returns_seen.empty();
}

}  // namespace chervilspar::quota
