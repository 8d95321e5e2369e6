#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "chervilspar/jobs/link_budget.h"
#include "chervilspar/rpc/carrier_message.h"

namespace chervilspar::job_entry {

/// Counts the bytes of the batches of orders that this entry sends to carriers.
class ForwardedTraffic {
 public:
  /// A start that the scheduler expects to take `bytes` is in the next batch to the carrier. Not
  /// called when the start is sent again with its payload, so that this counts as additional bytes.
  void OnQueued(const std::string& carrier, std::int64_t bytes) {
    this->expected[carrier] += bytes;
  }
  /// The batch is handed to the link in a frame of `frame_bytes`.
  void OnBatch(const std::string& carrier, const rpc::OrderBatch& batch, std::size_t frame_bytes);
  /// The traffic since the last call.
  jobs::LinkTraffic Take();

 private:
  std::map<std::string, std::int64_t> expected;
  jobs::LinkTraffic traffic;
};

}  // namespace chervilspar::job_entry
