#include "bench/fleet/fleet.h"

#include <array>
#include <signal.h>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include "chervilspar/base/assert.h"
#include "chervilspar/inventory/document.h"

namespace chervilspar::scenario {

namespace json = boost::json;
using std::chrono::seconds;

namespace {

constexpr Duration kOperatorTimeout = seconds(15);
constexpr Duration kControlTimeout = seconds(5);
constexpr Duration kHealthTimeout = std::chrono::milliseconds(500);
constexpr Duration kCommandTimeout = seconds(60);
constexpr unsigned kOk = 200;
constexpr int kListenTries = 500;
constexpr std::chrono::milliseconds kListenPoll(20);

Status StatusOf(const http::Exchange& exchange) {
  if (!exchange.response) {
    return exchange.reason;
  }
  if (exchange.response->status != kOk) {
    return Reason{ErrorCode::kConflict, std::to_string(exchange.response->status),
                  exchange.response->body};
  }
  return Done{};
}

}  // namespace

std::string Sha256Hex(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  const int is_hashed =
      EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  CHERVILSPAR_ASSERT(is_hashed == 1);
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += kDigits[digest[i] / kDigits.size()];
    hex += kDigits[digest[i] % kDigits.size()];
  }
  return hex;
}

std::int64_t UnixMicros() { return SystemClock().WallNow().time_since_epoch().count(); }

Fleet::Fleet(const RunSettings& settings, const FleetShape& shape)
    : settings(settings),
      plan(shape, this->ports),
      operator_key(Sha256Hex("operator" + std::to_string(UnixMicros()))) {}

Fleet::Fleet(const RunSettings& settings, const inventory::Inventory& given)
    : settings(settings),
      plan(given, this->ports),
      operator_key(Sha256Hex("operator" + std::to_string(UnixMicros()))) {}

void Fleet::Spawn(const std::string& name, const std::vector<std::string>& arguments) {
  const std::string log = this->settings.out_dir + "/" + name + ".log";
  this->standins[name] = std::make_unique<ChildProcess>(arguments, OutputFiles{log, log});
}

std::vector<std::string> Fleet::EndpointArguments(const ZoneId& zone) const {
  std::vector<std::string> arguments = {this->Standin(), "endpoints", "--control",
                                        ToString(this->plan.endpoint_controls.at(zone))};
  for (const auto& [id, vm] : this->plan.inventory.vms) {
    if (vm.zone == zone) {
      arguments.insert(arguments.end(), {"--endpoint", id.text + "=" + vm.address});
    }
  }
  const inventory::Vm& any = this->plan.inventory.vms.begin()->second;
  arguments.insert(arguments.end(), {"--slots", std::to_string(any.slots), "--connections",
                                     std::to_string(any.connections)});
  return arguments;
}

void Fleet::StartStandins() {
  this->Spawn("log", {this->Standin(), "log", "--address", ToString(this->plan.log.address),
                      "--control", ToString(this->plan.log.control)});
  std::vector<std::string> list = {this->Standin(), "vmlist",
                                   "--address",     ToString(this->plan.vm_list.address),
                                   "--control",     ToString(this->plan.vm_list.control)};
  for (const auto& [id, vm] : this->plan.inventory.vms) {
    const SocketAddress& control = this->plan.endpoint_controls.at(vm.zone);
    list.insert(list.end(), {"--vm", id.text + "=" + vm.address + "=" + ToString(control)});
  }
  this->Spawn("vmlist", list);
  std::vector<std::string> relay = {this->Standin(), "relay", "--control",
                                    ToString(this->plan.relay_control)};
  for (const RelayPair& pair : this->plan.pairs) {
    relay.insert(relay.end(), {"--pair", pair.group + "=" + ToString(pair.listen) + "=" +
                                             ToString(pair.target)});
  }
  this->Spawn("relay", relay);
  for (const auto& [zone, control] : this->plan.endpoint_controls) {
    this->Spawn("endpoints-" + zone.text, this->EndpointArguments(zone));
  }
  std::vector<SocketAddress> controls = {this->plan.log.control, this->plan.vm_list.control,
                                         this->plan.relay_control};
  for (const auto& [zone, control] : this->plan.endpoint_controls) {
    controls.push_back(control);
  }
  for (const SocketAddress& control : controls) {
    this->AwaitListening(control);
  }
}

void Fleet::AwaitListening(const SocketAddress& control) {
  for (int i = 0; i < kListenTries; ++i) {
    if (this->client.Call(control, {"GET", "/control/", {}, {}}, kControlTimeout).response) {
      return;
    }
    std::this_thread::sleep_for(kListenPoll);
  }
}

void Fleet::StartEntry(const EntryId& id) {
  const inventory::EntryVm& entry = this->plan.inventory.entries.at(id);
  std::vector<std::string> arguments = {this->settings.bin_dir + "/chervilspar",
                                        "entry",
                                        "--id",
                                        id.text,
                                        "--zone",
                                        entry.zone.text,
                                        "--http-address",
                                        entry.http_address,
                                        "--peer-address",
                                        entry.peer_address,
                                        "--log-address",
                                        ToString(this->plan.log.address),
                                        "--vm-list-address",
                                        ToString(this->plan.vm_list.address),
                                        "--operator-key-digest",
                                        Sha256Hex(this->operator_key)};
  for (const auto& [other, peer] : this->plan.inventory.entries) {
    if (other != id) {
      arguments.insert(arguments.end(), {"--seed-peer", peer.peer_address});
    }
  }
  for (const std::string& route : this->plan.RoutesOf(entry.zone)) {
    arguments.insert(arguments.end(), {"--route", route});
  }
  this->entries[id].reset();
  const std::string log = this->settings.out_dir + "/" + id.text + ".log";
  this->entries[id] = std::make_unique<ChildProcess>(arguments, OutputFiles{log, log});
}

