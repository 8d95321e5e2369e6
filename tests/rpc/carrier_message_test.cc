#include "chervilspar/rpc/carrier_message.h"

#include <gtest/gtest.h>

#include "rpc/compact_codec.h"
#include "rpc/gen/carrier_types.h"

namespace chervilspar::rpc {
namespace {

jobs::StartOrder MakeStart(std::uint32_t index, const std::string& payload) {
  return {.endpoint = "i-1",
          .address = {"10.0.0.1", 8080},
          .task = {jobs::JobId{0xfedcba9876543210U, 0x8001}, 1, 2, index},
          .run = 3,
          .payload = payload,
          .checkpoint = "c",
          .ticket = "t",
          .token = 7,
          .lease_end_ms = 123456789};
}

OrderBatch MakeBatch() {
  OrderBatch batch;
  batch.reply_address = "10.0.0.9:7015";
  batch.timeout = std::chrono::milliseconds(400);
  batch.starts = {{1, MakeStart(0, "work")}, {2, MakeStart(1, "work")}};
  batch.stops = {{3, {"i-2", {"10.0.0.2", 8080}, {jobs::JobId{5}, 0, 0, 0}, 9, 7}}};
  batch.paces = {{4, {"i-2", {"10.0.0.2", 8080}, {jobs::JobId{5}, 0, 0, 1}, 1, 40, 7}}};
  batch.holds = {{5, {"i-1", {"10.0.0.1", 8080}, 7, 12, 999, std::chrono::milliseconds(800)}},
                 {6, {"i-2", {"10.0.0.2", 8080}, 7, 0, std::nullopt, {}}}};
  return batch;
}

/// A batch whose start has a payload that the carrier has kept.
OrderBatch MakeBatchWithoutPayload() {
  OrderBatch batch = MakeBatch();
  batch.starts[0].order.payload.clear();
  batch.starts[0].kept_payload = 0xfedcba9876543210U;
  return batch;
}

CarriedAnswers MakeAnswers() {
  jobs::RenewalReport report;
  report.clock_ms = 1000;
  report.born_ms = 1790000000000;
  report.active = {{{jobs::JobId{0xa5, 0x4000}, 0, 0, 1}, 2, "saved", 41, 77}};
  report.ended = {{58, {jobs::JobId{5}, 0, 0, 0}, 1, jobs::RunEnd::kGangIncomplete, ""}};
  return {{5, jobs::OrderOutcome::kDone, report}, {1, jobs::OrderOutcome::kNotSent, std::nullopt}};
}

OrderBatch MakeBatchWithAnswerDelay() {
  OrderBatch batch = MakeBatch();
  batch.answer_delay = std::chrono::milliseconds(28);
  return batch;
}

QuestionBatch MakeQuestions() {
  return {"10.0.0.3:7015", "10.0.0.9:7015", {{9, "/v1/jobs/1", ""}, {10, "/v1/admission", "{}"}}};
}

struct MessageCase {
  const char* name;
  CarrierMessage message;
};

class Messages : public ::testing::TestWithParam<MessageCase> {};

TEST_P(Messages, ComeBackAsTheyWere) {
  const Result<CarrierMessage> read = DecodeCarrierMessage(Encode(GetParam().message));
  ASSERT_TRUE(read) << ToString(read.LastReason());
  EXPECT_EQ(*read, GetParam().message);
}

/// A frame is cut off on its way, or another program writes to the port.
TEST_P(Messages, AreRefusedWhenCut) {
  const std::string whole = Encode(GetParam().message);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(DecodeCarrierMessage(std::string_view(whole).substr(0, length))) << length;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, Messages,
    ::testing::Values(MessageCase{"orders", MakeBatch()}, MessageCase{"no_orders", OrderBatch{}},
                      MessageCase{"kept_payload", MakeBatchWithoutPayload()},
                      MessageCase{"answers", MakeAnswers()},
                      MessageCase{"answer_delay", MakeBatchWithAnswerDelay()},
                      MessageCase{"questions", MakeQuestions()},
                      MessageCase{"replies", Replies{{9, 200, "{}"}, {10, 503, ""}}},
                      MessageCase{
                          "kept_and_missing",
                          CarriedAnswers{{1, jobs::OrderOutcome::kPayloadMissing, std::nullopt},
                                         {2, jobs::OrderOutcome::kDone, std::nullopt, true}}},
                      MessageCase{"no_answers", CarriedAnswers{}}),
    [](const auto& info) { return info.param.name; });

/// Tasks of one job carry the same payload of up to 4,000 bytes. Sent with each of them, it fills
/// the owner's link.
TEST(CarrierMessage, HoldsAPayloadOnce) {
  OrderBatch batch;
  const std::string payload(4000, 'x');
  for (std::uint32_t i = 0; i < 30; ++i) {
    batch.starts.push_back({i, MakeStart(i, payload)});
  }
  EXPECT_LT(Encode(batch).size(), payload.size() + std::size_t{30} * 60);
}

/// Guards versions that run side by side: without kept payloads, frames have no new fields, and an
/// earlier version refuses a start whose payload is left out rather than run it with another one.
TEST(CarrierMessage, NamesNoOtherPayloadForAKeptOne) {
  const auto before =
      DecodeCompact<gen::WireCarrierMessage>(Encode(MakeBatch()), "carrier-message");
  const auto kept =
      DecodeCompact<gen::WireCarrierMessage>(Encode(MakeBatchWithoutPayload()), "carrier-message");
  ASSERT_TRUE(before && kept);
  EXPECT_FALSE(before->batch.starts[0].__isset.kept_payload);
  EXPECT_EQ(kept->batch.starts[0].payload, -1);
}

struct RangeCase {
  const char* name;
  void (*spoil)(gen::WireOrderBatch&);
  const char* field;
};

class Ranges : public ::testing::TestWithParam<RangeCase> {};

/// An entry of another version names what isn't in its own message; taken as it is, the process
/// reads memory that isn't its own.
TEST_P(Ranges, AreChecked) {
  gen::WireCarrierMessage wire =
      *DecodeCompact<gen::WireCarrierMessage>(Encode(MakeBatch()), "carrier-message");
  GetParam().spoil(wire.batch);
  const Result<CarrierMessage> read = DecodeCarrierMessage(EncodeCompact(wire));
  ASSERT_FALSE(read);
  EXPECT_EQ(read.LastReason().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, Ranges,
    ::testing::Values(
        RangeCase{"target", [](gen::WireOrderBatch& batch) { batch.starts[0].target = 9; },
                  "target"},
        RangeCase{"negative_target", [](gen::WireOrderBatch& batch) { batch.holds[0].target = -1; },
                  "target"},
        RangeCase{"payload", [](gen::WireOrderBatch& batch) { batch.starts[1].payload = 1; },
                  "payload"},
        RangeCase{"port", [](gen::WireOrderBatch& batch) { batch.targets[0].port = 70000; },
                  "port"},
        RangeCase{"endless_wait", [](gen::WireOrderBatch& batch) { batch.holds[0].wait = 60001; },
                  "wait"},
        RangeCase{"negative_timeout", [](gen::WireOrderBatch& batch) { batch.timeout = -1; },
                  "timeout"},
        RangeCase{"index", [](gen::WireOrderBatch& batch) { batch.stops[0].run.index = -1; },
                  "run"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::rpc
