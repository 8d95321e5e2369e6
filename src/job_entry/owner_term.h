#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilspar/http/wakeup.h"
#include "chervilspar/jobs/scheduler.h"

#include "job_entry/admission_service.h"
#include "job_entry/append_plan.h"
#include "job_entry/endpoint_registry.h"
#include "job_entry/job_log.h"
#include "job_entry/lease_keeper.h"
#include "job_entry/link_meter.h"
#include "job_entry/operator_view.h"
#include "job_entry/order_sender.h"
#include "job_entry/owner_directory.h"
#include "job_entry/progress_writer.h"
#include "job_entry/share_metrics.h"
#include "job_entry/vm_driver.h"

namespace chervilspar::job_entry {

/// Prefix of the key of a lapse notice; the endpoint's id follows.
inline constexpr const char* kLapsePrefix = "lapse/";
/// The same for a notice of leases that may last longer than the owner asked for.
inline constexpr const char* kLongLeasePrefix = "long_lease/";

/// A term of this entry as owner, in which it schedules jobs: from its claim until another entry
/// takes over.
///
/// Reads the state under a new token, drives a `jobs::Scheduler` with facts, and executes its
/// decisions. Ends as soon as the store, an endpoint or a claim shows a higher token.
class OwnerTerm : public std::enable_shared_from_this<OwnerTerm>, private VmDriverHost {
 public:
  /// `member`: the name of this entry in its claim. `writer`: has announced the token.
  OwnerTerm(const Context& context, OperatorView& operators, OwnerDirectory& directory,
            std::string member, const ProgressWriter& writer, std::uint64_t token);

  void Start();
  void Stop(const std::string& reason);
  bool IsStopped() const { return this->is_stopped; }
  /// The state has been read, so that requests can be answered.
  bool IsServing() const { return this->is_loaded && !this->is_stopped; }
  /// What is known of a job. `kUnsure`: the job may exist, but has not been read yet.
  enum class Knowledge { kUnsure, kKnown, kNoSuchJob };
  struct Answer {
    Knowledge knowledge = Knowledge::kUnsure;
    jobs::JobPhase phase = jobs::JobPhase::kQueued;
  };
  Answer Find(const jobs::JobId& id) const;
  std::optional<std::uint64_t> PendingIn(const std::string& queue) const;
  /// Answers an entry that decides on submissions; nothing while the jobs or VMs are not known.
  std::optional<jobs::AdmissionOutlook> Outlook(const jobs::AdmissionQuestion& question);

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<OwnerTerm> self);
  boost::asio::awaitable<bool> Load();
  boost::asio::awaitable<void> StartLeaseKeeper();
  boost::asio::awaitable<void> DecideLoop(std::shared_ptr<OwnerTerm> self);
  boost::asio::awaitable<void> StoreLoop(std::shared_ptr<OwnerTerm> self);
  boost::asio::awaitable<void> AdviceLoop(std::shared_ptr<OwnerTerm> self);
  boost::asio::awaitable<void> DropEnded();
  boost::asio::awaitable<void> DropExpired();
  /// Stores the records in as few appends as the store's limit allows. If the store rejects an
  /// append, divides it to find the groups that it rejects, as the others must not wait for these.
  /// Returns the keys of the rejected groups; nothing when the term has ended.
  boost::asio::awaitable<std::optional<std::set<std::string>>> StoreRecords(
      std::vector<KeyedRecord> records);
  /// `records` must outlive the call.
  boost::asio::awaitable<FencedWrite> StoreAppend(const std::vector<KeyedRecord>& records);
  /// Logs that the store will not accept the group, and returns its key.
  std::string ReportRejected(const std::vector<KeyedRecord>& group);
  void OnRecordsStored(const std::set<std::string>& rejected, bool has_batch);
  void WakeEndpoint(const std::string& endpoint) override;
  void OnVmRecords() override;
  void LoadWave(const KeyedRecord& record);
  void LoadMove(const KeyedRecord& record);
  /// Decodes the records whose keys begin with `prefix`.
  static std::vector<jobs::LapseNotice> ReadNotices(const std::vector<KeyedRecord>& records,
                                                    std::string_view prefix);
  void LoadLapseNotices(const std::vector<KeyedRecord>& records);
  boost::asio::awaitable<bool> ReadProgress(std::vector<KeyedRecord>& records);
  void LoadProgress(const std::vector<KeyedRecord>& records);
  /// The latest time at which there was certainly no successor.
  TimePoint LastProof() const;
  void CheckProof();
  void CheckClaims();
  void ApplyOperatorSettings();
  /// Passes a change of the registered endpoints to the scheduler.
  void OnEndpointsChanged();
  void SetEndpoints();
  void LogNotes();
  void UpdateShareMetrics();
  void CountPreemptions();
  void RequestRound();
  void Decide();

  const Context context;
  OperatorView& operators;
  OwnerDirectory& directory;
  const std::string member;
  const std::uint64_t token;
  const TimePoint began;
  bool is_stopped = false;
  bool is_loaded = false;
  /// The directory has read the claim of this entry; a different claim after it is that of a
  /// successor.
  bool is_own_claim_seen = false;
  /// As logged last.
  bool may_renew = true;
  std::uint64_t policy_version = 0;
  jobs::Scheduler scheduler;
  LinkMeter link_meter;
  ProgressWriter writer;
  JobLog job_log;
  /// Jobs whose end is stored and whose submissions are not yet dropped.
  std::vector<jobs::JobId> ended;
  TimePoint ended_dropped_at{};
  EndpointRegistry registry;
  OrderSender sender;
  /// Renews leases until the jobs have been read.
  std::shared_ptr<LeaseKeeper> keeper;
  bool is_keeper_started = false;
  VmDriver vms;
  ShareMetrics share_metrics;
  AdmissionService admission;
  std::shared_ptr<http::Wakeup> decide;
  std::shared_ptr<http::Wakeup> store;
  std::shared_ptr<http::Wakeup> advise;
};

}  // namespace chervilspar::job_entry
