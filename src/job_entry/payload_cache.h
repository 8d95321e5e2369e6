#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "chervilspar/jobs/job.h"

namespace chervilspar::job_entry {

/// The payloads of the jobs that this entry forwarded orders for, the last used ones up to a number
/// of bytes.
class PayloadCache {
 public:
  explicit PayloadCache(std::size_t max_bytes) : max_bytes(max_bytes) {}

  /// Keeps the payload, which replaces an earlier one of the job. False if it is too large.
  bool Put(const jobs::JobId& job, const std::string& payload);
  /// The payload with this digest; null if it isn't here. Valid until the next call.
  const std::string* Find(const jobs::JobId& job, std::uint64_t digest);
  std::size_t Bytes() const { return this->bytes; }

 private:
  struct Entry {
    jobs::JobId job;
    std::uint64_t digest = 0;
    std::string payload;
  };

  void Erase(const jobs::JobId& job);

  const std::size_t max_bytes;
  std::size_t bytes = 0;
  /// The last used first.
  std::list<Entry> entries;
  std::map<jobs::JobId, std::list<Entry>::iterator> places;
};

/// The payloads that each carrier is known to have, by its own answers. Limited to the newest of
/// each carrier.
class KnownPayloads {
 public:
  void Add(const std::string& carrier, const jobs::JobId& job, std::uint64_t digest);
  bool Has(const std::string& carrier, const jobs::JobId& job, std::uint64_t digest) const;
  /// The carrier has answered that it lacks the payload.
  void Remove(const std::string& carrier, const jobs::JobId& job);
  /// The carrier doesn't answer: it may have restarted, perhaps with an earlier version.
  void RemoveAll(const std::string& carrier) { this->carriers.erase(carrier); }

 private:
  struct Known {
    std::unordered_map<jobs::JobId, std::uint64_t> digests;
    /// In the order in which they were added; may contain jobs that were removed since.
    std::deque<jobs::JobId> added;
  };

  std::map<std::string, Known> carriers;
};

}  // namespace chervilspar::job_entry
