#include <functional>
#include <string>

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/caller_format.h"
#include "platform/endpoint_link.h"
#include "platform/record_frames.h"
#include "platform/record_reader.h"
#include "platform/wire_json.h"

namespace chervilspar::adapter {
namespace {

using job_entry::CallerAction;
using job_entry::KeyedRecord;

struct NameCase {
  const char* name;
  bool is_valid;
};

class TaskNameTest : public ::testing::TestWithParam<NameCase> {};

TEST_P(TaskNameTest, ParsesOnlyExactForm) {
  const std::optional<jobs::TaskKey> key = ParseTaskName(GetParam().name);
  EXPECT_EQ(key.has_value(), GetParam().is_valid) << GetParam().name;
  if (key) {
    EXPECT_EQ(TaskName(*key), GetParam().name);
  }
}

INSTANTIATE_TEST_SUITE_P(Forms, TaskNameTest,
                         ::testing::Values(NameCase{"5c0e7a21d94b36f8.0.1.17", true},
                                           NameCase{"5c0e7a21d94b36f8.4294967295.0.0", true},
                                           NameCase{"5C0E7a21D94B36f8.0.1.17", true},
                                           NameCase{"5c0e7a21d94b36f8.4294967296.0.0", false},
                                           NameCase{"5c0e7a21d94b36f8", false},
                                           NameCase{"5c0e7a21d94b36f8.0.1", false},
                                           NameCase{"5c0e7a21d94b36f8.0.1.2.3", false},
                                           NameCase{"5c0e7a21d94b36f8.0.1.x", false},
                                           NameCase{"5c0e7a21d94b36f8.0.-1.2", false},
                                           NameCase{"zz0e7a21d94b36f8.0.1.2", false},
                                           NameCase{"", false}));

RC_GTEST_PROP(RecordFrameTest, RoundTrips, ()) {
  const auto count = *rc::gen::inRange(0, 5);
  std::vector<KeyedRecord> records;
  for (int i = 0; i < count; ++i) {
    KeyedRecord record;
    record.key = *rc::gen::container<std::string>(10, rc::gen::arbitrary<char>());
    const std::string value = *rc::gen::arbitrary<std::string>();
    if (!value.empty()) {
      record.value = value;
    }
    records.push_back(record);
  }
  std::string answer(16, '\0');
  answer[7] = static_cast<char>(count);
  answer += FrameRecords(records);
  const std::optional<ReadFrames> frames = ParseReadFrames(answer);
  RC_ASSERT(frames.has_value());
  RC_ASSERT(frames->records == records);
  RC_ASSERT(frames->end == static_cast<std::uint64_t>(count));
}

/// A truncated answer must not pass for a complete one, since records would be skipped.
RC_GTEST_PROP(RecordFrameTest, RejectsTruncatedAnswer, ()) {
  std::string answer(16, '\0');
  answer += FrameRecords({{"key", "value"}});
  const auto size = *rc::gen::inRange<std::size_t>(0, answer.size());
  const std::optional<ReadFrames> frames = ParseReadFrames(answer.substr(0, size));
  RC_ASSERT(!frames || (size == 16 && frames->records.empty()));
}

RC_GTEST_PROP(RecordFrameTest, SurvivesAnyBytes, (const std::string& bytes)) {
  ParseReadFrames(bytes);
  DecodeBase64(bytes);
  RC_SUCCEED();
}

/// Arbitrary bytes from an endpoint, the store or a caller must give an error and never end the
/// process.
RC_GTEST_PROP(ReaderTest, SurvivesAnyBytes, (const std::string& bytes)) {
  const PlatformRecordReader records;
  RC_ASSERT(!ReadHoldReport(bytes).HasValue());
  RC_ASSERT(!records.ReadPolicy(bytes).HasValue());
  RC_ASSERT(!records.ReadEndpoint("i", bytes).HasValue());
  RC_ASSERT(!records.ReadWave(bytes).HasValue());
  RC_ASSERT(!records.ReadCordon("evacuate/z", bytes).HasValue());
  http::Request request;
  request.body = bytes;
  RC_ASSERT(!PlatformCallerFormat().ReadJob(request).HasValue());
}

struct CordonCase {
  const char* name;
  std::string key;
  std::optional<std::string> value;
  /// Empty when the record is malformed.
  std::string zone;
};

class CordonTest : public ::testing::TestWithParam<CordonCase> {};

/// A record of an unexpected form must neither make a zone appear open nor cordon another zone.
TEST_P(CordonTest, ReadsZoneOrFails) {
  const Result<ZoneId> zone = PlatformRecordReader().ReadCordon(GetParam().key, GetParam().value);
  EXPECT_EQ(zone ? zone->text : "", GetParam().zone);
}

INSTANTIATE_TEST_SUITE_P(
    Records, CordonTest,
    ::testing::Values(CordonCase{"set", "evacuate/is-south-a", "{}", "is-south-a"},
                      CordonCase{"lifted", "evacuate/is-south-a", std::nullopt, "is-south-a"},
                      CordonCase{"of_a_newer_form", "evacuate/a", R"({"until":{"ms":5}})", "a"},
                      CordonCase{"empty", "evacuate/a", "", ""},
                      CordonCase{"cut", "evacuate/a", R"({"un)", ""},
                      CordonCase{"another_type", "evacuate/a", "[]", ""},
                      CordonCase{"no_zone", "evacuate/", "{}", ""},
                      CordonCase{"too_long", "evacuate/" + std::string(129, 'a'), "{}", ""}),
    [](const auto& info) { return info.param.name; });

struct HoldCase {
  const char* name;
  const char* body;
  bool is_valid;
};

class HoldReportTest : public ::testing::TestWithParam<HoldCase> {};

TEST_P(HoldReportTest, ReadsWholeReportOrFails) {
  EXPECT_EQ(ReadHoldReport(GetParam().body).HasValue(), GetParam().is_valid);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, HoldReportTest,
    ::testing::Values(
        HoldCase{"empty_lists", R"({"clock_ms":5,"born":7,"active":[],"finished":[]})", true},
        HoldCase{"rows", R"({"clock_ms":5,"active":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,3500]],
                 "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
                 true},
        HoldCase{"unknown_end", R"({"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"gone",""]]})",
                 false},
        HoldCase{"short_row", R"({"finished":[[58,"5c0e7a21d94b36f8.0.1.9"]]})", false},
        HoldCase{"wrong_type", R"({"active":[[1,2,3,4]]})", false},
        HoldCase{"list_of_another_type", R"({"active":7})", false},
        HoldCase{"no_json", "clock", false}),
    [](const auto& info) { return info.param.name; });

