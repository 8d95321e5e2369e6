#include "chervilspar/jobs/admission_policy.h"

#include <functional>
#include <limits>

#include <gtest/gtest.h>

#include "chervilspar/jobs/promised_room.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint{} + std::chrono::seconds(100);
/// The cpu that the account of the tests is due: ten cores.
constexpr double kDue = 10000;

/// The account's backlog takes this long at its share.
AdmissionOutlook OutlookOf(double backlog_ms, bool is_full = true, bool is_beyond_share = true) {
  AdmissionOutlook outlook;
  outlook.token = 5;
  outlook.is_full = is_full;
  AccountOutlook account{TeamId{"flood"}, "bookings", kDue};
  account.on_time_work = backlog_ms * kDue;
  account.is_beyond_share = is_beyond_share;
  outlook.accounts = {account};
  return outlook;
}

/// A job of one second and one core-second with an objective of two seconds.
AdmissionRequest Request(std::uint64_t number = 1) {
  AdmissionRequest request;
  request.job = JobId{number};
  request.team = TeamId{"flood"};
  request.queue = "bookings";
  request.work = 1000.0 * 1000.0;
  request.chain_ms = 1000;
  request.objective_ms = 2000;
  return request;
}

struct DecisionCase {
  const char* name;
  AdmissionOutlook outlook;
  RefusalReason reason;
  std::function<void(AdmissionRequest&)> change = [](AdmissionRequest&) {};
  Duration age{};
  std::optional<std::uint64_t> seen_token;
};

class DecisionOnOneJob : public ::testing::TestWithParam<DecisionCase> {};

/// Guards against refusals that the outlook doesn't justify: a caller who is refused wrongly loses
/// more than one who is served late.
TEST_P(DecisionOnOneJob, FollowsTheOutlook) {
  AdmissionPolicy policy;
  if (GetParam().seen_token) {
    AdmissionOutlook seen;
    seen.token = *GetParam().seen_token;
    policy.SetOutlook(seen, kNow - GetParam().age);
  }
  policy.SetOutlook(GetParam().outlook, kNow - GetParam().age);
  AdmissionRequest request = Request();
  GetParam().change(request);
  EXPECT_STREQ(ToString(policy.Decide(request, kNow).reason), ToString(GetParam().reason));
}

AdmissionOutlook WithoutDue(double due_cpu) {
  AdmissionOutlook outlook = OutlookOf(20000);
  outlook.accounts[0].due_cpu = due_cpu;
  return outlook;
}

AdmissionOutlook Promising(double due_in_ms) {
  AdmissionOutlook outlook = OutlookOf(20000);
  outlook.promises = {{JobId{1}, TeamId{"flood"}, "bookings", 1000.0 * 1000.0, due_in_ms}};
  return outlook;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, DecisionOnOneJob,
    ::testing::Values(
        DecisionCase{"late", OutlookOf(4000), RefusalReason::kLate},
        DecisionCase{"worthless", OutlookOf(9000), RefusalReason::kWorthless},
        DecisionCase{"on_time", OutlookOf(900), RefusalReason::kNone},
        DecisionCase{"late_within_the_margin", OutlookOf(1400), RefusalReason::kNone},
        DecisionCase{"old_outlook", OutlookOf(20000), RefusalReason::kNone,
                     [](AdmissionRequest&) {}, milliseconds(1001)},
        DecisionCase{"former_owner", OutlookOf(20000), RefusalReason::kNone,
                     [](AdmissionRequest&) {}, Duration{}, 6},
        DecisionCase{"new_owner", OutlookOf(20000), RefusalReason::kWorthless,
                     [](AdmissionRequest&) {}, Duration{}, 4},
        DecisionCase{"below_its_share_while_another_is_beyond", OutlookOf(20000, true, false),
                     RefusalReason::kNone},
        DecisionCase{"late_while_all_fits", OutlookOf(4000, false, false), RefusalReason::kNone},
        DecisionCase{"worthless_while_all_fits", OutlookOf(9000, false, false),
                     RefusalReason::kWorthless},
        DecisionCase{"account_not_listed", OutlookOf(20000), RefusalReason::kNone,
                     [](AdmissionRequest& request) { request.team = TeamId{"other"}; }},
        DecisionCase{"queue_not_listed", OutlookOf(20000), RefusalReason::kNone,
                     [](AdmissionRequest& request) { request.queue = "watch"; }},
        DecisionCase{"long_running_or_scheduled", OutlookOf(20000), RefusalReason::kNone,
                     [](AdmissionRequest& request) { request.is_batch = false; }},
        DecisionCase{"queue_without_objective", OutlookOf(20000), RefusalReason::kNone,
                     [](AdmissionRequest& request) { request.objective_ms = 0; }},
        DecisionCase{"no_task_fits_the_cap", OutlookOf(0), RefusalReason::kExceedsCap,
                     [](AdmissionRequest& request) { request.exceeds_cap = true; }},
        DecisionCase{"nothing_due", WithoutDue(0), RefusalReason::kNone},
        DecisionCase{"due_is_not_a_number", WithoutDue(std::numeric_limits<double>::quiet_NaN()),
                     RefusalReason::kNone},
        DecisionCase{"returns_at_its_time", Promising(0), RefusalReason::kNone},
        DecisionCase{"returns_within_two_seconds", Promising(-1900), RefusalReason::kNone},
        DecisionCase{"returns_too_early", Promising(1500), RefusalReason::kWorthless},
        DecisionCase{"returns_too_late", Promising(-2100), RefusalReason::kWorthless}),
    [](const auto& info) { return info.param.name; });

