#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "cli/command.h"

namespace chervilspar::cli {

namespace json = boost::json;

namespace {

/// One line of a log that speaks of the job.
struct Trace {
  std::string time;
  std::string entry;
  std::string event;
  std::string message;
  std::string fields;

  friend auto operator<=>(const Trace&, const Trace&) = default;
};

std::string TextOf(const json::object& line, std::string_view name) {
  const json::value* value = line.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::string FieldsOf(const json::object& line) {
  const json::value* fields = line.if_contains("fields");
  if (fields == nullptr || !fields->is_object()) {
    return "";
  }
  std::string text;
  for (const auto& field : fields->get_object()) {
    text += text.empty() ? " (" : ", ";
    text += std::string(field.key()) + " ";
    text += field.value().is_string() ? std::string(field.value().get_string())
                                      : json::serialize(field.value());
  }
  return text.empty() ? text : text + ")";
}

/// Lines of other ids, and lines that aren't JSON, as they come when logs are collected.
void Collect(const std::string& text, const std::string& id, std::vector<Trace>& traces) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(id) == std::string::npos) {
      continue;
    }
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    if (error || !value.is_object() || TextOf(value.get_object(), "request_id") != id) {
      continue;
    }
    const json::object& object = value.get_object();
    traces.push_back({TextOf(object, "time"), TextOf(object, "entry"), TextOf(object, "event"),
                      TextOf(object, "message"), FieldsOf(object)});
  }
}

/// Of a job that doesn't wait any more: why it did.
std::string DescribeWait(const Trace& waits) {
  constexpr std::string_view kWaits = "waits behind: ";
  const bool is_behind = waits.message.starts_with(kWaits);
  return is_behind ? "; it waited behind: " + waits.message.substr(kWaits.size())
                   : "; it waited: " + waits.message;
}

/// What the lines come to, in one sentence.
std::string Conclusion(const std::vector<Trace>& traces) {
  const auto last = [&](std::string_view event) {
    const auto found = std::find_if(traces.rbegin(), traces.rend(),
                                    [&](const Trace& trace) { return trace.event == event; });
    return found == traces.rend() ? nullptr : &*found;
  };
  const Trace* const preempted = last("run_preempted");
  const std::string stopped =
      preempted == nullptr ? "" : "; a run of it was preempted: " + preempted->message;
  if (const Trace* ended = last("job_ended")) {
    const Trace* failed = last("job_failed");
    const Trace* waited = last("job_waits");
    std::string why = failed != nullptr ? "; " + failed->message + failed->fields : "";
    why += waited != nullptr ? DescribeWait(*waited) : "";
    return "It came to its end: " + ended->message + why + stopped + ".";
  }
  const Trace* const waits = last("job_waits");
  const Trace* const found = last("job_found_running");
  const Trace* const started = found != nullptr ? found : last("job_started");
  if (waits != nullptr && (started == nullptr || *started < *waits)) {
    const bool is_behind = waits->message.starts_with("waits behind: ");
    return (is_behind ? "It has not ended; it " : "It has not ended; ") + waits->message + stopped +
           ".";
  }
  if (started != nullptr) {
    return "It was started and has not ended in these logs" +
           (waits != nullptr ? DescribeWait(*waits) : "") + stopped + ".";
  }
  if (last("job_accepted") != nullptr) {
    return "It was stored and has not been started in these logs; see who scheduled then "
           "(term_began, term_ended).";
  }
  if (const Trace* unsure = last("job_unsure")) {
    return "It may have been stored: " + unsure->message + ".";
  }
  if (const Trace* refused = last("job_refused")) {
    return "It was turned away and did not run: " + refused->message + ".";
  }
  return "These logs say nothing of it.";
}

}  // namespace

ExitCode RunExplainJob(const ExplainJobOptions& options, const Console& console) {
  std::vector<Trace> traces;
  for (const std::string& file : options.logs) {
    const Result<std::string> text = ReadFile(file);
    if (!text) {
      console.err << "chervilspar: --logs: " << ToString(text.LastReason()) << "\n";
      return ExitCode::kUsage;
    }
    Collect(*text, options.id, traces);
  }
  std::sort(traces.begin(), traces.end());
  for (const Trace& trace : traces) {
    console.out << trace.time << " " << trace.entry << " " << trace.event << ": " << trace.message
                << trace.fields << "\n";
  }
  console.out << Conclusion(traces) << "\n";
  return traces.empty() ? ExitCode::kRefused : ExitCode::kOk;
}

}  // namespace chervilspar::cli
