#include "tests/prove/observer.h"

#include <algorithm>

namespace chervilspar::prove {

namespace {

/// A published configuration must be in force at every entry within this, once nothing is wrong.
constexpr std::int64_t kInForceWithinUs = 9'000'000;

/// A failure that is younger than this may not be known yet: the VM list lags by up to 3 s, a VM
/// counts as failed 3 s after it is missing, and the record has to be read.
constexpr std::int64_t kFailureSeenWithinUs = 10'000'000;

}  // namespace

void Observer::OnLimitPublished(std::int64_t now, const std::string& team, std::uint32_t limit) {
  this->teams[team].limits.push_back({limit, now, std::nullopt});
}

void Observer::OnCalm(std::int64_t since, std::int64_t now) {
  for (auto& [name, team] : this->teams) {
    for (std::size_t at = 0; at + 1 < team.limits.size(); ++at) {
      const bool was_replaced_before = team.limits[at + 1].from <= since;
      if (was_replaced_before && !team.limits[at].over) {
        team.limits[at].over = now + this->longest_run_us;
      }
    }
  }
}

std::uint32_t Observer::Allowed(const Team& team, std::int64_t now) const {
  std::uint32_t most = 0;
  for (const Limit& limit : team.limits) {
    if (!limit.over || now < *limit.over) {
      most = std::max(most, limit.limit);
    }
  }
  return most;
}

void Observer::OnTaskStarted(std::int64_t now, const std::string& task, const std::string& team,
                             const std::string& request) {
  ++this->tasks_started;
  if (!this->tasks.emplace(task, Task{team, request}).second) {
    this->Violate(now, "task " + task + " was started twice");
  }
  Team& of = this->teams[team];
  ++of.running;
  const std::uint32_t allowed = this->Allowed(of, now);
  if (of.running > allowed) {
    this->Violate(now, "limit: team " + team + " runs " + std::to_string(of.running) + " of " +
                           std::to_string(allowed));
  }
  if (this->in_last_phase) {
    of.most_in_last_phase = std::max(of.most_in_last_phase, of.running);
  }
  Request& asked = this->requests[request];
  ++asked.starts;
  if (asked.starts > 1) {
    this->Violate(now, "at most once: request " + request + " ran twice");
  }
  if (!this->HasOpenTry(asked)) {
    this->Violate(now, "not run: request " + request + " ran after its tries were answered so");
  }
  if (!this->IsAllowed(asked, team)) {
    this->Violate(now, "key: request " + request + " ran for team " + team +
                           " with no key in force of that team");
  }
}

bool Observer::HasOpenTry(const Request& request) const {
  return std::any_of(request.tries.begin(), request.tries.end(), [&](std::uint64_t number) {
    const std::optional<Answer>& answer = this->tries.at(number).answer;
    return answer != Answer::kNotRun && answer != Answer::kUnauthenticated;
  });
}

bool Observer::IsAllowed(const Request& request, const std::string& team) const {
  return std::any_of(request.tries.begin(), request.tries.end(), [&](std::uint64_t number) {
    const Try& sent = this->tries.at(number);
    const auto key = this->keys.find(sent.key);
    return !sent.is_forbidden && key != this->keys.end() && key->second.team == team;
  });
}

void Observer::OnKeyGiven(const std::string& key, const std::string& team) {
  this->keys[key].team = team;
}

void Observer::OnKeyWithdrawn(std::int64_t now, const std::string& key) {
  std::optional<std::int64_t>& withdrawn_at = this->keys[key].withdrawn_at;
  withdrawn_at = withdrawn_at.value_or(now);
}

bool Observer::IsForbidden(const std::string& key, std::int64_t now, Calm calm) const {
  const auto found = this->keys.find(key);
  if (found == this->keys.end()) {
    return true;
  }
  return found->second.withdrawn_at && calm == Calm::kYes &&
         now - *found->second.withdrawn_at >= kInForceWithinUs;
}

void Observer::OnTaskEnded(std::int64_t /*now*/, const std::string& task) {
  const auto found = this->tasks.find(task);
  if (found == this->tasks.end()) {
    return;
  }
  --this->teams[found->second.team].running;
  this->tasks.erase(found);
}

std::uint64_t Observer::OnTry(std::int64_t now, const std::string& request, const std::string& key,
                              Calm calm) {
  this->tries.push_back({request, key, this->IsForbidden(key, now, calm), std::nullopt});
  this->requests[request].tries.push_back(this->tries.size() - 1);
  return this->tries.size() - 1;
}

void Observer::OnAnswer(std::int64_t now, std::uint64_t number, Answer answer,
                        const std::string& body) {
  Try& answered = this->tries.at(number);
  if (answered.answer) {
    this->Violate(now, "request " + answered.request + " was answered twice");
  }
  answered.answer = answer;
  const std::uint32_t starts = this->requests[answered.request].starts;
  if (answer == Answer::kUnauthenticated) {
    return;
  }
  if (answer == Answer::kNotRun && starts > 0) {
    this->Violate(now, "not run: request " + answered.request + " had run");
  }
  const bool is_completed = answer == Answer::kCompleted || answer == Answer::kCompletedEarlier;
  if (is_completed && starts == 0) {
    this->Violate(now, "completed: request " + answered.request + " had not run");
  }
  if (answer == Answer::kCompleted && body != answered.request) {
    this->Violate(now, "own answer: " + answered.request + " got the answer to " + body);
  }
}

void Observer::OnVersionSeen(std::int64_t now, const std::string& entry, std::uint64_t life,
                             std::int64_t version, std::int64_t published) {
  Seen& last = this->seen[entry];
  if (last.life == life && version < last.version) {
    this->Violate(now, "configuration: entry " + entry + " went back to " +
                           std::to_string(version) + " from " + std::to_string(last.version));
  }
  last = {life, version};
  if (version < published) {
    this->Violate(now, "configuration: entry " + entry + " is at " + std::to_string(version) +
                           " although " + std::to_string(published) + " was published " +
                           std::to_string(kInForceWithinUs / 1'000'000) + " s before");
  }
}

void Observer::OnVmDeclared(const std::string& vm, const std::string& pool, std::uint32_t budget) {
  this->vms[vm] = {pool, budget, true, false, 0};
}

void Observer::OnVmDraining(const std::string& vm, bool is_draining) {
  this->vms[vm].is_draining = is_draining;
}

void Observer::OnVmFailed(std::int64_t now, const std::string& vm) {
  this->vms[vm].is_up = false;
  this->vms[vm].is_draining = false;
  this->vms[vm].failed_at = now;
}

void Observer::OnVmBack(const std::string& vm) {
  this->vms[vm].is_up = true;
  this->vms[vm].is_draining = false;
}

void Observer::OnVmRebooted(std::int64_t now, const std::string& vm, std::uint32_t running) {
  Vm& rebooted = this->vms[vm];
  if (running > 0) {
    this->Violate(
        now, "cut: VM " + vm + " is rebooted with " + std::to_string(running) + " tasks running");
  }
  rebooted.is_up = false;
  rebooted.is_draining = false;
  std::uint32_t serving = 0;
  std::uint32_t unseen_failures = 0;
  for (const auto& [name, other] : this->vms) {
    if (other.pool != rebooted.pool) {
      continue;
    }
    serving += other.is_up && !other.is_draining ? 1 : 0;
    const bool is_fresh = other.failed_at > 0 && now - other.failed_at < kFailureSeenWithinUs;
    unseen_failures += !other.is_up && is_fresh ? 1 : 0;
  }
  if (serving + unseen_failures < rebooted.budget) {
    this->Violate(now, "budget: pool " + rebooted.pool + " has " + std::to_string(serving) +
                           " VMs of " + std::to_string(rebooted.budget) + " as VM " + vm +
                           " is rebooted");
  }
}

void Observer::BeginLastPhase(std::int64_t /*now*/) {
  this->in_last_phase = true;
  for (auto& [name, team] : this->teams) {
    team.most_in_last_phase = team.running;
  }
}

void Observer::CheckLastPhase(std::int64_t now) {
  for (const auto& [name, team] : this->teams) {
    const std::uint32_t limit = team.limits.empty() ? 0 : team.limits.back().limit;
    if (team.most_in_last_phase < limit) {
      this->Violate(now, "lost unit: team " + name + " reached only " +
                             std::to_string(team.most_in_last_phase) + " of " +
                             std::to_string(limit));
    }
  }
}

std::uint64_t Observer::Answered(Answer answer) const {
  return static_cast<std::uint64_t>(
      std::count_if(this->tries.begin(), this->tries.end(),
                    [&](const Try& sent) { return sent.answer == answer; }));
}

void Observer::Violate(std::int64_t now, const std::string& what) {
  this->violations.push_back(std::to_string(now / 1000) + " ms: " + what);
}

}  // namespace chervilspar::prove
