#include <memory>
#include <utility>

#include "bench/lending_fleet.h"
#include "bench/patterns.h"

namespace chervilspar::bench {

namespace {

constexpr std::uint32_t kTeams = 12;

LendingWay Way(std::string label, double lease_seconds, double fraction, std::uint32_t ahead) {
  LendingWay way;
  way.label = std::move(label);
  way.lease = Duration(static_cast<std::int64_t>(lease_seconds * 1e6));
  way.policy.lend_fraction = fraction;
  way.policy.extra_units = ahead;
  return way;
}

LendingWay Returning(std::string label, Duration after_idle) {
  LendingWay way;
  way.label = std::move(label);
  way.policy.return_after_idle = after_idle;
  return way;
}

LendingWay WithoutLending() {
  LendingWay way;
  way.label = "no lending";
  way.lends = false;
  return way;
}

std::vector<LendingWay> Ways() {
  return {WithoutLending(),
          LendingWay{"the product's", {}, std::chrono::seconds(5), true},
          Way("lease 1 s", 1, 0.5, 1),
          Way("lease 2 s", 2, 0.5, 1),
          Way("lease 20 s", 20, 0.5, 1),
          Way("lends a quarter", 5, 0.25, 1),
          Way("lends all", 5, 1.0, 1),
          Way("asks just enough", 5, 0.5, 0),
          Way("asks 4 ahead", 5, 0.5, 4),
          Way("asks 16 ahead", 5, 0.5, 16),
          Returning("returns at once", std::chrono::milliseconds(0)),
          Returning("returns after 0.5 s", std::chrono::milliseconds(500)),
          Returning("returns after 2 s", std::chrono::seconds(2))};
}

/// How much of each limit to lend ahead of need: a refusal while another entry holds idle units is
/// waste, and a loan is at risk for its lease and the longest task when its borrower dies.
class LendingExperiment final : public TableExperiment {
 public:
  std::string Name() const override { return "lending"; }

 protected:
  std::string About() const override {
    return "teams burst in turn, mostly at one of six entries; then one entry is killed";
  }
  std::vector<Variant> Variants(const Options& options) const override {
    const std::uint32_t teams = options.teams > 0 ? options.teams : kTeams;
    std::vector<Variant> variants;
    for (const LendingWay& way : Ways()) {
      variants.push_back({way.label, [way, teams](std::uint64_t seed) {
                            return LendingFleet(way, seed, teams).Run();
                          }});
    }
    return variants;
  }
};

}  // namespace

void AddLendingPatterns(ExperimentList& list) {
  list.push_back(std::make_unique<LendingExperiment>());
}

}  // namespace chervilspar::bench
