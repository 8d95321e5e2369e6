#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/http/message.h"
#include "chervilspar/job_entry/store.h"
#include "chervilspar/jobs/endpoint.h"
#include "chervilspar/jobs/policy.h"
#include "chervilspar/jobs/scheduler.h"
#include "chervilspar/jobs/upkeep.h"

namespace chervilspar::job_entry {

/// What a renewal gave.
struct RenewalOutcome {
  jobs::OrderOutcome outcome = jobs::OrderOutcome::kNoAnswer;
  /// There exactly when `outcome` is `kDone`.
  std::optional<jobs::HoldReport> report;
};

/// Orders to one endpoint that are under way at once. An order takes 1 to 4 ms, a new connection
/// costs more than that; a few connections carry a burst of sixteen starts in some 20 ms.
constexpr std::size_t kMaxOrdersPerEndpoint = 3;

/// Orders to endpoints.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  virtual boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::HoldOrder order,
                                                            Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::OrderOutcome> Start(jobs::StartOrder order,
                                                           Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order,
                                                          Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::PaceOrder order,
                                                              Duration timeout) = 0;
  /// How many orders other than holds should be under way to this endpoint at once.
  virtual std::size_t MaxConcurrentOrders(const std::string&) const {
    return kMaxOrdersPerEndpoint;
  }
};

/// Hears which entries and endpoints there are, to choose who carries whose orders.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;

  /// The members that the group has now, by their names.
  virtual void SetMembers(const std::vector<std::string>& members) = 0;
  virtual void SetEndpoints(const std::vector<jobs::EndpointRecord>& endpoints) = 0;
};

/// The platform's service for VMs.
class VmService {
 public:
  virtual ~VmService() = default;

  virtual boost::asio::awaitable<Result<std::vector<jobs::VmRecord>>> List(Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::VmOrderOutcome> Reboot(jobs::RebootOrder order,
                                                              Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::VmOrderOutcome> Move(jobs::MoveOrder order,
                                                            Duration timeout) = 0;
};

/// Says on which endpoints a step may run.
class AdviceLink {
 public:
  virtual ~AdviceLink() = default;

  virtual boost::asio::awaitable<Result<std::vector<jobs::AdviceTicket>>> Ask(
      jobs::AdviceQuestion question, Duration timeout) = 0;
};

/// Reads what others write into the store.
class RecordFormat {
 public:
  virtual ~RecordFormat() = default;

  /// The operators' rules, if the key is that of the rules.
  virtual bool IsPolicyKey(std::string_view key) const = 0;
  virtual Result<jobs::Policy> ReadPolicy(std::string_view value) const = 0;
  virtual Result<jobs::EndpointRecord> ReadEndpoint(std::string_view key,
                                                    std::string_view value) const = 0;
  virtual bool IsCordonKey(std::string_view key) const = 0;
  /// The zone that a cordon's record names; without value it is the record's removal.
  virtual Result<ZoneId> ReadCordon(std::string_view key,
                                    const std::optional<std::string>& value) const = 0;
  virtual bool IsWaveKey(std::string_view key) const = 0;
  virtual Result<jobs::Wave> ReadWave(std::string_view value) const = 0;
  /// The record that tells operators how far a wave is.
  virtual KeyedRecord WriteWaveStatus(const jobs::Wave& wave, bool is_complete) const = 0;
};

/// What a caller asks for.
enum class CallerAction { kSubmit, kFind, kCancel, kCountPending, kUnknown };

/// What a request's method asks for; a job's id tells a job from its queue.
CallerAction ActionOf(std::string_view method, bool has_id);

/// A caller's request in the product's own terms.
struct CallerCall {
  CallerAction action = CallerAction::kUnknown;
  /// The queue by its host and path; null when there is none.
  const jobs::Queue* queue = nullptr;
  std::string key;
  std::optional<jobs::JobId> id;
  /// What is asked for in the rest of the path, for messages.
  std::string id_text;
};

/// Reads callers' requests and writes their answers.
class CallerFormat {
 public:
  virtual ~CallerFormat() = default;

  virtual CallerCall Read(const http::Request& request, const jobs::Policy& policy) const = 0;
  /// The job in a submission, without queue, team and time.
  virtual Result<jobs::Job> ReadJob(const http::Request& request) const = 0;
  virtual http::Response Accepted() const = 0;
  virtual http::Response Phase(jobs::JobPhase phase) const = 0;
  virtual http::Response Pending(std::uint64_t count) const = 0;
  /// There is no such job, and there was none.
  virtual http::Response NoSuchJob() const = 0;
};

/// All that an entry needs from outside.
struct Links {
  std::unique_ptr<Store> store;
  std::unique_ptr<EndpointLink> endpoints;
  std::unique_ptr<VmService> vms;
  std::unique_ptr<AdviceLink> advice;
  std::unique_ptr<RecordFormat> records;
  std::unique_ptr<CallerFormat> callers;
  /// Null where the owner gives all orders itself.
  FleetObserver* fleet_observer = nullptr;
};

}  // namespace chervilspar::job_entry
