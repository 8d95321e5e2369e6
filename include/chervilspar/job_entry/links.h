#pragma once

#include <cstdint>
#include <functional>
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

/// The result of a lease renewal.
struct RenewalOutcome {
  jobs::OrderOutcome outcome = jobs::OrderOutcome::kNoAnswer;
  /// Set exactly when `outcome` is `kDone`.
  std::optional<jobs::RenewalReport> report;
};

/// Maximum number of orders in flight to one endpoint. An order takes 1 to 4 ms and a new
/// connection costs more; a few connections carry a burst of sixteen starts in about 20 ms.
constexpr std::size_t kMaxOrdersPerEndpoint = 3;

/// Sends orders to endpoints.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  /// Renews the endpoint's lease and returns the endpoint's report.
  virtual boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder order,
                                                            Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order,
                                                          Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order,
                                                          Duration timeout) = 0;
  /// Sets the share of its full speed at which a run works.
  virtual boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::ThrottleOrder order,
                                                              Duration timeout) = 0;
  /// Called with the answer to a start that was forwarded.
  using StartCallback = std::function<void(jobs::StartAnswer)>;
  /// Sends the order like `Start`, unless that takes a coroutine: then returns false and leaves the
  /// order as it was. A peak has thousands of starts a second, for which the coroutines and timers
  /// of `Start` cost more than the orders themselves.
  virtual bool ForwardStart(jobs::StartOrder& /*order*/, Duration /*timeout*/,
                            StartCallback&& /*on_outcome*/) {
    return false;
  }
  /// The same for a renewal and `RenewLease`.
  using RenewalCallback = std::function<void(RenewalOutcome)>;
  virtual bool ForwardRenewal(jobs::RenewalOrder& /*order*/, Duration /*timeout*/,
                              RenewalCallback&& /*on_outcome*/) {
    return false;
  }
  /// Maximum number of orders in flight to this endpoint, not counting lease renewals.
  virtual std::size_t MaxConcurrentOrders(const std::string&) const {
    return kMaxOrdersPerEndpoint;
  }
};

/// Is notified of the current entries and endpoints, to choose the entry that forwards the orders
/// to each endpoint.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;

  /// Replaces the names of the members that the group currently has.
  virtual void SetMembers(const std::vector<std::string>& members) = 0;
  virtual void SetEndpoints(const std::vector<jobs::EndpointRecord>& endpoints) = 0;
  /// Applies changes since the last call of this or of `SetEndpoints`.
  virtual void UpdateEndpoints(const jobs::EndpointChanges& changes) = 0;
  /// The bytes of forwarded orders that were handed to the link since the last call.
  virtual jobs::LinkTraffic TakeTraffic() = 0;
};

/// What came of a question to the owner.
struct QuestionOutcome {
  std::optional<http::Response> response;
  /// Without a response: whether the question may be sent in a request of its own. An owner that is
  /// late would only get later by that.
  bool may_request = false;
};

/// Asks the owner, together with other entries' questions.
class OwnerQuestions {
 public:
  virtual ~OwnerQuestions() = default;

  /// Replaces the names of the members that the group currently has.
  virtual void SetMembers(const std::vector<std::string>& members) = 0;
  /// `owner_member`: the name in the owner's claim. Returns without a response after `timeout`, and
  /// sooner if there is no way to ask or nobody replies.
  virtual boost::asio::awaitable<QuestionOutcome> Ask(std::string owner_member,
                                                      http::Request request, Duration timeout) = 0;
  /// The owner has answered a question that was sent in a request of its own.
  virtual void OnRequestAnswered() = 0;
};

/// The platform's VM service.
class VmService {
 public:
  virtual ~VmService() = default;

  virtual boost::asio::awaitable<Result<std::vector<jobs::VmRecord>>> List(Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::VmOrderOutcome> Reboot(jobs::RebootOrder order,
                                                              Duration timeout) = 0;
  virtual boost::asio::awaitable<jobs::VmOrderOutcome> Move(jobs::MoveOrder order,
                                                            Duration timeout) = 0;
};

/// Asks the platform's advice service on which endpoints a step may run.
class AdviceLink {
 public:
  virtual ~AdviceLink() = default;

  virtual boost::asio::awaitable<Result<std::vector<jobs::AdviceTicket>>> Ask(
      jobs::AdviceRequest question, Duration timeout) = 0;
};

/// Reads the records that operators and endpoints write into the store, and writes those meant for
/// operators.
class RecordFormat {
 public:
  virtual ~RecordFormat() = default;

  /// Whether the record of this key holds the operators' rules.
  virtual bool IsPolicyKey(std::string_view key) const = 0;
  virtual Result<jobs::Policy> ReadPolicy(std::string_view value) const = 0;
  virtual Result<jobs::EndpointRecord> ReadEndpoint(std::string_view key,
                                                    std::string_view value) const = 0;
  /// Whether two registrations of an endpoint certainly say the same, so that only one of them has
  /// to be decoded. Endpoints repeat theirs as heartbeats, with nothing but a number changed.
  virtual bool IsSameEndpoint(std::string_view value, std::string_view other) const {
    return value == other;
  }
  virtual bool IsCordonKey(std::string_view key) const = 0;
  /// The zone that a cordon record names; a record without a value removes the cordon.
  virtual Result<ZoneId> ReadCordon(std::string_view key,
                                    const std::optional<std::string>& value) const = 0;
  virtual bool IsWaveKey(std::string_view key) const = 0;
  virtual Result<jobs::Wave> ReadWave(std::string_view value) const = 0;
  /// The record that reports a wave's progress to operators.
  virtual KeyedRecord WriteWaveStatus(const jobs::Wave& wave, bool is_complete) const = 0;
};

/// The operation that a caller requests.
enum class CallerAction { kSubmit, kFind, kCancel, kCountPending, kUnknown };

/// The action of a request with this HTTP method; `has_id` is whether the path names a job rather
/// than its queue.
CallerAction ActionOf(std::string_view method, bool has_id);

/// A caller's request, independent of the format in which it arrived.
struct CallerCall {
  CallerAction action = CallerAction::kUnknown;
  /// The queue that the host and path name; null if it does not exist.
  const jobs::Queue* queue = nullptr;
  std::string key;
  std::optional<jobs::JobId> id;
  /// The job id as written in the path, for error messages.
  std::string id_text;
};

/// Parses callers' requests and formats their responses.
class CallerFormat {
 public:
  virtual ~CallerFormat() = default;

  virtual CallerCall Read(const http::Request& request, const jobs::Policy& policy) const = 0;
  /// The job in a submission; its queue, team and time are not set.
  virtual Result<jobs::Job> ReadJob(const http::Request& request) const = 0;
  virtual http::Response Accepted() const = 0;
  virtual http::Response Phase(jobs::JobPhase phase) const = 0;
  virtual http::Response Pending(std::uint64_t count) const = 0;
  /// The response for a job that does not exist and never did.
  virtual http::Response NoSuchJob() const = 0;
};

/// The external services and formats that an entry depends on.
struct Links {
  std::unique_ptr<Store> store;
  std::unique_ptr<EndpointLink> endpoints;
  std::unique_ptr<VmService> vms;
  std::unique_ptr<AdviceLink> advice;
  std::unique_ptr<RecordFormat> records;
  std::unique_ptr<CallerFormat> callers;
  /// Null if the owner sends all orders directly.
  FleetObserver* fleet_observer = nullptr;
  /// Null if each question to the owner is a request of its own.
  OwnerQuestions* owner_questions = nullptr;
};

}  // namespace chervilspar::job_entry