/// An outlook that doesn't arrive must not make an entry refuse.
TEST(AdmissionPolicy, AdmitsWithoutAnOutlook) {
  AdmissionPolicy policy;
  EXPECT_FALSE(policy.Decide(Request(), kNow).IsRefused());
  policy.SetOutlook(OutlookOf(20000), kNow);
  policy.DropOutlook();
  EXPECT_FALSE(policy.Decide(Request(2), kNow).IsRefused());
}

/// Callers that are refused together and told the same time would return together and be refused
/// again.
TEST(AdmissionPolicy, TellsSuccessiveTimesBetweenOneAndThirtySeconds) {
  AdmissionPolicy policy;
  policy.SetOutlook(OutlookOf(4000), kNow);
  AdmissionRequest request = Request();
  request.work = 2000 * kDue;
  int last = 0;
  for (std::uint64_t number = 1; number <= 20; ++number) {
    request.job = JobId{number};
    const int seconds = policy.Decide(request, kNow).return_after_s;
    EXPECT_EQ(seconds, std::min<int>(2 + 2 * static_cast<int>(number), 30));
    EXPECT_GE(seconds, last);
    last = seconds;
  }
}

/// A caller whose connection broke submits the job again before the owner has read it. A refusal
/// would deny a job that is stored.
TEST(AdmissionPolicy, AdmitsTheRepeatOfAnAdmittedJob) {
  AdmissionPolicy policy;
  EXPECT_FALSE(policy.Decide(Request(), kNow).IsRefused());
  policy.SetOutlook(OutlookOf(20000), kNow);
  EXPECT_FALSE(policy.Decide(Request(), kNow).IsRefused());
  EXPECT_TRUE(policy.Decide(Request(2), kNow).IsRefused());
}

/// Forty entries decide on the same outlook. If each counted only its own admissions, they would
/// together admit forty times what fits.
TEST(AdmissionPolicy, ManyEntriesTogetherAdmitLittleMoreThanFits) {
  constexpr int kEntries = 40;
  constexpr int kJobsPerEntry = 20;
  AdmissionOutlook outlook = OutlookOf(0);
  outlook.entries = kEntries;
  int admitted = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    AdmissionPolicy policy;
    policy.SetOutlook(outlook, kNow);
    for (int job = 0; job < kJobsPerEntry; ++job) {
      const auto number =
          std::uint64_t{1000} * static_cast<unsigned>(entry) + static_cast<unsigned>(job);
      admitted += policy.Decide(Request(number), kNow).IsRefused() ? 0 : 1;
    }
  }
  // 15 jobs fit into the 1.5 s until the latest start that is tolerated; each entry admits up to
  // two, as one job alone doesn't show that other entries admit as well.
  EXPECT_LE(admitted, 2 * kEntries);
  EXPECT_GE(admitted, 15);
}

