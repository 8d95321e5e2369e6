#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chervilspar::jobs {

struct EndpointState;

/// The endpoints of a pool in the order of their free cpu, so that a task finds the one that it
/// fits best without a walk over the pool. Endpoints with the same free cpu keep their order in the
/// pool.
class FreeCpuIndex {
 public:
  struct Entry {
    /// In thousandths of a core; negative if the endpoint is overcommitted.
    std::int64_t free_cpu = 0;
    /// In the list of the pool's endpoints.
    std::size_t position = 0;

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  /// Reads the free cpu of all endpoints of a pool anew.
  void Rebuild(const std::vector<EndpointState*>& endpoints);
  /// Call when the free cpu of the endpoint at this position has changed from `former` to
  /// `current`.
  void Move(std::size_t position, std::int64_t former, std::int64_t current);

  /// Ascending.
  const std::vector<Entry>& Entries() const { return this->entries; }
  /// The number of entries with less free cpu than `cpu`; from that entry on all have enough.
  std::size_t FirstWith(std::int64_t cpu) const;

 private:
  std::vector<Entry> entries;
};

}  // namespace chervilspar::jobs
