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

/// Answers what callers ask about jobs: from this entry's own term, or by asking the owner.
class JobQueries {
 public:
  JobQueries(const Context& context, Election& election, OwnerDirectory& directory,
             http::Client& client);

  boost::asio::awaitable<OwnerTerm::Answer> Find(jobs::JobId id);
  /// Nothing when the owner can't be asked.
  boost::asio::awaitable<std::optional<std::uint64_t>> PendingIn(std::string queue);

 private:
  boost::asio::awaitable<std::optional<http::Response>> AskOwner(std::string target);

  const Context context;
  Election& election;
  OwnerDirectory& directory;
  http::Client& client;
};

/// The owner's side: answers other entries.
///
///     GET /v1/jobs/ID             200 {"phase":"running"}, 404 no such job, 503 not known
///     GET /v1/pending?queue=NAME  200 {"pending":3}, 503 not known
///
/// Any entry writes records for one that can't; see `RelayHandler`.
class PeerHandler final : public http::Handler {
 public:
  PeerHandler(Election& election, const Context& context) : election(election), relay(context) {}

  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken> caller) override;

 private:
  Election& election;
  const RelayHandler relay;
};

}  // namespace chervilspar::job_entry
