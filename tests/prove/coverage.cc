#include "tests/prove/coverage.h"

#include <algorithm>
#include <cstdio>

namespace chervilspar::prove {

namespace {

/// What happens in a moment counts as together with what happens this much later.
constexpr std::uint32_t kAfterEffectMs = 2000;

bool AreTogether(const Fault& left, const Fault& right) {
  const std::uint32_t left_end = left.at_ms + std::max(left.lasts_ms, kAfterEffectMs);
  const std::uint32_t right_end = right.at_ms + std::max(right.lasts_ms, kAfterEffectMs);
  return left.at_ms < right_end && right.at_ms < left_end;
}

}  // namespace

void Coverage::CountFaults(const std::vector<Fault>& faults) {
  for (std::size_t at = 0; at < faults.size(); ++at) {
    ++this->faults[faults[at].kind];
    for (std::size_t other = at + 1; other < faults.size(); ++other) {
      if (AreTogether(faults[at], faults[other])) {
        ++this->pairs[std::minmax(faults[at].kind, faults[other].kind)];
      }
    }
  }
}

void Coverage::Print() const {
  std::printf("faults (times), and times together with each fault in the order of the rows:\n");
  for (std::size_t row = 0; row < kFaultKinds; ++row) {
    const auto kind = static_cast<FaultKind>(row);
    const auto count = this->faults.find(kind);
    std::printf("  %-17s %7llu |", ToString(kind),
                static_cast<unsigned long long>(count == this->faults.end() ? 0 : count->second));
    for (std::size_t column = 0; column < kFaultKinds; ++column) {
      const auto found = this->pairs.find(std::minmax(kind, static_cast<FaultKind>(column)));
      std::printf(" %6llu",
                  static_cast<unsigned long long>(found == this->pairs.end() ? 0 : found->second));
    }
    std::printf("\n");
  }
  std::printf("what happened (times):\n");
  for (const auto& [what, times] : this->counts) {
    std::printf("  %-45s %10llu\n", what.c_str(), static_cast<unsigned long long>(times));
  }
}

}  // namespace chervilspar::prove
