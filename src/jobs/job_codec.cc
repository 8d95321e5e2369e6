#include <boost/json.hpp>

#include "chervilspar/jobs/job.h"

#include "jobs/json_values.h"
#include "jobs/terms_codec.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

json::object EncodeStep(const Step& step) {
  json::object out{{"count", step.count}, {"cpu", step.need.cpu}, {"memory", step.need.memory_mb}};
  PutUnlessDefault(out, "gpus", step.need.gpus);
  PutUnlessDefault(out, "estimate_ms", step.estimate_ms);
  if (!step.after.empty()) {
    out["after"] = json::value_from(step.after);
  }
  PutUnlessDefault(out, "saves", step.saves_progress);
  PutUnlessDefault(out, "gang", step.is_gang);
  PutUnlessDefault(out, "one_rack", step.prefers_one_rack);
  PutUnlessDefault(out, "label", step.required_label);
  PutUnlessDefault(out, "data_rack", step.data_rack);
  PutUnlessDefault(out, "per_endpoint", step.max_per_endpoint);
  PutUnlessDefault(out, "twice", step.allows_duplicate_runs);
  PutUnlessDefault(out, "long_running", step.is_long_running);
  PutUnlessDefault(out, "image", step.image);
  PutUnlessDefault(out, "target_ms", step.target_ms);
  PutUnlessDefault(out, "filler", step.is_filler);
  if (step.max_unavailable) {
    out["max_away"] = *step.max_unavailable;
  }
  return out;
}

Step DecodeStep(const json::object& in) {
  Step step;
  step.count = NumberOf<std::uint32_t>(in, "count", 1);
  step.need = {NumberOf<std::int64_t>(in, "cpu"), NumberOf<std::int64_t>(in, "memory"),
               NumberOf<std::int64_t>(in, "gpus")};
  step.estimate_ms = NumberOf<std::int64_t>(in, "estimate_ms");
  if (const json::array* after = ArrayOf(in, "after")) {
    for (const json::value& earlier : *after) {
      step.after.push_back(earlier.to_number<std::uint32_t>());
    }
  }
  step.saves_progress = FlagOf(in, "saves");
  step.is_gang = FlagOf(in, "gang");
  step.prefers_one_rack = FlagOf(in, "one_rack");
  step.required_label = TextOf(in, "label");
  step.data_rack = TextOf(in, "data_rack");
  step.max_per_endpoint = NumberOf<std::uint32_t>(in, "per_endpoint");
  step.allows_duplicate_runs = FlagOf(in, "twice");
  step.is_long_running = FlagOf(in, "long_running");
  step.image = TextOf(in, "image");
  step.target_ms = NumberOf<std::int64_t>(in, "target_ms");
  step.is_filler = FlagOf(in, "filler");
  if (in.contains("max_away")) {
    step.max_unavailable = NumberOf<std::uint32_t>(in, "max_away");
  }
  return step;
}

}  // namespace

std::string EncodeJob(const Job& job) {
  json::object out{{"id", ToString(job.id)},      {"queue", job.queue},
                   {"service", job.service.text}, {"team", job.team.text},
                   {"payload", job.payload},      {"taken_ms", job.accepted_ms}};
  json::array steps;
  for (const Step& step : job.steps) {
    steps.push_back(EncodeStep(step));
  }
  out["steps"] = std::move(steps);
  if (job.repeats > 0) {
    out["repeats"] = job.repeats;
    out["first_due_ms"] = job.first_due_ms;
    out["interval_ms"] = job.interval_ms;
  }
  PutUnlessDefault(out, "queue_terms", EncodeQueueTerms(job.terms.queue));
  PutUnlessDefault(out, "team_terms", EncodeTeamTerms(job.terms.team));
  return json::serialize(out);
}

Result<Job> ParseJobBody(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return Reason{ErrorCode::kInvalidArgument, "body", "is not a JSON object"};
  }
  std::string field = "steps";
  try {
    const json::object& in = value.as_object();
    Job job;
    if (const json::array* steps = ArrayOf(in, "steps")) {
      for (const json::value& step : *steps) {
        field = "steps/" + std::to_string(job.steps.size());
        job.steps.push_back(DecodeStep(step.as_object()));
      }
    }
    field = "payload";
    job.payload = TextOf(in, "payload");
    field = "repeats";
    job.repeats = NumberOf<std::uint32_t>(in, "repeats");
    job.first_due_ms = NumberOf<std::int64_t>(in, "first_due_ms");
    job.interval_ms = NumberOf<std::int64_t>(in, "interval_ms");
    return job;
  } catch (const std::exception&) {
    return Reason{ErrorCode::kInvalidArgument, field, "has a value of another type"};
  }
}

Result<Job> DecodeJob(std::string_view text) {
  const Reason unreadable{ErrorCode::kMalformed, "", "the record is not a stored job"};
  try {
    const json::value value = json::parse(text);
    const json::object& in = value.as_object();
    const std::optional<JobId> id = ParseJobId(TextOf(in, "id"));
    const json::array* steps = ArrayOf(in, "steps");
    if (!id || steps == nullptr) {
      return unreadable;
    }
    Job job;
    job.id = *id;
    job.queue = TextOf(in, "queue");
    job.service = ServiceId{TextOf(in, "service")};
    job.team = TeamId{TextOf(in, "team")};
    job.payload = TextOf(in, "payload");
    job.accepted_ms = NumberOf<std::int64_t>(in, "taken_ms");
    job.repeats = NumberOf<std::uint32_t>(in, "repeats");
    job.first_due_ms = NumberOf<std::int64_t>(in, "first_due_ms");
    job.interval_ms = NumberOf<std::int64_t>(in, "interval_ms");
    job.terms.queue = DecodeQueueTerms(in.if_contains("queue_terms"), "queue_terms");
    job.terms.team = DecodeTeamTerms(in.if_contains("team_terms"), "team_terms");
    for (const json::value& step : *steps) {
      job.steps.push_back(DecodeStep(step.as_object()));
    }
    if (const Status status = CheckJob(job); !status) {
      return status.LastReason();
    }
    return job;
  } catch (const std::exception&) {
    return unreadable;
  }
}

}  // namespace chervilspar::jobs
