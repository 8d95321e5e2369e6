#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "chervilspar/telemetry/timeline.h"

#include "cli/operator_client.h"

namespace chervilspar::cli {

/// What the reachable entries say of the fleet, read at one time.
struct FleetView {
  boost::json::value status;
  boost::json::value inventory;
  boost::json::value plan;
  telemetry::Timeline timeline;
};

/// The merged time line of all entries that the configuration lists and of those given by flag.
struct TimelineReading {
  telemetry::Timeline timeline;
  /// The last failed answer, when no entry at all gave its events.
  std::optional<Answer> failure;
};

TimelineReading ReadTimeline(const OperatorClient& client);

/// Why a VM is as it is: where it stands, what holds it, why it waits, what happened to it.
std::vector<std::string> ExplainVm(const FleetView& view, const std::string& id);
/// Why a team gets what it gets: share, limit, what runs and waits, why requests were refused.
std::vector<std::string> ExplainTeam(const FleetView& view, const std::string& id);
/// What became of a request, step by step.
std::vector<std::string> ExplainRequest(const FleetView& view, const std::string& id);

}  // namespace chervilspar::cli
