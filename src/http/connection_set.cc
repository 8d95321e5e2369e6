#include "connection_set.h"

#include "chervilspar/base/assert.h"

#include "connection.h"

namespace chervilspar::http {

void ConnectionCounter::SetListening(bool listening) {
  const std::lock_guard lock(this->mutex);
  this->is_listening = listening;
  this->changed.notify_all();
}

bool ConnectionCounter::TryAdd(std::size_t limit) {
  const std::lock_guard lock(this->mutex);
  if (this->count >= limit) {
    return false;
  }
  ++this->count;
  return true;
}

void ConnectionCounter::Remove() {
  const std::lock_guard lock(this->mutex);
  CHERVILSPAR_ASSERT(this->count > 0);
  if (--this->count == 0) {
    this->changed.notify_all();
  }
}

std::size_t ConnectionCounter::Count() const {
  const std::lock_guard lock(this->mutex);
  return this->count;
}

bool ConnectionCounter::WaitForZero(Duration timeout) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, timeout,
                                [this] { return this->count == 0 && !this->is_listening; });
}

void ConnectionSet::CloseOverdue(TimePoint now) {
  for (Connection* connection : this->connections) {
    connection->CloseIfOverdue(now);
  }
}

void ConnectionSet::HastenIdle(TimePoint deadline) {
  for (Connection* connection : this->connections) {
    connection->HastenIdle(deadline);
  }
}

void ConnectionSet::CloseAll() {
  for (Connection* connection : this->connections) {
    connection->Close();
  }
}

}  // namespace chervilspar::http
