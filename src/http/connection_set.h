#pragma once

#include <condition_variable>
#include <mutex>
#include <unordered_set>

#include "chervilspar/base/time.h"

namespace chervilspar::http {

class Connection;

/// Counts a server's connections over all its threads, and knows whether more can come.
class ConnectionCounter {
 public:
  void SetListening(bool listening);
  /// Takes a place if there are fewer than `limit`.
  bool TryAdd(std::size_t limit);
  void Remove();
  std::size_t Count() const;
  /// Blocks until the server no longer listens and the count is zero; false after `timeout`.
  bool WaitForZero(Duration timeout);

 private:
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::size_t count = 0;
  bool is_listening = false;
};

/// The open connections of one thread; used on that thread only. Its owner sweeps it at intervals,
/// which is far cheaper than one timer for each connection and phase, and exact enough for
/// timeouts of seconds.
class ConnectionSet {
 public:
  void Add(Connection* connection) { this->connections.insert(connection); }
  void Remove(Connection* connection) { this->connections.erase(connection); }
  bool IsEmpty() const { return this->connections.empty(); }

  void CloseOverdue(TimePoint now);
  void HastenIdle(TimePoint deadline);
  void CloseAll();

 private:
  std::unordered_set<Connection*> connections;
};

}  // namespace chervilspar::http
