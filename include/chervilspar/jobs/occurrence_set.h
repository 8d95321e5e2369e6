#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <vector>

namespace chervilspar::jobs {

/// A set of occurrence numbers that takes memory by its gaps instead of its size.
///
/// A job may repeat for years. Its complete occurrences form one range, with gaps only where others
/// are still open, while a list of them would grow without limit.
class OccurrenceSet {
 public:
  OccurrenceSet() = default;
  OccurrenceSet(std::initializer_list<std::uint32_t> numbers);

  void Insert(std::uint32_t number) { this->InsertRange(number, std::uint64_t{number} + 1); }
  /// Inserts the numbers from `begin` up to and excluding `end`, which is at most 2^32.
  void InsertRange(std::uint64_t begin, std::uint64_t end);
  bool Contains(std::uint32_t number) const;
  std::uint64_t Size() const { return this->size; }
  /// The smallest number that isn't in the set.
  std::uint64_t FirstGap() const;
  /// Maps the first number of each range to the number after its last. There is a gap between any
  /// two ranges.
  const std::map<std::uint64_t, std::uint64_t>& Ranges() const { return this->ranges; }
  std::vector<std::uint32_t> ListAll() const;

  friend bool operator==(const OccurrenceSet&, const OccurrenceSet&) = default;

 private:
  std::map<std::uint64_t, std::uint64_t> ranges;
  std::uint64_t size = 0;
};

}  // namespace chervilspar::jobs
