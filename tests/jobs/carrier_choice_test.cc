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
  /// Which carriers the endpoints' orders go through; empty: the owner gives them itself.
  std::set<std::string> used;
};

class Choices : public ::testing::TestWithParam<ChoiceCase> {};

TEST_P(Choices, TakeACarrierOfTheEndpointsZoneWhereThereAreManyEndpoints) {
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
    Fleets, Choices,
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

/// A carrier freezes. Without another choice, each renewal at a fifth of the endpoints waits for it
/// until their leases have lapsed.
TEST(CarrierChoice, PassesOverACarrierThatDoesNotAnswer) {
  CarrierChoice choice({}, 0.1);
  choice.SetCarriers({kEast1});
  choice.SetEndpoints(Endpoints(100, "east"));
  choice.OnUnanswered(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), kEast1.address) << "one miss may be the endpoint's fault";
  choice.OnAnswered(kEast1.address);
  choice.OnUnanswered(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), kEast1.address);
  choice.OnUnanswered(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), std::nullopt);
  EXPECT_EQ(choice.Choose("i1", kNow + milliseconds(2001)), kEast1.address);
}

const Carrier kEast3{"10.0.0.4:1", ZoneId{"east"}};

/// The owner's own link is full, so that all carriers seem to be gone. Given by the owner itself,
/// their orders fill that link further, and nothing is answered in time.
TEST(CarrierChoice, GoesBackToCarriersWhoseLateAnswersShowThatThisEntryWasSlow) {
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

/// One carrier answers late, the others in time: it is the one that is slow.
TEST(CarrierChoice, PassesOverTheOneCarrierThatAnswersLate) {
  CarrierChoice choice({}, 0.1);
  choice.SetCarriers({kEast1, kWest});
  choice.SetEndpoints(Endpoints(100, "east"));
  choice.OnUnanswered(kEast1.address, kNow);
  choice.OnUnanswered(kEast1.address, kNow);
  choice.OnAnsweredLate(kEast1.address, kNow);
  EXPECT_EQ(choice.Choose("i1", kNow), std::nullopt);
}

/// Who is passed over stays so when the group changes, and who has left is no carrier any more.
TEST(CarrierChoice, KeepsWhatIsKnownOfACarrier) {
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
