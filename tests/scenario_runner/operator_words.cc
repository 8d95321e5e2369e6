#include <cstdlib>
#include <fstream>

#include "chervilspar/inventory/document.h"

#include "scenario.h"

namespace chervilspar::scenario {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;

}  // namespace

void Scenario::AddOperatorWords() {
  this->vocabulary.Add("publish via <entry>", [this](const Arguments& a) -> Status {
    Status status = this->fleet->Publish(EntryId{a[0]});
    this->publishes += status ? 1 : 0;
    return status;
  });
  this->vocabulary.Add("publish share <team> <share> via <entry>", [this](const Arguments& a) {
    return this->PublishChanged(a[0], std::atof(a[1].c_str()), a[2]);
  });
  this->vocabulary.Add("set limit <team> <limit>", [this](const Arguments& a) -> Status {
    const Result<std::int64_t> limit = ParseCount(a[1]);
    if (!limit) {
      return limit.LastReason();
    }
    std::uint32_t& stated = this->fleet->Plan().inventory.teams.at(TeamId{a[0]}).upper_limit;
    std::uint32_t& highest = this->highest_limits[TeamId{a[0]}];
    highest = std::max(highest, stated);
    stated = static_cast<std::uint32_t>(*limit);
    return Done{};
  });
  this->vocabulary.Add("give key <team> via <entry>", [this](const Arguments& a) {
    return this->fleet->GiveKey(TeamId{a[0]}, EntryId{a[1]});
  });
  this->vocabulary.Add("give keys via <entry>", [this](const Arguments& a) -> Status {
    for (const auto& [team, unused] : this->fleet->Plan().inventory.teams) {
      Status status = this->fleet->GiveKey(team, EntryId{a[0]});
      if (!status) {
        return status;
      }
    }
    return Done{};
  });
  this->vocabulary.Add("withdraw key <team> via <entry>", [this](const Arguments& a) {
    return this->fleet->WithdrawKey(TeamId{a[0]}, EntryId{a[1]});
  });
  this->vocabulary.Add("expect key <team> refused via <entry>", [this](const Arguments& a) {
    return this->ExpectStatus(a[0], a[1], kUnauthorized);
  });
  this->vocabulary.Add("expect key <team> works via <entry>",
                       [this](const Arguments& a) { return this->ExpectStatus(a[0], a[1], kOk); });
  this->vocabulary.Add("expect version <version> at <entry>", [this](const Arguments& a) -> Status {
    const Result<std::int64_t> version = ParseCount(a[0]);
    return version ? this->ExpectVersion(a[1], *version) : version.LastReason();
  });
  this->vocabulary.Add("expect all publishes counted once", [this](const Arguments&) -> Status {
    for (const EntryId& entry : this->fleet->EntryIds()) {
      Status status = this->ExpectVersion(entry.text, this->publishes);
      if (!status) {
        return status;
      }
    }
    return Done{};
  });
  this->vocabulary.Add("expect same configuration everywhere",
                       [this](const Arguments&) { return this->ExpectSameEverywhere(); });
  this->vocabulary.Add("run check exits <code>", [this](const Arguments& a) {
    return this->RunCheck(std::atoi(a[0].c_str()));
  });
}

/// Publishes a changed share. A conflict with another operator is an answer, not a failure; what
/// must hold is looked at afterwards.
Status Scenario::PublishChanged(const std::string& team, double share, const std::string& entry) {
  const Result<std::int64_t> base = this->fleet->Version(EntryId{entry});
  if (!base) {
    return base.LastReason();
  }
  inventory::Inventory changed = this->fleet->Plan().inventory;
  changed.teams.at(TeamId{team}).share = share;
  const std::string body = R"({"base_version":)" + std::to_string(*base) + R"(,"inventory":)" +
                           inventory::Serialize(changed) + "}";
  const http::Exchange exchange =
      this->fleet->Operate(EntryId{entry}, "POST", "/v1/operator/publish", body);
  if (!exchange.response) {
    return exchange.reason;
  }
  this->publishes += exchange.response->status == kOk ? 1 : 0;
  return Done{};
}

Status Scenario::ExpectVersion(const std::string& entry, std::int64_t version) {
  const Result<std::int64_t> known = this->fleet->Version(EntryId{entry});
  if (!known) {
    return known.LastReason();
  }
  if (*known != version) {
    return Reason{
        ErrorCode::kConflict, "",
        entry + " has version " + std::to_string(*known) + ", not " + std::to_string(version)};
  }
  return Done{};
}

Status Scenario::ExpectSameEverywhere() {
  std::string first;
  for (const EntryId& entry : this->fleet->EntryIds()) {
    const http::Exchange exchange =
        this->fleet->Operate(entry, "GET", "/v1/operator/inventory", "");
    if (!exchange.response || exchange.response->status != kOk) {
      return Reason{ErrorCode::kUnavailable, "", entry.text + " gives no inventory"};
    }
    first = first.empty() ? exchange.response->body : first;
    if (exchange.response->body != first) {
      return Reason{ErrorCode::kConflict, "", entry.text + " has another configuration"};
    }
  }
  return Done{};
}

Status Scenario::ExpectStatus(const std::string& team, const std::string& entry, unsigned wanted) {
  return this->callers->Probe(TeamId{team}, ServiceId{"s1"}, EntryId{entry}, wanted);
}

Status Scenario::RunCheck(int expected_exit) {
  const std::string file = this->settings.out_dir + "/inventory.json";
  std::ofstream(file) << inventory::Serialize(this->fleet->Plan().inventory,
                                              inventory::Layout::kIndented);
  const int code = this->fleet->RunCommand({"check", file}, this->settings.out_dir + "/check.log");
  if (code != expected_exit) {
    return Reason{ErrorCode::kInternal, "", "check ended with " + std::to_string(code)};
  }
  return Done{};
}

}  // namespace chervilspar::scenario
