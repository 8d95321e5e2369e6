#include "chervilspar/telemetry/timeline.h"

#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chervilspar/telemetry/event_ring.h"

namespace chervilspar::telemetry {
namespace {

using std::chrono::seconds;

constexpr WallTime kNow{seconds(1'800'000'000)};

Event FullEvent() {
  Event event;
  event.time = HybridTime{kNow, 3};
  event.kind = EventKind::kStepWithdrawn;
  event.entry.text = "e1";
  event.sequence = 17;
  event.request.text = "r";
  event.team.text = "t";
  event.vm.text = "v";
  event.pool.text = "p";
  event.step.text = "s";
  event.why = "the \"pool\" has\nno room";
  event.fields = {EventField{"available", "3"}, EventField{"budget", "3"}};
  return event;
}

TEST(EventTest, ReadsBackWhatItWrites) {
  const Result<Event> read = DecodeEvent(EncodeEvent(FullEvent()));
  ASSERT_TRUE(read) << ToString(read.LastReason());
  EXPECT_EQ(*read, FullEvent());
  EXPECT_EQ(EncodeEvent(FullEvent()).find('\n'), std::string::npos);
}

TEST(EventTest, EveryKindHasAName) {
  for (int i = 0; i <= static_cast<int>(EventKind::kPreempted); ++i) {
    const auto kind = static_cast<EventKind>(i);
    EXPECT_EQ(EventKindFromString(ToString(kind)), kind) << i;
  }
}

// Refused callers come back a thousand times a second. The ring must keep the newest events and say
// that others are gone, instead of growing until the entry is killed.
TEST(EventRingTest, KeepsTheNewestEvents) {
  EventRing ring(EntryId{"e1"}, 10, seconds(1));
  for (int i = 0; i < 25; ++i) {
    ring.Add(Event{}, kNow);
  }
  const std::vector<Event> events = ring.Events();
  ASSERT_EQ(events.size(), 10U);
  EXPECT_EQ(events.front().sequence, 15U);
  EXPECT_EQ(ring.DroppedEvents(), 15U);
}

TEST(EventRingTest, ThreadsMayAddAtOnce) {
  EventRing ring(EntryId{"e1"}, 1000, seconds(1));
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&ring] {
      for (int j = 0; j < 100; ++j) {
        ring.Add(Event{}, kNow);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(ring.Events().size(), 400U);
}

// One entry sends work to another whose clock is behind. By wall clocks alone the time line would
// show the answer before the request, and nobody could tell what happened.
TEST(TimelineTest, EffectStandsAfterItsCause) {
  EventRing sender(EntryId{"z"}, 10, seconds(2));
  EventRing receiver(EntryId{"a"}, 10, seconds(2));
  Event cause;
  cause.kind = EventKind::kRequestDispatched;
  sender.Add(cause, kNow);
  const WallTime behind = kNow - seconds(1);
  receiver.Observe(sender.Stamp(kNow), behind);
  Event effect;
  effect.kind = EventKind::kRequestAnswered;
  receiver.Add(effect, behind);
  const Timeline timeline = MergeTimelines({EntryTimeline{EntryId{"a"}, receiver.Events()},
                                            EntryTimeline{EntryId{"z"}, sender.Events()}},
                                           {EntryId{"a"}, EntryId{"b"}, EntryId{"z"}});
  ASSERT_EQ(timeline.events.size(), 2U);
  EXPECT_EQ(timeline.events[0].kind, EventKind::kRequestDispatched);
  EXPECT_EQ(timeline.missing, std::vector<EntryId>{EntryId{"b"}});
}

TEST(TimelineTest, RepeatedEventsAreGivenOnce) {
  const EntryTimeline ring{EntryId{"e1"}, {FullEvent()}};
  EXPECT_EQ(MergeTimelines({ring, ring}, {}).events.size(), 1U);
}

TEST(TimelineTest, UnreadableLinesArePassedOver) {
  const std::string text = EncodeLines({FullEvent()}) + "garbage\n{\"event\":\"new-kind\"}\n" +
                           EncodeLines({FullEvent()});
  EXPECT_EQ(DecodeLines(text).size(), 2U);
}

RC_GTEST_PROP(TimelineProperty, GarbageNeverCrashes, ()) {
  std::string text = EncodeLines({FullEvent(), FullEvent()});
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
  }
  RC_ASSERT(DecodeLines(text).size() <= 8U);
}

}  // namespace
}  // namespace chervilspar::telemetry
