#pragma once

#include <map>
#include <string>

#include "chervilspar/http/traffic_observer.h"
#include "chervilspar/telemetry/metrics.h"

namespace chervilspar::job_entry {

/// Counts what the entry sends and receives by kind of message, and tells it in one line now and
/// then, as metrics are rarely there for the seconds that a complaint is about.
class TrafficMeter final : public http::TrafficObserver {
 public:
  explicit TrafficMeter(telemetry::MetricsRegistry& metrics) : metrics(metrics) {}

  void OnExchange(std::string_view kind, std::size_t sent, std::size_t received) override;
  /// Logs what came together since the last call, the most first; nothing when it was little.
  void Tell();

 private:
  struct Amount {
    std::size_t calls = 0;
    std::size_t sent = 0;
    std::size_t received = 0;

    std::size_t Bytes() const { return this->sent + this->received; }
  };

  telemetry::MetricsRegistry& metrics;
  std::map<std::string, Amount, std::less<>> since_told;
};

}  // namespace chervilspar::job_entry
