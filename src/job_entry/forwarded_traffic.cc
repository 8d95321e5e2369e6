#include "job_entry/forwarded_traffic.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace chervilspar::job_entry {

namespace {

/// What a start takes of a frame without its payload and checkpoint, including its endpoint.
constexpr std::int64_t kStartInFrameBytes = 100;

}  // namespace

void ForwardedTraffic::OnBatch(const std::string& carrier, const rpc::OrderBatch& batch,
                               std::size_t frame_bytes) {
  std::int64_t starts = 0;
  std::int64_t in_frame = 0;
  // The frame holds each payload once.
  std::set<std::string_view> payloads;
  for (const rpc::Carried<jobs::StartOrder>& start : batch.starts) {
    const bool is_new = payloads.insert(start.order.payload).second;
    const std::size_t payload_bytes = is_new ? start.order.payload.size() : 0;
    const std::size_t checkpoint_bytes = start.order.checkpoint.size();
    starts += jobs::LinkBudget::StartBytes(payload_bytes, checkpoint_bytes);
    in_frame += kStartInFrameBytes + static_cast<std::int64_t>(payload_bytes + checkpoint_bytes);
  }
  this->traffic.starts += starts;
  const auto found = this->expected.find(carrier);
  this->traffic.start_difference += starts - (found == this->expected.end() ? 0 : found->second);
  this->expected.erase(carrier);
  this->traffic.urgent +=
      std::max<std::int64_t>(static_cast<std::int64_t>(frame_bytes) - in_frame, 0);
}

jobs::LinkTraffic ForwardedTraffic::Take() { return std::exchange(this->traffic, {}); }

}  // namespace chervilspar::job_entry
