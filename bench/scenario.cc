#include "bench/scenario.h"

namespace chervilspar::bench {

std::vector<EndpointSpec> Endpoints(std::uint32_t count, std::uint32_t zones) {
  std::vector<EndpointSpec> endpoints(count);
  for (std::uint32_t index = 0; index < count; ++index) {
    endpoints[index].zone = index % zones;
  }
  return endpoints;
}

dispatch::ShardOptions PlainOptions() {
  dispatch::ShardOptions options;
  options.admission.wait_bound = admission::WaitBound::kOff;
  options.scheduling.order = scheduling::QueueOrder::kFifo;
  options.scheduling.cost = scheduling::CostBasis::kDeclared;
  options.scheduling.scope = scheduling::ShareScope::kEntry;
  options.scheduling.long_lane = scheduling::LongLane::kOff;
  options.scheduling.preemption = scheduling::Preemption::kOff;
  options.balancer.placement = load_balancing::Placement::kRoundRobin;
  options.balancer.ejection = load_balancing::Ejection::kOff;
  options.retry.mode = retry::BudgetMode::kUnlimited;
  return options;
}

}  // namespace chervilspar::bench