ChildProcess* Fleet::Entry(const EntryId& entry) {
  const auto found = this->entries.find(entry);
  return found == this->entries.end() ? nullptr : found->second.get();
}

void Fleet::KillEntry(const EntryId& entry) {
  const std::int64_t before = UnixMicros();
  if (ChildProcess* process = this->Entry(entry)) {
    process->Signal(SIGKILL);
    process->WaitForExit(kControlTimeout);
  }
  this->kills.push_back({entry, before, UnixMicros()});
}

SocketAddress Fleet::HttpAddress(const EntryId& entry) const {
  return *ParseSocketAddress(this->plan.inventory.entries.at(entry).http_address);
}

std::vector<EntryId> Fleet::EntryIds() const {
  std::vector<EntryId> ids;
  for (const auto& [id, entry] : this->plan.inventory.entries) {
    ids.push_back(id);
  }
  return ids;
}

bool Fleet::IsReady(const EntryId& entry) {
  const http::Exchange exchange =
      this->client.Call(this->HttpAddress(entry), {"GET", "/healthz", {}, {}}, kHealthTimeout);
  return exchange.response && exchange.response->status == kOk;
}

http::Exchange Fleet::Operate(const EntryId& entry, const std::string& method,
                              const std::string& target, std::string body) {
  http::Request request{method, target, {}, std::move(body)};
  request.headers.Add("Authorization", "Bearer " + this->operator_key);
  request.headers.Add("Content-Type", "application/json");
  // A client of its own, so that two operators can act at once.
  http::BlockingClient own;
  return own.Call(this->HttpAddress(entry), std::move(request), kOperatorTimeout);
}

Result<std::int64_t> Fleet::Version(const EntryId& entry) {
  const http::Exchange exchange = this->Operate(entry, "GET", "/v1/operator/inventory", "");
  const Status status = StatusOf(exchange);
  if (!status) {
    return status.LastReason();
  }
  boost::system::error_code error;
  const json::value value = json::parse(exchange.response->body, error);
  const json::value* version =
      !error && value.is_object() ? value.get_object().if_contains("version") : nullptr;
  if (version == nullptr || !version->is_int64()) {
    return Reason{ErrorCode::kMalformed, "/version", exchange.response->body};
  }
  return version->get_int64();
}

Status Fleet::Publish(const EntryId& entry) {
  const Result<std::int64_t> base = this->Version(entry);
  if (!base) {
    return base.LastReason();
  }
  const std::string body = R"({"base_version":)" + std::to_string(*base) + R"(,"inventory":)" +
                           inventory::Serialize(this->plan.inventory) + "}";
  return StatusOf(this->Operate(entry, "POST", "/v1/operator/publish", body));
}

Status Fleet::GiveKey(const TeamId& team, const EntryId& entry) {
  const std::string key =
      Sha256Hex(team.text + std::to_string(++this->keys_made) + this->operator_key);
  const json::object body{{"team", team.text}, {"digest", Sha256Hex(key)}};
  Status status =
      StatusOf(this->Operate(entry, "POST", "/v1/operator/keys", json::serialize(body)));
  if (status) {
    this->keys[team] = key;
    this->withdrawals.erase(team);
  }
  return status;
}

Status Fleet::WithdrawKey(const TeamId& team, const EntryId& entry) {
  const std::string digest = Sha256Hex(this->KeyOf(team));
  Status status = StatusOf(this->Operate(entry, "DELETE", "/v1/operator/keys/" + digest, ""));
  if (status) {
    this->withdrawals[team] = UnixMicros();
  }
  return status;
}

std::string Fleet::KeyOf(const TeamId& team) const {
  const auto found = this->keys.find(team);
  return found == this->keys.end() ? "" : found->second;
}

Status Fleet::Control(const std::string& what, const std::string& switches) {
  SocketAddress address;
  if (what == "log") {
    address = this->plan.log.control;
  } else if (what == "vmlist") {
    address = this->plan.vm_list.control;
  } else if (what == "relay") {
    address = this->plan.relay_control;
  } else {
    address = this->plan.endpoint_controls.at(this->plan.inventory.vms.at(VmId{what}).zone);
  }
  return StatusOf(this->client.Call(address, {"POST", "/control", {}, switches}, kControlTimeout));
}

std::string Fleet::EndpointReport(const std::string& name) {
  std::string all;
  for (const auto& [zone, control] : this->plan.endpoint_controls) {
    http::Exchange exchange =
        this->client.Call(control, {"GET", "/control/" + name, {}, {}}, kControlTimeout);
    all += exchange.response ? exchange.response->body : "";
  }
  return all;
}

Result<std::string> Fleet::VmListReport() {
  http::Exchange exchange = this->client.Call(this->plan.vm_list.control,
                                              {"GET", "/control/vms", {}, {}}, kControlTimeout);
  if (!exchange.response) {
    return exchange.reason;
  }
  return exchange.response->body;
}

Duration Fleet::EndpointCpuTime() const {
  Duration sum = Duration::zero();
  for (const auto& [zone, control] : this->plan.endpoint_controls) {
    sum += this->standins.at("endpoints-" + zone.text)->CpuTime();
  }
  return sum;
}

int Fleet::RunCommand(const std::vector<std::string>& arguments, const std::string& output_file) {
  std::vector<std::string> command = {this->settings.bin_dir + "/chervilspar"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const OutputFiles files{output_file, output_file + ".err"};
  ChildProcess process(command, files, {"CHERVILSPAR_OPERATOR_KEY=" + this->operator_key});
  return process.WaitForExit(kCommandTimeout).value_or(-1);
}

}  // namespace chervilspar::scenario
