#include <algorithm>

#include "scenario.h"

namespace chervilspar::scenario {

namespace {

Reason Fault(const std::string& message) { return {ErrorCode::kInvalidArgument, "", message}; }

/// Words that take no value.
bool ReadFlag(const std::string& word, CallPlan& plan) {
  if (word == "idempotent") {
    plan.idempotency = Idempotency::kIdempotent;
  } else if (word == "urgent") {
    plan.is_urgent = true;
  } else {
    return false;
  }
  return true;
}

bool ReadText(const std::string& word, const std::string& value, CallPlan& plan) {
  if (word == "team") {
    plan.team = TeamId{value};
  } else if (word == "service") {
    plan.service = ServiceId{value};
  } else if (word == "via") {
    plan.via = EntryId{value};
  } else if (word == "named") {
    plan.name = value;
  } else {
    return false;
  }
  return true;
}

bool ReadSpan(const std::string& word, const std::string& value, CallPlan& plan) {
  const Result<Duration> span = ParseSpan(value);
  if (!span) {
    return false;
  }
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*span).count();
  if (word == "every") {
    plan.every = *span;
  } else if (word == "work") {
    plan.work_ms = ms;
  } else if (word == "timeout") {
    plan.timeout_ms = ms;
  } else {
    return false;
  }
  return true;
}

bool ReadCount(const std::string& word, const std::string& value, CallPlan& plan) {
  const Result<std::int64_t> count = ParseCount(value);
  if (!count) {
    return false;
  }
  if (word == "count") {
    plan.count = static_cast<std::uint32_t>(*count);
  } else if (word == "retries") {
    plan.retries = static_cast<std::uint32_t>(*count);
  } else {
    return false;
  }
  return true;
}

}  // namespace

void Scenario::AddCallWords() {
  this->vocabulary.Add("call ...", [this](const Arguments& a) { return this->StartCalls(a); });
  this->vocabulary.Add("expect calls done", [this](const Arguments&) -> Status {
    if (!this->callers->WaitUntilDone(Duration::zero())) {
      return Reason{ErrorCode::kUnavailable, "", "callers still wait for answers"};
    }
    return Done{};
  });
  this->vocabulary.Add("expect <name> completed at least <count>",
                       [this](const Arguments& a) -> Status {
                         const Result<std::int64_t> least = ParseCount(a[1]);
                         return least ? this->ExpectCompleted(a[0], *least) : least.LastReason();
                       });
  this->vocabulary.Add("expect <vm> got at most <percent> percent of <service>",
                       [this](const Arguments& a) -> Status {
                         const Result<std::int64_t> percent = ParseCount(a[1]);
                         return percent
                                    ? this->ExpectShare(a[0], a[2], static_cast<double>(*percent))
                                    : percent.LastReason();
                       });
}

Status Scenario::StartCalls(const Arguments& words) {
  CallPlan plan;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (ReadFlag(words[i], plan)) {
      continue;
    }
    const std::string value = i + 1 < words.size() ? words[i + 1] : "";
    if (!ReadText(words[i], value, plan) && !ReadSpan(words[i], value, plan) &&
        !ReadCount(words[i], value, plan)) {
      return Fault("'" + words[i] + " " + value + "' is no part of a call");
    }
    ++i;
  }
  const inventory::Inventory& inventory = this->fleet->Plan().inventory;
  if (!inventory.teams.contains(plan.team) || plan.service.IsEmpty()) {
    return Fault("a call needs a known team and a service");
  }
  this->callers->Start(plan);
  return Done{};
}

Status Scenario::ExpectCompleted(const std::string& plan, std::int64_t least) {
  const std::int64_t completed = this->Completed(plan);
  if (completed < least) {
    return Reason{ErrorCode::kUnavailable, "", "only " + std::to_string(completed) + " completed"};
  }
  return Done{};
}

Status Scenario::ExpectShare(const std::string& vm, const std::string& service,
                             double most_percent) {
  const std::vector<TaskLine> tasks = ParseLedger(this->fleet->EndpointReport("ledger"));
  const auto all = std::count_if(tasks.begin(), tasks.end(), [&](const TaskLine& task) {
    return task.service.text == service;
  });
  const auto own = std::count_if(tasks.begin(), tasks.end(), [&](const TaskLine& task) {
    return task.service.text == service && task.vm.text == vm;
  });
  const double percent =
      all == 0 ? 0.0 : 100.0 * static_cast<double>(own) / static_cast<double>(all);
  if (percent > most_percent) {
    return Reason{ErrorCode::kConflict, "", vm + " got " + std::to_string(percent) + " percent"};
  }
  return Done{};
}

}  // namespace chervilspar::scenario
