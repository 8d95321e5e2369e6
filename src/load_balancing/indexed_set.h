#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/base/random.h"

namespace chervilspar::load_balancing {

/// A set of integers below a limit. Inserts, erases and samples an element in constant time.
class IndexedSet {
 public:
  void Resize(std::size_t limit) {
    this->items.clear();
    this->places.assign(limit, kAbsent);
  }

  bool IsEmpty() const { return this->items.empty(); }
  std::size_t Count() const { return this->items.size(); }
  const std::vector<std::uint32_t>& Items() const { return this->items; }

  void Insert(std::uint32_t item) {
    if (this->places[item] != kAbsent) {
      return;
    }
    this->places[item] = static_cast<std::uint32_t>(this->items.size());
    this->items.push_back(item);
  }

  void Erase(std::uint32_t item) {
    const std::uint32_t place = this->places[item];
    if (place == kAbsent) {
      return;
    }
    const std::uint32_t last = this->items.back();
    this->items[place] = last;
    this->places[last] = place;
    this->items.pop_back();
    this->places[item] = kAbsent;
  }

  std::uint32_t Sample(Random& random) const {
    return this->items[random.Below(this->items.size())];
  }

 private:
  static constexpr std::uint32_t kAbsent = 0xFFFFFFFF;

  std::vector<std::uint32_t> items;
  std::vector<std::uint32_t> places;
};

}  // namespace chervilspar::load_balancing
