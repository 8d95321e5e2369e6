#include <algorithm>
#include <utility>

#include "chervilspar/idempotency/uuid_v7.h"

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr Duration kToEntry = std::chrono::milliseconds(3);
constexpr Duration kBetweenRequests = std::chrono::milliseconds(100);
/// Callers' clocks; most are right, some are ahead or behind.
constexpr Duration kCallerClockSpread = std::chrono::milliseconds(600);
constexpr Duration kWrongClockSpread = std::chrono::seconds(8);
constexpr double kClockIsWrong = 0.1;
constexpr std::uint32_t kMostTries = 5;
constexpr double kGivesUp = 0.1;
constexpr double kAnswerLost = 0.1;

}  // namespace

Duration World::AnyLength() {
  const double kind = this->simulation.Dice().Unit();
  if (kind < 0.6) {
    return this->simulation.Between(Seconds(0.02), Seconds(0.8));
  }
  if (kind < 0.95) {
    return this->simulation.Between(Seconds(1), Seconds(5));
  }
  // Longer than the lease: the endpoint stops it.
  return this->simulation.Between(Seconds(8), Seconds(14));
}

void World::IssueRequests() {
  if (this->simulation.Now() > kRequestsEnd) {
    return;
  }
  const TeamId team = TeamAt(this->simulation.Dice().Below(kTeams));
  const auto tries = static_cast<std::uint32_t>(1 + this->simulation.Dice().Below(kMostTries));
  this->Ask(team, this->AnyLength(), this->simulation.Between(Seconds(0.2), Seconds(4)), tries,
            this->simulation.Dice().Below(kEntrySlots));
  this->simulation.After(this->simulation.Between(Duration::zero(), 2 * kBetweenRequests),
                         [this] { this->IssueRequests(); });
}

void World::Ask(const TeamId& team, Duration length, Duration patience, std::uint32_t tries,
                std::size_t slot) {
  auto request = std::make_shared<Asked>();
  const bool is_wrong = this->simulation.Chance(kClockIsWrong);
  const Duration spread = is_wrong ? kWrongClockSpread : kCallerClockSpread;
  const Duration clock = this->simulation.Between(-spread, spread);
  request->request = idempotency::MakeUuidV7(this->WallAt(clock), this->simulation.Dice()).id;
  request->team = team;
  request->length = length;
  request->patience = patience;
  request->tries_left = tries;
  this->asked.push_back(request);
  this->Try(request, slot);
}

void World::Try(const std::shared_ptr<Asked>& request, std::size_t slot) {
  --request->tries_left;
  const std::string key = this->KeyFor(request->team);
  const std::uint64_t number =
      this->observer.OnTry(this->NowUs(), request->request.text, key, this->CalmNow());
  const auto is_over = std::make_shared<bool>(false);
  Call call{request->request, DigestFor(key),    request->team,
            request->length,  request->patience, {}};
  call.answer = [this, request, number, is_over](Observer::Answer answer, const std::string& body) {
    this->simulation.After(kToEntry, [=, this] {
      if (*is_over || this->simulation.Chance(kAnswerLost)) {
        return;
      }
      *is_over = true;
      this->observer.OnAnswer(this->NowUs(), number, answer, body);
      const bool is_final =
          answer == Observer::Answer::kCompleted || answer == Observer::Answer::kCompletedEarlier;
      request->is_answered = request->is_answered || is_final;
      this->TryAgain(request);
    });
  };
  this->simulation.After(kToEntry, [this, slot, call] {
    const std::shared_ptr<EntryProcess> life = this->entries.at(slot);
    if (life->IsUp()) {
      life->OnCall(call);
    }
  });
  const Duration timeout = request->patience + this->simulation.Between(Seconds(0.5), Seconds(12));
  this->simulation.After(timeout, [this, request, is_over] {
    if (!*is_over) {
      *is_over = true;
      this->TryAgain(request);
    }
  });
}

void World::TryAgain(const std::shared_ptr<Asked>& request) {
  if (request->is_answered || request->tries_left == 0 || this->simulation.Chance(kGivesUp)) {
    return;
  }
  this->simulation.After(this->simulation.Between(Seconds(0.001), Seconds(3)), [this, request] {
    if (request->tries_left > 0) {
      this->Try(request, this->simulation.Dice().Below(kEntrySlots));
    }
  });
}

void World::Burst(const Fault& fault) {
  const TeamId team = TeamAt(fault.target % kTeams);
  const std::size_t slot = fault.extra % kEntrySlots;
  const auto requests = 10 + fault.lasts_ms / 200;
  for (std::uint32_t sent = 0; sent < requests; ++sent) {
    this->simulation.After(
        this->simulation.Between(Duration::zero(), Seconds(2)),
        [this, team, slot] { this->Ask(team, this->AnyLength(), Seconds(3), 2, slot); });
  }
}

void World::CancelWave() {
  for (const std::shared_ptr<Asked>& request : this->asked) {
    if (request->is_answered) {
      continue;
    }
    request->tries_left = 0;
    for (const std::shared_ptr<EntryProcess>& life : this->entries) {
      life->Run([life, id = request->request] { life->OnCallCancelled(id); });
    }
  }
  this->asked.clear();
}

void World::AskForMoreThanTheLimits() {
  this->Note("last phase: every team is asked for more than its limit");
  this->observer.BeginLastPhase(this->NowUs());
  for (std::size_t team = 0; team < kTeams; ++team) {
    const std::size_t slot =
        this->LiveSlot(static_cast<std::uint32_t>(this->simulation.Dice().Below(kEntrySlots)));
    const auto& teams = this->Newest().inventory.teams;
    const std::uint32_t limit =
        teams.contains(TeamAt(team)) ? teams.at(TeamAt(team)).upper_limit : 0;
    for (std::uint32_t sent = 0; sent < 2 * limit + 5; ++sent) {
      this->Ask(TeamAt(team), Seconds(9.5), Seconds(9), 1, slot);
    }
  }
}

}  // namespace chervilspar::prove
