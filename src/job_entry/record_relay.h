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

/// What is known about whether a record was stored.
enum class WriteVerdict {
  kStored,
  /// Nothing was written, and nothing will be.
  kNotStored,
  /// The same, and no later attempt can succeed.
  kRejected,
  /// It may be stored, now or later.
  kMayBeStored,
};

/// Asks another entry to write records of jobs.
class RecordRelay {
 public:
  virtual ~RecordRelay() = default;

  /// Used when this entry's own append failed. Also `kNotStored` when no other entry could be
  /// reached.
  virtual boost::asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                                      std::vector<KeyedRecord> records) = 0;
  /// Used while the store takes few appends. Sends the records to the gathering entry of the
  /// partition, which writes those of all entries in few large appends.
  virtual boost::asio::awaitable<WriteVerdict> Gather(std::uint32_t partition,
                                                      std::vector<KeyedRecord> records) = 0;
};

/// Asks the owner first, which usually has a connection to the store, then the seed peers in turn.
/// The partitions to gather for are divided among the seed peers other than the owner, which has
/// other work.
class PeerRelay final : public RecordRelay {
 public:
  PeerRelay(const Context& context, const OwnerDirectory& directory, http::Client& client);

  boost::asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                              std::vector<KeyedRecord> records) override;
  boost::asio::awaitable<WriteVerdict> Gather(std::uint32_t partition,
                                              std::vector<KeyedRecord> records) override;

 private:
  /// The addresses to ask, in this order.
  std::vector<SocketAddress> Peers() const;
  /// The address of the gathering entry; nothing when that is this entry, or when the owner is the
  /// only seed peer.
  std::optional<SocketAddress> GathererOf(std::uint32_t partition) const;
  boost::asio::awaitable<WriteVerdict> Ask(SocketAddress peer, std::string body, Duration timeout);

  const Context context;
  const OwnerDirectory& directory;
  http::Client& client;
  /// Selects the seed peer that is asked first after the owner; increased after each failure.
  std::size_t next_seed = 0;
  /// Shifts the assignment of partitions to gathering entries; increased after each failure.
  std::size_t next_gatherer = 0;
};

/// The serving side of the relay: writes records for other entries.
///
///     POST /v1/records   {"partition":3,"records":[["KEY","VALUE"],...]}
///                        200 stored, 503 not stored, 504 may be stored, 400 malformed
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
