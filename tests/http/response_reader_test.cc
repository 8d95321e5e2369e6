#include "http/response_reader.h"

#include <algorithm>
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

const std::string kChunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct EndlessCase {
  std::string name;
  /// The beginning of the body, and what follows it again and again.
  std::string begin;
  std::string more;
};

class EndlessAnswerTest : public testing::TestWithParam<EndlessCase> {};

// What stands between the chunks of an answer and after them counts as no part of its body. An
// endpoint that sends it without end must not fill the memory of the process that reads it.
TEST_P(EndlessAnswerTest, IsAFaultBeforeMuchIsKept) {
  constexpr std::size_t kPieces = 50;
  const std::string begin = kChunkedHeader + GetParam().begin;
  for (const std::size_t piece : {std::size_t{1}, std::size_t{100}, std::size_t{8} * 1024}) {
    std::string more;
    while (more.size() < piece) {
      more += GetParam().more;
    }
    for (std::size_t cut = 1; cut <= begin.size(); ++cut) {
      ResponseReader reader(SmallLimits(), BodyRule::kAsDeclared);
      std::string pending = begin.substr(0, cut);
      std::size_t most_untaken = 0;
      const std::size_t pieces = 2 * SmallLimits().header_bytes / piece + kPieces;
      for (std::size_t i = 0; i < pieces && reader.Current() == State::kNeedMore; ++i) {
        pending.erase(0, reader.Feed(pending));
        most_untaken = std::max(most_untaken, pending.size());
        pending += i == 0 ? begin.substr(cut) : more;
      }
      EXPECT_LE(most_untaken, SmallLimits().header_bytes + more.size()) << "cut at " << cut;
      ASSERT_EQ(reader.Current(), State::kFault) << "cut at " << cut << ", pieces of " << piece;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, EndlessAnswerTest,
    testing::Values(EndlessCase{"Trailers", "0\r\n", "X-More: abcdefgh\r\n"},
                    EndlessCase{"TrailersAfterAChunk", "1\r\na\r\n0\r\n", "X-More: a\r\n"},
                    EndlessCase{"OneTrailer", "0\r\nX-More: ", "a"},
                    EndlessCase{"DigitsOfALength", "0", "0"},
                    EndlessCase{"Extension", "1;name=", "a"},
                    EndlessCase{"BetweenChunks", "1\r\na", "\t"}),
    [](const testing::TestParamInfo<EndlessCase>& info) { return info.param.name; });

TEST(ResponseReaderTest, ReadsChunksWithExtensionsAndTrailersInAnyPieces) {
  const std::string bytes =
      kChunkedHeader + "2;name=value\r\nab\r\n1\r\nc\r\n0\r\nX-Sum: 1\r\n\r\n";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    ResponseReader reader(SmallLimits(), BodyRule::kAsDeclared);
    std::string pending;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      pending += bytes.substr(at, piece);
      pending.erase(0, reader.Feed(pending));
    }
    ASSERT_EQ(reader.Current(), State::kWhole) << piece;
    EXPECT_EQ(reader.Take().body, "abc");
    EXPECT_TRUE(pending.empty());
  }
}

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
