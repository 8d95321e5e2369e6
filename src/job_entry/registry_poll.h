#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chervilspar/jobs/endpoint.h"

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Keeps the list of registered endpoints.
///
/// Endpoints write there every second or two each, so that following every record would cost more
/// than reading the newest of each now and then.
class RegistryPoll {
 public:
  explicit RegistryPoll(const Context& context) : context(context) {}

  /// Reads the list; false when the store doesn't answer, and the list stays as it was.
  boost::asio::awaitable<bool> Refresh();
  const std::vector<jobs::EndpointRecord>& Endpoints() const { return this->endpoints; }

 private:
  void KeepThroughReturn(std::vector<jobs::EndpointRecord>& fresh);

  const Context context;
  std::vector<jobs::EndpointRecord> endpoints;
  bool is_lost = false;
  std::optional<TimePoint> returned;
};

}  // namespace chervilspar::job_entry
