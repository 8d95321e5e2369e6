#include "chervilspar/job_entry/links.h"

namespace chervilspar::job_entry {

CallerAction ActionOf(std::string_view method, bool has_id) {
  if (method == "GET") {
    return has_id ? CallerAction::kFind : CallerAction::kCountPending;
  }
  if (method == "POST") {
    return CallerAction::kSubmit;
  }
  return method == "DELETE" ? CallerAction::kCancel : CallerAction::kUnknown;
}

}  // namespace chervilspar::job_entry
