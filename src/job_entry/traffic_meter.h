#pragma once

#include <map>
#include <string>

#include "chervilspar/http/traffic_observer.h"
#include "chervilspar/telemetry/metrics.h"

namespace chervilspar::job_entry {

/// Counts the entry's traffic by kind of message. In addition to metrics, it logs the traffic
/// periodically, as metrics rarely cover the seconds that a problem report is about.
class TrafficMeter final : public http::TrafficObserver {
 public:
  explicit TrafficMeter(telemetry::MetricsRegistry& metrics) : metrics(metrics) {}

  void OnExchange(std::string_view kind, std::size_t sent, std::size_t received) override {
    this->Add(kind, 1, sent, received);
  }
  /// Counts several messages at once, with their bytes.
  void Add(std::string_view kind, std::size_t calls, std::size_t sent, std::size_t received);
  /// Adds the traffic since the last call to the metrics, and logs it by kind in descending order
  /// unless it is small.
  void Report();

 private:
  struct Amount {
    std::size_t calls = 0;
    std::size_t sent = 0;
    std::size_t received = 0;

    std::size_t Bytes() const { return this->sent + this->received; }
  };

  telemetry::MetricsRegistry& metrics;
  std::map<std::string, Amount, std::less<>> since_report;
};

}  // namespace chervilspar::job_entry
