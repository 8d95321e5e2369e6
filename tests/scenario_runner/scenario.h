#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bench/fleet/callers.h"
#include "bench/fleet/fleet.h"
#include "bench/fleet/judge.h"
#include "script.h"

namespace chervilspar::scenario {

/// What the statements of one script act on, and the vocabulary bound to it.
class Scenario {
 public:
  explicit Scenario(RunSettings settings);

  const Vocabulary& Words() const { return this->vocabulary; }
  /// Waits for the callers, collects what they and the endpoints saw, and counts. Reasons tell what
  /// should be zero and is not.
  Result<Counters> Conclude();
  /// How often attempts of each plan ended in which way, one line each.
  std::string Summary() const;

 private:
  /// Leaves all attempts beside the processes' output, as JSON lines.
  void WriteCalls() const;
  void AddProcessWords();
  void AddOperatorWords();
  void AddCallWords();
  void AddPlatformWords();
  void AddEndpointWords();
  void AddNetworkWords();
  void AddMaintenanceWords();
  void AddGarbageWords();

  Status MakeFleet(const Arguments& pairs);
  Status SignalEntry(const std::string& entry, int signal);
  Status ExpectExit(const std::string& entry, const std::string& code);
  Status PublishChanged(const std::string& team, double share, const std::string& entry);
  Status ExpectSameEverywhere();
  Status ExpectVersion(const std::string& entry, std::int64_t version);
  Status ExpectStatus(const std::string& team, const std::string& entry, unsigned wanted);
  Status StartCalls(const Arguments& words);
  Status ExpectCompleted(const std::string& plan, std::int64_t least);
  Status ExpectShare(const std::string& vm, const std::string& service, double most_percent);
  Status SwitchRelay(const std::string& what, const std::vector<std::string>& groups,
                     std::int64_t delay_ms);
  std::vector<std::string> GroupsOf(const std::string& zone) const;
  Status SwitchRack(const std::string& rack, const std::string& switches, const std::string& state);
  Status SwitchVm(const std::string& vm, const std::string& switches, const std::string& state);
  Status ExpectReboots(std::int64_t least);
  Status RunCheck(int expected_exit);
  std::int64_t Completed(const std::string& plan) const;

  RunSettings settings;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Callers> callers;
  Vocabulary vocabulary;
  std::map<TeamId, std::uint32_t> highest_limits;
  std::atomic<std::int64_t> publishes = 0;
};

/// A whole number of zero or more; anything else is a reason.
Result<std::int64_t> ParseCount(const std::string& text);

}  // namespace chervilspar::scenario
