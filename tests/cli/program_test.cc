#include "cli/program.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/inventory/document.h"

#include "tests/cli/fake_entries.h"
#include "tests/inventory/sample_inventory.h"

namespace chervilspar::cli {
namespace {

constexpr const char* kFirst = "127.0.0.1:8001";
constexpr const char* kSecond = "127.0.0.1:8002";

/// Runs the program against fake entries.
class ProgramTest : public testing::Test {
 protected:
  ExitCode Run(const std::vector<std::string>& arguments) {
    const Console console{this->out, this->err, this->clock};
    return RunProgram(arguments, this->runner, console);
  }

  /// Runs a command with two entries and a key.
  ExitCode RunAsOperator(std::vector<std::string> arguments) {
    for (const char* flag : {"--entry", kFirst, "--entry", kSecond, "--operator-key", "secret"}) {
      arguments.emplace_back(flag);
    }
    return this->Run(arguments);
  }

  std::string WriteFile(const std::string& name, const std::string& text) {
    std::string path = testing::TempDir() + "chervilspar_program_test_" + name;
    std::ofstream(path) << text;
    this->files.push_back(path);
    return path;
  }

  void TearDown() override {
    for (const std::string& file : this->files) {
      std::remove(file.c_str());
    }
  }

  FakeRunner runner;
  FixedClock clock;
  std::ostringstream out;
  std::ostringstream err;
  std::vector<std::string> files;
};

std::string InventoryAnswer(std::int64_t version, const inventory::Inventory& inventory) {
  return "{\"version\":" + std::to_string(version) +
         ",\"inventory\":" + inventory::Serialize(inventory) + "}";
}

/// What another operator has put in force.
inventory::Inventory OtherInventory() {
  inventory::Inventory other = inventory::SampleInventory();
  other.teams.at(TeamId{"shop"}).upper_limit = 7;
  return other;
}

TEST_F(ProgramTest, HelpListsCommandsAndExitCodes) {
  EXPECT_EQ(this->Run({"--help"}), ExitCode::kOk);
  for (const char* word : {"entry", "check", "publish", "key", "plan", "status", "explain",
                           "timeline", "Exit codes", "CHERVILSPAR_LOG_ADDRESS"}) {
    EXPECT_NE(this->out.str().find(word), std::string::npos) << word;
  }
}

TEST_F(ProgramTest, EntryStartsWithFlagsAndVariables) {
  setenv("CHERVILSPAR_ZONE", "b", 1);
  setenv("CHERVILSPAR_SEED_PEER", "127.0.0.1:7002,127.0.0.1:7003", 1);
  const ExitCode code =
      this->Run({"entry", "--id", "e1", "--http-address", kFirst, "--peer-address",
                 "127.0.0.1:7001", "--log-address", "127.0.0.1:6001", "--vm-list-address",
                 "127.0.0.1:6002", "--operator-key-digest", config_log::DigestOf("secret").hex,
                 "--route", "127.0.0.1:6001=127.0.0.1:6009", "--threads", "3"});
  unsetenv("CHERVILSPAR_ZONE");
  unsetenv("CHERVILSPAR_SEED_PEER");
  EXPECT_EQ(code, ExitCode::kOk) << this->err.str();
  ASSERT_TRUE(this->runner.started);
  EXPECT_EQ(this->runner.started->zone, ZoneId{"b"});
  EXPECT_EQ(this->runner.started->seed_peers.size(), 2U);
  EXPECT_EQ(this->runner.started->routes.size(), 1U);
  EXPECT_EQ(this->runner.started->threads, 3U);
}

struct UsageCase {
  std::string name;
  std::vector<std::string> arguments;
  std::vector<std::string> in_errors;
};

class UsageTest : public ProgramTest, public testing::WithParamInterface<UsageCase> {};

// A command line is mistyped. Each fault is printed with its flag, and nothing is started or sent.
TEST_P(UsageTest, NamesEveryFaultAndDoesNothing) {
  EXPECT_EQ(this->Run(GetParam().arguments), ExitCode::kUsage);
  for (const std::string& part : GetParam().in_errors) {
    EXPECT_NE(this->err.str().find(part), std::string::npos) << part << "\n" << this->err.str();
  }
  EXPECT_TRUE(this->runner.entries.seen.empty());
  EXPECT_FALSE(this->runner.started);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, UsageTest,
    testing::Values(
        UsageCase{"NoCommand", {}, {"subcommand"}}, UsageCase{"UnknownCommand", {"reboot"}, {}},
        UsageCase{"UnknownFlag", {"status", "--colour", "red"}, {"--colour"}},
        UsageCase{"EntryWithoutAnything", {"entry"}, {"--id", "--zone", "--log-address"}},
        UsageCase{"EntryWithFaults",
                  {"entry", "--threads", "none", "--read-timeout", "5"},
                  {"--threads: \"none\"", "--read-timeout: \"5\""}},
        UsageCase{"StatusWithoutEntryAndKey", {"status"}, {"--entry", "--operator-key"}},
        UsageCase{"StatusWithBadAddress",
                  {"status", "--entry", "localhost", "--operator-key", "x", "--timeout", "0s"},
                  {"localhost", "--timeout"}},
        UsageCase{"ExplainOfUnknownKind", {"explain", "pool", "x"}, {"KIND"}},
        UsageCase{"KeyWithoutVerb", {"key"}, {"subcommand"}},
        UsageCase{"CheckOfMissingFile", {"check", "/nowhere.json"}, {"/nowhere.json"}}),
    [](const testing::TestParamInfo<UsageCase>& info) { return info.param.name; });

TEST_F(ProgramTest, CheckNeedsNoNetwork) {
  const std::string file =
      this->WriteFile("good.json", inventory::Serialize(inventory::SampleInventory()));
  EXPECT_EQ(this->Run({"check", file}), ExitCode::kOk) << this->err.str();
  EXPECT_NE(this->out.str().find("10 VMs in 3 pools"), std::string::npos);
  EXPECT_TRUE(this->runner.entries.seen.empty());
}

TEST_F(ProgramTest, CheckPassesTheExamples) {
  for (const char* name : {"rental-firm", "certification-firm"}) {
    const std::string file = std::string(CHERVILSPAR_SOURCE_DIR) + "/examples/" + name + ".json";
    EXPECT_EQ(this->Run({"check", file}), ExitCode::kOk) << this->err.str();
  }
}

// The move is asked for by a date that no plan can meet. Operators must hear of it at check, with
// the earliest date that would do, and not on the day itself.
TEST_F(ProgramTest, CheckNamesTheEarliestDate) {
  inventory::Inventory wanted = inventory::SampleInventory();
  wanted.move = inventory::Move{SiteId{"old"},
                                this->clock.WallNow() + std::chrono::seconds(1),
                                {{VmId{"vm-8"}, PoolId{"fleet"}}}};
  const std::string file = this->WriteFile("early.json", inventory::Serialize(wanted));
  EXPECT_EQ(this->Run({"check", file}), ExitCode::kRefused);
  EXPECT_NE(this->err.str().find("/move/date"), std::string::npos) << this->err.str();
  EXPECT_NE(this->err.str().find("earliest date that would do is 2027-"), std::string::npos)
      << this->err.str();
}

TEST_F(ProgramTest, CheckPrintsAllFaults) {
  const std::string file = this->WriteFile("bad.json", R"({"schema_version":2,"vmz":[]})");
  EXPECT_EQ(this->Run({"check", file}), ExitCode::kRefused);
  EXPECT_NE(this->err.str().find("/schema_version"), std::string::npos);
  EXPECT_NE(this->err.str().find("/vmz"), std::string::npos);
}

class PublishTest : public ProgramTest {
 protected:
  void SetUp() override {
    this->file = this->WriteFile("wanted.json", inventory::Serialize(inventory::SampleInventory()));
    for (const char* address : {kFirst, kSecond}) {
      this->runner.entries.Answers(address, "GET /v1/operator/inventory", 200,
                                   InventoryAnswer(0, inventory::Inventory{}));
    }
  }

