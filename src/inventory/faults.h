#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/inventory/document.h"

namespace chervilspar::inventory {

/// Collects faults with their JSON pointers, up to `kMaxFaults`.
class Faults {
 public:
  void Add(std::string pointer, std::string message) {
    if (this->reasons.size() < kMaxFaults) {
      this->reasons.push_back(
          Reason{ErrorCode::kInvalidArgument, std::move(pointer), std::move(message)});
    }
  }

  bool IsEmpty() const { return this->reasons.empty(); }
  const std::vector<Reason>& All() const { return this->reasons; }

 private:
  std::vector<Reason> reasons;
};

/// `pointer` with one more step; the name is escaped as RFC 6901 wants it.
std::string Child(std::string_view pointer, std::string_view name);
std::string Child(std::string_view pointer, std::size_t index);

}  // namespace chervilspar::inventory
