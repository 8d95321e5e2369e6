#include "bench/fleet/demo.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <signal.h>
#include <sstream>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/inventory/document.h"

#include "bench/fleet/callers.h"
#include "bench/fleet/demo_table.h"
#include "bench/fleet/judge.h"

namespace chervilspar::scenario {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStartTimeout = seconds(30);
constexpr unsigned kOk = 200;
constexpr Duration kEndTimeout = seconds(60);
constexpr Duration kLoadSpan = seconds(28);
/// Mean requests a second of one team to one service.
constexpr std::int64_t kMeanRate = 4;
/// Each service in turn is asked this many times its mean for a part of the time, and a twentieth
/// of it in between.
constexpr std::int64_t kBurstFactor = 5;
constexpr Duration kBurstSpan = seconds(4);
constexpr std::int64_t kWorkMs = 60;
/// Worker VMs that the move takes out of the first pool, and spare VMs that it brings in.
constexpr std::size_t kMovedOut = 2;
constexpr std::size_t kMovedIn = 2;

class Demo {
 public:
  Demo(const RunSettings& settings, const inventory::Inventory& given)
      : fleet(settings, given), callers(this->fleet) {}

  Status Run();
  Result<Evidence> Collect();
  const inventory::Inventory& Inventory() { return this->fleet.Plan().inventory; }
  void WriteTimeline();

 private:
  Status Prepare();
  void StartCallers();
  Status PublishMove();
  /// VMs of the move that stand in their target pool, by the word of the first entry.
  std::size_t MovedCount();
  Status Act(const char* what, const Status& status) const;
  void SleepUntil(Duration since_start) const;
  template <typename Condition>
  static Status Await(const std::string& what, Condition condition);
  std::vector<EntryId> Entries() const { return this->fleet.EntryIds(); }

