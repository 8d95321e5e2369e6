#include "http/request_reader.h"

#include <algorithm>
#include <rapidcheck.h>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::http {
namespace {

ServerLimits SmallLimits() {
  ServerLimits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 64;
  return limits;
}

struct Outcome {
  ReadState state = ReadState::kNeedMore;
  std::string rest;
};

/// Offers `bytes` in pieces, as they would come from a socket.
Outcome FeedInPieces(RequestReader& reader, const std::string& bytes, std::size_t piece) {
  std::string pending;
  std::size_t offered = 0;
  while (reader.State() == ReadState::kNeedMore && offered < bytes.size()) {
    pending += bytes.substr(offered, piece);
    offered = std::min(bytes.size(), offered + piece);
    pending.erase(0, reader.Feed(pending));
  }
  return {reader.State(), pending + bytes.substr(offered)};
}

struct BadCase {
  std::string name;
  std::string bytes;
  BadInput fault;
  unsigned status;
};

class BadRequestTest : public testing::TestWithParam<BadCase> {};

// A caller, or someone in its place, sends something that is not one clear request. A server that
// guesses what was meant can be made to take one caller's words for another's; so each gets a
// refusal that says what is wrong, however its bytes are cut up on the way.
TEST_P(BadRequestTest, IsRefusedWithAReason) {
  const std::size_t size = GetParam().bytes.size();
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, size}) {
    RequestReader reader(SmallLimits());
    ASSERT_EQ(FeedInPieces(reader, GetParam().bytes, piece).state, ReadState::kFault) << piece;
    EXPECT_EQ(reader.Fault(), GetParam().fault);
    const Response refusal = reader.FaultResponse();
    EXPECT_EQ(refusal.status, GetParam().status);
    EXPECT_NE(refusal.body.find(ToString(GetParam().fault)), std::string::npos);
  }
}

const std::string kPost = "POST /v1/x HTTP/1.1\r\nHost: a\r\n";

INSTANTIATE_TEST_SUITE_P(
    Cases, BadRequestTest,
    testing::Values(
        BadCase{"Garbage", "\x16\x03\x01\x02 not http\r\n\r\n", BadInput::kMalformed, 400},
        BadCase{"NoVersion", "GET /\r\n\r\n", BadInput::kMalformed, 400},
        BadCase{"NoHost", "GET / HTTP/1.1\r\n\r\n", BadInput::kMalformed, 400},
        BadCase{"LargeHeader", kPost + "A: " + std::string(600, 'a') + "\r\n\r\n",
                BadInput::kHeaderTooLarge, 431},
        BadCase{"LargeBody", kPost + "Content-Length: 65\r\n\r\n" + std::string(65, 'b'),
                BadInput::kBodyTooLarge, 413},
        BadCase{"HugeLength", kPost + "Content-Length: 18446744073709551615\r\n\r\n",
                BadInput::kBodyTooLarge, 413},
        BadCase{"OverflowingLength", kPost + "Content-Length: 99999999999999999999999\r\n\r\n",
                BadInput::kMalformed, 400},
        BadCase{"NegativeLength", kPost + "Content-Length: -1\r\n\r\n", BadInput::kMalformed, 400},
        BadCase{"Chunked", kPost + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                BadInput::kChunked, 411},
        BadCase{"TwoHosts", kPost + "Host: b\r\n\r\n", BadInput::kDuplicateHeader, 400},
        BadCase{"TwoKeys", kPost + "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n",
                BadInput::kDuplicateHeader, 400}),
    [](const testing::TestParamInfo<BadCase>& info) { return info.param.name; });