/// The caller of a refused job returns through an entry that doesn't know of the refusal.
TEST(PromisedRoom, LetsAnyEntryAdmitTheReturningCaller) {
  AdmissionPolicy refusing;
  refusing.SetOutlook(OutlookOf(4000), kNow);
  const AdmissionDecision refusal = refusing.Decide(Request(), kNow);
  ASSERT_TRUE(refusal.IsRefused());
  PromisedRoom room;
  const std::vector<Promise> reported = refusing.UnreportedRefusals(kNow);
  room.Add(reported, kNow);
  refusing.OnReported(reported);
  EXPECT_FALSE(refusing.HasUnreportedRefusals());
  const TimePoint back = kNow + std::chrono::seconds(refusal.return_after_s);
  AdmissionOutlook outlook = OutlookOf(20000);
  room.AddTo(outlook, back, std::chrono::seconds(2));
  EXPECT_GT(outlook.accounts[0].promised_work, 0);
  AdmissionPolicy other;
  other.SetOutlook(outlook, back);
  const AdmissionDecision decision = other.Decide(Request(), back);
  EXPECT_FALSE(decision.IsRefused());
  EXPECT_TRUE(decision.is_returned);
}

/// The store fails after a returning caller was admitted, and the caller tries again through
/// another entry. Without its promise it would be refused although it came at its time.
TEST(PromisedRoom, KeepsThePromiseUntilTheJobIsStored) {
  PromisedRoom room;
  room.Add({{JobId{1}, TeamId{"flood"}, "bookings", 1000.0 * 1000.0, 1000}}, kNow);
  const auto is_admitted_at = [&](Duration time, bool is_stored) {
    room.Review(kNow + time, [&](const JobId&) { return is_stored; });
    AdmissionOutlook outlook = OutlookOf(20000);
    room.AddTo(outlook, kNow + time, std::chrono::seconds(2));
    AdmissionPolicy entry;
    entry.SetOutlook(outlook, kNow + time);
    return !entry.Decide(Request(), kNow + time).IsRefused();
  };
  EXPECT_TRUE(is_admitted_at(milliseconds(1000), false));
  EXPECT_TRUE(is_admitted_at(milliseconds(2000), false));
  EXPECT_FALSE(is_admitted_at(milliseconds(2001), true));
}

/// Room must not be kept for callers that never return, for jobs that are stored, or for more than
/// 256 ids.
TEST(PromisedRoom, IsBoundedInTimeAndNumber) {
  PromisedRoom room;
  std::vector<Promise> refused;
  for (std::uint64_t number = 0; number < 300; ++number) {
    refused.push_back({JobId{number}, TeamId{"flood"}, "bookings", 1.0, 1000});
  }
  refused[0].work = std::numeric_limits<double>::quiet_NaN();
  room.Add(refused, kNow);
  room.Add(refused, kNow);
  EXPECT_EQ(room.Count(), kMaxPromises);
  room.Review(kNow + milliseconds(2999), [](const JobId& id) { return id.number == 7; });
  EXPECT_EQ(room.Count(), kMaxPromises - 1);
  room.Review(kNow + milliseconds(3001), [](const JobId&) { return false; });
  EXPECT_EQ(room.Count(), 0U);
}

/// The estimate of a task is unknown, or its team's limit is below one task.
TEST(AdmissionRequest, FollowsFromTheJobAndThePolicy) {
  Policy policy;
  Queue queue;
  queue.slack_factor = 2;
  queue.target = milliseconds(500);
  policy.queues["bookings"] = queue;
  policy.teams[TeamId{"small"}] = {TeamId{"small"}, 0.0, {500, 0, 0}};
  Job job;
  job.queue = "bookings";
  job.team = TeamId{"small"};
  Step step;
  step.count = 4;
  step.need = {1000, 10, 0};
  job.steps = {step, step};
  job.steps[1].estimate_ms = 1000;
  job.steps[1].after = {0};
  const AdmissionRequest request = MakeAdmissionRequest(job, policy);
  EXPECT_DOUBLE_EQ(request.chain_ms, 1050);
  EXPECT_DOUBLE_EQ(request.objective_ms, 2600);
  EXPECT_DOUBLE_EQ(request.work, 4 * 1000.0 * 1050);
  EXPECT_TRUE(request.exceeds_cap);
  job.steps[1].need.cpu = 400;
  EXPECT_FALSE(MakeAdmissionRequest(job, policy).exceeds_cap);
  job.team = TeamId{"unknown"};
  EXPECT_FALSE(MakeAdmissionRequest(job, policy).exceeds_cap);
}

}  // namespace
}  // namespace chervilspar::jobs