struct EndpointCase {
  const char* name;
  const char* body;
  bool is_valid;
};

class RegistrationTest : public ::testing::TestWithParam<EndpointCase> {};

TEST_P(RegistrationTest, ReadsEndpointOrFails) {
  EXPECT_EQ(PlatformRecordReader().ReadEndpoint("i-7", GetParam().body).HasValue(),
            GetParam().is_valid);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, RegistrationTest,
    ::testing::Values(
        EndpointCase{"whole", R"({"service":"s","address":"10.1.0.9:80","zone":"a","phase":"ready",
                     "capacity":{"cpu":1,"mem_mb":2,"gpu":0},"labels":["a","r1-3"],"born":5})",
                     true},
        EndpointCase{"unknown_state", R"({"service":"s","address":"10.1.0.9:80","phase":"odd",
                     "capacity":{"cpu":1}})",
                     false},
        EndpointCase{"no_address", R"({"service":"s","phase":"ready","capacity":{"cpu":1}})",
                     false},
        EndpointCase{"no_capacity", R"({"service":"s","address":"10.1.0.9:80","phase":"ready"})",
                     false},
        EndpointCase{"capacity_of_another_type", R"({"service":"s","address":"10.1.0.9:80",
                     "phase":"ready","capacity":{"cpu":"many"}})",
                     false},
        EndpointCase{"no_json", "\x01\x02", false}),
    [](const auto& info) { return info.param.name; });

