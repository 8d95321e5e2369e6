#include "cli/text_table.h"

#include <algorithm>

namespace chervilspar::cli {

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t i = 0; i < std::min(row.size(), widths.size()); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const std::vector<std::string>& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line += std::string(widths[i] - row[i].size() + 2, ' ');
      }
    }
    out << line << "\n";
  }
}

}  // namespace chervilspar::cli
