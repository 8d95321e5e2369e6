#include <gtest/gtest.h>

#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/key_overlay.h"

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

TEST(KeyDigestTest, IsTheSha256OfTheText) {
  // The digest of "abc" from FIPS 180-2, appendix B.1.
  EXPECT_EQ(DigestOf("abc").hex,
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(KeyDigestTest, KeysDifferAndAreReadable) {
  const Result<std::string> first = GenerateKey();
  const Result<std::string> second = GenerateKey();
  ASSERT_TRUE(first);
  ASSERT_TRUE(second);
  EXPECT_NE(*first, *second);
  EXPECT_EQ(first->size(), 3 + 2 * kKeyBytes);
}

struct DigestCase {
  std::string name;
  std::string hex;
  bool is_digest;
};

class ParseKeyDigestTest : public testing::TestWithParam<DigestCase> {};

TEST_P(ParseKeyDigestTest, ReadsOnlyLowerCaseHex) {
  EXPECT_EQ(ParseKeyDigest(GetParam().hex).HasValue(), GetParam().is_digest);
}

INSTANTIATE_TEST_SUITE_P(Cases, ParseKeyDigestTest,
                         testing::Values(DigestCase{"Whole", std::string(64, 'a'), true},
                                         DigestCase{"UpperCase", std::string(64, 'A'), false},
                                         DigestCase{"Short", std::string(63, 'a'), false},
                                         DigestCase{"Long", std::string(65, 'a'), false},
                                         DigestCase{"NoHex", std::string(64, 'g'), false},
                                         DigestCase{"Empty", "", false}),
                         [](const auto& info) { return info.param.name; });

// A guide loses a phone with the key in it while the platform's log is down. The operator hands the
// withdrawal to the entry that can be reached; it must stop the key at once, and keep the
// withdrawal until the log has it.
TEST(KeyOverlayTest, WithdrawalAheadOfTheLogStopsTheKey) {
  FoldBench bench;
  bench.Start();
  bench.Apply(KeyGiven{TestDigest("k"), TeamId{"desk"}});
  KeyOverlay overlay;
  EXPECT_EQ(overlay.Authenticate(bench.State(), TestDigest("k")), TeamId{"desk"});
  EXPECT_TRUE(overlay.Withdraw(TestDigest("k")));
  EXPECT_FALSE(overlay.Withdraw(TestDigest("k")));
  EXPECT_FALSE(overlay.Authenticate(bench.State(), TestDigest("k")));

  overlay.OnState(bench.State());
  EXPECT_EQ(overlay.Pending().size(), 1U);
  bench.Apply(KeyWithdrawn{TestDigest("k")});
  overlay.OnState(bench.State());
  EXPECT_TRUE(overlay.Pending().empty());
  EXPECT_FALSE(overlay.Authenticate(bench.State(), TestDigest("k")));
}

TEST(KeyOverlayTest, UnknownKeyIsNobodys) {
  FoldBench bench;
  bench.Start();
  EXPECT_FALSE(KeyOverlay{}.Authenticate(bench.State(), TestDigest("stranger")));
}

}  // namespace
}  // namespace chervilspar::config_log