/// One odd field of a registration that is sound otherwise.
struct OddFieldCase {
  const char* name;
  std::string id = "i-7";
  std::string address = "\"10.1.0.9:80\"";
  std::string cpu = "8000";
  std::string born = "5";
  std::string further;
};

std::string OddRegistration(const OddFieldCase& odd) {
  return R"({"service":"s","zone":"a","phase":"ready","address":)" + odd.address + R"(,"born":)" +
         odd.born + R"(,"capacity":{"cpu":)" + odd.cpu + R"(,"mem_mb":2},"labels":["a","r1-3"])" +
         odd.further + "}";
}

class OddFieldTest : public ::testing::TestWithParam<OddFieldCase> {};

/// Guards against an odd entry of another writer that is taken for an endpoint: its numbers would
/// overflow the sums of its pool, or its id would end the header that names the endpoint.
TEST_P(OddFieldTest, NamesNoEndpoint) {
  EXPECT_TRUE(PlatformRecordReader().ReadEndpoint("i-7", OddRegistration({})).HasValue());
  const Result<jobs::EndpointRecord> endpoint =
      PlatformRecordReader().ReadEndpoint(GetParam().id, OddRegistration(GetParam()));
  EXPECT_FALSE(endpoint.HasValue());
}

std::string Nested(int depth, char open, char close) {
  return std::string(depth, open) + std::string(depth, close);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, OddFieldTest,
    ::testing::Values(
        OddFieldCase{.name = "capacity_near_2_to_63", .cpu = "9223372036854775807"},
        OddFieldCase{.name = "capacity_beyond_2_to_63", .cpu = "18446744073709551615"},
        OddFieldCase{.name = "capacity_whose_sum_overflows", .cpu = "9000000000000000"},
        OddFieldCase{.name = "capacity_beyond_a_double", .cpu = "1e999"},
        OddFieldCase{.name = "negative_capacity", .cpu = "-8000"},
        OddFieldCase{.name = "start_beyond_all_dates", .born = "9223372036854775807"},
        OddFieldCase{.name = "start_before_all_dates", .born = "-9223372036854775808"},
        OddFieldCase{.name = "port_out_of_range", .address = "\"10.1.0.9:65536\""},
        OddFieldCase{.name = "port_0", .address = "\"10.1.0.9:0\""},
        OddFieldCase{.name = "negative_port", .address = "\"10.1.0.9:-1\""},
        OddFieldCase{.name = "long_port", .address = "\"10.1.0.9:" + std::string(5000, '9') + "\""},
        OddFieldCase{.name = "host_name", .address = "\"server.example:80\""},
        OddFieldCase{.name = "nested_address", .address = Nested(100000, '[', ']')},
        OddFieldCase{.name = "nested_field",
                     .further = ",\"labels_2\":" + Nested(100000, '[', ']')},
        OddFieldCase{.name = "nested_and_cut", .further = ",\"a\":" + std::string(200000, '[')},
        OddFieldCase{.name = "no_id", .id = ""},
        OddFieldCase{.name = "id_with_a_line_break", .id = "i-7\r\nX: y"},
        OddFieldCase{.name = "id_that_is_no_text", .id = "\xff\xfe"}),
    [](const auto& info) { return info.param.name; });

/// Guards against a listing that can't be read because of the key of another writer's record.
TEST(StoreAnswerTest, ATextOfAnyBytesIsRead) {
  const std::string body = "{\"items\":[{\"key\":\"\xff\xfe\",\"value\":\"\"}]}";
  EXPECT_TRUE(ParseObjectOfAnyBytes(body).HasValue());
  EXPECT_FALSE(ParseObjectOfAnyBytes(Nested(100000, '[', ']')).HasValue());
}

struct HeartbeatCase {
  const char* name;
  std::string one;
  std::string other;
  bool is_same;
};

class HeartbeatTest : public ::testing::TestWithParam<HeartbeatCase> {};

