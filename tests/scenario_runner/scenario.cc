#include "scenario.h"

#include <charconv>
#include <fstream>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chervilspar::scenario {

namespace {

constexpr Duration kCallsTimeout = std::chrono::seconds(60);

Reason Fault(const std::string& message) { return {ErrorCode::kInvalidArgument, "", message}; }

}  // namespace

Result<std::int64_t> ParseCount(const std::string& text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0) {
    return Fault("'" + text + "' is not a whole number");
  }
  return number;
}

Scenario::Scenario(RunSettings settings) : settings(std::move(settings)) {
  this->vocabulary.Add("fleet ...", [this](const Arguments& a) { return this->MakeFleet(a); });
  this->AddProcessWords();
  this->AddOperatorWords();
  this->AddCallWords();
  this->AddPlatformWords();
  this->AddEndpointWords();
  this->AddNetworkWords();
  this->AddMaintenanceWords();
  this->AddGarbageWords();
}

Status Scenario::MakeFleet(const Arguments& pairs) {
  FleetShape shape;
  const std::map<std::string, std::uint32_t*> fields = {
      {"zones", &shape.zones},     {"entries", &shape.entries}, {"services", &shape.services},
      {"workers", &shape.workers}, {"spares", &shape.spares},   {"teams", &shape.teams},
      {"limit", &shape.limit}};
  for (std::size_t i = 0; i + 1 < pairs.size(); i += 2) {
    const auto field = fields.find(pairs[i]);
    const Result<std::int64_t> value = ParseCount(pairs[i + 1]);
    if (field == fields.end() || !value) {
      return Fault("'" + pairs[i] + " " + pairs[i + 1] + "' is no part of a fleet");
    }
    *field->second = static_cast<std::uint32_t>(*value);
  }
  this->fleet = std::make_unique<Fleet>(this->settings, shape);
  this->fleet->StartStandins();
  this->callers = std::make_unique<Callers>(*this->fleet);
  return Done{};
}

std::int64_t Scenario::Completed(const std::string& plan) const {
  std::int64_t count = 0;
  for (const CallRecord& call : this->callers->Records()) {
    count += call.plan == plan && call.verdict == Verdict::kCompleted ? 1 : 0;
  }
  return count;
}

void Scenario::WriteCalls() const {
  std::ofstream file(this->settings.out_dir + "/calls.jsonl");
  for (const CallRecord& call : this->callers->Records()) {
    file << boost::json::object{{"plan", call.plan},
                                {"team", call.team.text},
                                {"request", call.request.text},
                                {"entry", call.entry.text},
                                {"sent_us", call.sent_us},
                                {"ended_us", call.ended_us},
                                {"status", call.status},
                                {"verdict", ToString(call.verdict)},
                                {"code", call.code}}
         << "\n";
  }
}

std::string Scenario::Summary() const {
  if (this->callers) {
    this->WriteCalls();
  }
  std::map<std::string, int> counts;
  for (const CallRecord& call :
       this->callers ? this->callers->Records() : std::vector<CallRecord>{}) {
    ++counts[call.plan + " at " + call.entry.text + ": " + ToString(call.verdict) + " " +
             std::to_string(call.status) + " " + call.code];
  }
  std::string text;
  for (const auto& [what, count] : counts) {
    text += "  " + std::to_string(count) + " x " + what + "\n";
  }
  return text;
}

Result<Counters> Scenario::Conclude() {
  if (!this->fleet) {
    return Fault("the script has no 'fleet' line");
  }
  if (!this->callers->WaitUntilDone(kCallsTimeout)) {
    return Reason{ErrorCode::kDeadlineExceeded, "", "callers still wait for answers"};
  }
  Evidence evidence;
  evidence.calls = this->callers->Records();
  const std::string ledger = this->fleet->EndpointReport("ledger");
  std::ofstream(this->settings.out_dir + "/ledger.jsonl") << ledger;
  evidence.tasks = ParseLedger(ledger);
  evidence.availability = ParseAvailability(this->fleet->EndpointReport("availability"));
  evidence.kills = this->fleet->Kills();
  evidence.withdrawals = this->fleet->Withdrawals();
  evidence.inventory = this->fleet->Plan().inventory;
  for (const auto& [team, limit] : this->highest_limits) {
    std::uint32_t& stated = evidence.inventory.teams.at(team).upper_limit;
    stated = std::max(stated, limit);
  }
  return Count(evidence);
}

}  // namespace chervilspar::scenario
