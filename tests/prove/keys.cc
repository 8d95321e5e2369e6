#include <string>

#include "chervilspar/config_log/key_digest.h"

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr double kOldKey = 0.1;
constexpr double kWrongKey = 0.02;
/// An operator who has no answer hands the withdrawal to another entry.
constexpr Duration kAskAgain = std::chrono::seconds(2);
constexpr Duration kGiveUp = std::chrono::seconds(6);
constexpr const char* kNoKey = "never given";

}  // namespace

config_log::KeyDigest DigestFor(const std::string& key) { return config_log::DigestOf(key); }

void World::GiveFirstKeys() {
  for (std::size_t team = 0; team < kTeams; ++team) {
    this->GiveKey(team, 0);
  }
}

void World::GiveKey(std::size_t team, std::uint32_t choice) {
  const std::string key = "key" + std::to_string(++this->last_key);
  this->observer.OnKeyGiven(key, TeamAt(team).text);
  const auto is_done = std::make_shared<bool>(false);
  this->AnyUpEntry(choice)->OnGiveKey(DigestFor(key), TeamAt(team), [this, team, key, is_done] {
    *is_done = true;
    this->Note("key " + key + " is given to " + TeamAt(team).text);
    this->keys.at(team).push_back(key);
  });
  this->simulation.After(kGiveUp, [this, team, choice, is_done] {
    if (!*is_done) {
      this->GiveKey(team, choice + 1);
    }
  });
}

void World::WithdrawKey(const std::string& key, std::uint32_t choice) {
  const std::shared_ptr<EntryProcess> entry = this->AnyUpEntry(choice);
  const auto is_done = std::make_shared<bool>(false);
  this->Note("key " + key + " is withdrawn at " + entry->Me().id.text);
  entry->OnWithdrawKey(DigestFor(key), [this, key, is_done] {
    *is_done = true;
    this->observer.OnKeyWithdrawn(this->NowUs(), key);
  });
  this->simulation.After(kAskAgain, [this, key, choice, is_done] {
    if (!*is_done) {
      this->WithdrawKey(key, choice + 1);
    }
  });
}

void World::ReplaceKey(const Fault& fault) {
  const std::size_t team = fault.target % kTeams;
  if (this->keys.at(team).empty()) {
    return;
  }
  const std::string old_key = this->keys.at(team).back();
  this->GiveKey(team, fault.extra);
  this->WithdrawKey(old_key, fault.extra + 1);
}

void World::RaceOnKey(const Fault& fault) {
  const std::size_t team = fault.target % kTeams;
  if (this->keys.at(team).empty()) {
    return;
  }
  // One operator withdraws the key while another gives the same key once more.
  const std::string key = this->keys.at(team).back();
  this->GiveKey(team, fault.extra);
  this->WithdrawKey(key, fault.extra);
  this->AnyUpEntry(fault.extra + 1)->OnGiveKey(DigestFor(key), TeamAt(team), {});
}

std::string World::KeyFor(const TeamId& team) {
  if (this->simulation.Chance(kWrongKey)) {
    return kNoKey;
  }
  for (std::size_t at = 0; at < kTeams; ++at) {
    const std::vector<std::string>& given = this->keys.at(at);
    if (TeamAt(at) == team && !given.empty()) {
      const bool takes_old = this->simulation.Chance(kOldKey);
      return takes_old ? given.at(this->simulation.Dice().Below(given.size())) : given.back();
    }
  }
  return kNoKey;
}

}  // namespace chervilspar::prove
