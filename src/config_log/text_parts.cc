#include "config_log/text_parts.h"

#include <algorithm>

namespace chervilspar::config_log {

namespace {

bool IsContinuationByte(char c) { return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U; }

}  // namespace

std::vector<std::string> SplitText(std::string_view text, std::size_t max_bytes) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    std::size_t size = std::min(max_bytes, text.size());
    while (size < text.size() && size > 1 && IsContinuationByte(text[size])) {
      --size;
    }
    parts.emplace_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return parts;
}

}  // namespace chervilspar::config_log