// A field of three bytes takes many times that in memory, so that the bound on a header's bytes
// alone would let each connection hold far more.
TEST(RequestReaderTest, RefusesAHeaderOfManySmallFields) {
  std::string bytes = kPost;
  for (int i = 0; i < 200; ++i) {
    bytes += "a:\r\n";
  }
  for (const std::string end : {"", "\r\n"}) {
    RequestReader reader(ServerLimits{});
    reader.Feed(bytes + end);
    ASSERT_EQ(reader.State(), ReadState::kFault);
    EXPECT_EQ(reader.Fault(), BadInput::kHeaderTooLarge);
  }
}

TEST(RequestReaderTest, TellsWhatARequestWillHold) {
  RequestReader reader(SmallLimits());
  const std::string header = kPost + "Content-Length: 60\r\n\r\n";
  reader.Feed(header + "ab");
  EXPECT_EQ(reader.HeldBytes(), header.size() + 60);
}

/// As the server's connection reads.
constexpr std::size_t kReadPiece = std::size_t{8} * 1024;

struct EndlessCase {
  std::string name;
  /// The request's beginning, without its header.
  std::string begin;
  /// What follows again and again.
  std::string more;
};

class EndlessChunkedRequestTest : public testing::TestWithParam<EndlessCase> {};

// A body in chunks has no announced length, and what stands between its chunks counts as no part of
// it. If it is refused only when a piece happens to end with the header, a caller can fill the
// memory with trailers, with extensions or with the digits of a length.
TEST_P(EndlessChunkedRequestTest, IsRefusedWithItsHeaderHoweverItIsCut) {
  constexpr std::size_t kPieces = 50;
  const std::string header = kPost + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string begin = header + GetParam().begin;
  std::string more;
  while (more.size() < kReadPiece) {
    more += GetParam().more;
  }
  for (std::size_t cut = 1; cut <= begin.size(); ++cut) {
    RequestReader reader(SmallLimits());
    std::string pending = begin.substr(0, cut);
    std::size_t offered = pending.size();
    std::size_t most_untaken = 0;
    for (std::size_t piece = 0; piece < kPieces && reader.State() == ReadState::kNeedMore;
         ++piece) {
      pending.erase(0, reader.Feed(pending));
      most_untaken = std::max(most_untaken, pending.size());
      if (offered >= header.size()) {
        EXPECT_EQ(reader.State(), ReadState::kFault) << "cut at " << cut;
      }
      const std::string next = piece == 0 ? begin.substr(cut) : more;
      pending += next;
      offered += next.size();
    }
    EXPECT_LE(most_untaken, SmallLimits().header_bytes + more.size()) << "cut at " << cut;
    ASSERT_EQ(reader.State(), ReadState::kFault) << "cut at " << cut;
    EXPECT_EQ(reader.Fault(), BadInput::kChunked) << "cut at " << cut;
    EXPECT_EQ(reader.FaultResponse().status, 411U) << "cut at " << cut;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, EndlessChunkedRequestTest,
    testing::Values(EndlessCase{"Trailers", "0\r\n", "X-More: abcdefgh\r\n"},
                    EndlessCase{"TrailersAfterAChunk", "1\r\na\r\n0\r\n", "X-More: a\r\n"},
                    EndlessCase{"OneTrailer", "0\r\nX-More: ", "a"},
                    EndlessCase{"DigitsOfALength", "0", "0"},
                    EndlessCase{"Extension", "1;name=", "a"},
                    EndlessCase{"LastChunksExtension", "0;name=\"", "a"},
                    EndlessCase{"BetweenChunks", "1\r\na", "\t"},
                    EndlessCase{"SmallChunks", "1\r\na\r\n", "1\r\na\r\n"}),
    [](const testing::TestParamInfo<EndlessCase>& info) { return info.param.name; });

class EndlessHeaderTest : public testing::TestWithParam<EndlessCase> {};

// A header without end, in pieces of any size, must not be kept for longer than the limit.
TEST_P(EndlessHeaderTest, IsRefusedWithinTheLimit) {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{100}, kReadPiece}) {
    RequestReader reader(SmallLimits());
    std::string more;
    while (more.size() < piece) {
      more += GetParam().more;
    }
    std::string pending = GetParam().begin;
    std::size_t offered = pending.size();
    while (reader.State() == ReadState::kNeedMore &&
           offered <= 2 * SmallLimits().header_bytes + piece) {
      pending.erase(0, reader.Feed(pending));
      ASSERT_LE(pending.size(), SmallLimits().header_bytes + more.size());
      pending += more;
      offered += more.size();
    }
    EXPECT_EQ(reader.State(), ReadState::kFault) << piece;
  }
}

