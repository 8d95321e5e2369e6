#include "jobs/held_endpoints.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace chervilspar::jobs {

namespace {

/// More than one, as a single endpoint may stay busy for long.
constexpr std::size_t kMaxReserved = 2;
/// The share of the cpu that may be free and held at the same time, and below which free cpu counts
/// as little. A job that waits while half of its pool is free counts as lost.
constexpr double kMaxIdleShare = 0.25;
/// Estimates are rough, so a task must be expected to end well before the room that it delays.
constexpr double kBackfillMargin = 1.2;
constexpr std::int64_t kAnyTime = std::numeric_limits<std::int64_t>::max();

double Cpu(const Resources& resources) {
  return static_cast<double>(std::max<std::int64_t>(resources.cpu, 0));
}

}  // namespace

bool HeldEndpoints::Filter::Allows(const EndpointState& endpoint) {
  const std::optional<Kept>& kept = this->held.kept[endpoint.position];
  if (!kept || (!this->is_late && !kept->is_reserved)) {
    return true;
  }
  if (this->is_late && kept->allows_backfill && !this->ref.spec->is_long_running) {
    const auto estimate_ms =
        static_cast<double>(std::max(this->ref.spec->estimate_ms, kMinEstimateMs));
    const std::chrono::duration<double, std::milli> duration(kBackfillMargin * estimate_ms);
    if (duration <= kept->room - this->held.now) {
      return true;
    }
  }
  if (!this->refusal) {
    this->refusal.emplace(Refusal{endpoint.record.id, kept->holder, kept->room});
  }
  return false;
}

void HeldEndpoints::Begin(const PoolState& next) {
  this->pool = &next;
  this->kept.assign(next.endpoints.size(), std::nullopt);
  this->reserved = 0;
  this->scopes.clear();
  this->unreserved.clear();
  this->are_held = false;
}

HeldEndpoints::ScopeKey HeldEndpoints::ScopeOf(const TaskRef& ref) {
  const bool is_restricted = ref.job->needs_advice || ref.spec->max_per_endpoint > 0;
  return {ref.spec->required_label, is_restricted ? ref.step : nullptr};
}

std::int64_t HeldEndpoints::LatestStartMs(const TaskRef& ref, bool is_late) const {
  const bool is_any_time = is_late || ref.spec->is_long_running || !ref.job->ready;
  return is_any_time ? kAnyTime : ref.job->ready->latest_start_ms;
}

bool HeldEndpoints::IsInTime(TimePoint room, std::int64_t latest_start_ms) const {
  return this->wall_ms + ToMilliseconds(room - this->now) <= latest_start_ms;
}

bool HeldEndpoints::BlockedTasks::Covers(const BlockedTasks& other) const {
  return other.need.Fits(this->need) && other.latest_start_ms <= this->latest_start_ms;
}

void HeldEndpoints::Keep(const EndpointState& endpoint, const Kept& added) {
  std::optional<Kept>& entry = this->kept[endpoint.position];
  if (!entry) {
    entry = added;
    return;
  }
  entry->is_reserved = entry->is_reserved || added.is_reserved;
  entry->allows_backfill = entry->allows_backfill && added.allows_backfill;
  if (added.room < entry->room) {
    entry->room = added.room;
    entry->holder = added.holder;
  }
}

void HeldEndpoints::Reserve(const TaskRef& ref, bool is_late) {
  const std::size_t limit =
      std::clamp<std::size_t>(this->pool->endpoints.size() / 2, 1, kMaxReserved);
  if (this->reserved >= limit) {
    return;
  }
  const BlockedTasks task{RequiredCapacity(*ref.spec), this->LatestStartMs(ref, is_late),
                          ref.key.job};
  // Where a smaller task with a later latest start found none, this one finds none.
  std::vector<BlockedTasks>& former = this->unreserved[ScopeOf(ref)];
  if (std::any_of(former.begin(), former.end(),
                  [&](const BlockedTasks& one) { return one.Covers(task); })) {
    return;
  }
  const FreeCpuIndex& index = this->pool->by_free_cpu;
  const std::vector<FreeCpuIndex::Entry>& entries = index.Entries();
  for (std::size_t end = entries.size(); end > 0;) {
    const std::size_t begin = index.FirstWith(entries[end - 1].free_cpu);
    for (std::size_t i = begin; i < end; ++i) {
      EndpointState& endpoint = *this->pool->endpoints[entries[i].position];
      ++this->state.endpoints_examined;
      if (!endpoint.CapacityForBatch().Fits(task.need) ||
          !this->placement.MayRunOn(ref, endpoint, this->now)) {
        continue;
      }
      const std::optional<TimePoint> room = this->ends.RoomFor(task.need, endpoint);
      if (room && this->IsInTime(*room, task.latest_start_ms)) {
        const std::optional<Kept>& known = this->kept[endpoint.position];
        this->reserved += known && known->is_reserved ? 0 : 1;
        this->Keep(endpoint, {.is_reserved = true, .room = *room, .holder = ref.key.job});
        return;
      }
    }
    end = begin;
  }
  former.push_back(task);
}

