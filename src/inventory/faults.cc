#include "inventory/faults.h"

namespace chervilspar::inventory {

std::string Child(std::string_view pointer, std::string_view name) {
  std::string result(pointer);
  result += '/';
  for (const char c : name) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

std::string Child(std::string_view pointer, std::size_t index) {
  return std::string(pointer) + '/' + std::to_string(index);
}

}  // namespace chervilspar::inventory
