#include "chervilspar/job_entry/settings.h"

#include <functional>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

RawJobEntrySettings Valid() {
  RawJobEntrySettings raw;
  raw.id = "e1";
  raw.zone = "z";
  raw.callers_address = "10.0.0.1:80";
  raw.health_address = "10.0.0.1:81";
  raw.peer_address = "10.0.0.1:82";
  raw.store_address = "10.0.0.2:90";
  return raw;
}

struct SettingsCase {
  const char* name;
  std::function<void(RawJobEntrySettings&)> change;
  /// The flags that the reasons name; none if the settings are valid.
  std::set<std::string> flags;
};

class JobEntrySettingsTable : public ::testing::TestWithParam<SettingsCase> {};

TEST_P(JobEntrySettingsTable, NamesEachInvalidFlag) {
  RawJobEntrySettings raw = Valid();
  GetParam().change(raw);
  const JobEntrySettingsOutcome outcome = CheckSettings(raw);
  std::set<std::string> flags;
  for (const Reason& fault : outcome.faults) {
    flags.insert(fault.field);
  }
  EXPECT_EQ(flags, GetParam().flags);
  EXPECT_EQ(outcome.settings.has_value(), GetParam().flags.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Flags, JobEntrySettingsTable,
    ::testing::Values(
        SettingsCase{"valid", [](RawJobEntrySettings&) {}, {}},
        SettingsCase{"nothing_given",
                     [](RawJobEntrySettings& raw) { raw = {}; },
                     {"--id", "--zone", "--callers-address", "--health-address", "--peer-address",
                      "--store-address"}},
        SettingsCase{"two_errors",
                     [](RawJobEntrySettings& raw) {
                       raw.store_address = "store";
                       raw.lease_limit = "soon";
                     },
                     {"--store-address", "--lease-limit"}},
        SettingsCase{"zero_rate_and_not_a_boolean",
                     [](RawJobEntrySettings& raw) {
                       raw.vm_order_rate = "0";
                       raw.link_budget = "yes";
                     },
                     {"--vm-order-rate", "--link-budget"}},
        SettingsCase{"limits_of_callers",
                     [](RawJobEntrySettings& raw) {
                       raw.max_connections = "64";
                       raw.max_body_bytes = "65536";
                       raw.max_pending_bytes = "4194304";
                     },
                     {}},
        SettingsCase{"limits_that_no_caller_fits",
                     [](RawJobEntrySettings& raw) {
                       raw.max_connections = "0";
                       raw.max_body_bytes = "1000";
                       raw.max_pending_bytes = "much";
                     },
                     {"--max-connections", "--max-body-bytes", "--max-pending-bytes"}},
        SettingsCase{"decisions_on_request",
                     [](RawJobEntrySettings& raw) {
                       raw.account_shares = "true";
                       raw.job_admission = "true";
                       raw.preemption = "true";
                       raw.preemption_budget = "0.1";
                       raw.stop_limit = "900ms";
                       raw.pool_sizing = "demand";
                       raw.link_budget = "true";
                     },
                     {}},
        SettingsCase{"decisions_that_are_misspelt",
                     [](RawJobEntrySettings& raw) {
                       raw.account_shares = "yes";
                       raw.job_admission = "1";
                       raw.preemption = "on";
                       raw.preemption_budget = "2";
                       raw.stop_limit = "soon";
                       raw.pool_sizing = "small";
                       raw.link_budget = "2";
                     },
                     {"--account-shares", "--job-admission", "--preemption", "--preemption-budget",
                      "--stop-limit", "--pool-sizing", "--link-budget"}},
        SettingsCase{
            "no_link", [](RawJobEntrySettings& raw) { raw.link_rate = "0"; }, {"--link-rate"}},
        SettingsCase{"half_a_partition",
                     [](RawJobEntrySettings& raw) { raw.job_partitions = "1.5"; },
                     {"--job-partitions"}},
        SettingsCase{"no_partition_and_a_carrier_without_port",
                     [](RawJobEntrySettings& raw) {
                       raw.job_partitions = "0";
                       raw.carrier_address = "10.0.0.3";
                     },
                     {"--job-partitions", "--carrier-address"}},
        SettingsCase{"a_peer_without_port",
                     [](RawJobEntrySettings& raw) {
                       raw.seed_peers = {"10.0.0.3:82", "10.0.0.4"};
                     },
                     {"--seed-peer"}},
        SettingsCase{"an_unknown_decision",
                     [](RawJobEntrySettings& raw) { raw.decisions = "sizer.colour=1"; },
                     {"--decisions"}},
        SettingsCase{"zero_lease",
                     [](RawJobEntrySettings& raw) { raw.lease_limit = "0s"; },
                     {"--lease-limit"}},
        SettingsCase{"late_orders",
                     [](RawJobEntrySettings& raw) {
                       raw.order_delay_limit = "20s";
                       raw.unheard_order_delay_limit = "12s";
                     },
                     {}},
        SettingsCase{"late_orders_without_a_unit",
                     [](RawJobEntrySettings& raw) {
                       raw.order_delay_limit = "20";
                       raw.unheard_order_delay_limit = "none";
                     },
                     {"--order-delay-limit", "--unheard-order-delay-limit"}},
        SettingsCase{"optional_address",
                     [](RawJobEntrySettings& raw) { raw.vm_service_address = "10.0.0.3"; },
                     {"--vm-service-address"}},
        SettingsCase{"path_without_slash",
                     [](RawJobEntrySettings& raw) { raw.health_path = "ready"; },
                     {"--health-path"}},
        SettingsCase{"half_a_core", [](RawJobEntrySettings& raw) { raw.cores = "0.5"; }, {}},
        SettingsCase{"no_cores", [](RawJobEntrySettings& raw) { raw.cores = "0"; }, {"--cores"}},
        SettingsCase{"cores_in_words",
                     [](RawJobEntrySettings& raw) { raw.cores = "0.5 cores"; },
                     {"--cores"}},
        SettingsCase{"cores_that_are_no_number",
                     [](RawJobEntrySettings& raw) { raw.cores = "nan"; },
                     {"--cores"}},
        SettingsCase{"compact_progress",
                     [](RawJobEntrySettings& raw) { raw.progress_form = "compact"; },
                     {}},
        SettingsCase{"unknown_form_of_progress",
                     [](RawJobEntrySettings& raw) { raw.progress_form = "small"; },
                     {"--progress-form"}},
        SettingsCase{"unknown_level",
                     [](RawJobEntrySettings& raw) { raw.log_level = "loud"; },
                     {"--log-level"}},
        SettingsCase{
            "milliseconds", [](RawJobEntrySettings& raw) { raw.lease_limit = "6000ms"; }, {}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
