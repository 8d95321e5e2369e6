#include "tests/unruly_clients/process_watch.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

namespace chervilspar::unruly_clients {

namespace {

constexpr std::chrono::milliseconds kLookInterval(20);

std::size_t ResidentBytesOf(const std::string& folder) {
  std::ifstream file(folder + "/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t DescriptorsOf(const std::string& folder) {
  std::error_code error;
  std::size_t count = 0;
  std::filesystem::directory_iterator entry(folder + "/fd", error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(error);
  }
  return count;
}

}  // namespace

ProcessWatch::ProcessWatch(pid_t pid) : pid(pid), thread([this] { this->Look(); }) {}

ProcessWatch::~ProcessWatch() {
  this->is_over = true;
  this->thread.join();
}

ProcessPeak ProcessWatch::Peak() const { return {this->resident_bytes, this->descriptors}; }

void ProcessWatch::Look() {
  const std::string folder = "/proc/" + std::to_string(this->pid);
  while (!this->is_over) {
    this->resident_bytes = std::max(this->resident_bytes.load(), ResidentBytesOf(folder));
    this->descriptors = std::max(this->descriptors.load(), DescriptorsOf(folder));
    std::this_thread::sleep_for(kLookInterval);
  }
}

}  // namespace chervilspar::unruly_clients
