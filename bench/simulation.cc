#include "bench/simulation.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "chervilspar/base/assert.h"
#include "chervilspar/base/hash.h"

#include "bench/simulation_state.h"

namespace chervilspar::bench {

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(1000));
constexpr Duration kPumpPeriod = std::chrono::milliseconds(10);
constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
/// After the last arrival, so that every request gets its end.
constexpr double kDrainSeconds = 15.0;
constexpr Duration kAskAgainAtOnce = std::chrono::milliseconds(50);
constexpr std::uint32_t kVmMemoryMb = 128 * 1024;
constexpr std::uint32_t kVmCores = 64;

Duration FromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e6)); }

/// A report in Thrift's compact protocol: a byte for each field's head, one for each length, and
/// one or two for each number.
double WireBytes(const scheduling::ShardReport& report) {
  std::size_t bytes = 20 + report.service.text.size();
  for (const scheduling::TeamLoad& load : report.teams) {
    bytes += 8 + load.team.text.size();
  }
  for (const scheduling::EndpointLoad& load : report.endpoints) {
    bytes += 5 + load.endpoint.text.size();
  }
  for (const VmId& endpoint : report.ejected) {
    bytes += 1 + endpoint.text.size();
  }
  return static_cast<double>(bytes);
}

double ToSeconds(Duration span) { return static_cast<double>(span.count()) / 1e6; }

}  // namespace

Simulation::Simulation(const Scenario& scenario)
    : scenario(scenario), decisions(MixBits(scenario.seed + 1)) {
  this->MakeFleet();
  this->outcome.slots = scenario.Slots();
  this->outcome.measured_seconds = scenario.seconds - scenario.warm_up;
  this->outcome.sent_to.assign(scenario.endpoints.size(), 0);
  for (const TeamLoadSpec& team : scenario.teams) {
    TeamOutcome result;
    result.name = team.name;
    result.share = team.share;
    result.used_by_tick.assign(
        static_cast<std::size_t>(this->outcome.measured_seconds * kTicksPerSecond), 0.0);
    this->outcome.teams.push_back(std::move(result));
    this->team_randoms.emplace_back(StableHash(team.name, scenario.seed));
    if (team.upper_limit > 0) {
      this->gate.limits[TeamId{team.name}] = team.upper_limit;
    }
  }
}

void Simulation::MakeFleet() {
  const auto zone_name = [](std::uint32_t zone) {
    return ZoneId{std::string(1, static_cast<char>('a' + zone))};
  };
  std::vector<load_balancing::Endpoint> listed;
  for (std::uint32_t index = 0; index < this->scenario.endpoints.size(); ++index) {
    const EndpointSpec& spec = this->scenario.endpoints[index];
    EndpointFake endpoint{spec, VmId{"vm-" + std::to_string(index)}, zone_name(spec.zone), 0};
    listed.push_back({endpoint.id, endpoint.zone, spec.slots, {kVmCores, kVmMemoryMb, 0}});
    this->endpoints.push_back(std::move(endpoint));
  }
  std::vector<scheduling::TeamShare> shares;
  for (const TeamLoadSpec& team : this->scenario.teams) {
    shares.push_back({TeamId{team.name}, team.share, scheduling::UrgentPermission::kAllowed});
  }
  for (std::uint32_t index = 0; index < this->scenario.entries; ++index) {
    EntryFake entry{EntryId{"entry-" + std::to_string(index)},
                    zone_name(index % this->scenario.zones), nullptr, 0};
    entry.shard = std::make_unique<dispatch::ServiceShard>(ServiceId{"bookings"}, entry.id,
                                                           entry.zone, this->scenario.options);
    entry.shard->SetTeams(shares, kStart);
    entry.shard->SetEndpoints(listed, kStart);
    entry.shard->SetShapes({{kVmCores, kVmMemoryMb, 0}});
    this->entries.push_back(std::move(entry));
  }
}

RunOutcome Simulation::Run() {
  this->loop.RunUntil(kStart);
  const auto count = static_cast<std::uint32_t>(this->entries.size());
  for (std::uint32_t entry = 0; entry < count; ++entry) {
    const auto phase = this->scenario.options.report_period * entry / count;
    this->loop.At(kStart + phase, [this, entry] { this->Report(entry); });
    this->loop.At(kStart + phase, [this, entry] { this->Tick(entry); });
  }
  for (std::uint32_t team = 0; team < this->scenario.teams.size(); ++team) {
    this->NextArrival(team);
  }
  this->loop.RunUntil(kStart + FromSeconds(this->scenario.seconds + kDrainSeconds));
  return std::move(this->outcome);
}

