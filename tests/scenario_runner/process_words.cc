#include <signal.h>

#include "scenario.h"

namespace chervilspar::scenario {

namespace {

Reason NotYet(const std::string& message) { return {ErrorCode::kUnavailable, "", message}; }

}  // namespace

void Scenario::AddProcessWords() {
  this->vocabulary.Add("start entries", [this](const Arguments&) -> Status {
    for (const EntryId& entry : this->fleet->EntryIds()) {
      this->fleet->StartEntry(entry);
    }
    return Done{};
  });
  this->vocabulary.Add("start entry <entry>", [this](const Arguments& a) -> Status {
    this->fleet->StartEntry(EntryId{a[0]});
    return Done{};
  });
  this->vocabulary.Add("kill entry <entry>", [this](const Arguments& a) -> Status {
    this->fleet->KillEntry(EntryId{a[0]});
    return Done{};
  });
  const auto add_signal = [this](const std::string& pattern, int signal) {
    this->vocabulary.Add(
        pattern, [this, signal](const Arguments& a) { return this->SignalEntry(a[0], signal); });
  };
  add_signal("pause entry <entry>", SIGSTOP);
  add_signal("resume entry <entry>", SIGCONT);
  add_signal("stop entry <entry>", SIGTERM);
  this->vocabulary.Add("expect entry <entry> ready", [this](const Arguments& a) -> Status {
    return this->fleet->IsReady(EntryId{a[0]}) ? Status(Done{}) : NotYet("not ready");
  });
  this->vocabulary.Add("expect entry <entry> answers", [this](const Arguments& a) -> Status {
    const auto exchange = this->fleet->Operate(EntryId{a[0]}, "GET", "/v1/operator/status", "");
    return exchange.response ? Status(Done{}) : exchange.reason;
  });
  this->vocabulary.Add("expect entries ready", [this](const Arguments&) -> Status {
    for (const EntryId& entry : this->fleet->EntryIds()) {
      if (!this->fleet->IsReady(entry)) {
        return NotYet(entry.text + " is not ready");
      }
    }
    return Done{};
  });
  this->vocabulary.Add("expect entry <entry> exits <code>",
                       [this](const Arguments& a) { return this->ExpectExit(a[0], a[1]); });
}

Status Scenario::SignalEntry(const std::string& entry, int signal) {
  ChildProcess* process = this->fleet->Entry(EntryId{entry});
  if (process == nullptr || !process->IsRunning()) {
    return Reason{ErrorCode::kNotFound, "", entry + " does not run"};
  }
  process->Signal(signal);
  return Done{};
}

Status Scenario::ExpectExit(const std::string& entry, const std::string& code) {
  ChildProcess* process = this->fleet->Entry(EntryId{entry});
  const std::optional<int> exit_code =
      process == nullptr ? std::nullopt : process->WaitForExit(Duration::zero());
  if (!exit_code) {
    return NotYet(entry + " still runs");
  }
  if (std::to_string(*exit_code) != code) {
    return Reason{ErrorCode::kInternal, "", "it ended with " + std::to_string(*exit_code)};
  }
  return Done{};
}

}  // namespace chervilspar::scenario
