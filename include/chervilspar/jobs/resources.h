#pragma once

#include <cstddef>
#include <cstdint>

namespace chervilspar::jobs {

/// Resources that a task requires, a VM has or a team's limit allows.
struct Resources {
  /// In thousandths of a core.
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  Resources operator+(const Resources& other) const;
  Resources operator-(const Resources& other) const;
  /// Returns true if `need` fits into this in every dimension.
  bool Fits(const Resources& need) const;
  /// Returns how many times `need` fits into this, up to `max_count`.
  std::size_t CountFitting(const Resources& need, std::size_t max_count) const;

  friend bool operator==(const Resources&, const Resources&) = default;
};

}  // namespace chervilspar::jobs
