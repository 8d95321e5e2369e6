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

/// Keeps the list of registered endpoints up to date from their registration records.
///
/// Polling the whole list takes as much of the owner's link as all orders together, and detects a
/// change only with the next poll.
class EndpointRegistry final : public RecordListener {
 public:
  /// `on_change`: called after the list has changed.
  EndpointRegistry(const Context& context, std::function<void()> on_change);

  /// Reads the list; false when the store doesn't respond.
  boost::asio::awaitable<bool> Load();
  /// Follows the list from `Load` on.
  void Follow();
  void Stop();
  /// Drops the registrations that lapsed in an outage of the store and weren't renewed in time.
  void DropLapsed();
  std::vector<jobs::EndpointRecord> Endpoints() const;
  /// The changes since the last call of this function or of `Load`.
  jobs::EndpointChanges TakeChanges();
  std::size_t Count() const { return this->endpoints.size(); }

  void OnRecords(const std::vector<KeyedRecord>& records) override;
  void OnNewest(const std::vector<KeyedRecord>& records) override;
  void OnStoreRecovered() override;

 private:
  /// The decoded registration; nothing for a removal or an unreadable record.
  std::optional<jobs::EndpointRecord> Read(const KeyedRecord& record);
  void ReportUnreadable(const std::string& key, const Reason& reason);
  bool Apply(const KeyedRecord& record);
  bool Remove(const std::string& id);
  bool IsInRecoveryPeriod() const;

  /// Removes the endpoint at once.
  void Erase(const std::string& id);

  struct Registration {
    jobs::EndpointRecord record;
    /// The record in the store that it was decoded from.
    std::string text;
  };

  const Context context;
  const std::function<void()> on_change;
  std::map<std::string, Registration> endpoints;
  /// Endpoints that were registered, changed or removed since the changes were last taken.
  std::set<std::string> changed;
  /// Lapsed during an outage of the store; kept until their endpoints have had time to register
  /// again.
  std::set<std::string> lapsed;
  /// The keys of unreadable records that were reported.
  std::set<std::string> unreadable;
  /// When the store last recovered from an outage.
  std::optional<TimePoint> regained_at;
  std::optional<std::uint64_t> next;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
