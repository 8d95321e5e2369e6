#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "cli/program.h"
#include "tests/cli/fake_entries.h"

namespace chervilspar::cli {
namespace {

constexpr const char* kId = "5c0e7a21d94b36f8";

std::string Line(int second, const std::string& event, const std::string& message,
                 const std::string& id = kId) {
  return R"({"time":"2027-01-01T00:00:0)" + std::to_string(second) +
         R"(.000Z","level":"info","event":")" + event + R"(","entry":"e1","request_id":")" + id +
         R"(","message":")" + message + R"(","fields":{"queue":"q"}})" + "\n";
}

/// What a job's lines come to: each failed request that a user may complain of.
struct ExplainCase {
  const char* name;
  std::vector<std::string> lines;
  const char* conclusion;
};

class ExplainJob : public ::testing::TestWithParam<ExplainCase> {};

TEST_P(ExplainJob, NamesTheCause) {
  const std::string path = ::testing::TempDir() + "explain_" + GetParam().name + ".log";
  {
    std::ofstream file(path);
    file << "not json, with " << kId << "\n"
         << Line(9, "job_ended", "complete", "0000000000000001");
    for (const std::string& line : GetParam().lines) {
      file << line;
    }
  }
  FakeRunner runner;
  const FixedClock clock;
  std::ostringstream out;
  std::ostringstream err;
  const Console console{out, err, clock};
  RunProgram({"explain-job", kId, "--logs", path}, runner, console);
  std::remove(path.c_str());
  EXPECT_NE(out.str().find(GetParam().conclusion), std::string::npos) << out.str() << err.str();
}

INSTANTIATE_TEST_SUITE_P(
    Requests, ExplainJob,
    ::testing::Values(
        ExplainCase{"preempted",
                    {Line(1, "job_started", "150 ms after it was accepted"),
                     Line(2, "run_preempted", "stopped for job 0000000000000002")},
                    "a run of it was preempted: stopped for job 0000000000000002"},
        ExplainCase{"turned_away",
                    {Line(1, "job_refused", "the store did not accept the job; not run")},
                    "turned away and did not run: the store did not accept the job"},
        ExplainCase{"unsure",
                    {Line(1, "job_unsure", "the store has not responded; the job may run")},
                    "may have been stored"},
        ExplainCase{"refused_then_accepted",
                    {Line(1, "job_refused", "no"), Line(2, "job_accepted", "stored")},
                    "stored and has not been started"},
        ExplainCase{"failed",
                    {Line(3, "job_ended", "failed 900 ms after"), Line(1, "job_accepted", "stored"),
                     Line(2, "job_failed", "failed 3 times")},
                    "failed 900 ms after; failed 3 times (queue q)"},
        ExplainCase{
            "late",
            {Line(1, "job_accepted", "stored"),
             Line(2, "job_waits", "no endpoint of its pool has free capacity; late by 9 ms")},
            "It has not ended; no endpoint of its pool has free capacity"},
        ExplainCase{"late_then_started",
                    {Line(1, "job_accepted", "stored"),
                     Line(2, "job_waits", "its team has reached its limit; late by 9 ms"),
                     Line(3, "job_started", "900 ms after it was accepted")},
                    "It was started and has not ended in these logs; it waited: its team"},
        ExplainCase{"started_then_waiting",
                    {Line(1, "job_started", "9 ms after it was accepted"),
                     Line(2, "job_waits", "its team has reached its limit; late by 9 ms")},
                    "It has not ended; its team has reached its limit"},
        ExplainCase{"found_running_by_a_successor",
                    {Line(1, "job_accepted", "stored"),
                     Line(2, "job_found_running", "started by an earlier owner")},
                    "It was started and has not ended in these logs"},
        ExplainCase{"late_and_done",
                    {Line(2, "job_waits", "its team has reached its limit"),
                     Line(3, "job_ended", "complete, late by 80 ms")},
                    "it waited: its team has reached its limit"},
        ExplainCase{"behind_its_share",
                    {Line(1, "job_accepted", "stored"),
                     Line(2, "job_waits", "waits behind: its account uses 2.3 of its share")},
                    "It has not ended; it waits behind: its account uses 2.3 of its share."},
        ExplainCase{"behind_its_share_and_done",
                    {Line(2, "job_waits", "waits behind: its account uses 2.3 of its share"),
                     Line(3, "job_ended", "complete, late by 80 ms")},
                    "it waited behind: its account uses 2.3 of its share."},
        ExplainCase{"unknown", {}, "say nothing of it"}),
    [](const auto& info) { return info.param.name; });

TEST(ExplainJobFlags, NamesAFileThatCantBeRead) {
  FakeRunner runner;
  const FixedClock clock;
  std::ostringstream out;
  std::ostringstream err;
  const Console console{out, err, clock};
  EXPECT_EQ(RunProgram({"explain-job", kId, "--logs", "/nowhere.log"}, runner, console),
            ExitCode::kUsage);
  EXPECT_NE(err.str().find("--logs"), std::string::npos);
}

}  // namespace
}  // namespace chervilspar::cli