/// Guards against a heartbeat that is decoded although it says nothing new, and against a change
/// that is taken for a heartbeat: an endpoint that drains would get new work.
TEST_P(HeartbeatTest, DiffersInItsNumberOnly) {
  const PlatformRecordReader reader;
  EXPECT_EQ(reader.IsSameEndpoint(GetParam().one, GetParam().other), GetParam().is_same);
  EXPECT_EQ(reader.IsSameEndpoint(GetParam().other, GetParam().one), GetParam().is_same);
}

INSTANTIATE_TEST_SUITE_P(
    Records, HeartbeatTest,
    ::testing::Values(
        HeartbeatCase{"Number", R"({"phase":"ready","seq":9,"born":1})",
                      R"({"phase":"ready","seq":10,"born":1})", true},
        HeartbeatCase{"NumberFirst", R"({"seq":9,"born":1})", R"({"seq":123,"born":1})", true},
        HeartbeatCase{"NumberLast", R"({"born":1,"seq":9})", R"({"born":1,"seq":10})", true},
        HeartbeatCase{"PhaseAsWell", R"({"phase":"ready","seq":9})",
                      R"({"phase":"draining","seq":10})", false},
        HeartbeatCase{"Restarted", R"({"seq":9,"born":1})", R"({"seq":1,"born":2})", false},
        HeartbeatCase{"NoNumber", R"({"born":1})", R"({"born":12})", false},
        HeartbeatCase{"NumberInAText", R"({"labels":["a,\"seq\":1"],"born":1})",
                      R"({"labels":["a,\"seq\":2"],"born":1})", false},
        HeartbeatCase{"NotANumber", R"({"seq":x,"born":1})", R"({"seq":y,"born":1})", false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(PolicyTest, TranslatesFields) {
  const Result<jobs::Policy> policy = PlatformRecordReader().ReadPolicy(R"({"version":7,
      "routes":[{"name":"r","host":"h","path_prefix":"/p/","target_runtime_ms":600,"prio":1,
                 "service":"s","attempts":3,"slack_factor":1.6,"public":true,
                 "advice":{"decide_ms":5,"each_ms":1,"valid_ms":3000}}],
      "services":[{"name":"s"},{"name":"spare","standby":true}],
      "tenants":[{"name":"t","api_keys":["k"],"weight":2,"cap":{"cpu":9000,"mem_mb":8,"gpu":0}}]})");
  ASSERT_TRUE(policy);
  const jobs::Queue& queue = policy->queues.at("r");
  EXPECT_EQ(queue.target, std::chrono::milliseconds(600));
  EXPECT_EQ(queue.attempts, 3U);
  EXPECT_TRUE(queue.is_public);
  ASSERT_TRUE(queue.advice);
  EXPECT_EQ(queue.advice->validity, std::chrono::milliseconds(3000));
  EXPECT_EQ(policy->team_of_key.at("k"), TeamId{"t"});
  EXPECT_EQ(policy->teams.at(TeamId{"t"}).cap.cpu, 9000);
  EXPECT_EQ(policy->standby, std::set<ServiceId>{ServiceId{"spare"}});
}

struct CallCase {
  const char* name;
  const char* method;
  const char* host;
  const char* target;
  CallerAction action;
  const char* queue;
  bool has_id;
};

class CallTest : public ::testing::TestWithParam<CallCase> {};

