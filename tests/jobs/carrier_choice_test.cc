#include "chervilspar/jobs/carrier_choice.h"

#include <set>

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

std::vector<EndpointRecord> Endpoints(int count, const std::string& zone) {
  std::vector<EndpointRecord> endpoints;
  for (int i = 0; i < count; ++i) {
    EndpointRecord record;
    record.id = "i" + std::to_string(i);
    record.zone = ZoneId{zone};
    endpoints.push_back(record);
  }
  return endpoints;
}

struct ChoiceCase {
  const char* name;
  double cores;
  int endpoints;
  std::vector<Carrier> carriers;
  /// The carriers that forward orders; empty: the owner sends them itself.
  std::set<std::string> used;
};

class SelectedCarriers : public ::testing::TestWithParam<ChoiceCase> {};

TEST_P(SelectedCarriers, AreInTheEndpointsZoneIfThereAreManyEndpoints) {
  CarrierChoice choice({}, GetParam().cores);
  choice.SetCarriers(GetParam().carriers);
  choice.SetEndpoints(Endpoints(GetParam().endpoints, "east"));
  std::set<std::string> used;
  for (const EndpointRecord& endpoint : Endpoints(GetParam().endpoints, "east")) {
    if (const std::optional<std::string> carrier = choice.Choose(endpoint.id, kNow)) {
      used.insert(*carrier);
    }
  }
  EXPECT_EQ(used, GetParam().used);
}

const Carrier kEast1{"10.0.0.1:1", ZoneId{"east"}};
const Carrier kEast2{"10.0.0.2:1", ZoneId{"east"}};
const Carrier kWest{"10.0.0.3:1", ZoneId{"west"}};

INSTANTIATE_TEST_SUITE_P(
    Fleets, SelectedCarriers,
    ::testing::Values(ChoiceCase{"few_endpoints", 0.25, 50, {kEast1, kWest}, {}},
                      ChoiceCase{"many", 0.25, 51, {kEast1, kWest}, {kEast1.address}},
                      ChoiceCase{"many_for_a_small_owner", 0.12, 25, {kEast1}, {kEast1.address}},
                      ChoiceCase{"several_carriers",
                                 0.5,
                                 200,
                                 {kEast1, kEast2, kWest},
                                 {kEast1.address, kEast2.address}},
                      ChoiceCase{"none_in_the_zone", 0.5, 200, {kWest}, {}},
                      ChoiceCase{"none_at_all", 0.5, 200, {}, {}}),
    [](const auto& info) { return info.param.name; });

/// A carrier hangs. If it weren't skipped, each renewal for a fifth of the endpoints would wait for
/// it until their leases lapse.
TEST(CarrierChoice, SkipsACarrierThatDoesNotAnswer) {
  CarrierChoice choice({}, 0.1);
  choice.SetCarriers({kEast1});
  choice.SetEndpoints(Endpoints(100, "east"));
  choice.OnUnanswered(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), kEast1.address)
      << "one missing answer may be the endpoint's fault";
  choice.OnAnswered(kEast1.address);
  choice.OnUnanswered(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), kEast1.address);
  choice.OnUnanswered(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), std::nullopt);
  EXPECT_EQ(choice.Choose("i1", kNow + milliseconds(2001)), kEast1.address);
}

const Carrier kEast3{"10.0.0.4:1", ZoneId{"east"}};

/// The owner's own link is saturated, so that all carriers seem unreachable. If the owner sent the
/// orders itself, they would add to the load of that link, and nothing would be answered in time.
TEST(CarrierChoice, UsesCarriersAgainWhoseLateAnswersShowThatThisEntryWasSlow) {
  CarrierChoice choice({}, 0.1);
  choice.SetCarriers({kEast1, kEast2, kEast3, kWest});
  choice.SetEndpoints(Endpoints(100, "east"));
  for (const Carrier& carrier : {kEast1, kEast2, kEast3, kWest}) {
    choice.OnUnanswered(carrier.address, kNow);
    choice.OnUnanswered(carrier.address, kNow);
  }
  EXPECT_EQ(choice.Choose("i1", kNow), std::nullopt);
  choice.OnAnsweredLate(kEast2.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), kEast2.address);
}

/// One carrier answers late and the others in time, so that the carrier is the slow part.
TEST(CarrierChoice, SkipsASingleCarrierThatAnswersLate) {
  CarrierChoice choice({}, 0.1);
  choice.SetCarriers({kEast1, kWest});
  choice.SetEndpoints(Endpoints(100, "east"));
  choice.OnUnanswered(kEast1.address, kNow);
  choice.OnUnanswered(kEast1.address, kNow);
  choice.OnAnsweredLate(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), std::nullopt);
}

/// A skipped carrier stays skipped when the set of carriers changes, and a removed one isn't a
/// carrier any more.
TEST(CarrierChoice, KeepsTheHealthOfKnownCarriers) {
  CarrierChoice choice({}, 0.1);
  choice.SetCarriers({kEast1});
  choice.SetEndpoints(Endpoints(100, "east"));
  choice.OnUnanswered(kEast1.address, kNow);
  choice.OnUnanswered(kEast1.address, kNow);
  choice.SetCarriers({kEast1, kWest, kEast1});
  EXPECT_EQ(choice.Choose("i1", kNow), std::nullopt);
  choice.SetCarriers({kEast2});
  EXPECT_FALSE(choice.IsCarrier(kEast1.address));
  EXPECT_EQ(choice.Choose("i1", kNow), kEast2.address);
}

}  // namespace
}  // namespace chervilspar::jobs
