#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/http/blocking_client.h"

#include "bench/fleet/child_process.h"
#include "bench/fleet/fleet_plan.h"

namespace chervilspar::scenario {

/// Where the programs are and where output goes.
struct RunSettings {
  /// The build directory.
  std::string bin_dir;
  std::string out_dir;

  friend bool operator==(const RunSettings&, const RunSettings&) = default;
};

/// A kill of an entry, in wall microseconds: what it had in flight then is not held against it.
struct Kill {
  EntryId entry;
  /// Just before the signal.
  std::int64_t at_us = 0;
  /// When the process was gone.
  std::int64_t gone_us = 0;
};

/// The processes of a scenario: stand-ins, relay and entries. Everything that a script does to them
/// goes through here.
class Fleet {
 public:
  Fleet(const RunSettings& settings, const FleetShape& shape);
  Fleet(const RunSettings& settings, const inventory::Inventory& given);

  void StartStandins();
  void StartEntry(const EntryId& entry);
  ChildProcess* Entry(const EntryId& entry);
  void KillEntry(const EntryId& entry);
  SocketAddress HttpAddress(const EntryId& entry) const;
  std::vector<EntryId> EntryIds() const;
  bool IsReady(const EntryId& entry);

  /// Publishes the plan's inventory through an entry on the version that it knows.
  Status Publish(const EntryId& entry);
  Result<std::int64_t> Version(const EntryId& entry);
  /// Makes a new key of a team and gives it.
  Status GiveKey(const TeamId& team, const EntryId& entry);
  Status WithdrawKey(const TeamId& team, const EntryId& entry);
  /// The key given last, also after it was withdrawn.
  std::string KeyOf(const TeamId& team) const;

  /// Throws switches of a stand-in; `what` is "log", "vmlist", "relay" or a VM's name.
  Status Control(const std::string& what, const std::string& switches);
  /// JSON lines of a report over all endpoint processes.
  std::string EndpointReport(const std::string& name);
  Result<std::string> VmListReport();
  /// Processor time of all endpoint processes.
  Duration EndpointCpuTime() const;

  /// An operator's call to an entry.
  http::Exchange Operate(const EntryId& entry, const std::string& method, const std::string& target,
                         std::string body);
  /// Runs `chervilspar ARGUMENTS` and gives its exit code; its output goes to `output_file`,
  /// what it says besides to a file beside it.
  int RunCommand(const std::vector<std::string>& arguments, const std::string& output_file);

  FleetPlan& Plan() { return this->plan; }
  const std::vector<Kill>& Kills() const { return this->kills; }
  const std::map<TeamId, std::int64_t>& Withdrawals() const { return this->withdrawals; }
  const RunSettings& Settings() const { return this->settings; }

 private:
  /// Blocks until a stand-in takes switches.
  void AwaitListening(const SocketAddress& control);
  void Spawn(const std::string& name, const std::vector<std::string>& arguments);
  std::vector<std::string> EndpointArguments(const ZoneId& zone) const;
  std::string Standin() const { return this->settings.bin_dir + "/tests/chervilspar_standin"; }

  RunSettings settings;
  FreePorts ports;
  FleetPlan plan;
  std::string operator_key;
  std::map<std::string, std::unique_ptr<ChildProcess>> standins;
  std::map<EntryId, std::unique_ptr<ChildProcess>> entries;
  std::map<TeamId, std::string> keys;
  std::map<TeamId, std::int64_t> withdrawals;
  std::vector<Kill> kills;
  std::uint64_t keys_made = 0;
  http::BlockingClient client;
};

/// SHA-256 in lower-case hex.
std::string Sha256Hex(const std::string& text);

std::int64_t UnixMicros();

}  // namespace chervilspar::scenario
