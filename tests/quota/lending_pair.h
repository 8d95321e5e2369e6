#pragma once

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chervilspar/quota/quota.h"

namespace chervilspar::quota {

inline TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

inline WallTime Wall(double seconds) {
  return WallTime(std::chrono::hours(500000) + Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

inline membership::Self SelfOf(const std::string& name, std::uint64_t incarnation = 1) {
  return {EntryId{name}, {Wall(static_cast<double>(incarnation)), incarnation}, ZoneId{"a"}};
}

inline Limits LimitsAt(config_log::ConfigVersion version, const std::vector<std::string>& entries,
                       std::uint32_t upper_limit) {
  Limits limits;
  limits.version = version;
  for (const std::string& entry : entries) {
    limits.entries.insert(EntryId{entry});
  }
  limits.upper_limits[TeamId{"counter"}] = upper_limit;
  return limits;
}

inline membership::Agreement SettledAt(config_log::ConfigVersion version,
                                       const std::vector<std::string>& awaiting = {}) {
  membership::Agreement agreement;
  agreement.version = version;
  for (const std::string& entry : awaiting) {
    agreement.awaiting.insert(EntryId{entry});
  }
  return agreement;
}

/// Delivers messages between two entries until neither sends any more.
inline void Exchange(Quota& left, Quota& right, std::vector<LendingMessage> messages,
                     TimePoint now) {
  while (!messages.empty()) {
    std::vector<LendingMessage> next;
    for (const LendingMessage& message : messages) {
      Quota& receiver = message.from == EntryId{"e1"} ? right : left;
      for (LendingMessage& answer : receiver.OnMessage(message, now)) {
        next.push_back(std::move(answer));
      }
    }
    messages = std::move(next);
  }
}

/// Two entries, e1 and e2, that started before the first configuration and have settled in it.
struct LendingPair {
  explicit LendingPair(std::uint32_t upper_limit, QuotaGuards guards = {},
                       LendingPolicy policy = {})
      : e1(SelfOf("e1"), At(0), policy, guards), e2(SelfOf("e2"), At(0), policy, guards) {
    for (Quota* quota : {&this->e1, &this->e2}) {
      quota->OnMayOwn(At(0));
      quota->OnConfiguration(LimitsAt(1, {"e1", "e2"}, upper_limit), At(0));
      quota->OnSettled(SettledAt(1), At(0));
    }
    this->e1.SetLenders({EntryId{"e2"}});
    this->e2.SetLenders({EntryId{"e1"}});
  }

  /// e1 borrows for `waiting` requests; messages are delivered without delay.
  void Borrow(std::uint32_t waiting, double at) {
    this->e1.SetWaiting(this->team, waiting);
    Exchange(this->e1, this->e2, this->e1.Tick(At(at)), At(at));
  }

  /// Starts as many tasks as the entry allows; returns their number.
  std::uint32_t StartAll(Quota& quota, double at) {
    std::uint32_t started = 0;
    while (
        quota.TryStart(this->team, TaskId{"t" + std::to_string(++this->tasks)}, At(at), Wall(at))) {
      ++started;
    }
    return started;
  }

  TeamId team{"counter"};
  Quota e1;
  Quota e2;
  std::uint32_t tasks = 0;
};

}  // namespace chervilspar::quota
