#include "connection_pool.h"

#include <algorithm>
#include <array>

#include "chervilspar/base/assert.h"

namespace chervilspar::http {

namespace asio = boost::asio;

namespace {

/// Whether an idle connection is open and nothing has arrived on it.
///
/// What can go wrong: the endpoint closed the connection while it was idle, the request is written
/// into nothing, and "may have run" is all that can be said of it. A look at the socket first
/// finds almost all of these.
bool IsQuiet(ConnectionPool::Socket& socket) {
  std::array<char, 1> byte{};
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

ConnectionPool::Lease::Lease(std::shared_ptr<ConnectionPool> pool, SocketAddress address,
                             Socket socket)
    : socket(std::move(socket)), pool(std::move(pool)), address(std::move(address)) {}

ConnectionPool::Lease::~Lease() {
  if (!this->is_given_back) {
    this->pool->Forget(this->address);
  }
}

void ConnectionPool::Lease::GiveBack() {
  CHERVILSPAR_ASSERT(!this->is_given_back);
  this->is_given_back = true;
  this->pool->Return(this->address, std::move(this->socket));
}

std::unique_ptr<ConnectionPool::Lease> ConnectionPool::Acquire(
    const SocketAddress& address, const asio::any_io_executor& executor) {
  const std::lock_guard lock(this->mutex);
  PerAddress& entry = this->addresses[address];
  if (std::optional<Socket> idle = this->TakeIdle(entry, executor)) {
    auto lease = std::make_unique<Lease>(this->shared_from_this(), address, std::move(*idle));
    lease->is_reused = true;
    return lease;
  }
  if (entry.open >= this->limits.connections_per_address) {
    return nullptr;
  }
  ++entry.open;
  return std::make_unique<Lease>(this->shared_from_this(), address, Socket(executor));
}

std::optional<ConnectionPool::Socket> ConnectionPool::TakeIdle(
    PerAddress& entry, const asio::any_io_executor& executor) {
  const TimePoint oldest = this->clock.Now() - this->limits.idle_timeout;
  while (!entry.idle.empty()) {
    // The one used last is the least likely to be stale.
    auto found = std::find_if(entry.idle.rbegin(), entry.idle.rend(), [&](const Idle& idle) {
      return const_cast<Idle&>(idle).socket.get_executor() == executor;
    });
    const auto chosen =
        found == entry.idle.rend() ? std::prev(entry.idle.end()) : std::prev(found.base());
    Idle idle = std::move(*chosen);
    entry.idle.erase(chosen);
    if (idle.since >= oldest && IsQuiet(idle.socket)) {
      return std::move(idle.socket);
    }
    --entry.open;
  }
  return std::nullopt;
}

void ConnectionPool::Return(const SocketAddress& address, Socket socket) {
  const std::lock_guard lock(this->mutex);
  PerAddress& entry = this->addresses[address];
  CHERVILSPAR_ASSERT(entry.open > 0);
  if (this->is_shut) {
    --entry.open;
    return;
  }
  entry.idle.push_back({std::move(socket), this->clock.Now()});
}

void ConnectionPool::Forget(const SocketAddress& address) {
  const std::lock_guard lock(this->mutex);
  PerAddress& entry = this->addresses[address];
  CHERVILSPAR_ASSERT(entry.open > 0);
  --entry.open;
}

void ConnectionPool::CloseStale() {
  const std::lock_guard lock(this->mutex);
  const TimePoint oldest = this->clock.Now() - this->limits.idle_timeout;
  for (auto entry = this->addresses.begin(); entry != this->addresses.end();) {
    entry->second.open -=
        std::erase_if(entry->second.idle, [&](const Idle& idle) { return idle.since < oldest; });
    entry = entry->second.open == 0 ? this->addresses.erase(entry) : std::next(entry);
  }
}

void ConnectionPool::Shut() {
  const std::lock_guard lock(this->mutex);
  this->is_shut = true;
  for (auto& [address, entry] : this->addresses) {
    entry.open -= entry.idle.size();
    entry.idle.clear();
  }
}

std::size_t ConnectionPool::ConnectionCount() const {
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [address, entry] : this->addresses) {
    count += entry.open;
  }
  return count;
}

}  // namespace chervilspar::http
