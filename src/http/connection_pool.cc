#include "connection_pool.h"

#include <algorithm>
#include <array>

#include "chervilspar/base/assert.h"
#include "chervilspar/base/hash.h"

namespace chervilspar::http {

namespace asio = boost::asio;

namespace {

/// Whether an idle connection is open and nothing has arrived on it.
///
/// A request that is written to a connection which the endpoint has closed meanwhile may have run,
/// as far as this side can tell. A look at the socket beforehand finds almost all such
/// connections.
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

ConnectionPool::Shard& ConnectionPool::ShardOf(const SocketAddress& address) {
  return this->shards[StableHash(address.ip, address.port) % kShards];
}

std::unique_ptr<ConnectionPool::Lease> ConnectionPool::Acquire(
    const SocketAddress& address, const asio::any_io_executor& executor) {
  if (std::unique_ptr<Lease> idle = this->AcquireIdle(address, executor)) {
    return idle;
  }
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  PerAddress& entry = shard.addresses[address];
  if (entry.open >= this->limits.connections_per_address && !entry.idle.empty()) {
    // All idle ones belong to other threads; the one longest unused makes room.
    entry.idle.erase(entry.idle.begin());
    --entry.open;
  }
  if (entry.open >= this->limits.connections_per_address) {
    return nullptr;
  }
  ++entry.open;
  return std::make_unique<Lease>(this->shared_from_this(), address, Socket(executor));
}

std::unique_ptr<ConnectionPool::Lease> ConnectionPool::AcquireIdle(
    const SocketAddress& address, const asio::any_io_executor& executor) {
  const TimePoint oldest = this->clock.Now() - this->limits.idle_timeout;
  Shard& shard = this->ShardOf(address);
  while (true) {
    std::optional<Idle> idle;
    {
      const std::lock_guard lock(shard.mutex);
      idle = PopIdle(shard.addresses[address], executor);
    }
    if (!idle) {
      return nullptr;
    }
    // An unusable one is closed and no longer counted when its lease ends.
    auto lease =
        std::make_unique<Lease>(this->shared_from_this(), address, std::move(idle->socket));
    if (idle->since >= oldest && IsQuiet(lease->socket)) {
      lease->is_reused = true;
      return lease;
    }
  }
}

std::optional<ConnectionPool::Idle> ConnectionPool::PopIdle(PerAddress& entry,
                                                            const asio::any_io_executor& executor) {
  // The one used last is the least likely to be stale.
  const auto own = std::find_if(entry.idle.rbegin(), entry.idle.rend(),
                                [&](Idle& idle) { return idle.socket.get_executor() == executor; });
  if (own == entry.idle.rend()) {
    return std::nullopt;
  }
  const auto chosen = std::prev(own.base());
  Idle idle = std::move(*chosen);
  entry.idle.erase(chosen);
  return idle;
}

void ConnectionPool::Return(const SocketAddress& address, Socket socket) {
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  PerAddress& entry = shard.addresses[address];
  CHERVILSPAR_ASSERT(entry.open > 0);
  if (this->is_shut) {
    --entry.open;
    return;
  }
  entry.idle.push_back({std::move(socket), this->clock.Now()});
}

void ConnectionPool::Forget(const SocketAddress& address) {
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  PerAddress& entry = shard.addresses[address];
  CHERVILSPAR_ASSERT(entry.open > 0);
  --entry.open;
}

void ConnectionPool::CloseIdle(const SocketAddress& address) {
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  const auto entry = shard.addresses.find(address);
  if (entry != shard.addresses.end()) {
    entry->second.open -= entry->second.idle.size();
    entry->second.idle.clear();
  }
}

void ConnectionPool::CloseStale() {
  const TimePoint oldest = this->clock.Now() - this->limits.idle_timeout;
  for (Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (auto entry = shard.addresses.begin(); entry != shard.addresses.end();) {
      entry->second.open -=
          std::erase_if(entry->second.idle, [&](const Idle& idle) { return idle.since < oldest; });
      entry = entry->second.open == 0 ? shard.addresses.erase(entry) : std::next(entry);
    }
  }
}

void ConnectionPool::Shut() {
  this->is_shut = true;
  for (Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [address, entry] : shard.addresses) {
      entry.open -= entry.idle.size();
      entry.idle.clear();
    }
  }
}

std::size_t ConnectionPool::ConnectionCount() const {
  std::size_t count = 0;
  for (const Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [address, entry] : shard.addresses) {
      count += entry.open;
    }
  }
  return count;
}

}  // namespace chervilspar::http