INSTANTIATE_TEST_SUITE_P(Cases, EndlessHeaderTest,
                         testing::Values(EndlessCase{"Target", "POST /", "a"},
                                         EndlessCase{"Fields", kPost, "X-More: a\r\n"},
                                         EndlessCase{"FieldName", kPost, "a"},
                                         EndlessCase{"FieldValue", kPost + "X-More: ", "a"}),
                         [](const testing::TestParamInfo<EndlessCase>& info) {
                           return info.param.name;
                         });

// Two lengths, equal or not, are the classic way to make two servers disagree on where a request
// ends. Whichever part of the reader notices first, the request must not pass.
TEST(RequestReaderTest, RefusesTwoLengths) {
  for (const std::string second : {"1", "2"}) {
    RequestReader reader(SmallLimits());
    std::string bytes = kPost + "Content-Length: 1\r\nContent-Length: ";
    bytes += second + "\r\n\r\na";
    reader.Feed(bytes);
    EXPECT_EQ(reader.State(), ReadState::kFault);
    EXPECT_EQ(reader.FaultResponse().status, 400U);
  }
}

TEST(RequestReaderTest, ReadsARequestInAnyPieces) {
  const std::string bytes = kPost + "X-One: 1\r\nContent-Length: 3\r\n\r\nabcGET / HT";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    RequestReader reader(SmallLimits());
    const Outcome outcome = FeedInPieces(reader, bytes, piece);
    ASSERT_EQ(outcome.state, ReadState::kWhole);
    EXPECT_EQ(outcome.rest, "GET / HT");
    EXPECT_TRUE(reader.IsKeepAlive());
    const Request request = reader.Take();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/v1/x");
    EXPECT_EQ(request.body, "abc");
    EXPECT_EQ(request.headers.Find("x-ONE"), "1");
  }
}

TEST(RequestReaderTest, ATruncatedRequestIsNeverWhole) {
  const std::string bytes = kPost + "Content-Length: 3\r\n\r\nabc";
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    RequestReader reader(SmallLimits());
    reader.Feed(bytes.substr(0, length));
    EXPECT_EQ(reader.State(), ReadState::kNeedMore) << length;
  }
}

std::string Garble(std::string bytes) {
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits && !bytes.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
  }
  return bytes;
}

// Noise on the line, a scanner or a broken client sends bytes that are almost a request. Nothing
// may crash, and nothing that the limits forbid may come through.
RC_GTEST_PROP(RequestReaderProperty, SurvivesGarbage, ()) {
  const std::string good = kPost + "Content-Length: 3\r\nAuthorization: Bearer k\r\n\r\nabc";
  const bool is_noise = *rc::gen::arbitrary<bool>();
  const std::string bytes = is_noise ? *rc::gen::arbitrary<std::string>() : Garble(good);
  RequestReader reader(SmallLimits());
  FeedInPieces(reader, bytes, *rc::gen::inRange<std::size_t>(1, 80));
  if (reader.State() == ReadState::kFault) {
    RC_ASSERT(reader.FaultResponse().status >= 400U);
  }
  if (reader.State() == ReadState::kWhole) {
    const Request request = reader.Take();
    RC_ASSERT(request.body.size() <= SmallLimits().body_bytes);
    RC_ASSERT(request.headers.Count("Host") <= 1U);
  }
}

}  // namespace
}  // namespace chervilspar::http
