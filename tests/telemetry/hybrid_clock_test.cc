#include "chervilspar/telemetry/hybrid_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::telemetry {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr Duration kMaxAhead = seconds(2);
constexpr WallTime kNow{seconds(1'800'000'000)};

TEST(HybridClockTest, StampAfterAMessageIsLaterThanTheMessage) {
  HybridClock clock(kMaxAhead);
  const HybridTime remote{kNow + seconds(1), 7};
  EXPECT_GT(clock.Observe(remote, kNow), remote);
  EXPECT_GT(clock.Stamp(kNow), remote);
}

// One VM's clock is an hour ahead. If its stamps were taken in, every entry that hears from it
// would stamp an hour ahead, too, and the time line would show today's events in the future for
// good.
TEST(HybridClockTest, PeerFarAheadIsNotFollowed) {
  HybridClock clock(kMaxAhead);
  clock.Observe(HybridTime{kNow + hours(1), 0}, kNow);
  EXPECT_LT(clock.Stamp(kNow).wall, kNow + seconds(1));
  EXPECT_EQ(clock.RefusedStamps(), 1U);
}

// The wall clock is set back by a time server. Stamps that follow it would order an answer before
// its request.
RC_GTEST_PROP(HybridClockProperty, StampsOnlyGrow, ()) {
  HybridClock clock(kMaxAhead);
  HybridTime last;
  for (int i = 0; i < 50; ++i) {
    const WallTime wall = kNow + seconds(*rc::gen::inRange(-10, 10));
    const HybridTime remote{kNow + seconds(*rc::gen::inRange(-10, 10)),
                            *rc::gen::inRange<std::uint32_t>(0, 5)};
    const HybridTime stamp =
        *rc::gen::arbitrary<bool>() ? clock.Stamp(wall) : clock.Observe(remote, wall);
    RC_ASSERT(stamp > last);
    last = stamp;
  }
}

}  // namespace
}  // namespace chervilspar::telemetry
