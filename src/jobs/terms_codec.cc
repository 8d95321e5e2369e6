#include "jobs/terms_codec.h"

#include "jobs/json_columns.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

enum QueueColumn : std::size_t {
  kQueueVersion,
  kService,
  kPriority,
  kAttempts,
  kSlackFactor,
  kTarget,
  kAdviceBase,
  kAdvicePerEndpoint,
  kAdviceValidity
};
constexpr const char* kQueueNames[] = {
    "version",           "service",   "priority",       "attempts",
    "slack_factor",      "target_ms", "advice_base_ms", "advice_per_endpoint_ms",
    "advice_validity_ms"};

enum TeamColumn : std::size_t { kTeamVersion, kWeight, kCpu, kMemory, kGpus };
constexpr const char* kTeamNames[] = {"version", "weight", "cpu", "memory", "gpus"};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

Duration DurationIn(const JsonColumns& columns, std::size_t column) {
  return milliseconds(columns.Number<std::int64_t>(column));
}

}  // namespace

json::array EncodeQueueTerms(const std::optional<QueueTerms>& terms) {
  if (!terms) {
    return {};
  }
  json::array out{terms->version,  terms->service.text, terms->priority,
                  terms->attempts, terms->slack_factor, Milliseconds(terms->target)};
  if (terms->advice) {
    out.emplace_back(Milliseconds(terms->advice->base_time));
    out.emplace_back(Milliseconds(terms->advice->time_per_endpoint));
    out.emplace_back(Milliseconds(terms->advice->validity));
  }
  return out;
}

json::array EncodeTeamTerms(const std::optional<TeamTerms>& terms) {
  if (!terms) {
    return {};
  }
  return {terms->version, terms->weight, terms->cap.cpu, terms->cap.memory_mb, terms->cap.gpus};
}

std::optional<QueueTerms> DecodeQueueTerms(const json::value* in, const std::string& path) {
  if (in == nullptr || ListAt(*in, path).empty()) {
    return std::nullopt;
  }
  const JsonColumns columns(*in, kQueueNames, path);
  QueueTerms terms;
  terms.version = columns.Number<std::uint64_t>(kQueueVersion);
  terms.service = ServiceId{columns.Text(kService)};
  terms.priority = columns.Number<std::uint32_t>(kPriority);
  terms.attempts = columns.Number<std::uint32_t>(kAttempts);
  terms.slack_factor = columns.Number<double>(kSlackFactor);
  terms.target = DurationIn(columns, kTarget);
  if (columns.Find(kAdviceBase) != nullptr) {
    terms.advice =
        AdviceTerms{DurationIn(columns, kAdviceBase), DurationIn(columns, kAdvicePerEndpoint),
                    DurationIn(columns, kAdviceValidity)};
  }
  return terms;
}

std::optional<TeamTerms> DecodeTeamTerms(const json::value* in, const std::string& path) {
  if (in == nullptr || ListAt(*in, path).empty()) {
    return std::nullopt;
  }
  const JsonColumns columns(*in, kTeamNames, path);
  TeamTerms terms;
  terms.version = columns.Number<std::uint64_t>(kTeamVersion);
  terms.weight = columns.Number<double>(kWeight);
  terms.cap = {columns.Number<std::int64_t>(kCpu), columns.Number<std::int64_t>(kMemory),
               columns.Number<std::int64_t>(kGpus)};
  return terms;
}

}  // namespace chervilspar::jobs
