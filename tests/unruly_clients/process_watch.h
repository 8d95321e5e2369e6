#pragma once

#include <atomic>
#include <cstddef>
#include <thread>

#include <sys/types.h>

namespace chervilspar::unruly_clients {

/// The most that a process has held.
struct ProcessPeak {
  std::size_t resident_bytes = 0;
  std::size_t descriptors = 0;

  friend bool operator==(const ProcessPeak&, const ProcessPeak&) = default;
};

/// Reads at short intervals what a process holds, on a thread of its own.
class ProcessWatch {
 public:
  explicit ProcessWatch(pid_t pid);
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;
  ~ProcessWatch();

  /// What has been seen so far; may be called at any time.
  ProcessPeak Peak() const;

 private:
  void Look();

  const pid_t pid;
  std::atomic<bool> is_over = false;
  std::atomic<std::size_t> resident_bytes = 0;
  std::atomic<std::size_t> descriptors = 0;
  std::thread thread;
};

}  // namespace chervilspar::unruly_clients
