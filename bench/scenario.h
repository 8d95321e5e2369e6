#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/time.h"
#include "chervilspar/dispatch/shard_options.h"

namespace chervilspar::bench {

/// What a caller does with a refusal.
enum class AfterRefusal {
  kGiveUp,
  /// Comes back after `Retry-After`.
  kHonour,
  /// Asks again after 50 ms, whatever it was told.
  kAskAtOnce,
};

enum class Arrivals { kAnyEntry, kOneEntry };

/// One team's callers.
struct TeamLoadSpec {
  std::string name;
  double share = 1.0;
  /// Requests a second, times `factor` of the seconds since the start.
  double rate = 0.0;
  std::function<double(double)> factor;
  Duration mean_run = std::chrono::milliseconds(100);
  /// Part of the requests that run `long_factor` times longer.
  double long_part = 0.0;
  double long_factor = 1.0;
  /// Declared run time over the true mean; zero declares nothing.
  double declared_factor = 0.0;
  Duration timeout = std::chrono::seconds(3);
  double idempotent_part = 0.8;
  double urgent_part = 0.0;
  /// Part of the requests whose caller goes away after `cancel_after`.
  double cancel_part = 0.0;
  Duration cancel_after = std::chrono::milliseconds(200);
  Arrivals arrivals = Arrivals::kAnyEntry;
  std::uint32_t entry = 0;
  AfterRefusal after_refusal = AfterRefusal::kGiveUp;
  std::uint32_t most_asks = 5;
  admission::Requirement requirement;
  /// Tasks at once over the fleet; zero for no limit.
  std::uint32_t upper_limit = 0;
  /// Not counted in what callers receive, only as load.
  bool is_background = false;
};

enum class EndpointMode {
  kNormal,
  kFailsFast,
  /// Takes tasks and never answers.
  kSilent,
};

struct EndpointSpec {
  std::uint32_t zone = 0;
  std::uint32_t slots = 8;
  /// Run times are multiplied by this from `bad_from` to `bad_until` seconds; likewise the mode.
  double slowness = 1.0;
  EndpointMode mode = EndpointMode::kNormal;
  double bad_from = 0.0;
  double bad_until = 1e9;
};

/// One run: who asks for what, on which fleet, with which decisions.
struct Scenario {
  std::uint64_t seed = 1;
  std::uint32_t zones = 3;
  std::uint32_t entries = 6;
  std::vector<EndpointSpec> endpoints;
  std::vector<TeamLoadSpec> teams;
  dispatch::ShardOptions options;
  double seconds = 30.0;
  /// Measurements begin then.
  double warm_up = 5.0;
  /// One way, within a zone and between zones, and between callers and entries.
  Duration zone_delay = std::chrono::microseconds(100);
  Duration cross_delay = std::chrono::milliseconds(1);
  Duration caller_delay = std::chrono::milliseconds(3);
  /// Added to the age of reports.
  Duration report_delay = Duration::zero();

  double Slots() const {
    double slots = 0.0;
    for (const EndpointSpec& endpoint : this->endpoints) {
      slots += endpoint.slots;
    }
    return slots;
  }
};

/// `count` like endpoints over the zones in turn.
std::vector<EndpointSpec> Endpoints(std::uint32_t count, std::uint32_t zones = 3);

/// The plain baseline: first come first served, in turn, no refusal by predicted wait, unbounded
/// repeats, no ejection, no preemption, nothing shared between entries.
dispatch::ShardOptions PlainOptions();

}  // namespace chervilspar::bench
