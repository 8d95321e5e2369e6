#include "bench/fleet/judge.h"

#include <algorithm>
#include <limits>
#include <set>
#include <sstream>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "bench/fleet/pool_watch.h"

namespace chervilspar::scenario {

namespace json = boost::json;

namespace {

/// How long a withdrawn key may still work ("within seconds"; measured is the 3 s of the target).
constexpr std::int64_t kWithdrawalUs = 3'000'000;

template <typename Line>
std::vector<Line> ParseLines(const std::string& lines, Line (*read)(const json::object&)) {
  std::vector<Line> parsed;
  std::istringstream stream(lines);
  std::string line;
  while (std::getline(stream, line)) {
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    if (!error && value.is_object()) {
      parsed.push_back(read(value.get_object()));
    }
  }
  return parsed;
}

std::string Text(const json::object& object, const char* name) {
  return object.at(name).as_string().c_str();
}

void CountCalls(const Evidence& evidence, Counters& counters) {
  for (const CallRecord& call : evidence.calls) {
    if (call.end == CallEnd::kNotConnected) {
      continue;
    }
    ++counters.sent;
    counters.completed += call.verdict == Verdict::kCompleted ? 1 : 0;
    counters.not_run += call.verdict == Verdict::kNotRun ? 1 : 0;
    counters.may_have_run += call.verdict == Verdict::kMayHaveRun ? 1 : 0;
    counters.wrong_answers += call.is_wrong ? 1 : 0;
    const bool is_killed =
        std::any_of(evidence.kills.begin(), evidence.kills.end(), [&call](const Kill& kill) {
          return kill.entry == call.entry && call.sent_us <= kill.gone_us &&
                 kill.at_us <= call.ended_us;
        });
    counters.cut_in_flight += call.end == CallEnd::kCut && !is_killed ? 1 : 0;
  }
}

/// Requests of which every attempt was said not to have run, or could not be sent.
std::set<RequestId> CalledNotRun(const std::vector<CallRecord>& calls) {
  std::set<RequestId> not_run;
  std::set<RequestId> other;
  for (const CallRecord& call : calls) {
    (call.verdict == Verdict::kNotRun ? not_run : other).insert(call.request);
  }
  for (const RequestId& request : other) {
    not_run.erase(request);
  }
  return not_run;
}

void CountTasks(const Evidence& evidence, Counters& counters) {
  std::set<RequestId> idempotent;
  for (const CallRecord& call : evidence.calls) {
    if (call.idempotency == Idempotency::kIdempotent) {
      idempotent.insert(call.request);
    }
  }
  std::map<RequestId, int> starts;
  for (const TaskLine& task : evidence.tasks) {
    ++starts[task.request];
    counters.cut_in_flight += task.outcome == "cut-by-reboot" ? 1 : 0;
    const auto withdrawn = evidence.withdrawals.find(task.team);
    const bool is_withdrawn = withdrawn != evidence.withdrawals.end() &&
                              task.start_us > withdrawn->second + kWithdrawalUs;
    counters.after_withdrawal += is_withdrawn ? 1 : 0;
  }
  for (const auto& [request, count] : starts) {
    const bool is_checked = !request.IsEmpty() && !idempotent.contains(request);
    counters.ran_twice += is_checked && count > 1 ? 1 : 0;
  }
  for (const CallRecord& call : evidence.calls) {
    const bool is_untrue = call.is_completed_earlier && !starts.contains(call.request);
    counters.wrong_answers += is_untrue ? 1 : 0;
  }
  for (const RequestId& request : CalledNotRun(evidence.calls)) {
    counters.wrong_answers += starts.contains(request) ? 1 : 0;
  }
}

}  // namespace

std::vector<TaskLine> ParseLedger(const std::string& lines) {
  return ParseLines<TaskLine>(lines, [](const json::object& line) {
    const std::int64_t end = line.at("end_us").as_int64();
    return TaskLine{RequestId{Text(line, "request")},
                    TeamId{Text(line, "team")},
                    ServiceId{Text(line, "service")},
                    VmId{Text(line, "vm")},
                    line.at("start_us").as_int64(),
                    end == 0 ? std::numeric_limits<std::int64_t>::max() : end,
                    Text(line, "outcome")};
  });
}

std::vector<AvailabilityChange> ParseAvailability(const std::string& lines) {
  return ParseLines<AvailabilityChange>(lines, [](const json::object& line) {
    return AvailabilityChange{VmId{Text(line, "vm")}, line.at("at_us").as_int64(),
                              line.at("available").as_bool(), Text(line, "cause")};
  });
}

std::int64_t PeakOf(const std::vector<TaskLine>& tasks, const TeamId& team) {
  // At the same microsecond an end comes before a start: one slot may pass from task to task.
  std::vector<std::pair<std::int64_t, int>> edges;
  for (const TaskLine& task : tasks) {
    if (task.team == team) {
      edges.emplace_back(task.start_us, 1);
      edges.emplace_back(task.end_us, -1);
    }
  }
  std::sort(edges.begin(), edges.end());
  std::int64_t now = 0;
  std::int64_t peak = 0;
  for (const auto& [at_us, change] : edges) {
    now += change;
    peak = std::max(peak, now);
  }
  return peak;
}

Counters Count(const Evidence& evidence) {
  Counters counters;
  CountCalls(evidence, counters);
  CountTasks(evidence, counters);
  for (const auto& [id, team] : evidence.inventory.teams) {
    const std::int64_t over = PeakOf(evidence.tasks, id) - team.upper_limit;
    counters.over_limit += std::max<std::int64_t>(over, 0);
  }
  counters.below_budget = CountBelowBudget(evidence.inventory, evidence.availability);
  return counters;
}

bool Counters::IsClean() const {
  return this->ran_twice + this->cut_in_flight + this->wrong_answers + this->over_limit +
             this->below_budget + this->after_withdrawal ==
         0;
}

std::string Counters::ToJson() const {
  return json::serialize(json::object{{"sent", this->sent},
                                      {"completed", this->completed},
                                      {"not_run", this->not_run},
                                      {"may_have_run", this->may_have_run},
                                      {"ran_twice", this->ran_twice},
                                      {"cut_in_flight", this->cut_in_flight},
                                      {"wrong_answers", this->wrong_answers},
                                      {"over_limit", this->over_limit},
                                      {"below_budget", this->below_budget},
                                      {"after_withdrawal", this->after_withdrawal}});
}

}  // namespace chervilspar::scenario
