#include "inventory/object_codec.h"

#include <cmath>

namespace chervilspar::inventory {

namespace {

constexpr std::uint32_t kMaxCores = 4096;
constexpr std::uint32_t kMaxMemoryMb = 64U << 20U;
constexpr std::uint32_t kMaxAccelerators = 64;
constexpr std::uint32_t kMaxSlots = 4096;
constexpr std::uint32_t kMaxConnections = 65535;
constexpr std::uint32_t kMaxVmCount = 1'000'000;
constexpr std::uint32_t kMaxUpperLimit = 10'000'000;
constexpr double kMinShare = 1e-6;
constexpr double kMaxShare = 1e6;
constexpr double kMaxWeight = 1e6;
constexpr Duration kMaxMaintenanceInterval = std::chrono::hours(24 * 366);
constexpr Duration kMaxTimeout = std::chrono::hours(24);

template <typename IdType>
std::optional<IdType> OptionalId(ObjectReader& reader, std::string_view field) {
  std::optional<std::string> name = reader.OptionalName(field);
  return name ? std::optional<IdType>(IdType{*std::move(name)}) : std::nullopt;
}

MoveTarget ReadMoveTarget(ObjectReader& reader) {
  MoveTarget target;
  target.vm.text = reader.Name("vm");
  target.to_pool = OptionalId<PoolId>(reader, "to_pool");
  return target;
}

Weights ReadWeights(ObjectReader& reader) {
  Weights weights;
  weights.buffer_cost = reader.NumberOr("buffer_cost", weights.buffer_cost, 0, kMaxWeight);
  weights.roll_out_time = reader.NumberOr("roll_out_time", weights.roll_out_time, 0, kMaxWeight);
  weights.moves = reader.NumberOr("moves", weights.moves, 0, kMaxWeight);
  weights.share_distance = reader.NumberOr("share_distance", weights.share_distance, 0, kMaxWeight);
  return weights;
}

/// Whole numbers are written as such, "2" and not "2E0", since people read and edit them.
boost::json::value Number(double number) {
  constexpr double kHighestExact = 9007199254740992.0;
  if (std::trunc(number) == number && std::abs(number) < kHighestExact) {
    return static_cast<std::int64_t>(number);
  }
  return number;
}

boost::json::string Text(Duration duration) {
  return boost::json::string(FormatDuration(duration));
}

}  // namespace

Zone ReadZone(ObjectReader& reader) {
  Zone zone;
  zone.id.text = reader.Name("id");
  zone.region.text = reader.OptionalName("region").value_or("");
  return zone;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  service.id.text = reader.Name("id");
  service.job_cores = reader.UintOr("job_cores", 0, {0, kMaxCores});
  service.job_memory_mb = reader.MemoryMbOr("job_memory", 0, {0, kMaxMemoryMb});
  service.job_accelerators = reader.UintOr("job_accelerators", 0, {0, kMaxAccelerators});
  for (std::string& team : reader.OptionalNames("teams")) {
    service.teams.push_back(TeamId{std::move(team)});
  }
  return service;
}

Pool ReadPool(ObjectReader& reader) {
  Pool pool;
  pool.id.text = reader.Name("id");
  const std::string kind = reader.OptionalName("kind").value_or("serving");
  if (kind != "serving" && kind != "spare") {
    reader.Sink().Add(reader.PointerTo("kind"), '"' + kind + "\" should be serving or spare");
  }
  pool.kind = kind == "spare" ? PoolKind::kSpare : PoolKind::kServing;
  if (pool.kind == PoolKind::kServing) {
    pool.service.text = reader.Name("service");
  } else if (reader.Find("service") != nullptr) {
    reader.Sink().Add(reader.PointerTo("service"), "a spare pool serves no service; leave it out");
  }
  pool.min_available = reader.Uint("min_available", {0, kMaxVmCount});
  return pool;
}

Vm ReadVm(ObjectReader& reader) {
  Vm vm;
  vm.id.text = reader.Name("id");
  vm.pool.text = reader.Name("pool");
  vm.rack.text = reader.Name("rack");
  vm.zone.text = reader.Name("zone");
  vm.site.text = reader.OptionalName("site").value_or("");
  vm.address = reader.Address("address");
  vm.cores = reader.Uint("cores", {1, kMaxCores});
  vm.memory_mb = reader.MemoryMb("memory", {1, kMaxMemoryMb});
  vm.accelerators = reader.UintOr("accelerators", 0, {0, kMaxAccelerators});
  vm.slots = reader.Uint("slots", {1, kMaxSlots});
  vm.connections = reader.Uint("connections", {1, kMaxConnections});
  return vm;
}

Team ReadTeam(ObjectReader& reader) {
  Team team;
  team.id.text = reader.Name("id");
  team.client_account.text = reader.Name("client_account");
  team.share = reader.NumberOr("share", team.share, kMinShare, kMaxShare);
  team.upper_limit = reader.Uint("upper_limit", {0, kMaxUpperLimit});
  team.may_be_urgent = reader.BoolOr("may_be_urgent", false);
  return team;
}

EntryVm ReadEntryVm(ObjectReader& reader) {
  EntryVm entry;
  entry.id.text = reader.Name("id");
  entry.zone.text = reader.Name("zone");
  entry.peer_address = reader.Address("peer_address");
  entry.http_address = reader.Address("http_address");
  return entry;
}

Move ReadMove(ObjectReader& reader) {
  Move move;
  move.leave_site.text = reader.Name("leave_site");
  move.date = reader.Date("date");
  const boost::json::array* targets = reader.FindArray("targets");
  for (std::size_t i = 0; targets != nullptr && i < targets->size(); ++i) {
    ObjectReader target((*targets)[i], Child(reader.PointerTo("targets"), i), reader.Sink());
    move.targets.push_back(ReadMoveTarget(target));
    target.Finish();
  }
  return move;
}

MaintenanceRules ReadMaintenanceRules(ObjectReader& reader) {
  MaintenanceRules rules;
  const Duration second = std::chrono::seconds(1);
  rules.every = reader.DurationOr("every", rules.every, Duration::zero(), kMaxMaintenanceInterval);
  rules.drain_timeout =
      reader.DurationOr("drain_timeout", rules.drain_timeout, second, kMaxTimeout);
  rules.reboot_timeout =
      reader.DurationOr("reboot_timeout", rules.reboot_timeout, second, kMaxTimeout);
  rules.max_per_rack = reader.UintOr("max_per_rack", rules.max_per_rack, {1, kMaxVmCount});
  rules.stop_after_failures =
      reader.UintOr("stop_after_failures", rules.stop_after_failures, {1, kMaxVmCount});
  if (const boost::json::value* weights = reader.Find("weights")) {
    ObjectReader inner(*weights, reader.PointerTo("weights"), reader.Sink());
    rules.weights = ReadWeights(inner);
    inner.Finish();
  }
  return rules;
}

ServiceRules ReadServiceRules(ObjectReader& reader) {
  ServiceRules rules;
  const Duration millisecond = std::chrono::milliseconds(1);
  const Duration hour = std::chrono::hours(1);
  rules.max_task_lease =
      reader.DurationOr("max_task_lease", rules.max_task_lease, millisecond, kMaxTimeout);
  rules.loan_lease = reader.DurationOr("loan_lease", rules.loan_lease, millisecond, hour);
  rules.max_clock_skew =
      reader.DurationOr("max_clock_skew", rules.max_clock_skew, millisecond, hour);
  rules.key_staleness_limit =
      reader.DurationOr("key_staleness_limit", rules.key_staleness_limit, millisecond, kMaxTimeout);
  return rules;
}

boost::json::value Write(const Zone& zone) {
  boost::json::object object{{"id", zone.id.text}};
  if (!zone.region.IsEmpty()) {
    object["region"] = zone.region.text;
  }
  return object;
}

boost::json::value Write(const Service& service) {
  boost::json::object object{{"id", service.id.text}};
  if (service.job_cores != 0) {
    object["job_cores"] = service.job_cores;
  }
  if (service.job_memory_mb != 0) {
    object["job_memory"] = FormatMemoryMb(service.job_memory_mb);
  }
  if (service.job_accelerators != 0) {
    object["job_accelerators"] = service.job_accelerators;
  }
  if (!service.teams.empty()) {
    boost::json::array teams;
    for (const TeamId& team : service.teams) {
      teams.emplace_back(team.text);
    }
    object["teams"] = std::move(teams);
  }
  return object;
}

boost::json::value Write(const Pool& pool) {
  boost::json::object object{{"id", pool.id.text}};
  if (pool.kind == PoolKind::kSpare) {
    object["kind"] = "spare";
  } else {
    object["service"] = pool.service.text;
  }
  object["min_available"] = pool.min_available;
  return object;
}

boost::json::value Write(const Vm& vm) {
  boost::json::object object{
      {"id", vm.id.text}, {"pool", vm.pool.text}, {"rack", vm.rack.text}, {"zone", vm.zone.text}};
  if (!vm.site.IsEmpty()) {
    object["site"] = vm.site.text;
  }
  object["address"] = vm.address;
  object["cores"] = vm.cores;
  object["memory"] = FormatMemoryMb(vm.memory_mb);
  if (vm.accelerators != 0) {
    object["accelerators"] = vm.accelerators;
  }
  object["slots"] = vm.slots;
  object["connections"] = vm.connections;
  return object;
}

boost::json::value Write(const Team& team) {
  boost::json::object object{{"id", team.id.text},
                             {"client_account", team.client_account.text},
                             {"share", Number(team.share)},
                             {"upper_limit", team.upper_limit}};
  if (team.may_be_urgent) {
    object["may_be_urgent"] = true;
  }
  return object;
}

boost::json::value Write(const EntryVm& entry) {
  return {{"id", entry.id.text},
          {"zone", entry.zone.text},
          {"peer_address", entry.peer_address},
          {"http_address", entry.http_address}};
}

boost::json::value Write(const Move& move) {
  boost::json::array targets;
  for (const MoveTarget& target : move.targets) {
    boost::json::object object{{"vm", target.vm.text}};
    if (target.to_pool) {
      object["to_pool"] = target.to_pool->text;
    }
    targets.push_back(std::move(object));
  }
  return {{"leave_site", move.leave_site.text},
          {"date", FormatDate(move.date)},
          {"targets", std::move(targets)}};
}

boost::json::value Write(const MaintenanceRules& rules) {
  return {{"every", Text(rules.every)},
          {"drain_timeout", Text(rules.drain_timeout)},
          {"reboot_timeout", Text(rules.reboot_timeout)},
          {"max_per_rack", rules.max_per_rack},
          {"stop_after_failures", rules.stop_after_failures},
          {"weights",
           {{"buffer_cost", Number(rules.weights.buffer_cost)},
            {"roll_out_time", Number(rules.weights.roll_out_time)},
            {"moves", Number(rules.weights.moves)},
            {"share_distance", Number(rules.weights.share_distance)}}}};
}

boost::json::value Write(const ServiceRules& rules) {
  return {{"max_task_lease", Text(rules.max_task_lease)},
          {"loan_lease", Text(rules.loan_lease)},
          {"max_clock_skew", Text(rules.max_clock_skew)},
          {"key_staleness_limit", Text(rules.key_staleness_limit)}};
}

}  // namespace chervilspar::inventory
