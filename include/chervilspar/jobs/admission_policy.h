#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/admission_outlook.h"
#include "chervilspar/jobs/policy.h"

namespace chervilspar::jobs {

/// Parameters of the admission of jobs.
struct AdmissionOptions {
  /// A job is worthless once it takes this many times its objective.
  double late_factor = 3.0;
  /// A job is refused only if it is expected to end this fraction after the limit that it would
  /// miss. Estimates are rough, and a wrong refusal costs a caller more than a late job.
  double margin = 0.25;
  /// An older outlook refuses nothing.
  Duration max_age = std::chrono::milliseconds(1000);
  Duration min_return = std::chrono::seconds(1);
  Duration max_return = std::chrono::seconds(30);
  /// A caller that returns this much before its time is admitted. Covers the delay of the messages
  /// with which the time was passed on.
  Duration early_return = std::chrono::milliseconds(500);

  friend bool operator==(const AdmissionOptions&, const AdmissionOptions&) = default;
};

/// What is decided on: one submission.
struct AdmissionRequest {
  JobId job;
  TeamId team;
  std::string queue;
  /// In thousandths of a core times milliseconds.
  double work = 0;
  /// The longest chain of steps, in milliseconds.
  double chain_ms = 0;
  /// A job that takes longer is late. 0 if the queue has no objective.
  double objective_ms = 0;
  /// It is neither long-running nor scheduled.
  bool is_batch = true;
  /// No task fits the limit of its team, so that it could never run.
  bool exceeds_cap = false;

  friend bool operator==(const AdmissionRequest&, const AdmissionRequest&) = default;
};

AdmissionRequest MakeAdmissionRequest(const Job& job, const Policy& policy);

enum class RefusalReason {
  kNone,
  /// The account is beyond its share and the job would be late.
  kLate,
  /// The job would be worthless before it could be done.
  kWorthless,
  /// No task of the job fits the limit of its team.
  kExceedsCap,
};

const char* ToString(RefusalReason reason);

struct AdmissionDecision {
  RefusalReason reason = RefusalReason::kNone;
  /// The job was refused before, and its caller has returned.
  bool is_returned = false;
  /// Milliseconds from now until its expected end, if it was refused.
  double expected_end_ms = 0;
  /// The time after which the caller may return, in whole seconds, if it was refused.
  int return_after_s = 0;

  bool IsRefused() const { return this->reason != RefusalReason::kNone; }

  friend bool operator==(const AdmissionDecision&, const AdmissionDecision&) = default;
};

/// Decides whether an entry admits a job, from the last outlook of the owner and what the entry
/// itself has decided since. Uses no clock and no network.
///
/// Load: for seconds at a time an account submits several times what it is due. What can't be on
/// time is refused at once, with the time at which there is room for it. Without a recent outlook
/// everything is admitted.
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(AdmissionOptions options = {}) : options(options) {}

  /// `asked`: when the owner was asked. An outlook with a lower token than seen before is that of a
  /// former owner; it is dropped together with the one before.
  void SetOutlook(AdmissionOutlook outlook, TimePoint asked);
  /// Called when the entry asked got an answer that is no outlook.
  void DropOutlook() { this->outlook.reset(); }
  bool HasOutlook(TimePoint now) const;
  /// True if the last outlook lists an account whose jobs may be refused.
  bool IsUnderLoad() const;

  /// Decides and counts the job as admitted or refused. Undo a refusal with `Admit`.
  AdmissionDecision Decide(const AdmissionRequest& request, TimePoint now);
  /// Counts a job as admitted that was refused by the last `Decide`.
  void Admit(const AdmissionRequest& request, TimePoint now);

  /// The refused jobs that the owner has not been told of. Drops those whose time is over.
  std::vector<Promise> UnreportedRefusals(TimePoint now);
  bool HasUnreportedRefusals() const { return !this->refused.empty(); }
  /// Called when the owner has answered a question with these refusals.
  void OnReported(const std::vector<Promise>& reported);

 private:
  struct Admission {
    TimePoint at{};
    JobId job;
    TeamId team;
    std::string queue;
    /// 0 if room was promised to the job, since the outlook contains its work.
    double work = 0;
  };
  struct Refusal {
    AdmissionRequest request;
    TimePoint due{};
  };

  const AccountOutlook* Find(const AdmissionRequest& request) const;
  double AgeMs(TimePoint now) const;
  /// The time at which the caller of a refused job returns; nothing if it is not known here.
  std::optional<TimePoint> ReturnTimeOf(const JobId& id) const;
  /// The job was admitted here a moment ago.
  bool IsRepeat(const JobId& id) const;
  /// What all entries have probably admitted since the outlook was computed.
  double AdmittedWork(const AdmissionRequest& request) const;
  /// What all entries have probably refused and not reported.
  double RefusedWork(const AdmissionRequest& request) const;
  /// Milliseconds until the job is expected to end if it is admitted now.
  double ExpectedEndMs(const AccountOutlook& account, const AdmissionRequest& request,
                       TimePoint now) const;
  RefusalReason Judge(const AccountOutlook& account, const AdmissionRequest& request,
                      double expected_end_ms) const;
  /// The time until there is room for the job.
  Duration TimeToReturn(const AccountOutlook& account, const AdmissionRequest& request,
                        TimePoint now) const;
  int InWholeSeconds(Duration time) const;
  /// Drops what is too old to matter.
  void Review(TimePoint now);

  const AdmissionOptions options;
  std::uint64_t highest_token = 0;
  std::optional<AdmissionOutlook> outlook;
  /// When the owner was asked for the outlook.
  TimePoint asked_at{};
  /// The outlook shows the state of this time.
  TimePoint taken_at{};
  std::deque<Admission> admitted;
  /// Not reported to the owner.
  std::map<JobId, Refusal> refused;
};

}  // namespace chervilspar::jobs