TEST_P(CallTest, TranslatesRequest) {
  jobs::Policy policy;
  for (const char* prefix : {"/p/", "/p/inner/"}) {
    jobs::Queue queue;
    queue.name = prefix;
    queue.host = "h";
    queue.path_prefix = prefix;
    policy.queues[prefix] = queue;
  }
  http::Request request;
  request.method = GetParam().method;
  request.target = GetParam().target;
  request.headers.Add("Host", GetParam().host);
  const job_entry::CallerCall call = PlatformCallerFormat().Read(request, policy);
  if (GetParam().queue == nullptr) {
    EXPECT_EQ(call.queue, nullptr);
    return;
  }
  ASSERT_NE(call.queue, nullptr);
  EXPECT_EQ(call.queue->name, GetParam().queue);
  EXPECT_EQ(call.action, GetParam().action);
  EXPECT_EQ(call.id.has_value(), GetParam().has_id);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, CallTest,
    ::testing::Values(
        CallCase{"submit", "POST", "h", "/p/5c0e7a21d94b36f8", CallerAction::kSubmit, "/p/", true},
        CallCase{"find", "GET", "h", "/p/5c0e7a21d94b36f8", CallerAction::kFind, "/p/", true},
        CallCase{"cancel", "DELETE", "h", "/p/5c0e7a21d94b36f8", CallerAction::kCancel, "/p/",
                 true},
        CallCase{"count", "GET", "h", "/p/", CallerAction::kCountPending, "/p/", false},
        CallCase{"longest_prefix", "GET", "h", "/p/inner/5c0e7a21d94b36f8", CallerAction::kFind,
                 "/p/inner/", true},
        CallCase{"port_in_host", "GET", "h:80", "/p/", CallerAction::kCountPending, "/p/", false},
        CallCase{"query", "GET", "h", "/p/?x=1", CallerAction::kCountPending, "/p/", false},
        CallCase{"another_host", "GET", "g", "/p/", CallerAction::kUnknown, nullptr, false},
        CallCase{"another_path", "GET", "h", "/q/", CallerAction::kUnknown, nullptr, false},
        CallCase{"another_method", "PUT", "h", "/p/x", CallerAction::kUnknown, "/p/", false},
        CallCase{"no_id", "GET", "h", "/p/short", CallerAction::kFind, "/p/", false}),
    [](const auto& info) { return info.param.name; });

struct BodyCase {
  const char* name;
  const char* body;
  /// The field that the error names; null when the body is valid.
  const char* field;
};

class JobBodyTest : public ::testing::TestWithParam<BodyCase> {};

TEST_P(JobBodyTest, NamesMalformedField) {
  http::Request request;
  request.body = GetParam().body;
  const Result<jobs::Job> job = PlatformCallerFormat().ReadJob(request);
  if (GetParam().field == nullptr) {
    ASSERT_TRUE(job);
    EXPECT_TRUE(jobs::CheckJob(*job));
    return;
  }
  const Reason reason = job ? jobs::CheckJob(*job).LastReason() : job.LastReason();
  EXPECT_EQ(reason.field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Jobs, JobBodyTest,
    ::testing::Values(
        BodyCase{"valid", R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,
                 "estimate_ms":900,"affinity":"r1-3"},{"count":20,"after":[0]}]})",
                 nullptr},
        BodyCase{"unknown_field", R"({"spec":"x","later":1,"steps":[{"count":1}]})", nullptr},
        BodyCase{"cut_short", R"({"spec":"x","steps":[{"count":4)", "body"},
        BodyCase{"no_object", "[]", "body"}, BodyCase{"no_steps", R"({"spec":"x"})", "steps"},
        BodyCase{"steps_of_another_type", R"({"steps":5})", "steps"},
        BodyCase{"step_of_another_type", R"({"steps":[5]})", "steps/0"},
        BodyCase{"count_of_another_type", R"({"steps":[{"count":"4"}]})", "steps/0/count"},
        BodyCase{"zero_count", R"({"steps":[{"count":0}]})", "steps/0/count"},
        BodyCase{"huge_count", R"({"steps":[{"count":99999999999}]})", "steps/0/count"},
        BodyCase{"after_itself", R"({"steps":[{"after":[0]}]})", "steps/0/after"},
        BodyCase{"after_a_text", R"({"steps":[{"after":["0"]}]})", "steps/0/after"},
        BodyCase{"negative_cpu", R"({"steps":[{"cpu":-5}]})", "steps/0"},
        BodyCase{"flag_of_another_type", R"({"steps":[{"gang":1}]})", "steps/0/gang"},
        BodyCase{"spec_of_another_type", R"({"spec":7,"steps":[{"count":1}]})", "spec"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::adapter
