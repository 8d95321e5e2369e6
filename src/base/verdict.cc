#include "chervilspar/base/verdict.h"

#include "chervilspar/base/assert.h"

namespace chervilspar {

const char* ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kCompleted:
      return "completed";
  }
  return "may-have-run";
}

void VerdictTracker::OnBeforeWrite() {
  CHERVILSPAR_ASSERT(this->verdict == Verdict::kNotRun);
  this->verdict = Verdict::kMayHaveRun;
}

void VerdictTracker::OnRefusedByEndpoint() {
  CHERVILSPAR_ASSERT(this->verdict == Verdict::kMayHaveRun);
  this->verdict = Verdict::kNotRun;
}

void VerdictTracker::OnWholeAnswer() {
  CHERVILSPAR_ASSERT(this->verdict == Verdict::kMayHaveRun);
  this->verdict = Verdict::kCompleted;
}

}  // namespace chervilspar
