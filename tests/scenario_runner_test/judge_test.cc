#include "bench/fleet/judge.h"

#include <functional>

#include <gtest/gtest.h>

namespace chervilspar::scenario {
namespace {

constexpr std::int64_t kSecond = 1'000'000;

CallRecord Call(const std::string& request, Verdict verdict) {
  CallRecord call;
  call.team = TeamId{"t"};
  call.request = RequestId{request};
  call.entry = EntryId{"e1"};
  call.sent_us = 10 * kSecond;
  call.ended_us = 11 * kSecond;
  call.end = CallEnd::kAnswered;
  call.verdict = verdict;
  return call;
}

TaskLine Task(const std::string& request, std::int64_t start_us, std::int64_t end_us) {
  return {RequestId{request}, TeamId{"t"}, ServiceId{"s"}, VmId{"v1"}, start_us, end_us, "done"};
}

/// One pool of two VMs with a budget of one, one team with a limit of one, one request that ran.
Evidence Sound() {
  Evidence evidence;
  inventory::Pool pool;
  pool.id = PoolId{"p"};
  pool.min_available = 1;
  evidence.inventory.pools[pool.id] = pool;
  for (const std::string name : {"v1", "v2"}) {
    inventory::Vm vm;
    vm.id = VmId{name};
    vm.pool = pool.id;
    evidence.inventory.vms[vm.id] = vm;
  }
  inventory::Team team;
  team.id = TeamId{"t"};
  team.upper_limit = 1;
  evidence.inventory.teams[team.id] = team;
  evidence.calls = {Call("r1", Verdict::kCompleted)};
  evidence.tasks = {Task("r1", 10 * kSecond, 11 * kSecond)};
  return evidence;
}

struct JudgeCase {
  std::string name;
  std::function<void(Evidence&)> spoil;
  std::int64_t Counters::*counter;
  std::int64_t expected;
};

class JudgeTest : public testing::TestWithParam<JudgeCase> {};

// A judge that overlooks a broken promise makes every scenario pass. Each kind of evidence that
// should count is put into a sound run, and the one counter that is meant for it must show it.
TEST_P(JudgeTest, CountsWhatItShould) {
  Evidence evidence = Sound();
  ASSERT_TRUE(Count(evidence).IsClean());
  GetParam().spoil(evidence);
  const Counters counters = Count(evidence);
  EXPECT_EQ(counters.*(GetParam().counter), GetParam().expected) << counters.ToJson();
  EXPECT_EQ(counters.IsClean(), GetParam().expected == 0);
}

AvailabilityChange Gone(const std::string& vm, std::int64_t at_us, const std::string& cause) {
  return {VmId{vm}, at_us, false, cause};
}

INSTANTIATE_TEST_SUITE_P(
    Cases, JudgeTest,
    testing::Values(
        JudgeCase{"RanTwice",
                  [](Evidence& e) { e.tasks.push_back(Task("r1", 12 * kSecond, 13 * kSecond)); },
                  &Counters::ran_twice, 1},
        JudgeCase{"IdempotentMayRunTwice",
                  [](Evidence& e) {
                    e.calls[0].idempotency = Idempotency::kIdempotent;
                    e.tasks.push_back(Task("r1", 12 * kSecond, 13 * kSecond));
                  },
                  &Counters::ran_twice, 0},
        JudgeCase{"NotRunButRan", [](Evidence& e) { e.calls[0].verdict = Verdict::kNotRun; },
                  &Counters::wrong_answers, 1},
        JudgeCase{"NotRunThenCompleted",
                  [](Evidence& e) { e.calls.push_back(Call("r1", Verdict::kNotRun)); },
                  &Counters::wrong_answers, 0},
        JudgeCase{"CompletedEarlierButNeverRan",
                  [](Evidence& e) {
                    e.calls.push_back(Call("r2", Verdict::kCompleted));
                    e.calls.back().is_completed_earlier = true;
                  },
                  &Counters::wrong_answers, 1},
        JudgeCase{"CompletedEarlier",
                  [](Evidence& e) {
                    e.calls.push_back(Call("r1", Verdict::kCompleted));
                    e.calls.back().is_completed_earlier = true;
                  },
                  &Counters::wrong_answers, 0},
        JudgeCase{"WrongAnswer", [](Evidence& e) { e.calls[0].is_wrong = true; },
                  &Counters::wrong_answers, 1},
        JudgeCase{"Cut",
                  [](Evidence& e) {
                    e.calls[0].end = CallEnd::kCut;
                    e.calls[0].verdict = Verdict::kMayHaveRun;
                  },
                  &Counters::cut_in_flight, 1},
        JudgeCase{"CutByKill",
                  [](Evidence& e) {
                    e.calls[0].end = CallEnd::kCut;
                    e.calls[0].verdict = Verdict::kMayHaveRun;
                    e.kills.push_back({EntryId{"e1"}, 10 * kSecond - 5, 10 * kSecond + 5});
                  },
                  &Counters::cut_in_flight, 0},
        JudgeCase{"CutLongAfterAKill",
                  [](Evidence& e) {
                    e.calls[0].end = CallEnd::kCut;
                    e.calls[0].verdict = Verdict::kMayHaveRun;
                    e.kills.push_back({EntryId{"e1"}, 9 * kSecond, 9 * kSecond + 5});
                  },
                  &Counters::cut_in_flight, 1},
        JudgeCase{"CutByReboot", [](Evidence& e) { e.tasks[0].outcome = "cut-by-reboot"; },
                  &Counters::cut_in_flight, 1},
        JudgeCase{
            "OverLimit",
            [](Evidence& e) { e.tasks.push_back(Task("r2", 10 * kSecond + 1, 12 * kSecond)); },
            &Counters::over_limit, 1},
        JudgeCase{"OneAfterTheOther",
                  [](Evidence& e) { e.tasks.push_back(Task("r2", 11 * kSecond, 12 * kSecond)); },
                  &Counters::over_limit, 0},
        JudgeCase{"BelowBudget",
                  [](Evidence& e) {
                    e.availability = {Gone("v1", 1, "drain"), Gone("v2", 2, "drain")};
                  },
                  &Counters::below_budget, 1},
        JudgeCase{"FailureAloneIsNoAct",
                  [](Evidence& e) {
                    e.availability = {Gone("v1", 1, "drain"), Gone("v2", 2, "failure")};
                  },
                  &Counters::below_budget, 0},
        JudgeCase{"ActOnTopOfFailure",
                  [](Evidence& e) {
                    e.availability = {Gone("v1", 1, "failure"), Gone("v2", 2, "drain")};
                  },
                  &Counters::below_budget, 1},
        JudgeCase{"AfterWithdrawal", [](Evidence& e) { e.withdrawals[TeamId{"t"}] = 6 * kSecond; },
                  &Counters::after_withdrawal, 1},
        JudgeCase{"SoonAfterWithdrawal",
                  [](Evidence& e) { e.withdrawals[TeamId{"t"}] = 8 * kSecond; },
                  &Counters::after_withdrawal, 0}),
    [](const testing::TestParamInfo<JudgeCase>& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::scenario
