#pragma once

#include <memory>
#include <optional>
#include <string>

#include "chervilspar/http/client.h"
#include "chervilspar/jobs/admission_policy.h"

#include "job_entry/election.h"
#include "job_entry/job_queries.h"
#include "job_entry/job_writer.h"
#include "job_entry/operator_view.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

/// Why a submission is refused, for its caller.
struct JobRefusal {
  std::string code;
  std::string message;
  int return_after_s = 0;

  friend bool operator==(const JobRefusal&, const JobRefusal&) = default;
};

/// Decides on the submissions of one entry, with the outlook that it asks of the owner while
/// submissions come. Admits everything unless `DecisionOptions::admits_by_outlook` is set.
class AdmissionView : public std::enable_shared_from_this<AdmissionView> {
 public:
  AdmissionView(const Context& context, const OperatorView& operators, const Election& election,
                const OwnerDirectory& directory, http::Client& client, const JobWriter& writer,
                JobQueries& queries);

  /// Nothing if the job is admitted. A job that was stored earlier is admitted, so that its caller
  /// gets the same answer again.
  boost::asio::awaitable<std::optional<JobRefusal>> Review(const jobs::Job& job);

 private:
  /// Has the owner asked from now on, until no more submissions come.
  void OnSubmission();
  boost::asio::awaitable<void> AskRepeatedly(std::shared_ptr<AdmissionView> self);
  /// Asks the owner once; returns how long to wait before the next question.
  boost::asio::awaitable<Duration> Ask();
  void LogRefusal(const jobs::Job& job, const jobs::AdmissionRequest& request,
                  const jobs::AdmissionDecision& decision);

  const Context context;
  const OperatorView& operators;
  const Election& election;
  const OwnerDirectory& directory;
  http::Client& client;
  const JobWriter& writer;
  JobQueries& queries;
  jobs::AdmissionPolicy policy;
  TimePoint last_submission{};
  /// A coroutine asks the owner.
  bool is_asking = false;
};

}  // namespace chervilspar::job_entry
