#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using Harness = SchedulerHarness;

constexpr int kEndpoints = 40;
constexpr Duration kValidity = std::chrono::seconds(3);

/// "e00" to "e39".
std::string Id(int number) { return (number < 10 ? "e0" : "e") + std::to_string(number); }

/// A pool of 40 endpoints of one core, and an adviser that allows the steps of the only queue on
/// some of them.
class AdvisedPool {
 public:
  explicit AdvisedPool(std::set<std::string> allowed) : allowed(std::move(allowed)) {
    this->harness.policy.version = 2;
    this->harness.policy.queues["bookings"].advice =
        AdviceTerms{milliseconds(10), milliseconds(1), kValidity};
    this->harness.scheduler.SetPolicy(this->harness.policy);
    for (int i = 0; i < kEndpoints; ++i) {
      this->records.push_back(Harness::Endpoint(Id(i), 1));
    }
    this->harness.Register(this->records);
  }

  void Submit(std::uint64_t job, const Step& step) {
    this->harness.scheduler.AddJob(Harness::MakeJob(job, {step}), this->Wall());
  }

  /// Runs rounds for a second, in which the adviser answers each request and the endpoints accept
  /// each start. Returns the starts.
  std::vector<StartOrder> Run() {
    std::vector<StartOrder> starts;
    for (int i = 0; i < 10; ++i) {
      this->harness.AdvanceTime(milliseconds(100));
      for (const AdviceRequest& request :
           this->harness.scheduler.TakeAdviceRequests(this->harness.now)) {
        this->Answer(request);
      }
      for (const StartOrder& start : this->harness.StartAll()) {
        starts.push_back(start);
      }
    }
    return starts;
  }

  /// The endpoint is lost for good: its registration is gone and its leases have lapsed.
  void Lose(const std::string& id) {
    this->harness.scheduler.OnRenewalFailed(id, OrderOutcome::kNoAnswer, this->harness.now);
    std::erase_if(this->records, [&](const EndpointRecord& record) { return record.id == id; });
    this->harness.AdvanceTime(SchedulerOptions{}.LongestLease() + kValidity);
    this->harness.scheduler.SetEndpoints(this->records, this->harness.now);
  }

  WallTime Wall() const { return WallTime(this->harness.now.time_since_epoch()); }

  Harness harness;
  /// How often each endpoint was named in a request.
  std::map<std::string, int> asked;

 private:
  void Answer(const AdviceRequest& request) {
    EXPECT_LE(request.endpoints.size(), 100U) << "the adviser refuses longer requests";
    std::vector<AdviceTicket> tickets;
    for (const std::string& id : request.endpoints) {
      ++this->asked[id];
      if (this->allowed.contains(id)) {
        tickets.push_back({id, "ticket for " + id});
      }
    }
    this->harness.scheduler.OnAdvice(request, tickets, this->harness.now);
  }

  const std::set<std::string> allowed;
  std::vector<EndpointRecord> records;
};

std::vector<std::string> EndpointsOf(const std::vector<StartOrder>& starts) {
  std::vector<std::string> endpoints;
  for (const StartOrder& start : starts) {
    endpoints.push_back(start.endpoint);
    EXPECT_EQ(start.ticket, "ticket for " + start.endpoint);
  }
  std::sort(endpoints.begin(), endpoints.end());
  return endpoints;
}

struct AdviceCase {
  const char* name;
  std::set<std::string> allowed;
  /// Called before the job is submitted.
  std::function<void(AdvisedPool&)> prepare;
  Step step;
  std::vector<std::string> expected;
};

Step Gang(std::uint32_t count) {
  Step step = Harness::MakeStep(count);
  step.is_gang = true;
  return step;
}

/// Guards against a step that waits for ever, as the adviser is asked only about the first
/// endpoints of the pool again and again.
class AdvisedStep : public ::testing::TestWithParam<AdviceCase> {};

