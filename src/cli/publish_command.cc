#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/inventory/delta.h"
#include "chervilspar/inventory/document.h"

#include "cli/command.h"
#include "cli/json_view.h"

namespace chervilspar::cli {

namespace {

/// The configuration in force.
struct Current {
  std::int64_t version = 0;
  inventory::Inventory inventory;
};

Result<Current> ReadCurrent(const Answer& answer) {
  const boost::json::value json = answer.Json();
  const JsonView view(json);
  Current current;
  current.version = view.At("version").Integer();
  if (current.version == 0) {
    return current;
  }
  Result<inventory::Inventory> inventory =
      inventory::InventoryFromJson(json.get_object().at("inventory"));
  if (!inventory) {
    return inventory.LastReason();
  }
  current.inventory = std::move(inventory).Value();
  return current;
}

template <typename IdType, typename Object>
void PrintChanges(const char* kind, const inventory::ObjectChanges<IdType, Object>& changes,
                  const Console& console) {
  if (!changes.IsEmpty()) {
    console.err << "  " << kind << ": " << changes.put.size() << " added or changed, "
                << changes.removed.size() << " removed\n";
  }
}

void PrintDelta(const inventory::InventoryDelta& delta, const Console& console) {
  if (delta.IsEmpty()) {
    console.err << "  nothing\n";
  }
  PrintChanges("zones", delta.zones, console);
  PrintChanges("services", delta.services, console);
  PrintChanges("pools", delta.pools, console);
  PrintChanges("vms", delta.vms, console);
  PrintChanges("teams", delta.teams, console);
  PrintChanges("entries", delta.entries, console);
  if (delta.move) {
    console.err << "  move: " << (delta.move->move ? "changed" : "removed") << "\n";
  }
  if (delta.maintenance) {
    console.err << "  maintenance: changed\n";
  }
  if (delta.service_rules) {
    console.err << "  service_rules: changed\n";
  }
}

/// Tells which VMs stay where the system has moved them although the file names another pool.
void PrintMovedVms(const inventory::Inventory& wanted, const inventory::Inventory& current,
                   const Console& console) {
  for (const auto& [id, vm] : wanted.vms) {
    const auto now = current.vms.find(id);
    if (now != current.vms.end() && now->second.pool != vm.pool) {
      console.err << "  note: VM " << id.text << " is in pool " << now->second.pool.text
                  << ", the file says " << vm.pool.text
                  << "; if a move step took it there, it stays\n";
    }
  }
}

ExitCode Send(const std::string& document, std::int64_t base_version, const OperatorClient& client,
              const Console& console) {
  const std::string body =
      "{\"base_version\":" + std::to_string(base_version) + ",\"inventory\":" + document + "}";
  const Answer answer = client.CallAny("POST", "/v1/operator/publish", body);
  if (!answer.IsOk()) {
    const ExitCode code = Fail(answer, console);
    if (code == ExitCode::kUnknown) {
      console.err << "chervilspar: look at `chervilspar status` for the version in force; "
                     "publishing again from the same base version can't do harm\n";
    }
    return code;
  }
  const boost::json::value json = answer.Json();
  console.out << "version " << JsonView(json).At("version").Shown() << " is in force at "
              << answer.address << "\n";
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunPublish(const PublishOptions& options, const OperatorClient& client,
                    const Console& console) {
  // Nothing is sent before the file is known to be right.
  const Result<std::string> text = ReadFile(options.file);
  if (!text) {
    console.err << "chervilspar: " << ToString(text.LastReason()) << "\n";
    return ExitCode::kUsage;
  }
  const ExitCode checked = RunCheck(CheckOptions{options.file, ""}, console);
  if (checked != ExitCode::kOk) {
    return checked;
  }
  const Answer answer = client.CallAny("GET", "/v1/operator/inventory");
  if (!answer.IsOk()) {
    return Fail(answer, console);
  }
  const Result<Current> current = ReadCurrent(answer);
  if (!current) {
    console.err << "chervilspar: " << answer.address
                << " gave an inventory that can't be read: " << ToString(current.LastReason())
                << "\n";
    return ExitCode::kInternal;
  }
  const inventory::Inventory wanted = inventory::Parse(*text).Value();
  console.err << "changes against version " << current->version << ":\n";
  const inventory::InventoryDelta delta = inventory::Diff(current->inventory, wanted);
  PrintDelta(delta, console);
  if (delta.IsEmpty()) {
    console.out << "version " << current->version << " is in force already\n";
    return ExitCode::kOk;
  }
  PrintMovedVms(wanted, current->inventory, console);
  // Another operator may have published since the file was made; taking the current version for
  // its base would undo that change without anyone having seen it.
  if (!options.base_version && current->version != 0) {
    console.err << "chervilspar: nothing was published: version " << current->version
                << " is in force; if the changes above are meant, give --base-version "
                << current->version << "\n";
    return ExitCode::kRefused;
  }
  return Send(inventory::Serialize(wanted), options.base_version.value_or(0), client, console);
}

}  // namespace chervilspar::cli
