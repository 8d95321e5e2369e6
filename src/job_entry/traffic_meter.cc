#include "job_entry/traffic_meter.h"

#include <algorithm>
#include <vector>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

namespace {

/// Below this nothing is told; an entry that isn't owner stays below it.
constexpr std::size_t kWorthTelling = std::size_t{64} * 1024;
constexpr std::size_t kMostKinds = 6;

}  // namespace

void TrafficMeter::OnExchange(std::string_view kind, std::size_t sent, std::size_t received) {
  auto place = this->since_told.find(kind);
  if (place == this->since_told.end()) {
    place = this->since_told.emplace(std::string(kind), Amount{}).first;
  }
  Amount& amount = place->second;
  ++amount.calls;
  amount.sent += sent;
  amount.received += received;
}

void TrafficMeter::Tell() {
  std::size_t total = 0;
  std::vector<std::pair<std::string, Amount>> kinds;
  for (const auto& [kind, amount] : this->since_told) {
    total += amount.Bytes();
    kinds.emplace_back(kind, amount);
    const telemetry::MetricLabel label{"kind", kind};
    this->metrics.Count({"chervilspar_messages_total", {label}}, static_cast<double>(amount.calls));
    this->metrics.Count({"chervilspar_bytes_sent_total", {label}},
                        static_cast<double>(amount.sent));
    this->metrics.Count({"chervilspar_bytes_received_total", {label}},
                        static_cast<double>(amount.received));
  }
  this->since_told.clear();
  if (total < kWorthTelling) {
    return;
  }
  std::sort(kinds.begin(), kinds.end(), [](const auto& one, const auto& other) {
    return one.second.Bytes() > other.second.Bytes();
  });
  std::vector<telemetry::LogField> fields{{"bytes", std::to_string(total)}};
  for (std::size_t i = 0; i < std::min(kinds.size(), kMostKinds); ++i) {
    const Amount& amount = kinds[i].second;
    fields.push_back({kinds[i].first, std::to_string(amount.calls) + " calls, " +
                                          std::to_string(amount.sent) + " sent, " +
                                          std::to_string(amount.received) + " received"});
  }
  LogEvent(telemetry::LogLevel::kInfo, "traffic", "sent and received since the last such line",
           std::move(fields));
}

}  // namespace chervilspar::job_entry
