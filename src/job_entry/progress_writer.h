#pragma once

#include <string>
#include <vector>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// The outcome of a write under a token.
enum class FencedWrite {
  kStored,
  /// Another owner has taken over; no further write can succeed.
  kSuperseded,
  /// Nothing was stored, and the store will never accept these records.
  kRejected,
  /// Abandoned, as the caller has stopped it.
  kStopped,
};

/// Writes the progress of jobs under one owner's token, and retries each append until its outcome
/// is known.
///
/// An append whose response was lost must not take effect twice, and a predecessor's append must
/// not take effect after its successor has read the state. The store numbers the appends of a
/// writer and refuses lower tokens: a repeated append gets the same response as the first, and a
/// predecessor's append is refused.
class ProgressWriter {
 public:
  ProgressWriter(const Context& context, std::uint64_t token);

  /// Announces the token: from then on, the store refuses the writes of predecessors.
  boost::asio::awaitable<FencedWrite> Announce(const bool& is_stopped);
  /// Retries until the records are stored or rejected, the token is superseded, or `is_stopped`
  /// becomes true. `records` must outlive the call.
  boost::asio::awaitable<FencedWrite> Write(const std::vector<KeyedRecord>& records,
                                            const bool& is_stopped);
  /// The latest time at which there was certainly no higher token.
  TimePoint LastProof() const { return this->last_proof; }

 private:
  Context context;
  std::uint64_t token;
  std::uint64_t sequence = 0;
  TimePoint last_proof;
};

}  // namespace chervilspar::job_entry
