#include <algorithm>

#include <boost/json/serialize.hpp>

#include "endpoint_standin.h"

namespace chervilspar::standins {

namespace json = boost::json;

void EndpointGroup::Add(std::unique_ptr<EndpointStandin> endpoint) {
  this->endpoints.push_back(std::move(endpoint));
}

bool EndpointGroup::Apply(const json::object& switches) {
  const std::string vm = TextOr(switches, "vm", "");
  bool is_found = false;
  for (const auto& endpoint : this->endpoints) {
    if (vm.empty() || endpoint->Vm() == vm) {
      endpoint->Apply(switches);
      is_found = true;
    }
  }
  return is_found;
}

std::optional<std::string> EndpointGroup::Report(const std::string& name) {
  if (name == "ledger") {
    return this->LedgerLines();
  }
  if (name == "availability") {
    return this->AvailabilityLines();
  }
  if (name == "peaks") {
    return this->Peaks();
  }
  if (name == "states") {
    return this->States();
  }
  return std::nullopt;
}

std::string EndpointGroup::LedgerLines() const {
  std::string lines;
  for (const auto& endpoint : this->endpoints) {
    for (const LedgerLine& line : endpoint->Ledger()) {
      const json::object object{{"task", line.task},     {"request", line.request},
                                {"team", line.team},     {"service", line.service},
                                {"vm", line.vm},         {"start_us", line.start_us},
                                {"end_us", line.end_us}, {"outcome", line.outcome}};
      lines += json::serialize(object) + "\n";
    }
  }
  return lines;
}

std::string EndpointGroup::AvailabilityLines() const {
  std::string lines;
  for (const auto& endpoint : this->endpoints) {
    for (const AvailabilityLine& line : endpoint->Availability()) {
      const json::object object{{"vm", line.vm},
                                {"at_us", line.at_us},
                                {"available", line.is_available},
                                {"cause", line.cause}};
      lines += json::serialize(object) + "\n";
    }
  }
  return lines;
}

/// Most tasks of each team that ran at once on these endpoints.
std::string EndpointGroup::Peaks() const {
  struct Edge {
    std::int64_t at_us;
    int change;
  };
  std::map<std::string, std::vector<Edge>> edges;
  for (const auto& endpoint : this->endpoints) {
    for (const LedgerLine& line : endpoint->Ledger()) {
      edges[line.team].push_back({line.start_us, 1});
      edges[line.team].push_back({line.end_us == 0 ? INT64_MAX : line.end_us, -1});
    }
  }
  json::object peaks;
  for (auto& [team, list] : edges) {
    // At the same microsecond an end comes before a start: one slot may pass from task to task.
    std::sort(list.begin(), list.end(), [](const Edge& left, const Edge& right) {
      return left.at_us != right.at_us ? left.at_us < right.at_us : left.change < right.change;
    });
    int now = 0;
    int peak = 0;
    for (const Edge& edge : list) {
      now += edge.change;
      peak = std::max(peak, now);
    }
    peaks[team] = peak;
  }
  return json::serialize(peaks);
}

std::string EndpointGroup::States() const {
  json::object states;
  for (const auto& endpoint : this->endpoints) {
    states[endpoint->Vm()] = {{"running", endpoint->Running()},
                              {"draining", endpoint->IsDraining()}};
  }
  return json::serialize(states);
}

}  // namespace chervilspar::standins
