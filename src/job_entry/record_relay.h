#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/http/client.h"
#include "chervilspar/http/server.h"

#include "job_entry/context.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

class RecordQueue;

/// What may be told to the caller whose record was to be stored.
enum class WriteVerdict {
  kStored,
  /// Nothing was written, and nothing will be.
  kNotStored,
  /// It may be stored, now or later.
  kMayBeStored,
};

/// Has records of jobs written by another entry.
class RecordRelay {
 public:
  virtual ~RecordRelay() = default;

  /// For an entry that can't write itself. `kNotStored` also when no other entry could be reached.
  virtual boost::asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                                      std::vector<KeyedRecord> records) = 0;
  /// While the store takes few appends: has the entry write that does so for all others that write
  /// to this partition, in few large appends.
  virtual boost::asio::awaitable<WriteVerdict> Gather(std::uint32_t partition,
                                                      std::vector<KeyedRecord> records) = 0;
};

/// Asks the owner, which reaches the store more often than not, then the seed peers in turn. The
/// seed peers share the partitions that they gather for, as the owner has other work.
class PeerRelay final : public RecordRelay {
 public:
  PeerRelay(const Context& context, const OwnerDirectory& directory, http::Client& client);

  boost::asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                              std::vector<KeyedRecord> records) override;
  boost::asio::awaitable<WriteVerdict> Gather(std::uint32_t partition,
                                              std::vector<KeyedRecord> records) override;

 private:
  /// Addresses to ask, in order.
  std::vector<SocketAddress> Peers() const;
  /// Nothing when that is this entry itself, or when there are no seed peers beside the owner.
  std::optional<SocketAddress> GathererOf(std::uint32_t partition) const;
  boost::asio::awaitable<WriteVerdict> Ask(SocketAddress peer, std::string body, Duration timeout);

  const Context context;
  const OwnerDirectory& directory;
  http::Client& client;
  /// Where the turn of the seed peers begins.
  std::size_t next_seed = 0;
  /// By how many places the partitions are moved among those that gather, after failures.
  std::size_t next_gatherer = 0;
};

/// The other side: writes what another entry can't.
///
///     POST /v1/records   {"partition":3,"records":[["KEY","VALUE"],...]}
///                        200 stored, 503 not stored, 504 may be stored, 400
class RelayHandler {
 public:
  explicit RelayHandler(const Context& context);

  static bool IsRelayRequest(const http::Request& request);
  boost::asio::awaitable<http::Response> Handle(http::Request request) const;

 private:
  const Context context;
  /// By partition.
  std::vector<std::shared_ptr<RecordQueue>> queues;
};

}  // namespace chervilspar::job_entry
