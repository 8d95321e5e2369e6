#pragma once

#include <string>
#include <vector>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// What became of a write under a token.
enum class FencedWrite {
  kStored,
  /// Another owner has taken over; nothing more can be written.
  kSuperseded,
  /// Given up, as told to by the caller.
  kStopped,
};

/// Writes the progress of jobs under one owner's token, each append until it is settled.
///
/// What can go wrong: an append whose answer was lost is sent again as a new one and both take
/// effect, or a predecessor's append takes effect after the successor has read the state. The
/// store numbers the appends of a writer and refuses lower tokens, so that the first gives the
/// same answer twice and the second is refused.
class ProgressWriter {
 public:
  ProgressWriter(const Context& context, std::uint64_t token);

  /// Announces the token: from now on no predecessor can write.
  boost::asio::awaitable<FencedWrite> Announce(const bool& is_stopped);
  /// Tries until it is stored, or until `is_stopped` becomes true.
  boost::asio::awaitable<FencedWrite> Write(std::vector<KeyedRecord> records,
                                            const bool& is_stopped);
  /// At this time nobody had announced a higher token.
  TimePoint LastProof() const { return this->last_proof; }

 private:
  Context context;
  std::uint64_t token;
  std::uint64_t sequence = 0;
  TimePoint last_proof;
};

}  // namespace chervilspar::job_entry
