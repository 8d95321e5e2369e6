#include "chervilspar/jobs/job.h"

#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/arbitrary_terms.h"

namespace chervilspar::jobs {
namespace {

struct IdCase {
  const char* text;
  bool is_valid;
};

/// Guards against tasks that are ordered under another id than their submitter wrote.
class JobIds : public ::testing::TestWithParam<IdCase> {};

TEST_P(JobIds, AreSixteenHexDigits) {
  const std::optional<JobId> id = ParseJobId(GetParam().text);
  EXPECT_EQ(id.has_value(), GetParam().is_valid) << GetParam().text;
  if (id) {
    EXPECT_EQ(ToString(*id), GetParam().text);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Forms, JobIds,
    ::testing::Values(IdCase{"5c0e7a21d94b36f8", true}, IdCase{"0000000000000000", true},
                      IdCase{"5C0E7A21D94B36F8", true}, IdCase{"5c0E7a21d94B36f8", true},
                      IdCase{"", false}, IdCase{"5c0e7a21d94b36f", false},
                      IdCase{"5c0e7a21d94b36f80", false}, IdCase{"5c0e7a21d94b36fg", false},
                      IdCase{"-c0e7a21d94b36f8", false}, IdCase{"5c0e7a21 94b36f8", false}));

/// Guards against a job that is taken for another one whose id differs in capital letters only.
TEST(JobIds, DifferInCapitalLetters) {
  EXPECT_NE(*ParseJobId("5c0e7a21d94b36f8"), *ParseJobId("5C0E7A21D94B36F8"));
}

Job ValidJob() {
  Job job;
  job.id = JobId{7};
  Step step;
  step.need = {500, 256, 0};
  job.steps = {step};
  return job;
}

struct InvalidJobCase {
  const char* name;
  std::function<void(Job&)> modify;
  /// The field that the reason names; null if the job is valid.
  const char* field;
};

class InvalidJobs : public ::testing::TestWithParam<InvalidJobCase> {};

TEST_P(InvalidJobs, NameTheField) {
  Job job = ValidJob();
  GetParam().modify(job);
  const Status status = CheckJob(job);
  if (GetParam().field == nullptr) {
    EXPECT_TRUE(status);
  } else {
    ASSERT_FALSE(status);
    EXPECT_EQ(status.LastReason().field, GetParam().field);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Shapes, InvalidJobs,
    ::testing::Values(
        InvalidJobCase{"valid", [](Job&) {}, nullptr},
        InvalidJobCase{"no_steps", [](Job& job) { job.steps.clear(); }, "steps"},
        InvalidJobCase{"zero_count", [](Job& job) { job.steps[0].count = 0; }, "steps/0/count"},
        InvalidJobCase{"too_many_tasks", [](Job& job) { job.steps[0].count = kMaxTasks + 1; },
                       "steps"},
        InvalidJobCase{"huge_counts",
                       [](Job& job) {
                         job.steps[0].count = 0x7fffffff;
                         job.steps.push_back(job.steps[0]);
                         job.steps.push_back(job.steps[0]);
                       },
                       "steps"},
        InvalidJobCase{"long_payload", [](Job& job) { job.payload.assign(4001, 'x'); }, "payload"},
        InvalidJobCase{"largest_payload", [](Job& job) { job.payload.assign(4000, 'x'); }, nullptr},
        InvalidJobCase{"after_itself", [](Job& job) { job.steps[0].after = {0}; }, "steps/0/after"},
        InvalidJobCase{"after_a_later_one",
                       [](Job& job) {
                         job.steps.push_back(job.steps[0]);
                         job.steps[0].after = {1};
                       },
                       "steps/0/after"},
        InvalidJobCase{"negative_cpu", [](Job& job) { job.steps[0].need.cpu = -1; }, "steps/0"},
        InvalidJobCase{"negative_estimate", [](Job& job) { job.steps[0].estimate_ms = -1; },
                       "steps/0/estimate"}),
    [](const auto& info) { return info.param.name; });

class InvalidSubmissions : public ::testing::TestWithParam<InvalidJobCase> {};

/// Guards against a job that is accepted and then needs more than an owner can hold, and against a
/// stored one of an older version that is no longer read.
TEST_P(InvalidSubmissions, NameTheFieldAndAreReadFromTheStore) {
  Job job = ValidJob();
  GetParam().modify(job);
  const Status status = CheckSubmission(job);
  EXPECT_EQ(status.HasValue(), GetParam().field == nullptr);
  if (!status && GetParam().field != nullptr) {
    EXPECT_EQ(status.LastReason().field, GetParam().field);
  }
  EXPECT_TRUE(DecodeJob(EncodeJob(job)));
}

INSTANTIATE_TEST_SUITE_P(Shapes, InvalidSubmissions,
                         ::testing::Values(InvalidJobCase{"valid", [](Job&) {}, nullptr},
                                           InvalidJobCase{
                                               "most_repeats",
                                               [](Job& job) { job.repeats = 0x7fffffff; }, nullptr},
                                           InvalidJobCase{"long_running",
                                                          [](Job& job) {
                                                            job.steps[0].is_long_running = true;
                                                            job.repeats = kMaxTasks;
                                                          },
                                                          nullptr},
                                           InvalidJobCase{"long_running_too_often",
                                                          [](Job& job) {
                                                            job.steps[0].is_long_running = true;
                                                            job.repeats = kMaxTasks + 1;
                                                          },
                                                          "repeats"},
                                           InvalidJobCase{"endless_interval",
                                                          [](Job& job) {
                                                            job.repeats = 2;
                                                            job.interval_ms = INT64_MAX;
                                                          },
                                                          "repeats"},
                                           InvalidJobCase{"no_first_time",
                                                          [](Job& job) {
                                                            job.repeats = 2;
                                                            job.first_due_ms = INT64_MAX;
                                                          },
                                                          "repeats"}),
                         [](const auto& info) { return info.param.name; });

rc::Gen<Step> ArbitraryStep() {
  return rc::gen::exec([] {
    Step step;
    step.count = *rc::gen::inRange<std::uint32_t>(1, 20);
    step.need = {*rc::gen::inRange(0, 90000), *rc::gen::inRange(0, 90000), *rc::gen::inRange(0, 9)};
    step.estimate_ms = *rc::gen::inRange(0, 90000);
    step.saves_progress = *rc::gen::arbitrary<bool>();
    step.is_gang = *rc::gen::arbitrary<bool>();
    step.prefers_one_rack = *rc::gen::arbitrary<bool>();
    step.allows_duplicate_runs = *rc::gen::arbitrary<bool>();
    step.is_long_running = *rc::gen::arbitrary<bool>();
    step.is_filler = *rc::gen::arbitrary<bool>();
    step.max_per_endpoint = *rc::gen::inRange<std::uint32_t>(0, 5);
    step.target_ms = *rc::gen::inRange(0, 900);
    step.required_label = *rc::gen::element<std::string>("", "a", "r1-2");
    step.data_rack = *rc::gen::element<std::string>("", "r1-2");
    step.image = *rc::gen::element<std::string>("", "img\"7");
    if (*rc::gen::arbitrary<bool>()) {
      step.max_unavailable = *rc::gen::inRange<std::uint32_t>(0, 4);
    }
    return step;
  });
}

RC_GTEST_PROP(JobCodec, ReadsBackWhatItWrote, ()) {
  Job job;
  job.id = JobId{*rc::gen::arbitrary<std::uint64_t>()};
  job.queue = "q";
  job.service = ServiceId{"s"};
  job.team = TeamId{"t"};
  job.payload = *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
  job.steps = *rc::gen::nonEmpty(rc::gen::container<std::vector<Step>>(ArbitraryStep()));
  job.accepted_ms = *rc::gen::inRange<std::int64_t>(0, 1LL << 50);
  job.terms = *ArbitraryTerms();
  for (std::uint32_t i = 1; i < job.steps.size(); ++i) {
    job.steps[i].after = {i - 1};
  }
  const Result<Job> read = DecodeJob(EncodeJob(job));
  RC_ASSERT(read.HasValue());
  RC_ASSERT(*read == job);
}

/// A truncated record, or one of another writer, must not crash the process.
RC_GTEST_PROP(JobCodec, RefusesBytesThatAreNoJob, (const std::string& bytes)) {
  RC_ASSERT(!DecodeJob(bytes).HasValue());
}

RC_GTEST_PROP(JobCodec, SurvivesAChangedByte, ()) {
  const std::string text = EncodeJob(ValidJob());
  std::string changed = text;
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  changed[position] = *rc::gen::arbitrary<char>();
  const Result<Job> read = DecodeJob(changed);
  const bool is_valid = !read || CheckJob(*read).HasValue();
  RC_ASSERT(is_valid);
}

}  // namespace
}  // namespace chervilspar::jobs