  std::size_t PublishCalls() const {
    std::size_t calls = 0;
    for (const SeenCall& call : this->runner.entries.seen) {
      calls += call.method == "POST" ? 1 : 0;
    }
    return calls;
  }

  std::string file;
};

TEST_F(PublishTest, FirstPublishNeedsNoBaseVersion) {
  this->runner.entries.Answers(kFirst, "POST /v1/operator/publish", 200,
                               R"({"version":1,"offset":0})");
  EXPECT_EQ(this->RunAsOperator({"publish", this->file}), ExitCode::kOk) << this->err.str();
  const SeenCall& call = this->runner.entries.seen.back();
  EXPECT_EQ(call.authorization, "Bearer secret");
  const boost::json::value body = boost::json::parse(call.body);
  EXPECT_EQ(body.at("base_version").as_int64(), 0);
  EXPECT_EQ(body.at("inventory").at("vms").as_array().size(), 10U);
  EXPECT_NE(this->out.str().find("version 1"), std::string::npos);
}

// Another operator has published since the file was made. Taking the version now in force for the
// file's base would undo that change without anyone having seen it.
TEST_F(PublishTest, LaterPublishWithoutBaseVersionIsRefused) {
  this->runner.entries.Answers(kFirst, "GET /v1/operator/inventory", 200,
                               InventoryAnswer(4, OtherInventory()));
  EXPECT_EQ(this->RunAsOperator({"publish", this->file}), ExitCode::kRefused);
  EXPECT_EQ(this->PublishCalls(), 0U);
  EXPECT_NE(this->err.str().find("--base-version 4"), std::string::npos);
}

TEST_F(PublishTest, FileThatIsInForceIsNotPublishedAgain) {
  this->runner.entries.Answers(kFirst, "GET /v1/operator/inventory", 200,
                               InventoryAnswer(4, inventory::SampleInventory()));
  EXPECT_EQ(this->RunAsOperator({"publish", this->file}), ExitCode::kOk);
  EXPECT_EQ(this->PublishCalls(), 0U);
  EXPECT_NE(this->out.str().find("version 4 is in force already"), std::string::npos);
}

TEST_F(PublishTest, StaleBaseVersionIsRefusedByTheEntry) {
  this->runner.entries.Answers(kFirst, "GET /v1/operator/inventory", 200,
                               InventoryAnswer(4, OtherInventory()));
  this->runner.entries.Answers(kFirst, "POST /v1/operator/publish", 409,
                               R"({"code":"conflict","message":"made from version 3"})");
  EXPECT_EQ(this->RunAsOperator({"publish", this->file, "--base-version", "3"}),
            ExitCode::kRefused);
  EXPECT_NE(this->err.str().find("made from version 3"), std::string::npos);
}

// The answer is lost after the publish may have reached the log. Sending it to the next entry would
// only confuse matters, and calling it failed would be a guess.
TEST_F(PublishTest, LostAnswerIsUnknownAndNotSentElsewhere) {
  this->runner.entries.LosesAnswer(kFirst, "POST /v1/operator/publish");
  this->runner.entries.Answers(kSecond, "POST /v1/operator/publish", 200, R"({"version":1})");
  EXPECT_EQ(this->RunAsOperator({"publish", this->file}), ExitCode::kUnknown);
  EXPECT_EQ(this->PublishCalls(), 1U);
}

TEST_F(PublishTest, EntryThatCannotBeReachedIsPassedOver) {
  this->runner.entries.Answers(kSecond, "POST /v1/operator/publish", 200, R"({"version":1})");
  EXPECT_EQ(this->RunAsOperator({"publish", this->file}), ExitCode::kOk);
}

TEST_F(PublishTest, FaultyFileSendsNothing) {
  const std::string bad = this->WriteFile("bad.json", "{}");
  EXPECT_EQ(this->RunAsOperator({"publish", bad}), ExitCode::kRefused);
  EXPECT_TRUE(this->runner.entries.seen.empty());
}

TEST_F(ProgramTest, GivenKeyIsPrintedOnceAndOnlyItsDigestSent) {
  this->runner.entries.Answers(kFirst, "POST /v1/operator/keys", 200, R"({"offset":3})");
  ASSERT_EQ(this->RunAsOperator({"key", "give", "--team", "desk"}), ExitCode::kOk);
  std::string key = this->out.str();
  key.pop_back();
  const SeenCall& call = this->runner.entries.seen.back();
  EXPECT_EQ(call.body.find(key), std::string::npos);
  EXPECT_EQ(boost::json::parse(call.body).at("digest").as_string(), config_log::DigestOf(key).hex);
}

TEST_F(ProgramTest, KeyThatWasNotGivenIsNotPrinted) {
  this->runner.entries.Answers(kFirst, "POST /v1/operator/keys", 404, R"({"message":"no team"})");
  EXPECT_EQ(this->RunAsOperator({"key", "give", "--team", "nobody"}), ExitCode::kRefused);
  EXPECT_TRUE(this->out.str().empty());
}

// Zones are cut off from each other when a key is lost. The withdrawal goes to every entry that the
// operator names; one that can't be reached doesn't keep the others from hearing of it.
TEST_F(ProgramTest, WithdrawalGoesToEveryEntry) {
  const std::string digest = config_log::DigestOf("lost").hex;
  this->runner.entries.Answers(kSecond, "DELETE /v1/operator/keys/" + digest, 200,
                               R"({"applied":true,"logged":false})");
  EXPECT_EQ(this->RunAsOperator({"key", "withdraw", "--digest", digest}), ExitCode::kPartial);
  EXPECT_EQ(this->runner.entries.seen.size(), 2U);
  EXPECT_NE(this->out.str().find("on its way to the log"), std::string::npos);
}

TEST_F(ProgramTest, KeyIsWithdrawnByItsFile) {
  const std::string file = this->WriteFile("key", "lost\n");
  const std::string target = "DELETE /v1/operator/keys/" + config_log::DigestOf("lost").hex;
  for (const char* address : {kFirst, kSecond}) {
    this->runner.entries.Answers(address, target, 200, R"({"applied":true,"logged":true})");
  }
  EXPECT_EQ(this->RunAsOperator({"key", "withdraw", "--key-file", file}), ExitCode::kOk);
}

// An entry VM is deleted while it is cut off. Until an operator says so, its part of each limit
// stays unused; said of an entry that still runs, a team could go above its limit, so the entries
// refuse it for one that is still in the inventory, and the operator sees why.
TEST_F(ProgramTest, EntryIsDeclaredGone) {
  this->runner.entries.Answers(kFirst, "POST /v1/operator/entries/e3/gone", 200,
                               R"({"version":4,"offset":9})");
  EXPECT_EQ(this->RunAsOperator({"entry-gone", "e3"}), ExitCode::kOk);
  EXPECT_NE(this->out.str().find("e3"), std::string::npos);
}

TEST_F(ProgramTest, ListedEntryIsNotGone) {
  this->runner.entries.Answers(kFirst, "POST /v1/operator/entries/e3/gone", 409,
                               R"({"message":"entry e3 is not one that was taken off the list"})");
  EXPECT_EQ(this->RunAsOperator({"entry-gone", "e3"}), ExitCode::kRefused);
  EXPECT_NE(this->err.str().find("not one that was taken off"), std::string::npos);
}

TEST_F(ProgramTest, WrongOperatorKeyIsRefused) {
  this->runner.entries.Answers(kFirst, "GET /v1/operator/status", 401,
                               R"({"message":"not an operator's key"})");
  EXPECT_EQ(this->RunAsOperator({"status"}), ExitCode::kRefused);
  EXPECT_NE(this->err.str().find("not an operator's key"), std::string::npos);
}

TEST_F(ProgramTest, NoReachableEntryIsSaid) {
  EXPECT_EQ(this->RunAsOperator({"plan"}), ExitCode::kUnreachable);
}

// An entry of another version, or a stranger at its address, answers with something else.
TEST_F(ProgramTest, StrangeAnswersDoNotCrash) {
  for (const char* body : {"", "[]", "7", "{\"pools\":7,\"teams\":[7]}", "garbage"}) {
    for (const char* call : {"status", "plan", "inventory", "events"}) {
      this->runner.entries.Answers(kFirst, std::string("GET /v1/operator/") + call, 200, body);
    }
    this->RunAsOperator({"status"});
    this->RunAsOperator({"status", "--inventory"});
    this->RunAsOperator({"plan"});
    this->RunAsOperator({"timeline"});
    this->RunAsOperator({"explain", "vm", "x"});
    this->RunAsOperator({"explain", "team", "x"});
    this->RunAsOperator({"explain", "request", "x"});
  }
}

}  // namespace
}  // namespace chervilspar::cli
