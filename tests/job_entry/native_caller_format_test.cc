#include "job_entry/native_caller_format.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

struct CallCase {
  const char* name;
  const char* method;
  const char* target;
  CallerAction action;
  bool has_queue;
  bool has_id;
};

class NativeCalls : public ::testing::TestWithParam<CallCase> {};

TEST_P(NativeCalls, AreParsed) {
  jobs::Policy policy;
  policy.queues["bookings"].name = "bookings";
  http::Request request;
  request.method = GetParam().method;
  request.target = GetParam().target;
  request.headers.Add("Authorization", "Bearer key");
  const CallerCall call = NativeCallerFormat().Read(request, policy);
  EXPECT_EQ(call.queue != nullptr, GetParam().has_queue);
  EXPECT_EQ(call.id.has_value(), GetParam().has_id);
  if (call.queue != nullptr) {
    EXPECT_EQ(call.action, GetParam().action);
    EXPECT_EQ(call.key, "key");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Paths, NativeCalls,
    ::testing::Values(CallCase{"submit", "POST", "/v1/queues/bookings/jobs/5c0e7a21d94b36f8",
                               CallerAction::kSubmit, true, true},
                      CallCase{"find", "GET", "/v1/queues/bookings/jobs/5c0e7a21d94b36f8",
                               CallerAction::kFind, true, true},
                      CallCase{"cancel", "DELETE", "/v1/queues/bookings/jobs/5c0e7a21d94b36f8",
                               CallerAction::kCancel, true, true},
                      CallCase{"count", "GET", "/v1/queues/bookings/jobs",
                               CallerAction::kCountPending, true, false},
                      CallCase{"bad_id", "GET", "/v1/queues/bookings/jobs/7", CallerAction::kFind,
                               true, false},
                      CallCase{"unknown_queue", "GET", "/v1/queues/other/jobs",
                               CallerAction::kUnknown, false, false},
                      CallCase{"another_path", "GET", "/v1/queues/bookings", CallerAction::kUnknown,
                               false, false}),
    [](const auto& info) { return info.param.name; });

struct BodyCase {
  const char* name;
  const char* body;
  /// The field that the reason names; null if the body is valid.
  const char* field;
};

class NativeBodies : public ::testing::TestWithParam<BodyCase> {};

TEST_P(NativeBodies, NameTheInvalidField) {
  http::Request request;
  request.body = GetParam().body;
  const Result<jobs::Job> job = NativeCallerFormat().ReadJob(request);
  if (GetParam().field == nullptr) {
    ASSERT_TRUE(job);
    EXPECT_TRUE(jobs::CheckJob(*job));
    return;
  }
  ASSERT_FALSE(job);
  EXPECT_EQ(job.LastReason().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Jobs, NativeBodies,
    ::testing::Values(
        BodyCase{"valid", R"({"payload":"x","steps":[{"count":2,"cpu":500,"memory":256},
                 {"cpu":100,"after":[0]}]})",
                 nullptr},
        BodyCase{"not_json", "{", "body"},
        BodyCase{"step_of_another_type", R"({"steps":[{"count":1},7]})", "steps/1"},
        BodyCase{"count_of_another_type", R"({"steps":[{"count":"7"}]})", "steps/0"},
        BodyCase{"payload_of_another_type", R"({"steps":[{"count":1}],"payload":7})", "payload"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
