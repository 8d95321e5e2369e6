#include "chervilspar/entry/settings.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "chervilspar/config_log/key_digest.h"

namespace chervilspar::entry {
namespace {

RawEntrySettings GoodSettings() {
  RawEntrySettings raw;
  raw.id = "entry-a1";
  raw.zone = "a";
  raw.http_address = "127.0.0.1:8001";
  raw.peer_address = "127.0.0.1:7001";
  raw.log_address = "127.0.0.1:6001";
  raw.vm_list_address = "127.0.0.1:6002";
  raw.operator_key_digests = {config_log::DigestOf("operator").hex};
  return raw;
}

TEST(SettingsTest, DefaultsAreUsedWhereNothingIsGiven) {
  const SettingsOutcome outcome = CheckSettings(GoodSettings());
  ASSERT_TRUE(outcome.settings);
  EXPECT_EQ(outcome.settings->threads, EntrySettings{}.threads);
  EXPECT_EQ(outcome.settings->drain_deadline, EntrySettings{}.drain_deadline);
}

TEST(SettingsTest, RoutesReplaceAddresses) {
  RawEntrySettings raw = GoodSettings();
  raw.routes = {"127.0.0.1:6001=127.0.0.1:9001"};
  const SettingsOutcome outcome = CheckSettings(raw);
  ASSERT_TRUE(outcome.settings);
  EXPECT_EQ(outcome.settings->RouteTo("127.0.0.1:6001"), "127.0.0.1:9001");
  EXPECT_EQ(outcome.settings->RouteTo("127.0.0.1:6002"), "127.0.0.1:6002");
}

struct FaultCase {
  std::string name;
  std::function<void(RawEntrySettings&)> change;
  std::string flag;
  std::string message_part;
};

class SettingsFaultTest : public testing::TestWithParam<FaultCase> {};

// A VM is started with a mistyped setting. Taken as it stands, the entry would come up and serve
// nobody, or wait for ever on a slow caller; the start must fail and say what is wrong.
TEST_P(SettingsFaultTest, NamesFlagValueAndWhatWouldBeRight) {
  RawEntrySettings raw = GoodSettings();
  GetParam().change(raw);
  const SettingsOutcome outcome = CheckSettings(raw);
  EXPECT_FALSE(outcome.settings);
  ASSERT_EQ(outcome.faults.size(), 1U);
  EXPECT_EQ(outcome.faults[0].field, GetParam().flag);
  EXPECT_NE(outcome.faults[0].message.find(GetParam().message_part), std::string::npos)
      << outcome.faults[0].message;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SettingsFaultTest,
    testing::Values(
        FaultCase{"NoId", [](auto& raw) { raw.id = ""; }, "--id", "missing"},
        FaultCase{"IdWithSpace", [](auto& raw) { raw.id = "a b"; }, "--id", "\"a b\""},
        FaultCase{"NoZone", [](auto& raw) { raw.zone = ""; }, "--zone", "missing"},
        FaultCase{"AddressByName", [](auto& raw) { raw.http_address = "localhost:80"; },
                  "--http-address", "localhost"},
        FaultCase{"NoLogAddress", [](auto& raw) { raw.log_address = ""; }, "--log-address",
                  "missing"},
        FaultCase{"SameAddressTwice", [](auto& raw) { raw.peer_address = raw.http_address; },
                  "--peer-address", "differ"},
        FaultCase{"SeedPeer", [](auto& raw) { raw.seed_peers = {"127.0.0.1"}; }, "--seed-peer",
                  "127.0.0.1"},
        FaultCase{"Route", [](auto& raw) { raw.routes = {"127.0.0.1:1"}; }, "--route", "FROM=TO"},
        FaultCase{"NoOperator", [](auto& raw) { raw.operator_key_digests.clear(); },
                  "--operator-key-digest", "nobody could publish"},
        FaultCase{"ThreadsZero", [](auto& raw) { raw.threads = "0"; }, "--threads", "from 1"},
        FaultCase{"ThreadsText", [](auto& raw) { raw.threads = "two"; }, "--threads", "\"two\""},
        FaultCase{"ConnectionsTooMany", [](auto& raw) { raw.max_connections = "70000"; },
                  "--max-connections", "65535"},
        FaultCase{"TimeoutWithoutUnit", [](auto& raw) { raw.read_timeout = "10"; },
                  "--read-timeout", "such as 90s"},
        FaultCase{"TimeoutTooLong", [](auto& raw) { raw.write_timeout = "1h"; }, "--write-timeout",
                  "to 10m"},
        FaultCase{"HeartbeatTooSlow", [](auto& raw) { raw.heartbeat_interval = "5s"; },
                  "--heartbeat-interval", "to 1s"},
        FaultCase{"LogLevel", [](auto& raw) { raw.log_level = "loud"; }, "--log-level", "warning"}),
    [](const testing::TestParamInfo<FaultCase>& info) { return info.param.name; });

TEST(SettingsTest, AllFaultsAreReportedAtOnce) {
  RawEntrySettings raw = GoodSettings();
  raw.id = "";
  raw.threads = "0";
  raw.idle_timeout = "soon";
  EXPECT_EQ(CheckSettings(raw).faults.size(), 3U);
}

// An operator gives the key where its digest belongs. The error must not print it: logs are read by
// more people than may publish.
TEST(SettingsTest, KeyGivenInPlaceOfItsDigestIsNotShown) {
  RawEntrySettings raw = GoodSettings();
  const std::string key = *config_log::GenerateKey();
  raw.operator_key_digests = {key};
  const SettingsOutcome outcome = CheckSettings(raw);
  ASSERT_EQ(outcome.faults.size(), 1U);
  EXPECT_EQ(ToString(outcome.faults[0]).find(key), std::string::npos);
}

}  // namespace
}  // namespace chervilspar::entry
