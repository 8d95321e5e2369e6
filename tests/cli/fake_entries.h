#pragma once

#include <map>
#include <string>
#include <vector>

#include "cli/entry_connection.h"
#include "cli/program.h"

namespace chervilspar::cli {

/// A call that reached an entry.
struct SeenCall {
  std::string address;
  std::string method;
  std::string target;
  std::string body;
  std::string authorization;

  friend bool operator==(const SeenCall&, const SeenCall&) = default;
};

/// Entries that answer as a test says; others can't be reached.
class FakeEntries final : public EntryConnection {
 public:
  /// The answer of an entry to "METHOD target".
  void Answers(const std::string& address, const std::string& call, unsigned status,
               std::string body) {
    http::Exchange exchange;
    exchange.verdict = Verdict::kCompleted;
    exchange.response = http::Response{status, {}, std::move(body)};
    this->answers[address + " " + call] = exchange;
  }

  /// The call reaches the entry and its answer is lost.
  void LosesAnswer(const std::string& address, const std::string& call) {
    http::Exchange exchange;
    exchange.verdict = Verdict::kMayHaveRun;
    exchange.reason = Reason{ErrorCode::kDeadlineExceeded, "", "timed out"};
    this->answers[address + " " + call] = exchange;
  }

  http::Exchange Call(const std::string& address, const http::Request& request, Duration) override {
    const std::string key = address + " " + request.method + " " + request.target;
    this->seen.push_back(SeenCall{address, request.method, request.target, request.body,
                                  std::string(request.headers.Find("Authorization").value_or(""))});
    const auto found = this->answers.find(key);
    if (found != this->answers.end()) {
      return found->second;
    }
    http::Exchange exchange;
    exchange.reason = Reason{ErrorCode::kUnavailable, "", "connection refused"};
    return exchange;
  }

  std::vector<SeenCall> seen;

 private:
  std::map<std::string, http::Exchange> answers;
};

/// Passes calls on to entries that outlive the program's run.
class ForwardingConnection final : public EntryConnection {
 public:
  explicit ForwardingConnection(FakeEntries& entries) : entries(entries) {}
  http::Exchange Call(const std::string& address, const http::Request& request,
                      Duration timeout) override {
    return this->entries.Call(address, request, timeout);
  }

 private:
  FakeEntries& entries;
};

class FakeRunner final : public CommandRunner {
 public:
  ExitCode Entry(const entry::EntrySettings& settings) override {
    this->started = settings;
    return ExitCode::kOk;
  }

  ExitCode JobEntry(const job_entry::JobEntrySettings& settings) override {
    this->started_job_entry = settings;
    return ExitCode::kOk;
  }

  Result<std::unique_ptr<EntryConnection>> Connect(const std::vector<std::string>&) override {
    std::unique_ptr<EntryConnection> connection =
        std::make_unique<ForwardingConnection>(this->entries);
    return Result<std::unique_ptr<EntryConnection>>(std::move(connection));
  }

  FakeEntries entries;
  std::optional<entry::EntrySettings> started;
  std::optional<job_entry::JobEntrySettings> started_job_entry;
};

class FixedClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint{}; }
  WallTime WallNow() const override { return WallTime(std::chrono::seconds(1'800'000'000)); }
};

}  // namespace chervilspar::cli
