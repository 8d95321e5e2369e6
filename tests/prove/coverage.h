#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/prove/fault.h"

namespace chervilspar::prove {

/// How often each fault, each pair of faults at the same time, and each refusal of a guard came up.
class Coverage {
 public:
  void CountFaults(const std::vector<Fault>& faults);
  void Count(const std::string& what, std::uint64_t times = 1) { this->counts[what] += times; }
  void Print() const;

 private:
  std::map<FaultKind, std::uint64_t> faults;
  std::map<std::pair<FaultKind, FaultKind>, std::uint64_t> pairs;
  std::map<std::string, std::uint64_t> counts;
};

}  // namespace chervilspar::prove
