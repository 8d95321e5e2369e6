#pragma once

#include <string>
#include <vector>

namespace chervilspar::soak {

/// A record that another writer has left among the registrations of endpoints.
struct OddEntry {
  const char* name;
  std::string key;
  std::string value;
};

/// Records that are deeply nested, have a number that is too large or negative, a port out of range
/// or a key that can't be an id.
std::vector<OddEntry> OddEntries();

}  // namespace chervilspar::soak