double Simulation::Seconds(TimePoint when) const { return ToSeconds(when - kStart); }

double Simulation::Exponential(Random& random) const { return -std::log(1.0 - random.Unit()); }

bool Simulation::IsBad(const EndpointFake& endpoint) const {
  const double now = this->Seconds(this->loop.Now());
  return now >= endpoint.spec.bad_from && now < endpoint.spec.bad_until;
}

Duration Simulation::Delay(std::uint32_t entry, std::uint32_t endpoint) const {
  const bool is_local = this->entries[entry].zone == this->endpoints[endpoint].zone;
  return is_local ? this->scenario.zone_delay : this->scenario.cross_delay;
}

void Simulation::NextArrival(std::uint32_t team) {
  const TeamLoadSpec& spec = this->scenario.teams[team];
  if (spec.rate <= 0.0) {
    return;
  }
  // Thinning (Lewis, Shedler 1979): arrivals at the highest rate, kept with the part of it that
  // holds at their time.
  constexpr double kHighestFactor = 25.0;
  const double highest = spec.factor ? kHighestFactor : 1.0;
  SeededRandom& random = this->team_randoms[team];
  const Duration gap = FromSeconds(this->Exponential(random) / (spec.rate * highest));
  const TimePoint when = this->loop.Now() + gap;
  if (this->Seconds(when) >= this->scenario.seconds) {
    return;
  }
  this->loop.At(when, [this, team, highest] {
    const TeamLoadSpec& load = this->scenario.teams[team];
    const double now = this->Seconds(this->loop.Now());
    const double factor = load.factor ? load.factor(now) : 1.0;
    if (this->team_randoms[team].Unit() * highest < factor) {
      this->Arrive(team);
    }
    this->NextArrival(team);
  });
}

void Simulation::Arrive(std::uint32_t team) {
  const TeamLoadSpec& spec = this->scenario.teams[team];
  SeededRandom& random = this->team_randoms[team];
  Request request;
  request.number = this->next_request++;
  request.team = team;
  const auto any = static_cast<std::uint32_t>(random.Below(this->entries.size()));
  request.entry = spec.arrivals == Arrivals::kOneEntry ? spec.entry % this->scenario.entries : any;
  request.is_long = random.Unit() < spec.long_part;
  const double mean = ToSeconds(spec.mean_run) * (request.is_long ? spec.long_factor : 1.0);
  request.run_time = std::max(FromSeconds(this->Exponential(random) * mean), Duration(100));
  request.ticket.team = TeamId{spec.name};
  const bool is_idempotent = random.Unit() < spec.idempotent_part;
  request.ticket.idempotency =
      is_idempotent ? admission::Idempotency::kIdempotent : admission::Idempotency::kNotIdempotent;
  const bool is_urgent = random.Unit() < spec.urgent_part;
  request.ticket.work_class =
      is_urgent ? admission::WorkClass::kUrgent : admission::WorkClass::kNormal;
  request.ticket.declared_run_time = FromSeconds(mean * spec.declared_factor);
  request.ticket.requirement = spec.requirement;
  request.asked_at = this->loop.Now();
  request.is_measured = this->Seconds(request.asked_at) >= this->scenario.warm_up;
  const bool will_cancel = random.Unit() < spec.cancel_part;
  this->outcome.teams[team].asked += request.is_measured ? 1 : 0;
  const std::uint64_t number = request.number;
  this->requests.emplace(number, std::move(request));
  this->loop.After(this->scenario.caller_delay, [this, number] { this->Ask(number); });
  if (will_cancel) {
    this->loop.After(this->scenario.caller_delay + spec.cancel_after,
                     [this, number] { this->CallerLeaves(number); });
  }
}

