#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chervilspar/base/socket_address.h"
#include "chervilspar/base/time.h"
#include "chervilspar/http/client.h"

namespace chervilspar::http {

/// Idle connections by address, and the count of all that are open, bounded for each address.
/// Safe to use from several threads.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /// One of the connections to an address, from dialling until it is closed or given back.
  class Lease {
   public:
    Lease(std::shared_ptr<ConnectionPool> pool, SocketAddress address, Socket socket);
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    /// Closes the connection unless it was given back.
    ~Lease();

    Socket socket;
    /// Whether it was idle before, and thus is connected.
    bool is_reused = false;

    /// Makes the connection available to the next request. Only after a whole answer, with nothing
    /// left over.
    void GiveBack();

   private:
    std::shared_ptr<ConnectionPool> pool;
    SocketAddress address;
    bool is_given_back = false;
  };

  explicit ConnectionPool(const ClientLimits& limits) : limits(limits) {}

  /// An idle connection of the given executor, if there is a usable one, or an unconnected socket;
  /// null when as many as allowed are busy. A connection never passes from one executor to another:
  /// a coroutine of one thread would then hold a socket of another's io_context, which may be gone
  /// before it when the process ends.
  std::unique_ptr<Lease> Acquire(const SocketAddress& address,
                                 const boost::asio::any_io_executor& executor);
  void CloseIdle(const SocketAddress& address);
  void CloseStale();
  /// Closes idle connections and those that are given back later.
  void Shut();
  std::size_t ConnectionCount() const;

 private:
  struct Idle {
    Socket socket;
    TimePoint since;
  };
  struct PerAddress {
    std::vector<Idle> idle;
    /// Idle and leased connections.
    std::size_t open = 0;
  };
  /// The addresses whose hash falls here, under one lock, so that threads which dial different
  /// endpoints don't wait for each other.
  struct Shard {
    mutable std::mutex mutex;
    std::map<SocketAddress, PerAddress> addresses;
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(const SocketAddress& address);
  /// The idle connection to look at next, out of the pool but still counted.
  static std::optional<Idle> PopIdle(PerAddress& entry,
                                     const boost::asio::any_io_executor& executor);
  std::unique_ptr<Lease> AcquireIdle(const SocketAddress& address,
                                     const boost::asio::any_io_executor& executor);
  void Return(const SocketAddress& address, Socket socket);
  void Forget(const SocketAddress& address);

  ClientLimits limits;
  SystemClock clock;
  std::array<Shard, kShards> shards;
  std::atomic<bool> is_shut = false;
};

}  // namespace chervilspar::http
