#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/jobs/endpoint.h"

#include "job_entry/context.h"
#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// Keeps the list of registered endpoints by following what they write.
///
/// Reading the whole list anew took as much of the owner's link as all orders together, and told of
/// an endpoint only with the next reading.
class EndpointRegistry final : public RecordListener {
 public:
  /// `on_change`: called after the list has changed.
  EndpointRegistry(const Context& context, std::function<void()> on_change);

  /// Reads the list; false when the store doesn't answer.
  boost::asio::awaitable<bool> Load();
  /// Follows the list from `Load` on.
  void Follow();
  void Stop();
  /// Drops what lapsed in an outage of the store and has not returned in time.
  void DropLapsed();
  std::vector<jobs::EndpointRecord> Endpoints() const;
  std::size_t Count() const { return this->endpoints.size(); }

  void OnRecords(const std::vector<KeyedRecord>& records) override;
  void OnNewest(const std::vector<KeyedRecord>& records) override;
  void OnStoreRecovered() override;

 private:
  /// What a registration says; nothing for one that can't be read.
  std::optional<jobs::EndpointRecord> Read(const KeyedRecord& record) const;
  bool Take(const KeyedRecord& record);
  bool Remove(const std::string& id);
  bool IsReturning() const;

  const Context context;
  const std::function<void()> on_change;
  std::map<std::string, jobs::EndpointRecord> endpoints;
  /// Gone from the store during an outage, and kept until its entries have had time to return.
  std::set<std::string> lapsed;
  /// When the store was last back after an outage.
  std::optional<TimePoint> regained;
  std::optional<std::uint64_t> next;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
