#include "vm_list_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace chervilspar::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxPast = 1000;
constexpr Duration kControlTimeout = std::chrono::seconds(5);

}  // namespace

void VmListStandin::Add(const std::string& vm, const std::string& address,
                        const SocketAddress& control) {
  Vm entry;
  entry.address = address;
  entry.control = control;
  this->vms.emplace(vm, std::move(entry));
  this->Changed();
}

asio::awaitable<Reply> VmListStandin::Handle(http::Request request) {
  if (this->outage) {
    co_return JsonReply(R"({"code":"outage"})", 503);
  }
  if (request.target == "/v1/vms") {
    co_return JsonReply(this->LaggingList());
  }
  const auto segments = http::PathSegments(request.target);
  const std::string name(segments.size() > 2 ? segments[2] : "");
  if (!this->vms.contains(name)) {
    co_return JsonReply(R"({"code":"unknown-vm"})", 404);
  }
  if (request.method == "POST") {
    co_return this->Reboot(name,
                           std::string(request.headers.Find("Chervilspar-Step-Id").value_or("")));
  }
  co_return JsonReply(this->Describe(name));
}

Reply VmListStandin::Reboot(const std::string& name, const std::string& step) {
  Vm& vm = this->vms.at(name);
  if (vm.steps[step]++ == 0) {
    asio::co_spawn(this->io, this->CarryOutReboot(name, step), asio::detached);
  }
  Reply reply = JsonReply("{}", 202);
  reply.fault = this->lose_answers ? WireFault::kSilent : WireFault::kNone;
  return reply;
}

asio::awaitable<void> VmListStandin::CarryOutReboot(std::string name, std::string step) {
  Vm& vm = this->vms.at(name);
  vm.state = "rebooting";
  vm.last_step = step;
  this->Changed();
  const json::object order{{"vm", name}, {"reboot_ms", this->reboot_ms}};
  http::Request request{"POST", "/control", {}, json::serialize(order)};
  co_await this->client.Send(vm.control, std::move(request), kControlTimeout, nullptr);
  co_await Sleep(milliseconds(this->reboot_ms));
  if (this->fail_reboots) {
    vm.state = "failed";
  } else if (vm.state == "rebooting") {
    vm.state = "live";
    ++vm.boot;
  }
  this->Changed();
}

std::string VmListStandin::Describe(const std::string& name) const {
  const Vm& vm = this->vms.at(name);
  const std::string state = vm.state == "gone" ? "failed" : vm.state;
  return json::serialize(
      json::object{{"vm", name}, {"state", state}, {"boot", vm.boot}, {"last_step", vm.last_step}});
}

void VmListStandin::Changed() {
  ++this->sequence;
  this->past.push_back({UnixMicros(), this->Render(this->sequence)});
  if (this->past.size() > kMaxPast) {
    this->past.pop_front();
  }
}

std::string VmListStandin::Render(std::int64_t shown_sequence) const {
  json::array lines;
  for (const auto& [name, vm] : this->vms) {
    if (vm.state == "failed" || vm.state == "gone") {
      continue;
    }
    const json::object line{{"vm", name},
                            {"state", vm.state == "leaving" ? "leaving" : "live"},
                            {"address", vm.address}};
    lines.push_back(line);
    if (this->odd == "repeat") {
      lines.push_back(line);
    }
  }
  if (this->odd == "unknown") {
    lines.push_back({{"vm", "nobody-knows"}, {"state", "live"}, {"address", "127.0.0.1:1"}});
  }
  return json::serialize(json::object{
      {"sequence", shown_sequence}, {"as_of_unix_ms", UnixMicros() / 1000}, {"vms", lines}});
}

std::string VmListStandin::LaggingList() const {
  const std::int64_t until = UnixMicros() - this->lag_ms * 1000;
  const Snapshot* chosen = &this->past.front();
  for (const Snapshot& snapshot : this->past) {
    if (snapshot.at_us <= until) {
      chosen = &snapshot;
    }
  }
  return this->odd == "backwards" ? this->past.front().body : chosen->body;
}

bool VmListStandin::Apply(const json::object& switches) {
  this->outage = FlagOr(switches, "outage", this->outage);
  this->lose_answers = FlagOr(switches, "lose_answers", this->lose_answers);
  this->fail_reboots = FlagOr(switches, "fail_reboots", this->fail_reboots);
  this->lag_ms = IntegerOr(switches, "lag_ms", this->lag_ms);
  this->reboot_ms = IntegerOr(switches, "reboot_ms", this->reboot_ms);
  this->odd = TextOr(switches, "odd", this->odd);
  const auto found = this->vms.find(TextOr(switches, "vm", ""));
  if (switches.contains("vm") && found == this->vms.end()) {
    return false;
  }
  if (found != this->vms.end()) {
    found->second.state = TextOr(switches, "state", found->second.state);
  }
  this->Changed();
  return true;
}

std::optional<std::string> VmListStandin::Report(const std::string& name) {
  if (name != "vms") {
    return std::nullopt;
  }
  json::object report;
  for (const auto& [id, vm] : this->vms) {
    json::object steps;
    for (const auto& [step, times] : vm.steps) {
      steps[step] = times;
    }
    report[id] = {{"state", vm.state}, {"boot", vm.boot}, {"steps", steps}};
  }
  return json::serialize(report);
}

}  // namespace chervilspar::standins
