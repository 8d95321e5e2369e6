#include "job_entry/traffic_meter.h"

#include <algorithm>
#include <vector>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

namespace {

/// Less traffic than this is not logged; an entry that is not the owner stays below it.
constexpr std::size_t kMinLoggedBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxLoggedKinds = 6;

}  // namespace

void TrafficMeter::Add(std::string_view kind, std::size_t calls, std::size_t sent,
                       std::size_t received) {
  auto position = this->since_report.find(kind);
  if (position == this->since_report.end()) {
    position = this->since_report.emplace(std::string(kind), Amount{}).first;
  }
  Amount& amount = position->second;
  amount.calls += calls;
  amount.sent += sent;
  amount.received += received;
}

void TrafficMeter::Report() {
  std::size_t total = 0;
  std::vector<std::pair<std::string, Amount>> kinds;
  for (const auto& [kind, amount] : this->since_report) {
    total += amount.Bytes();
    kinds.emplace_back(kind, amount);
    const telemetry::MetricLabel label{"kind", kind};
    this->metrics.Count({"chervilspar_messages_total", {label}}, static_cast<double>(amount.calls));
    this->metrics.Count({"chervilspar_bytes_sent_total", {label}},
                        static_cast<double>(amount.sent));
    this->metrics.Count({"chervilspar_bytes_received_total", {label}},
                        static_cast<double>(amount.received));
  }
  this->since_report.clear();
  if (total < kMinLoggedBytes) {
    return;
  }
  std::sort(kinds.begin(), kinds.end(), [](const auto& one, const auto& other) {
    return one.second.Bytes() > other.second.Bytes();
  });
  std::vector<telemetry::LogField> fields{{"bytes", std::to_string(total)}};
  for (std::size_t i = 0; i < std::min(kinds.size(), kMaxLoggedKinds); ++i) {
    const Amount& amount = kinds[i].second;
    fields.push_back({kinds[i].first, std::to_string(amount.calls) + " calls, " +
                                          std::to_string(amount.sent) + " sent, " +
                                          std::to_string(amount.received) + " received"});
  }
  LogEvent(telemetry::LogLevel::kInfo, "traffic", "bytes sent and received since the last report",
           std::move(fields));
}

}  // namespace chervilspar::job_entry
