#include "chervilspar/telemetry/logger.h"

#include <cstdio>
#include <fstream>
#include <string>

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

namespace chervilspar::telemetry {
namespace {

const std::string kKey = "cs_" + std::string(64, 'a');

LogSettings SettingsFor(const std::string& path) {
  return LogSettings{EntryId{"e1"}, ZoneId{"a"}, LogLevel::kInfo, path};
}

TEST(LoggerTest, LineIsOneJsonObject) {
  LogLine line{LogLevel::kWarning,
               "log-down",
               "no \"answer\"\nsince 3s",
               RequestId{"r1"},
               {LogField{"offset", "17"}}};
  const std::string text = FormatLogLine(line, SettingsFor(""), "2027-01-01T00:00:00.000Z");
  EXPECT_EQ(text.find('\n'), std::string::npos);
  const boost::json::value json = boost::json::parse(text);
  EXPECT_EQ(json.at("level").as_string(), "warning");
  EXPECT_EQ(json.at("event").as_string(), "log-down");
  EXPECT_EQ(json.at("entry").as_string(), "e1");
  EXPECT_EQ(json.at("zone").as_string(), "a");
  EXPECT_EQ(json.at("request_id").as_string(), "r1");
  EXPECT_EQ(json.at("fields").at("offset").as_string(), "17");
  EXPECT_EQ(json.at("time").as_string(), "2027-01-01T00:00:00.000Z");
}

struct SecretCase {
  std::string name;
  LogLine line;
};

class LoggerSecretTest : public testing::TestWithParam<SecretCase> {};

// Someone logs a header or a message with a team's key in it. Whoever reads the logs could submit
// work as that team until an operator notices.
TEST_P(LoggerSecretTest, KeyIsMasked) {
  const std::string text = FormatLogLine(GetParam().line, SettingsFor(""), "t");
  EXPECT_EQ(text.find("aaaaaaaa"), std::string::npos) << text;
  EXPECT_NE(text.find("[masked]"), std::string::npos) << text;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, LoggerSecretTest,
    testing::Values(
        SecretCase{"InMessage", {LogLevel::kInfo, "x", "got " + kKey + " from y", {}, {}}},
        SecretCase{"Twice", {LogLevel::kInfo, "x", kKey + " " + kKey, {}, {}}},
        SecretCase{"CutOff", {LogLevel::kInfo, "x", kKey.substr(0, 30), {}, {}}},
        SecretCase{"InField", {LogLevel::kInfo, "x", "", {}, {LogField{"header", kKey}}}},
        SecretCase{"NamedField",
                   {LogLevel::kInfo, "x", "", {}, {LogField{"authorization", "Bearer aaaaaaaa"}}}}),
    [](const testing::TestParamInfo<SecretCase>& info) { return info.param.name; });

TEST(LoggerTest, WritesLinesFromItsLevelOn) {
  const std::string path = testing::TempDir() + "chervilspar_logger_test.log";
  std::remove(path.c_str());
  ASSERT_TRUE(SetUpLogging(SettingsFor(path)));
  Log(LogLevel::kDebug, "hidden", "");
  Log(LogLevel::kError, "shown", "m");
  FlushLogging();
  std::ifstream file(path);
  std::string line;
  ASSERT_TRUE(std::getline(file, line));
  EXPECT_EQ(boost::json::parse(line).at("event").as_string(), "shown");
  EXPECT_FALSE(std::getline(file, line));
  std::remove(path.c_str());
}

TEST(LoggerTest, PathThatCannotBeOpenedIsAReason) {
  const Status status = SetUpLogging(SettingsFor("/nowhere/at/all.log"));
  ASSERT_FALSE(status);
  EXPECT_EQ(status.LastReason().field, "--log-file");
}

}  // namespace
}  // namespace chervilspar::telemetry
