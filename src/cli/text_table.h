#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace chervilspar::cli {

/// Prints rows under a heading, with columns as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> heading) { this->rows.push_back(std::move(heading)); }

  void Add(std::vector<std::string> row) { this->rows.push_back(std::move(row)); }
  bool IsEmpty() const { return this->rows.size() == 1; }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace chervilspar::cli