  Fleet fleet;
  Callers callers;
  TimePoint start;
};

template <typename Condition>
Status Demo::Await(const std::string& what, Condition condition) {
  const TimePoint end = SystemClock().Now() + kStartTimeout;
  while (!condition()) {
    if (SystemClock().Now() > end) {
      return Reason{ErrorCode::kDeadlineExceeded, "", what + " did not come about"};
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return Done{};
}

Status Demo::Act(const char* what, const Status& status) const {
  const std::chrono::duration<double> elapsed = SystemClock().Now() - this->start;
  std::printf("%6.1f s  %s%s\n", elapsed.count(), what,
              status ? "" : (": " + ToString(status.LastReason())).c_str());
  std::fflush(stdout);
  return status;
}

void Demo::SleepUntil(Duration since_start) const {
  const TimePoint due = this->start + since_start;
  const TimePoint now = SystemClock().Now();
  if (due > now) {
    std::this_thread::sleep_for(due - now);
  }
}

Status Demo::Prepare() {
  this->fleet.StartStandins();
  for (const EntryId& entry : this->Entries()) {
    this->fleet.StartEntry(entry);
  }
  const EntryId first = this->Entries().front();
  Status status = Await("publishing", [&] { return this->fleet.Publish(first).HasValue(); });
  if (!status) {
    return status;
  }
  status = Await("all entries ready", [&] {
    const std::vector<EntryId> entries = this->Entries();
    return std::all_of(entries.begin(), entries.end(),
                       [this](const EntryId& entry) { return this->fleet.IsReady(entry); });
  });
  for (const auto& [team, unused] : this->Inventory().teams) {
    if (status) {
      status = this->fleet.GiveKey(team, first);
    }
  }
  const TeamId last_team = std::prev(this->Inventory().teams.end())->first;
  const ServiceId service = this->Inventory().pools.begin()->second.service;
  return status
             ? Await("keys at all entries",
                     [&] {
                       const std::vector<EntryId> entries = this->Entries();
                       return std::all_of(
                           entries.begin(), entries.end(), [&](const EntryId& entry) {
                             return this->callers.Probe(last_team, service, entry, kOk).HasValue();
                           });
                     })
             : status;
}

/// Each team asks each service at its mean, in bursts that go round the services.
void Demo::StartCallers() {
  std::uint32_t turn = 0;
  for (const auto& [pool_id, pool] : this->Inventory().pools) {
    if (pool.kind != inventory::PoolKind::kServing) {
      continue;
    }
    const Duration burst_at = kBurstSpan * turn++;
    for (const auto& [team, unused] : this->Inventory().teams) {
      CallPlan plan;
      plan.name = team.text;
      plan.team = team;
      plan.service = pool.service;
      plan.work_ms = kWorkMs;
      plan.retries = 3;
      plan.every = milliseconds(1'000 / kMeanRate);
      plan.count = static_cast<std::uint32_t>(kLoadSpan / plan.every);
      this->callers.Start(plan);
      plan.delay = burst_at;
      plan.every = milliseconds(1'000 / (kMeanRate * (kBurstFactor - 1)));
      plan.count = static_cast<std::uint32_t>(kBurstSpan / plan.every);
      this->callers.Start(plan);
    }
  }
}

/// Spare VMs join the first pool, and as many of its own become spares.
Status Demo::PublishMove() {
  inventory::Inventory& inventory = this->fleet.Plan().inventory;
  PoolId spare;
  PoolId first;
  for (const auto& [id, pool] : inventory.pools) {
    if (pool.kind == inventory::PoolKind::kSpare) {
      spare = id;
    } else if (first.IsEmpty()) {
      first = id;
    }
  }
  inventory::Move move;
  std::size_t moved_in = 0;
  std::size_t moved_out = 0;
  for (const auto& [id, vm] : inventory.vms) {
    if (vm.pool == spare && moved_in < kMovedIn) {
      move.targets.push_back({id, first});
      ++moved_in;
    } else if (vm.pool == first && moved_out < kMovedOut) {
      move.targets.push_back({id, spare});
      ++moved_out;
    }
  }
  move.leave_site = inventory.vms.at(move.targets.front().vm).site;
  move.date = SystemClock().WallNow() + std::chrono::hours(1);
  inventory.move = move;
  return this->fleet.Publish(this->Entries().front());
}

std::size_t Demo::MovedCount() {
  const http::Exchange exchange =
      this->fleet.Operate(this->Entries().front(), "GET", "/v1/operator/inventory", "");
  boost::system::error_code error;
  const boost::json::value body =
      boost::json::parse(exchange.response ? exchange.response->body : "", error);
  if (error || !body.is_object() || !body.get_object().contains("inventory")) {
    return 0;
  }
  const auto current = inventory::Parse(boost::json::serialize(body.get_object().at("inventory")));
  if (!current) {
    return 0;
  }
  const std::vector<inventory::MoveTarget>& targets = this->Inventory().move->targets;
  return static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(), [&](const inventory::MoveTarget& target) {
        const auto vm = current->vms.find(target.vm);
        return vm != current->vms.end() && vm->second.pool == target.to_pool;
      }));
}

Status Demo::Run() {
  Status prepared = this->Prepare();
  if (!prepared) {
    return prepared;
  }
  const std::vector<EntryId> entries = this->Entries();
  const TeamId withdrawn = std::prev(this->Inventory().teams.end())->first;
  this->start = SystemClock().Now();
  this->StartCallers();
  (void)this->Act("callers start", Done{});
  this->SleepUntil(seconds(3));
  const Status moved =
      this->Act("a move is published: a maintenance wave begins", this->PublishMove());
  this->SleepUntil(seconds(9));
  const Status taken = this->Act("the key of the last team is withdrawn",
                                 this->fleet.WithdrawKey(withdrawn, entries[2]));
  this->SleepUntil(seconds(14));
  this->fleet.KillEntry(entries[1]);
  (void)this->Act("an entry is killed", Done{});
  this->SleepUntil(seconds(15));
  this->fleet.StartEntry(entries[1]);
  (void)this->Act("it is replaced", Done{});
  this->SleepUntil(seconds(20));
  this->fleet.Entry(entries.back())->Signal(SIGTERM);
  (void)this->Act("another is told to shut down", Done{});
  const std::optional<int> code = this->fleet.Entry(entries.back())->WaitForExit(kEndTimeout);
  (void)this->Act(code == 0 ? "it has ended gracefully" : "it did not end gracefully", Done{});
  const bool is_done = this->callers.WaitUntilDone(kLoadSpan + kEndTimeout);
  (void)this->Act("callers have their answers", Done{});
  const std::size_t targets = this->Inventory().move->targets.size();
  (void)Await("the move", [&] { return this->MovedCount() == targets; });
  std::printf("%zu of %zu VMs have moved to their new pool\n", this->MovedCount(), targets);
  if (!moved || !taken || code != 0 || !is_done) {
    return Reason{ErrorCode::kInternal, "", "a step of the demonstration failed"};
  }
  return Done{};
}

Result<Evidence> Demo::Collect() {
  Evidence evidence;
  evidence.calls = this->callers.Records();
  evidence.tasks = ParseLedger(this->fleet.EndpointReport("ledger"));
  evidence.availability = ParseAvailability(this->fleet.EndpointReport("availability"));
  evidence.kills = this->fleet.Kills();
  evidence.withdrawals = this->fleet.Withdrawals();
  evidence.inventory = this->Inventory();
  return evidence;
}

void Demo::WriteTimeline() {
  const std::string file = this->fleet.Settings().out_dir + "/timeline.jsonl";
  std::vector<std::string> command = {"timeline"};
  for (const EntryId& entry : this->Entries()) {
    command.insert(command.end(), {"--entry", ToString(this->fleet.HttpAddress(entry))});
  }
  const int code = this->fleet.RunCommand(command, file);
  std::printf("time line of all reachable entries (exit code %d): %s\n", code, file.c_str());
}

}  // namespace

int RunDemo(const RunSettings& settings, const std::string& inventory_file) {
  std::ifstream stream(inventory_file);
  std::ostringstream text;
  text << stream.rdbuf();
  const Result<inventory::Inventory> given = inventory::Parse(text.str());
  if (!given) {
    std::printf("%s: %s\n", inventory_file.c_str(), ToString(given.LastReason()).c_str());
    return 2;
  }
  Demo demo(settings, *given);
  const Status run = demo.Run();
  if (!run) {
    std::printf("FAILED: %s; output in %s\n", ToString(run.LastReason()).c_str(),
                settings.out_dir.c_str());
  }
  const Result<Evidence> evidence = demo.Collect();
  PrintDemoTable(*evidence);
  demo.WriteTimeline();
  const Counters counters = Count(*evidence);
  std::printf("%s\n", counters.ToJson().c_str());
  if (!run) {
    return 2;
  }
  return counters.IsClean() ? 0 : 1;
}

}  // namespace chervilspar::scenario
