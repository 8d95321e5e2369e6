#include "entry/plan_json.h"

#include <optional>

#include <boost/json.hpp>

#include "chervilspar/inventory/document.h"

namespace chervilspar::entry {

namespace json = boost::json;

namespace {

json::value DateOrNull(const std::optional<WallTime>& date) {
  return date ? json::value(inventory::FormatDate(*date)) : json::value(nullptr);
}

json::array Claims(const maintenance::Plan& plan) {
  json::array rows;
  for (const config_log::Step& step : plan.claims) {
    rows.push_back({{"vm", step.vm.text},
                    {"action", config_log::ToString(step.action)},
                    {"from_pool", step.from_pool.text},
                    {"to_pool", step.to_pool ? step.to_pool->text : std::string()}});
  }
  return rows;
}

json::array Waits(const maintenance::Plan& plan) {
  json::array rows;
  for (const maintenance::VmWait& wait : plan.waits) {
    rows.push_back({{"vm", wait.vm.text},
                    {"pool", wait.pool.text},
                    {"reason", maintenance::ToString(wait.reason)},
                    {"sentence", maintenance::Explain(wait)}});
  }
  return rows;
}

json::array Withdrawals(const maintenance::Plan& plan) {
  json::array rows;
  for (const maintenance::StepWithdrawal& withdrawal : plan.withdrawals) {
    rows.push_back({{"step", withdrawal.step.text},
                    {"vm", withdrawal.cause.vm.text},
                    {"sentence", maintenance::Explain(withdrawal.cause)}});
  }
  return rows;
}

json::array Blocked(const maintenance::DateForecast& forecast) {
  json::array rows;
  for (const maintenance::BlockedPool& pool : forecast.blocked_pools) {
    rows.push_back({{"pool", pool.pool.text}, {"missing_vms", pool.missing_vms}});
  }
  return rows;
}

}  // namespace

json::value PlanToJson(const maintenance::Plan& plan) {
  const auto bound =
      std::chrono::duration_cast<std::chrono::seconds>(plan.forecast.lower_bound).count();
  return {{"wave", maintenance::ToString(plan.wave)},
          {"remaining_steps", plan.remaining_steps},
          {"date", maintenance::ToString(plan.forecast.verdict)},
          {"expected_end", DateOrNull(plan.forecast.expected_end)},
          {"earliest_date", DateOrNull(plan.forecast.earliest_date)},
          {"lower_bound_seconds", bound},
          {"blocked_pools", Blocked(plan.forecast)},
          {"next", Claims(plan)},
          {"withdrawing", Withdrawals(plan)},
          {"waits", Waits(plan)}};
}

}  // namespace chervilspar::entry
