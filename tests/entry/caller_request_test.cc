#include "entry/caller_request.h"

#include <string>

#include <gtest/gtest.h>

namespace chervilspar::entry {
namespace {

http::Request GoodRequest() {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/services/booking/requests";
  request.headers.Add("Authorization", "Bearer key");
  request.body = "{}";
  return request;
}

TEST(CallerRequestTest, DefaultsAreThoseOfThePage) {
  const auto read = ReadCallerRequest(GoodRequest());
  ASSERT_TRUE(std::holds_alternative<CallerRequest>(read));
  const auto& request = std::get<CallerRequest>(read);
  EXPECT_EQ(request.service, ServiceId{"booking"});
  EXPECT_EQ(request.key, "key");
  EXPECT_TRUE(request.id.IsEmpty());
  EXPECT_EQ(request.timeout, std::chrono::seconds(30));
  EXPECT_EQ(request.idempotency, admission::Idempotency::kNotIdempotent);
  EXPECT_EQ(request.work_class, admission::WorkClass::kNormal);
}

struct FaultCase {
  std::string name;
  std::string method;
  std::string target;
  std::string header;
  std::string value;
  unsigned status;
  std::string named;
};

class CallerFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(CallerFaultTest, IsNamedAndNothingRuns) {
  http::Request request = GoodRequest();
  request.method = GetParam().method;
  request.target = GetParam().target;
  if (!GetParam().header.empty()) {
    request.headers.Add(GetParam().header, GetParam().value);
  }
  const auto read = ReadCallerRequest(request);
  ASSERT_TRUE(std::holds_alternative<Rejection>(read));
  const auto& rejection = std::get<Rejection>(read);
  EXPECT_EQ(rejection.status, GetParam().status);
  EXPECT_EQ(rejection.verdict, Verdict::kNotRun);
  EXPECT_NE(rejection.message.find(GetParam().named), std::string::npos) << rejection.message;
}

constexpr char kPath[] = "/v1/services/booking/requests";

INSTANTIATE_TEST_SUITE_P(
    Faults, CallerFaultTest,
    testing::Values(
        FaultCase{"WrongMethod", "GET", kPath, "", "", 405, "POST"},
        FaultCase{"WrongPath", "POST", "/v1/services/booking", "", "", 404, "path"},
        FaultCase{"IdNoUuid", "POST", kPath, "Idempotency-Key", "7", 400, "Idempotency-Key"},
        FaultCase{"IdOfVersion4", "POST", kPath, "Idempotency-Key",
                  "9b2d3c1e-5f4a-4c3b-8a1d-2e3f4a5b6c7d", 400, "Idempotency-Key"},
        FaultCase{"TimeoutZero", "POST", kPath, "Chervilspar-Timeout-Ms", "0", 400, "Timeout-Ms"},
        FaultCase{"TimeoutHuge", "POST", kPath, "Chervilspar-Timeout-Ms", "99999999999999999999",
                  400, "Timeout-Ms"},
        FaultCase{"TimeoutText", "POST", kPath, "Chervilspar-Timeout-Ms", "5s", 400, "Timeout-Ms"},
        FaultCase{"FlagOdd", "POST", kPath, "Chervilspar-Idempotent", "yes", 400, "Idempotent"}),
    [](const auto& info) { return info.param.name; });

TEST(CallerRequestTest, MissingKeyIsUnauthenticated) {
  http::Request request;
  request.method = "POST";
  request.target = kPath;
  const auto read = ReadCallerRequest(request);
  ASSERT_TRUE(std::holds_alternative<Rejection>(read));
  EXPECT_EQ(std::get<Rejection>(read).status, 401U);
}

TEST(CallerRequestTest, AnswerSaysWhenToComeBack) {
  const http::Response response =
      ToResponse({429, "overloaded", "full", Verdict::kNotRun, std::chrono::milliseconds(1300)},
                 RequestId{"r"});
  EXPECT_EQ(response.headers.Find("Retry-After"), "2");
  EXPECT_EQ(response.headers.Find("Chervilspar-Retry-After-Ms"), "1300");
  EXPECT_EQ(response.headers.Find("Chervilspar-Verdict"), "not-run");
  EXPECT_EQ(response.headers.Find("Chervilspar-Request-Id"), "r");
}

}  // namespace
}  // namespace chervilspar::entry
