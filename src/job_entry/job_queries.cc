#include "job_entry/job_queries.h"

#include <boost/json.hpp>

#include "job_entry/admission_message.h"
#include "job_entry/ask_owner.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kJobsPath = "/v1/jobs/";
constexpr std::string_view kPendingPath = "/v1/pending";

std::optional<json::object> BodyOf(const http::Response& response) {
  boost::system::error_code error;
  json::value value = json::parse(response.body, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::optional<jobs::JobPhase> PhaseOf(const http::Response& response) {
  const std::optional<json::object> body = BodyOf(response);
  const json::value* phase = body ? body->if_contains("phase") : nullptr;
  if (phase == nullptr || !phase->is_string()) {
    return std::nullopt;
  }
  for (const jobs::JobPhase known :
       {jobs::JobPhase::kQueued, jobs::JobPhase::kRunning, jobs::JobPhase::kComplete,
        jobs::JobPhase::kFailed, jobs::JobPhase::kCancelled}) {
    if (phase->as_string() == jobs::ToString(known)) {
      return known;
    }
  }
  return std::nullopt;
}

http::Response JsonBody(const json::object& body) {
  http::Response response;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

}  // namespace

JobQueries::JobQueries(const Context& context, Election& election, OwnerDirectory& directory,
                       http::Client& client)
    : context(context), election(election), directory(directory), client(client) {}

asio::awaitable<std::optional<http::Response>> JobQueries::QueryOwner(std::string target,
                                                                      Duration timeout) {
  const std::optional<OwnerClaim> owner = this->directory.Owner();
  if (!owner || owner->address == this->context.settings.peers) {
    co_return std::nullopt;
  }
  http::Request request;
  request.target = std::move(target);
  co_return co_await AskOwner(this->context, this->client, *owner, std::move(request), timeout);
}

asio::awaitable<OwnerTerm::Answer> JobQueries::Find(jobs::JobId id, Duration timeout) {
  using Knowledge = OwnerTerm::Knowledge;
  if (const std::shared_ptr<OwnerTerm> term = this->election.Term()) {
    co_return term->Find(id);
  }
  const std::optional<http::Response> response =
      co_await this->QueryOwner(std::string(kJobsPath) + jobs::ToString(id), timeout);
  if (response && response->status == 404) {
    co_return OwnerTerm::Answer{Knowledge::kNoSuchJob};
  }
  const std::optional<jobs::JobPhase> phase =
      response && response->status == 200 ? PhaseOf(*response) : std::nullopt;
  if (!phase) {
    co_return OwnerTerm::Answer{Knowledge::kUnsure};
  }
  co_return OwnerTerm::Answer{Knowledge::kKnown, *phase};
}

asio::awaitable<std::optional<std::uint64_t>> JobQueries::PendingIn(std::string queue) {
  if (const std::shared_ptr<OwnerTerm> term = this->election.Term()) {
    co_return term->PendingIn(queue);
  }
  const std::optional<http::Response> response =
      co_await this->QueryOwner(std::string(kPendingPath) + "?queue=" + queue, kOwnerQueryTimeout);
  const std::optional<json::object> body =
      response && response->status == 200 ? BodyOf(*response) : std::nullopt;
  const json::value* pending = body ? body->if_contains("pending") : nullptr;
  boost::system::error_code error;
  if (pending == nullptr || !pending->is_number()) {
    co_return std::nullopt;
  }
  const auto count = pending->to_number<std::uint64_t>(error);
  co_return error ? std::nullopt : std::optional(count);
}

namespace {

http::Response AnswerAdmission(OwnerTerm& term, const http::Request& request) {
  const std::optional<jobs::AdmissionQuestion> question = DecodeAdmissionQuestion(request.body);
  if (!question) {
    return http::ErrorResponse(400, "invalid_argument", "The question can't be read.");
  }
  const std::optional<jobs::AdmissionOutlook> outlook = term.Outlook(*question);
  if (!outlook) {
    return http::ErrorResponse(503, "unavailable", "The jobs or the VMs are not known.");
  }
  http::Response response;
  response.headers.Add("Content-Type", "application/json");
  response.body = EncodeAdmissionOutlook(*outlook);
  return response;
}

}  // namespace

asio::awaitable<http::Response> PeerHandler::Handle(http::Request request,
                                                    std::shared_ptr<http::CancelToken>) {
  if (RelayHandler::IsRelayRequest(request)) {
    co_return co_await this->relay.Handle(std::move(request));
  }
  co_return this->AnswerQuestion(request);
}

http::Response PeerHandler::AnswerQuestion(const http::Request& request) {
  const std::shared_ptr<OwnerTerm> term = this->election.Term();
  if (term == nullptr) {
    return http::ErrorResponse(503, "not_owner", "This entry doesn't schedule jobs.");
  }
  const auto span = this->context.Measure(telemetry::WorkPart::kQuestions);
  const std::string_view path = http::PathOf(request.target);
  if (path.starts_with(kJobsPath)) {
    const std::optional<jobs::JobId> id = jobs::ParseJobId(path.substr(kJobsPath.size()));
    if (!id) {
      return http::ErrorResponse(400, "invalid_argument", "A job's id has 16 hex digits.");
    }
    const OwnerTerm::Answer answer = term->Find(*id);
    switch (answer.knowledge) {
      case OwnerTerm::Knowledge::kKnown:
        return JsonBody({{"phase", jobs::ToString(answer.phase)}});
      case OwnerTerm::Knowledge::kNoSuchJob:
        return http::ErrorResponse(404, "not_found", "There is no such job.");
      case OwnerTerm::Knowledge::kUnsure:
        return http::ErrorResponse(503, "unavailable", "The store has not been read to its end.");
    }
  }
  const bool is_admission = path == kAdmissionPath && request.method == "POST";
  if (is_admission && this->context.settings.decisions.admits_by_outlook) {
    return AnswerAdmission(*term, request);
  }
  const std::optional<std::string_view> queue = http::QueryParameter(request.target, "queue");
  if (path == kPendingPath && queue) {
    const std::optional<std::uint64_t> pending = term->PendingIn(std::string(*queue));
    if (!pending) {
      return http::ErrorResponse(503, "unavailable", "The store has not been read to its end.");
    }
    return JsonBody({{"pending", *pending}});
  }
  return http::ErrorResponse(404, "not_found", "There is no such page.");
}

}  // namespace chervilspar::job_entry
