#include "bench/lending_fleet.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "chervilspar/rpc/peer_message.h"

#include "bench/outcome.h"

namespace chervilspar::bench {

namespace {

constexpr std::size_t kEntries = 6;
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kOneWay = std::chrono::milliseconds(1);
constexpr Duration kTaskLease = std::chrono::seconds(20);
constexpr double kMeanTaskSeconds = 0.4;
/// Demand over limit, averaged over time; a burst asks five times as much for a sixth of the time.
constexpr double kMeanLoad = 0.5;
constexpr double kBurst = 5.0;
constexpr double kQuiet = 0.05;
constexpr double kBurstSeconds = 3.0;
constexpr std::size_t kBurstOneIn = 6;
/// Part of a team's requests that lands at its favourite entry.
constexpr double kAtFavourite = 0.7;
constexpr std::uint32_t kLargestLimit = 24;
constexpr TimePoint kDemandEnds = TimePoint(std::chrono::seconds(60));
constexpr TimePoint kEnd = TimePoint(std::chrono::seconds(110));
constexpr std::size_t kVictim = 2;

double Seconds(TimePoint at) { return static_cast<double>(at.time_since_epoch().count()) / 1e6; }

Duration Span(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

double Exponential(Random& random, double mean) { return -mean * std::log(1.0 - random.Unit()); }

}  // namespace

LendingFleet::LendingFleet(const LendingWay& way, std::uint64_t seed, std::uint32_t teams)
    : way(way), random(seed) {
  this->AddTeams(teams);
  this->AddEntries();
}

void LendingFleet::AddTeams(std::uint32_t teams) {
  for (std::uint32_t at = 0; at < teams; ++at) {
    Team team;
    team.id.text = "team" + std::to_string(at);
    team.limit = 1 + static_cast<std::uint32_t>(this->random.Below(kLargestLimit));
    team.mean_rate = kMeanLoad * team.limit / kMeanTaskSeconds;
    this->teams.push_back(team);
  }
}

void LendingFleet::AddEntries() {
  quota::Limits limits;
  limits.version = 1;
  limits.max_task_lease = kTaskLease;
  limits.loan_lease = this->way.lease;
  for (const Team& team : this->teams) {
    limits.upper_limits[team.id] = team.limit;
  }
  for (std::size_t at = 0; at < kEntries; ++at) {
    limits.entries.insert(EntryId{"e" + std::to_string(at)});
  }
  for (const EntryId& id : limits.entries) {
    Entry entry;
    entry.id = id;
    const membership::Self self{id, {WallTime(), 1}, ZoneId{"zone"}};
    entry.quota = std::make_unique<quota::Quota>(self, TimePoint(), this->way.policy);
    entry.quota->OnMayOwn(TimePoint());
    entry.quota->OnConfiguration(limits, TimePoint());
    entry.quota->OnSettled({1, {}}, TimePoint());
    std::vector<EntryId> lenders;
    for (const EntryId& other : limits.entries) {
      if (this->way.lends && other != id) {
        lenders.push_back(other);
      }
    }
    entry.quota->SetLenders(lenders);
    entry.queues.resize(this->teams.size());
    this->entries.push_back(std::move(entry));
  }
}

double LendingFleet::RateNow(std::size_t team) const {
  const auto turn = static_cast<std::size_t>(Seconds(this->loop.Now()) / kBurstSeconds);
  const bool bursts = (turn + team) % kBurstOneIn == 0;
  return this->teams[team].mean_rate * (bursts ? kBurst : kQuiet);
}

std::size_t LendingFleet::PickEntry(std::size_t team) {
  if (this->random.Unit() < kAtFavourite) {
    return team % kEntries;
  }
  return this->random.Below(kEntries);
}

void LendingFleet::Arrive(std::size_t team) {
  if (this->loop.Now() >= kDemandEnds) {
    return;
  }
  const std::size_t entry = this->PickEntry(team);
  const TaskId task{std::to_string(++this->last_task)};
  this->entries[entry].queues[team].push_back({task, this->loop.Now()});
  this->StartWaiting(entry, team);
  // Thinning: arrivals at the highest rate, of which the present rate's part is taken.
  double gap = 0.0;
  const double highest = this->teams[team].mean_rate * kBurst;
  gap = Exponential(this->random, 1.0 / highest);
  while (this->random.Unit() > this->RateNow(team) / highest) {
    gap += Exponential(this->random, 1.0 / highest);
    if (gap > kBurstSeconds) {
      break;
    }
  }
  this->loop.After(Span(gap), [this, team] { this->Arrive(team); });
}

void LendingFleet::StartWaiting(std::size_t at, std::size_t team) {
  Entry& entry = this->entries[at];
  std::deque<Waiting>& queue = entry.queues[team];
  const TimePoint now = this->loop.Now();
  while (!queue.empty()) {
    const Waiting first = queue.front();
    if (!entry.quota->TryStart(this->teams[team].id, first.task, now, WallTime())) {
      break;
    }
    queue.pop_front();
    this->waits.push_back(Seconds(now) - Seconds(first.arrived));
    const Duration runs = Span(Exponential(this->random, kMeanTaskSeconds));
    this->loop.After(runs, [this, at, team, task = first.task] {
      this->entries[at].quota->OnEnded(task, this->loop.Now());
      this->StartWaiting(at, team);
    });
  }
  entry.quota->SetWaiting(this->teams[team].id, static_cast<std::uint32_t>(queue.size()));
}

void LendingFleet::Tick(std::size_t at) {
  Entry& entry = this->entries[at];
  if (entry.is_dead) {
    return;
  }
  this->Send(entry.quota->Tick(this->loop.Now()));
  this->loop.After(kTick, [this, at] { this->Tick(at); });
}

void LendingFleet::Send(const std::vector<quota::LendingMessage>& messages) {
  for (const quota::LendingMessage& message : messages) {
    ++this->messages;
    this->bytes += rpc::Encode({message.from, message}).size();
    this->loop.After(kOneWay, [this, message] {
      for (std::size_t at = 0; at < this->entries.size(); ++at) {
        Entry& entry = this->entries[at];
        if (entry.id != message.to || entry.is_dead) {
          continue;
        }
        this->Send(entry.quota->OnMessage(message, this->loop.Now()));
        for (std::size_t team = 0; team < this->teams.size(); ++team) {
          if (!entry.queues[team].empty()) {
            this->StartWaiting(at, team);
          }
        }
      }
    });
  }
}

void LendingFleet::Sample() {
  if (this->loop.Now() >= kDemandEnds) {
    return;
  }
  const double step = static_cast<double>(kTick.count()) / 1e6;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    for (Entry& entry : this->entries) {
      const quota::TeamUnits units = entry.quota->Units(this->teams[team].id, this->loop.Now());
      waiting += units.waiting;
      running += units.running;
    }
    const std::uint32_t idle = this->teams[team].limit - running;
    this->wanted_unit_seconds += step * std::min(waiting + running, this->teams[team].limit);
    this->idle_unit_seconds += step * std::min(idle, waiting);
  }
  this->loop.After(kTick, [this] { this->Sample(); });
}

void LendingFleet::SampleRisk() {
  const double step = static_cast<double>(kTick.count()) / 1e6;
  for (Entry& entry : this->entries) {
    for (std::size_t team = 0; !entry.is_dead && team < this->teams.size(); ++team) {
      this->risk_unit_seconds +=
          step * entry.quota->Units(this->teams[team].id, this->loop.Now()).lent;
    }
  }
  this->loop.After(kTick, [this] { this->SampleRisk(); });
}

std::vector<Metric> LendingFleet::Run() {
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    this->loop.At(TimePoint(Span(this->random.Unit())), [this, team] { this->Arrive(team); });
  }
  for (std::size_t at = 0; at < kEntries; ++at) {
    this->loop.At(TimePoint(Span(this->random.Unit() * 0.05)), [this, at] { this->Tick(at); });
  }
  this->Sample();
  this->loop.At(kDemandEnds, [this] {
    this->entries[kVictim].is_dead = true;
    for (Entry& entry : this->entries) {
      for (std::size_t team = 0; team < this->teams.size(); ++team) {
        entry.queues[team].clear();
        entry.quota->SetWaiting(this->teams[team].id, 0);
      }
    }
    this->SampleRisk();
  });
  this->loop.RunUntil(kEnd);
  return this->Figures();
}

std::vector<Metric> LendingFleet::Figures() const {
  const double demand_seconds = Seconds(kDemandEnds);
  const double entry_seconds = demand_seconds * kEntries;
  const double wasted = this->idle_unit_seconds / std::max(1.0, this->wanted_unit_seconds);
  return {{"idle while wanted %", 100 * wasted, Better::kLower},
          {"wait p50 ms", 1000 * Quantile(this->waits, 0.5), Better::kLower},
          {"wait p99 ms", 1000 * Quantile(this->waits, 0.99), Better::kLower},
          {"lost unit s", this->risk_unit_seconds, Better::kLower},
          {"bytes/s an entry", static_cast<double>(this->bytes) / entry_seconds, Better::kLower}};
}

}  // namespace chervilspar::bench
