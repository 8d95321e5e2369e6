#include "platform/platform_bodies.h"

#include <rapidcheck.h>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::platform {
namespace {

struct BodyCase {
  std::string name;
  std::string body;
  /// JSON pointer of the malformed field.
  std::string field;
};

class BadReadAnswerTest : public testing::TestWithParam<BodyCase> {};

// The log, or another server at its address, may answer with records that aren't consecutive. An
// entry that applied them would diverge from all other entries, so it must reject the whole answer
// and name the malformed field.
TEST_P(BadReadAnswerTest, NamesTheField) {
  const Result<ReadBatch> batch = ParseReadAnswer(GetParam().body, 5, 10);
  ASSERT_FALSE(batch.HasValue());
  EXPECT_EQ(batch.LastReason().code, ErrorCode::kMalformed);
  EXPECT_EQ(batch.LastReason().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadReadAnswerTest,
    testing::Values(
        BodyCase{"NotJson", "<html>", "/"}, BodyCase{"NotObject", "[]", "/"},
        BodyCase{"NoFirst", R"({"next":6,"records":[]})", "/first"},
        BodyCase{"TextNext", R"({"first":0,"next":"6","records":[]})", "/next"},
        BodyCase{"NegativeFirst", R"({"first":-1,"next":6,"records":[]})", "/first"},
        BodyCase{"NextBeforeFirst", R"({"first":7,"next":6,"records":[]})", "/next"},
        BodyCase{"NoRecords", R"({"first":0,"next":6})", "/records"},
        BodyCase{"RecordIsText", R"({"first":0,"next":6,"records":["a"]})", "/records/0"},
        BodyCase{"WrongStart", R"({"first":0,"next":9,"records":[{"offset":6,"data":""}]})",
                 "/records/0/offset"},
        BodyCase{
            "Hole",
            R"({"first":0,"next":9,"records":[{"offset":5,"data":""},{"offset":7,"data":""}]})",
            "/records/1/offset"},
        BodyCase{"PastTheEnd", R"({"first":0,"next":5,"records":[{"offset":5,"data":""}]})",
                 "/records/0/offset"},
        BodyCase{"NoData", R"({"first":0,"next":9,"records":[{"offset":5}]})", "/records/0/data"}),
    [](const testing::TestParamInfo<BodyCase>& info) { return info.param.name; });

TEST(ReadAnswerTest, ReturnsRecordsInOrder) {
  const Result<ReadBatch> batch = ParseReadAnswer(
      R"({"first":2,"next":9,"records":[{"offset":5,"data":"a"},{"offset":6,"data":"b"}]})", 5, 2);
  ASSERT_TRUE(batch.HasValue());
  EXPECT_EQ(batch->first, 2);
  EXPECT_EQ(batch->next, 9);
  EXPECT_EQ(batch->records, (std::vector<LogRecord>{{5, "a"}, {6, "b"}}));
  EXPECT_FALSE(ParseReadAnswer(R"({"first":2,"next":9,"records":[{"offset":5,"data":"a"}]})", 5, 0)
                   .HasValue());
}

TEST(GapAnswerTest, IsGapOnlyIfOffsetIsNotRetained) {
  const Result<ReadBatch> gap = ParseGapAnswer(R"({"first":8,"next":9})", 5);
  ASSERT_TRUE(gap.HasValue());
  EXPECT_EQ(gap->kind, ReadKind::kGap);
  EXPECT_EQ(ParseGapAnswer(R"({"first":5,"next":9})", 5).LastReason().field, "/first");
}

class BadVmListTest : public testing::TestWithParam<BodyCase> {};

// A VM list may contain a malformed state or address. If only that line were dropped, the VM would
// appear to be gone; the whole answer must be rejected, so that the previous list stays in use.
TEST_P(BadVmListTest, NamesTheField) {
  const Result<VmList> list = ParseVmList(GetParam().body);
  ASSERT_FALSE(list.HasValue());
  EXPECT_EQ(list.LastReason().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadVmListTest,
    testing::Values(
        BodyCase{"NoSequence", R"({"as_of_unix_ms":1,"vms":[]})", "/sequence"},
        BodyCase{"HugeTime", R"({"sequence":1,"as_of_unix_ms":9223372036854775807,"vms":[]})",
                 "/as_of_unix_ms"},
        BodyCase{"VmsIsText", R"({"sequence":1,"as_of_unix_ms":1,"vms":"none"})", "/vms"},
        BodyCase{
            "NoName",
            R"({"sequence":1,"as_of_unix_ms":1,"vms":[{"state":"live","address":"1.2.3.4:5"}]})",
            "/vms/0/vm"},
        BodyCase{
            "UnknownState",
            R"({"sequence":1,"as_of_unix_ms":1,"vms":[{"vm":"a","state":"odd","address":"1.2.3.4:5"}]})",
            "/vms/0/state"},
        BodyCase{
            "MalformedAddress",
            R"({"sequence":1,"as_of_unix_ms":1,"vms":[{"vm":"a","state":"live","address":"host:5"}]})",
            "/vms/0/address"}),
    [](const testing::TestParamInfo<BodyCase>& info) { return info.param.name; });

// Corrupt answers of the platform must neither crash an entry nor be accepted as records.
RC_GTEST_PROP(PlatformBodiesProperty, RejectCorruptInput, ()) {
  std::string body = R"({"first":0,"next":9,"records":[{"offset":5,"data":"a"}]})";
  const auto edits = *rc::gen::inRange(0, 6);
  for (int i = 0; i < edits; ++i) {
    body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
  }
  const Result<ReadBatch> batch = ParseReadAnswer(body, 5, 10);
  if (batch) {
    RC_ASSERT(batch->records.size() <= 1U);
    RC_ASSERT(batch->records.empty() || batch->records.front().offset == 5);
  }
  const std::string random_body = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(!ParseVmList(random_body).HasValue());
  RC_ASSERT(!ParseVmDescription(random_body).HasValue());
  RC_ASSERT(!ParseGapAnswer(random_body, 1).HasValue());
}

}  // namespace
}  // namespace chervilspar::platform
