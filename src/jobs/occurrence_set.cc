#include "chervilspar/jobs/occurrence_set.h"

#include <algorithm>
#include <iterator>

namespace chervilspar::jobs {

OccurrenceSet::OccurrenceSet(std::initializer_list<std::uint32_t> numbers) {
  for (const std::uint32_t number : numbers) {
    this->Insert(number);
  }
}

void OccurrenceSet::InsertRange(std::uint64_t begin, std::uint64_t end) {
  if (begin >= end) {
    return;
  }
  auto next = this->ranges.upper_bound(begin);
  if (next != this->ranges.begin() && std::prev(next)->second >= begin) {
    --next;
  }
  while (next != this->ranges.end() && next->first <= end) {
    begin = std::min(begin, next->first);
    end = std::max(end, next->second);
    this->size -= next->second - next->first;
    next = this->ranges.erase(next);
  }
  this->ranges.emplace(begin, end);
  this->size += end - begin;
}

bool OccurrenceSet::Contains(std::uint32_t number) const {
  const auto next = this->ranges.upper_bound(number);
  return next != this->ranges.begin() && std::prev(next)->second > number;
}

std::uint64_t OccurrenceSet::FirstGap() const {
  const bool has_zero = !this->ranges.empty() && this->ranges.begin()->first == 0;
  return has_zero ? this->ranges.begin()->second : 0;
}

std::vector<std::uint32_t> OccurrenceSet::ListAll() const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [begin, end] : this->ranges) {
    for (std::uint64_t number = begin; number < end; ++number) {
      numbers.push_back(static_cast<std::uint32_t>(number));
    }
  }
  return numbers;
}

}  // namespace chervilspar::jobs
