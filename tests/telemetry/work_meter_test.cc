#include "chervilspar/telemetry/work_meter.h"

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chervilspar::telemetry {
namespace {

class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return this->now; }
  WallTime WallNow() const override { return WallTime(this->now.time_since_epoch()); }
  void Advance(int milliseconds) { this->now += std::chrono::milliseconds(milliseconds); }

 private:
  TimePoint now{};
};

constexpr Duration Ms(int milliseconds) { return std::chrono::milliseconds(milliseconds); }

struct Event {
  enum class Kind { kBegin, kEnd, kPass } kind;
  WorkPart part = WorkPart::kOther;
  int milliseconds = 0;
};

constexpr Event Begin(WorkPart part) { return {Event::Kind::kBegin, part}; }
constexpr Event End() { return {Event::Kind::kEnd}; }
constexpr Event Pass(int milliseconds) {
  return {Event::Kind::kPass, WorkPart::kOther, milliseconds};
}

struct MeterCase {
  const char* name;
  std::vector<Event> events;
  std::vector<WorkMeter::Amount> amounts;
};

class WorkOfAThread : public ::testing::TestWithParam<MeterCase> {};

/// Guards against a report that blames one part for the time of another.
TEST_P(WorkOfAThread, IsCountedForItsPartAlone) {
  ManualClock clock;
  MetricsRegistry metrics;
  WorkMeter meter(clock, metrics);
  std::vector<std::unique_ptr<WorkMeter::Span>> spans;
  for (const Event& event : GetParam().events) {
    switch (event.kind) {
      case Event::Kind::kBegin:
        spans.push_back(std::make_unique<WorkMeter::Span>(meter, event.part));
        break;
      case Event::Kind::kEnd:
        spans.pop_back();
        break;
      case Event::Kind::kPass:
        clock.Advance(event.milliseconds);
        break;
    }
  }
  EXPECT_EQ(meter.Take(), GetParam().amounts);
  EXPECT_TRUE(meter.Take().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Parts, WorkOfAThread,
    ::testing::Values(MeterCase{"NothingMeasured", {Pass(5)}, {}},
                      MeterCase{"OnePart",
                                {Pass(1), Begin(WorkPart::kDecide), Pass(3), End(), Pass(7)},
                                {{WorkPart::kDecide, 1, Ms(3), Ms(3)}}},
                      MeterCase{"TheLongestCallIsKept",
                                {Begin(WorkPart::kDecide), Pass(3), End(), Begin(WorkPart::kDecide),
                                 Pass(8), End(), Begin(WorkPart::kDecide), Pass(2), End()},
                                {{WorkPart::kDecide, 3, Ms(13), Ms(8)}}},
                      MeterCase{"AnInnerPartIsTakenFromTheOuterOne",
                                {Begin(WorkPart::kCarry), Pass(2), Begin(WorkPart::kRenew), Pass(9),
                                 End(), Pass(4), End()},
                                {{WorkPart::kRenew, 1, Ms(9), Ms(9)},
                                 {WorkPart::kCarry, 1, Ms(6), Ms(4)}}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chervilspar::telemetry