TEST_P(AdvisedStep, StartsWhereverItIsAllowed) {
  AdvisedPool pool(GetParam().allowed);
  GetParam().prepare(pool);
  pool.Submit(1, GetParam().step);
  EXPECT_EQ(EndpointsOf(pool.Run()), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Pools, AdvisedStep,
    ::testing::Values(
        AdviceCase{"on_an_early_endpoint",
                   {"e05", "e39"},
                   [](AdvisedPool&) {},
                   Harness::MakeStep(1),
                   {"e05"}},
        AdviceCase{
            "on_the_last_endpoint", {"e39"}, [](AdvisedPool&) {}, Harness::MakeStep(1), {"e39"}},
        AdviceCase{"more_tasks_than_early_endpoints",
                   {"e05", "e38", "e39"},
                   [](AdvisedPool&) {},
                   Harness::MakeStep(3),
                   {"e05", "e38", "e39"}},
        AdviceCase{"a_gang_larger_than_the_early_endpoints",
                   {"e05", "e38", "e39"},
                   [](AdvisedPool&) {},
                   Gang(3),
                   {"e05", "e38", "e39"}},
        AdviceCase{"on_no_endpoint", {}, [](AdvisedPool&) {}, Gang(1), {}},
        AdviceCase{"early_endpoint_is_full",
                   {"e05", "e39"},
                   [](AdvisedPool& pool) {
                     pool.Submit(2, Harness::MakeStep(1));
                     EXPECT_EQ(EndpointsOf(pool.Run()), std::vector<std::string>{"e05"});
                   },
                   Harness::MakeStep(1),
                   {"e39"}}),
    [](const auto& info) { return info.param.name; });

/// Guards against a job that is never started again after the loss of the only endpoint for which
/// there was a ticket.
TEST(Advice, AStepWhoseEndpointIsLostStartsOnAnotherAllowedOne) {
  AdvisedPool pool({"e05", "e37"});
  pool.Submit(1, Harness::MakeStep(1));
  ASSERT_EQ(EndpointsOf(pool.Run()), std::vector<std::string>{"e05"});
  pool.Lose("e05");
  EXPECT_EQ(EndpointsOf(pool.Run()), std::vector<std::string>{"e37"});
}

/// Guards against a load on the adviser that grows with the time for which a step waits.
TEST(Advice, ARefusedEndpointIsNotAskedAboutAgain) {
  AdvisedPool pool({});
  pool.Submit(1, Harness::MakeStep(1));
  for (int i = 0; i < 5; ++i) {
    pool.Run();
    pool.harness.AdvanceTime(kValidity);
  }
  ASSERT_EQ(pool.asked.size(), static_cast<std::size_t>(kEndpoints));
  for (const auto& [id, count] : pool.asked) {
    EXPECT_EQ(count, 1) << id;
  }
}

/// Guards against a start that is refused because its ticket was given for the endpoint's former
/// incarnation.
TEST(Advice, ATicketOfAFormerIncarnationIsNotUsed) {
  AdvisedPool pool({"e05"});
  pool.Submit(1, Harness::MakeStep(1));
  ASSERT_EQ(pool.Run().size(), 1U);
  const int asked = pool.asked["e05"];
  pool.harness.AnswerRenewal("e05", {}, {}, 2);
  EXPECT_TRUE(pool.harness.StartAll().empty()) << "the new incarnation has no ticket yet";
  EXPECT_EQ(EndpointsOf(pool.Run()), std::vector<std::string>{"e05"});
  EXPECT_EQ(pool.asked["e05"], asked + 1);
}

/// Guards against asking anew about all endpoints when one of them refuses its ticket.
TEST(Advice, ARefusedTicketLeavesTheOtherAnswersValid) {
  AdvisedPool pool({"e05", "e06"});
  pool.Submit(1, Harness::MakeStep(1));
  pool.harness.AdvanceTime(milliseconds(100));
  const std::vector<AdviceRequest> requests =
      pool.harness.scheduler.TakeAdviceRequests(pool.harness.now);
  ASSERT_EQ(requests.size(), 1U);
  pool.harness.scheduler.OnAdvice(
      requests[0], {{"e05", "ticket for e05"}, {"e06", "ticket for e06"}}, pool.harness.now);
  const std::vector<StartOrder> starts = pool.harness.Round().starts;
  ASSERT_EQ(starts.size(), 1U);
  pool.harness.scheduler.OnStartAnswered(starts[0], OrderOutcome::kBadTicket, pool.harness.now);
  const std::vector<StartOrder> others = pool.harness.StartAll();
  ASSERT_EQ(others.size(), 1U);
  EXPECT_NE(others[0].endpoint, starts[0].endpoint);
}

}  // namespace
}  // namespace chervilspar::jobs