void Simulation::Ask(std::uint64_t number) {
  Request& request = this->requests.at(number);
  const TimePoint now = this->loop.Now();
  request.ticket.id = {number * kAsksPerRequest + request.asks};
  request.ticket.arrived = now;
  request.ticket.deadline = now + this->scenario.teams[request.team].timeout;
  const auto admission =
      this->entries[request.entry].shard->Admit(request.ticket, now, this->decisions);
  if (!admission.IsAccepted()) {
    this->Refused(number, *admission.refusal);
    return;
  }
  request.was_accepted = true;
  this->outcome.teams[request.team].accepted += request.is_measured ? 1 : 0;
  this->Pump(request.entry);
}

void Simulation::Refused(std::uint64_t number, const admission::Refusal& refusal) {
  Request& request = this->requests.at(number);
  CHERVILSPAR_ASSERT(!request.is_answered);
  TeamOutcome& team = this->outcome.teams[request.team];
  const TeamLoadSpec& spec = this->scenario.teams[request.team];
  const TimePoint now = this->loop.Now();
  if (request.is_measured) {
    team.refusal_times.push_back(ToSeconds(now - request.ticket.arrived));
    team.refused_later += request.was_accepted ? 1 : 0;
  }
  request.was_accepted = false;
  const bool may_help = refusal.retry_after > Duration::zero();
  if (spec.after_refusal == AfterRefusal::kGiveUp || !may_help || request.is_cancelled ||
      request.asks >= spec.most_asks) {
    request.is_answered = true;
    team.refused += request.is_measured ? 1 : 0;
    return;
  }
  ++request.asks;
  const bool honours = spec.after_refusal == AfterRefusal::kHonour;
  const Duration wait = honours ? refusal.retry_after : kAskAgainAtOnce;
  this->loop.After(wait + this->scenario.caller_delay * 2, [this, number] { this->Ask(number); });
}

void Simulation::Pump(std::uint32_t entry) {
  dispatch::ServiceShard& shard = *this->entries[entry].shard;
  const TimePoint now = this->loop.Now();
  for (const dispatch::GivenUp& given_up : shard.Expire(now, this->decisions)) {
    this->Refused(given_up.ticket.number / kAsksPerRequest, given_up.refusal);
  }
  while (auto start = shard.Next(now, this->gate, this->decisions)) {
    this->Send(entry, *start);
  }
}

void Simulation::Tick(std::uint32_t entry) {
  dispatch::ServiceShard& shard = *this->entries[entry].shard;
  const TimePoint now = this->loop.Now();
  for (const scheduling::Preempt& action : shard.Preemptions(now)) {
    this->Preempt(entry, action);
  }
  this->Pump(entry);
  const std::size_t ejected = shard.EjectedEndpoints(now).size();
  if (ejected > this->entries[entry].ejected) {
    const bool is_first = this->outcome.ejections++ == 0;
    this->outcome.first_ejection = is_first ? this->Seconds(now) : this->outcome.first_ejection;
  }
  this->entries[entry].ejected = ejected;
  for (Duration at = kPumpPeriod; at < kTickPeriod; at += kPumpPeriod) {
    this->loop.After(at, [this, entry] {
      if (this->entries[entry].shard->WaitingCount() > 0) {
        this->Pump(entry);
      }
    });
  }
  this->loop.After(kTickPeriod, [this, entry] { this->Tick(entry); });
}

void Simulation::Report(std::uint32_t entry) {
  this->loop.After(this->scenario.options.report_period, [this, entry] { this->Report(entry); });
  if (!this->entries[entry].shard->IsReportDue(this->loop.Now())) {
    return;
  }
  const auto report = this->entries[entry].shard->LocalReport(this->loop.Now());
  const double entries = static_cast<double>(this->entries.size());
  this->outcome.report_bytes_per_second +=
      WireBytes(report) * (entries - 1.0) / entries / (this->scenario.seconds + kDrainSeconds);
  const Duration age = this->scenario.cross_delay + this->scenario.report_delay;
  this->loop.After(age, [this, entry, report, age] {
    for (std::uint32_t peer = 0; peer < this->entries.size(); ++peer) {
      if (peer != entry) {
        const EntryFake& from = this->entries[entry];
        this->entries[peer].shard->OnPeerReport(from.id, from.zone, report, age, this->loop.Now());
      }
    }
  });
}

RunOutcome Simulate(const Scenario& scenario) { return Simulation(scenario).Run(); }

}  // namespace chervilspar::bench
