// Writes record.txt: what was sent, answered and run, with milliseconds since the start.
#pragma once

#include <chrono>
#include <cstdio>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {}
  ~Record() { std::fclose(this->file); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  long Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 this->begin)
        .count();
  }
  void Line(const std::string& text) {
    std::fprintf(this->file, "%7ld %s\n", this->Now(), text.c_str());
    std::fflush(this->file);
  }
  /// Notes that a rule was broken.
  void Break(const std::string& rule, const std::string& text) {
    this->Line("BROKEN " + rule + ": " + text);
    ++this->breaks;
  }

  int breaks = 0;

 private:
  const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  std::FILE* file;
};

}  // namespace review
