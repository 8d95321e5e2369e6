#include "job_entry/payload_cache.h"

#include "chervilspar/rpc/carrier_message.h"

namespace chervilspar::job_entry {

namespace {

/// What an entry takes besides its payload, roughly.
constexpr std::size_t kEntryBytes = 128;
/// The payloads remembered for each carrier: about as many of 1,000 bytes as it keeps.
constexpr std::size_t kMaxKnown = 2048;

}  // namespace

bool PayloadCache::Put(const jobs::JobId& job, const std::string& payload) {
  const std::uint64_t digest = rpc::PayloadDigest(payload);
  if (this->Find(job, digest) != nullptr) {
    return true;
  }
  this->Erase(job);
  const std::size_t size = payload.size() + kEntryBytes;
  if (size > this->max_bytes) {
    return false;
  }
  while (this->bytes + size > this->max_bytes) {
    this->Erase(this->entries.back().job);
  }
  this->entries.push_front({job, digest, payload});
  this->places[job] = this->entries.begin();
  this->bytes += size;
  return true;
}

const std::string* PayloadCache::Find(const jobs::JobId& job, std::uint64_t digest) {
  const auto place = this->places.find(job);
  if (place == this->places.end() || place->second->digest != digest) {
    return nullptr;
  }
  this->entries.splice(this->entries.begin(), this->entries, place->second);
  return &place->second->payload;
}

void PayloadCache::Erase(const jobs::JobId& job) {
  const auto place = this->places.find(job);
  if (place == this->places.end()) {
    return;
  }
  this->bytes -= place->second->payload.size() + kEntryBytes;
  this->entries.erase(place->second);
  this->places.erase(place);
}

void KnownPayloads::Add(const std::string& carrier, const jobs::JobId& job, std::uint64_t digest) {
  Known& known = this->carriers[carrier];
  const bool is_new = known.digests.insert_or_assign(job, digest).second;
  if (!is_new) {
    return;
  }
  known.added.push_back(job);
  while (known.added.size() > kMaxKnown) {
    known.digests.erase(known.added.front());
    known.added.pop_front();
  }
}

bool KnownPayloads::Has(const std::string& carrier, const jobs::JobId& job,
                        std::uint64_t digest) const {
  const auto known = this->carriers.find(carrier);
  if (known == this->carriers.end()) {
    return false;
  }
  const auto found = known->second.digests.find(job);
  return found != known->second.digests.end() && found->second == digest;
}

void KnownPayloads::Remove(const std::string& carrier, const jobs::JobId& job) {
  const auto known = this->carriers.find(carrier);
  if (known != this->carriers.end()) {
    known->second.digests.erase(job);
  }
}

}  // namespace chervilspar::job_entry