void HeldEndpoints::HoldAgainstLate(const TaskRef& ref) {
  if (this->are_held) {
    return;
  }
  Scope& scope = this->scopes.try_emplace(ScopeOf(ref), Scope{ref, {}}).first->second;
  const BlockedTasks task{RequiredCapacity(*ref.spec), this->LatestStartMs(ref, false),
                          ref.key.job};
  const bool is_covered = std::any_of(scope.blocked.begin(), scope.blocked.end(),
                                      [&](const BlockedTasks& one) { return one.Covers(task); });
  if (!is_covered) {
    std::erase_if(scope.blocked, [&](const BlockedTasks& one) { return task.Covers(one); });
    scope.blocked.push_back(task);
  }
}

HeldEndpoints::Filter HeldEndpoints::FilterFor(const TaskRef& ref, bool is_late) {
  if (is_late && !this->are_held) {
    this->HoldAll();
  }
  return {*this, ref, is_late};
}

void HeldEndpoints::HoldAll() {
  this->are_held = true;
  for (const auto& [key, scope] : this->scopes) {
    this->HoldFor(scope);
  }
}

std::int64_t HeldEndpoints::LastLatestStartMs() const {
  std::int64_t last = this->wall_ms;
  const std::set<ReadyKey>& ready = this->pool->ready;
  for (auto place = ready.begin(); place != ready.end();) {
    const std::uint32_t rank = place->rank;
    place = ready.lower_bound({rank + 1, std::numeric_limits<std::int64_t>::min(), {}});
    last = rank == 0 ? last : std::max(last, std::prev(place)->latest_start_ms);
  }
  return last;
}

std::optional<HeldEndpoints::Candidate> HeldEndpoints::FindRoom(
    const Scope& scope, EndpointState& endpoint, std::int64_t common_latest_start_ms) {
  std::optional<Candidate> found;
  for (const BlockedTasks& blocked : scope.blocked) {
    const std::optional<TimePoint> room = this->ends.RoomFor(blocked.need, endpoint);
    const bool is_in_time =
        room && this->IsInTime(*room, std::max(blocked.latest_start_ms, common_latest_start_ms));
    if (is_in_time && (!found || *room < found->room)) {
      found = Candidate{*room, &endpoint, blocked.first};
    }
  }
  return found;
}

void HeldEndpoints::HoldFor(const Scope& scope) {
  std::vector<EndpointState*> eligible;
  double free = 0;
  double capacity = 0;
  double idle = 0;
  bool is_any_kept = false;
  for (EndpointState* endpoint : this->pool->endpoints) {
    ++this->state.endpoints_examined;
    if (this->placement.MayRunOn(scope.sample, *endpoint, this->now)) {
      eligible.push_back(endpoint);
      free += Cpu(endpoint->FreeCapacity());
      capacity += Cpu(endpoint->record.capacity);
      if (this->kept[endpoint->position]) {
        idle += Cpu(endpoint->FreeCapacity());
        is_any_kept = true;
      }
    }
  }
  const double max_idle = kMaxIdleShare * capacity;
  const bool is_strict = free <= max_idle;
  // All on-time jobs of a busy pool go before late ones, not only those that were examined.
  const std::int64_t common_latest_start_ms = is_strict ? this->LastLatestStartMs() : 0;
  std::vector<Candidate> candidates;
  for (EndpointState* endpoint : eligible) {
    if (const auto found = this->FindRoom(scope, *endpoint, common_latest_start_ms)) {
      candidates.push_back(*found);
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& one, const Candidate& other) { return one.room < other.room; });
  for (const Candidate& candidate : candidates) {
    const bool is_kept = this->kept[candidate.endpoint->position].has_value();
    const double next = idle + (is_kept ? 0 : Cpu(candidate.endpoint->FreeCapacity()));
    if (is_kept || !is_any_kept || next <= max_idle) {
      idle = next;
      is_any_kept = true;
      this->Keep(
          *candidate.endpoint,
          {.allows_backfill = !is_strict, .room = candidate.room, .holder = candidate.holder});
    }
  }
}

}  // namespace chervilspar::jobs
