#include "tests/soak/odd_entries.h"

namespace chervilspar::soak {

namespace {

std::string Registration(const std::string& address, const std::string& cpu,
                         const std::string& born, const std::string& further = "") {
  return R"({"service":"desk","zone":"z","phase":"ready","address":")" + address + R"(","born":)" +
         born + R"(,"capacity":{"cpu":)" + cpu + R"(,"mem_mb":64000},)" +
         R"("labels":["kind","rack"])" + further + "}";
}

}  // namespace

std::vector<OddEntry> OddEntries() {
  const std::string nested = std::string(100000, '[') + std::string(100000, ']');
  return {
      {"nested", "odd-1", Registration("127.0.0.1:9", "8000", "1", ",\"a\":" + nested)},
      {"nested_and_cut", "odd-2", "{\"a\":" + std::string(200000, '[')},
      {"large_capacity", "odd-3", Registration("127.0.0.1:9", "9223372036854775807", "1")},
      {"larger_capacity", "odd-4", Registration("127.0.0.1:9", "1e999", "1")},
      {"negative_capacity", "odd-5", Registration("127.0.0.1:9", "-9223372036854775808", "1")},
      {"large_date", "odd-6", Registration("127.0.0.1:9", "8000", "9223372036854775807")},
      {"port_out_of_range", "odd-7", Registration("127.0.0.1:65536", "8000", "1")},
      {"port_0", "odd-8", Registration("127.0.0.1:0", "8000", "1")},
      {"address_of_bytes", "odd-9", Registration("\xff\xfe:80", "8000", "1")},
      {"no_key", "", Registration("127.0.0.1:9", "8000", "1")},
      {"key_with_line_break", "odd\r\nX: y", Registration("127.0.0.1:9", "8000", "1")},
      {"bytes", "odd-10", std::string("\x00\xff\x7f", 3)},
      {"another_type", "odd-11", "[1,2,3]"},
  };
}

}  // namespace chervilspar::soak
