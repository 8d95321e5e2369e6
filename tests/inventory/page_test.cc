#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "chervilspar/inventory/document.h"

namespace chervilspar::inventory {
namespace {

/// A document in which each kind of object has a field that isn't known; the faults list all fields
/// that are.
constexpr const char* kUnknownEverywhere = R"({"schema_version":1,"x":1,
    "zones":[{"id":"a","x":1}],"services":[{"id":"s","x":1}],
    "pools":[{"id":"p","service":"s","min_available":0,"x":1}],"vms":[{"x":1}],
    "teams":[{"x":1}],"entries":[{"x":1}],
    "move":{"leave_site":"s","date":"2030-03-31T18:00:00Z","targets":[{"vm":"v","x":1}],"x":1},
    "maintenance":{"x":1,"weights":{"x":1}},"service_rules":{"x":1}})";

// A field is added to the program and the operators' page keeps quiet about it, or a field is
// renamed and the page goes on naming the old one; operators then publish what is refused.
TEST(InventoryPageTest, NamesEveryField) {
  std::ifstream file(std::string(CHERVILSPAR_SOURCE_DIR) + "/docs/INVENTORY.md");
  const std::string page((std::istreambuf_iterator<char>(file)), {});
  constexpr std::string_view kListed = "unknown field; the fields here are ";
  std::size_t fields = 0;
  std::size_t objects = 0;
  for (const Reason& fault : ParseAll(kUnknownEverywhere).faults) {
    if (!fault.message.starts_with(kListed)) {
      continue;
    }
    ++objects;
    std::istringstream names(fault.message.substr(kListed.size()));
    std::string name;
    while (std::getline(names, name, ',')) {
      name.erase(0, name.find_first_not_of(' '));
      EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
      ++fields;
    }
  }
  EXPECT_EQ(objects, 12U);
  EXPECT_GT(fields, 40U);
}

}  // namespace
}  // namespace chervilspar::inventory
