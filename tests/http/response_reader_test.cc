#include "http/response_reader.h"

#include <rapidcheck.h>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::http {
namespace {

using State = ResponseReader::State;
using BodyRule = ResponseReader::BodyRule;

ClientLimits SmallLimits() {
  ClientLimits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 64;
  return limits;
}

struct AnswerCase {
  std::string name;
  std::string bytes;
  State state;
};

class AnswerTest : public testing::TestWithParam<AnswerCase> {};

// An endpoint that dies, lies about its length or sends no length at all leaves a part of an
// answer behind. The caller must hear that the answer is missing and never get the part.
TEST_P(AnswerTest, OnlyAWholeAnswerCounts) {
  ResponseReader reader(SmallLimits(), BodyRule::kAsDeclared);
  reader.Feed(GetParam().bytes);
  EXPECT_EQ(reader.Current(), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AnswerTest,
    testing::Values(
        AnswerCase{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", State::kWhole},
        AnswerCase{"Empty", "HTTP/1.1 204 No Content\r\n\r\n", State::kWhole},
        AnswerCase{"ShortBody", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", State::kNeedMore},
        AnswerCase{"NoLength", "HTTP/1.1 200 OK\r\n\r\nok", State::kFault},
        AnswerCase{"Interim", "HTTP/1.1 100 Continue\r\n\r\n", State::kFault},
        AnswerCase{"TooLong", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n", State::kFault},
        AnswerCase{"TwoLengths",
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                   State::kFault},
        AnswerCase{"Garbage", "SSH-2.0-OpenSSH\r\n\r\n", State::kFault},
        AnswerCase{"ShortChunks",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                   State::kNeedMore}),
    [](const testing::TestParamInfo<AnswerCase>& info) { return info.param.name; });

RC_GTEST_PROP(ResponseReaderProperty, SurvivesGarbage, ()) {
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const auto edits = *rc::gen::inRange(0, 5);
  for (int i = 0; i < edits; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
  }
  ResponseReader reader(SmallLimits(), BodyRule::kAsDeclared);
  reader.Feed(bytes);
  if (reader.Current() == State::kWhole) {
    RC_ASSERT(reader.Take().body.size() <= SmallLimits().body_bytes);
  }
}

}  // namespace
}  // namespace chervilspar::http
