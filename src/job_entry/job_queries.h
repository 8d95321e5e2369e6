#pragma once

#include <memory>
#include <optional>
#include <string>

#include "chervilspar/http/client.h"
#include "chervilspar/http/server.h"

#include "job_entry/election.h"
#include "job_entry/owner_directory.h"
#include "job_entry/record_relay.h"

namespace chervilspar::job_entry {

/// An owner responds from memory. One that does not respond within this time is unreachable or
/// stopped, and the caller is asked to retry.
inline constexpr Duration kOwnerQueryTimeout = std::chrono::milliseconds(700);

/// Answers callers' queries about jobs, from the current term if this entry is the owner, otherwise
/// by querying the owner.
class JobQueries {
 public:
  JobQueries(const Context& context, Election& election, OwnerDirectory& directory,
             http::Client& client);

  boost::asio::awaitable<OwnerTerm::Answer> Find(jobs::JobId id) {
    return this->Find(id, kOwnerQueryTimeout);
  }
  boost::asio::awaitable<OwnerTerm::Answer> Find(jobs::JobId id, Duration timeout);
  /// The number of pending jobs in the queue; nothing if the owner cannot answer.
  boost::asio::awaitable<std::optional<std::uint64_t>> PendingIn(std::string queue);

 private:
  boost::asio::awaitable<std::optional<http::Response>> QueryOwner(std::string target,
                                                                   Duration timeout);

  const Context context;
  Election& election;
  OwnerDirectory& directory;
  http::Client& client;
};

/// Serves requests of other entries. The owner answers queries about jobs:
///
///     GET /v1/jobs/ID             200 {"phase":"running"}, 404 no such job, 503 unknown
///     GET /v1/pending?queue=NAME  200 {"pending":3}, 503 unknown
///     POST /v1/admission          200 the outlook for new jobs, 400, 503 unknown
///
/// Any entry writes records for an entry that cannot; see `RelayHandler`.
class PeerHandler final : public http::Handler {
 public:
  PeerHandler(Election& election, const Context& context)
      : context(context), election(election), relay(context) {}

  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken> caller) override;
  /// Answers one of the questions above, without the relay.
  http::Response AnswerQuestion(const http::Request& request);

 private:
  const Context context;
  Election& election;
  const RelayHandler relay;
};

}  // namespace chervilspar::job_entry
