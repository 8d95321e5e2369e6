#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "job_entry/admission_message.h"
#include "job_entry/admission_view.h"
#include "job_entry/caller_handler.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Rules under which a job of 1,500 ms is late after 6,500 ms.
class RulesWithTarget final : public RecordFormat {
 public:
  bool IsPolicyKey(std::string_view key) const override { return this->base.IsPolicyKey(key); }
  Result<jobs::Policy> ReadPolicy(std::string_view value) const override {
    jobs::Policy policy = *this->base.ReadPolicy(value);
    policy.queues.at("bookings").target = milliseconds(5000);
    return policy;
  }
  Result<jobs::EndpointRecord> ReadEndpoint(std::string_view key,
                                            std::string_view value) const override {
    return this->base.ReadEndpoint(key, value);
  }
  bool IsCordonKey(std::string_view key) const override { return this->base.IsCordonKey(key); }
  Result<ZoneId> ReadCordon(std::string_view key,
                            const std::optional<std::string>& value) const override {
    return this->base.ReadCordon(key, value);
  }
  bool IsWaveKey(std::string_view key) const override { return this->base.IsWaveKey(key); }
  Result<jobs::Wave> ReadWave(std::string_view value) const override {
    return this->base.ReadWave(value);
  }
  KeyedRecord WriteWaveStatus(const jobs::Wave& wave, bool is_complete) const override {
    return this->base.WriteWaveStatus(wave, is_complete);
  }

 private:
  FakeRecords base;
};

/// An entry that decides on submissions, with the requests between entries over loopback HTTP.
struct AdmittingEntry {
  AdmittingEntry(FakeFleet& fleet, const std::string& name)
      : entry(fleet.AddEntry(name)),
        client(http::ClientLimits{}, http::Routes{}),
        queries(entry.context, *entry.election, entry.directory, client),
        peers(*entry.election, entry.context),
        view(std::make_shared<AdmissionView>(entry.context, entry.operators, *entry.election,
                                             entry.directory, client, *entry.writer, queries)) {
    this->entry.settings.peers = {"127.0.0.1", FreePort(fleet.io)};
    this->entry.settings.decisions.admits_by_outlook = true;
    this->entry.links.records = std::make_unique<RulesWithTarget>();
    auto listening = http::Server::Listen({&fleet.io}, this->entry.settings.peers, {}, this->peers);
    EXPECT_TRUE(listening);
    this->server = std::move(listening).Value();
  }

  FakeEntry& entry;
  http::Client client;
  JobQueries queries;
  PeerHandler peers;
  std::shared_ptr<AdmissionView> view;
  std::unique_ptr<http::Server> server;
};

/// Three endpoints of eight cores with a backlog of some seconds, and an entry that is not the
/// owner.
class OverloadedFleet : public ::testing::Test {
 protected:
  OverloadedFleet() : fleet(this->io, 3) {
    this->fleet.endpoints.task_time = std::chrono::seconds(30);
    for (int i = 0; i < 3; ++i) {
      jobs::VmRecord vm;
      vm.id = VmId{"v" + std::to_string(i)};
      vm.pool = ServiceId{"desk"};
      vm.phase = jobs::VmPhase::kUp;
      vm.endpoint = "i" + std::to_string(i);
      vm.capacity = {8000, 8000, 0};
      this->fleet.vms.vms.push_back(vm);
    }
    this->owner = std::make_unique<AdmittingEntry>(this->fleet, "a");
    this->RunFor([this] { return IsServing(this->owner->entry); });
    this->other = std::make_unique<AdmittingEntry>(this->fleet, "b");
    this->RunFor([this] {
      return this->other->entry.operators.Policy() != nullptr &&
             this->other->entry.directory.Owner().has_value() &&
             this->owner->entry.election->Term()->Outlook({}).has_value();
    });
  }

  void RunFor(const std::function<bool()>& is_over) {
    RunUntil(this->io, std::chrono::seconds(5), is_over);
  }

  /// Stores jobs that together need much more than the fleet has. They stay on time for five
  /// seconds, and take some seventeen.
  void StoreBacklog() {
    for (std::uint64_t number = 1; number <= 20; ++number) {
      asio::co_spawn(
          this->io,
          [this, job = JobOf(number, 30)]() -> asio::awaitable<void> {
            KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
            co_await this->owner->entry.writer->Write(std::move(record));
          },
          asio::detached);
    }
    this->RunFor([this] {
      return this->owner->entry.Find(jobs::JobId{20}).knowledge == OwnerTerm::Knowledge::kKnown;
    });
  }

  static jobs::Job JobOf(std::uint64_t number, std::uint32_t tasks) {
    jobs::Job job = FakeFleet::MakeJob(number, tasks);
    job.steps[0].estimate_ms = 1500;
    job.accepted_ms =
        std::chrono::duration_cast<milliseconds>(SystemClock().WallNow().time_since_epoch())
            .count();
    return job;
  }

  std::optional<JobRefusal> Review(std::uint64_t number) {
    std::optional<std::optional<JobRefusal>> result;
    asio::co_spawn(
        this->io,
        [&]() -> asio::awaitable<void> {
          result = co_await this->other->view->Review(JobOf(number, 4));
        },
        asio::detached);
    this->RunFor([&] { return result.has_value(); });
    return result.value_or(std::nullopt);
  }

  /// Stores the backlog, has the other entry ask the owner, and returns how it refuses a new job.
  std::optional<JobRefusal> Overload() {
    this->StoreBacklog();
    this->io.run_for(milliseconds(150));  // The owner reuses an outlook for 100 ms.
    EXPECT_FALSE(this->Review(900));
    this->io.run_for(milliseconds(50));
    std::optional<JobRefusal> refusal;
    // On a busy machine the owner may not answer within 40 ms, and the job is admitted.
    for (std::uint64_t number = 901; !refusal && number < 910; ++number) {
      refusal = this->Review(number);
    }
    return refusal;
  }

  asio::io_context io;
  FakeFleet fleet;
  std::unique_ptr<AdmittingEntry> owner;
  std::unique_ptr<AdmittingEntry> other;
};

/// A caller is told at once that its job can't be on time. The job must not be stored; one that is
/// stored already must get the same answer as before, whatever the load.
TEST_F(OverloadedFleet, RefusesANewJobAndAdmitsAStoredOne) {
  const std::optional<JobRefusal> refusal = this->Overload();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, "overloaded");
  EXPECT_GE(refusal->return_after_s, 1);
  EXPECT_LE(refusal->return_after_s, 30);
  EXPECT_FALSE(this->Review(5));
  EXPECT_EQ(
      this->other->entry.metrics.ValueOf({"chervilspar_jobs_refused_total", {{"reason", "late"}}}),
      1.0);
}

/// The refusal on the caller's side. Only what is answered 200 may be stored.
TEST_F(OverloadedFleet, AnswersWith429AndStoresNothing) {
  ASSERT_TRUE(this->Overload());
  CallerHandler handler(this->other->entry.context, this->other->entry.operators,
                        *this->other->entry.writer, this->other->queries, this->other->view.get());
  const auto submit = [&](const std::string& id) {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/queues/bookings/jobs/" + id;
    request.body = R"({"payload":"x","steps":[{"count":4,"cpu":500,"estimate_ms":1500}]})";
    std::optional<http::Response> response;
    asio::co_spawn(
        this->io,
        [&]() -> asio::awaitable<void> { response = co_await handler.Handle(request, nullptr); },
        asio::detached);
    this->RunFor([&] { return response.has_value(); });
    return response.value_or(http::Response{});
  };
  const auto is_stored = [&](const std::string& id) {
    for (const auto& [key, partition] : this->fleet.store.partitions) {
      for (const KeyedRecord& record : partition.records) {
        if (key.first == Topic::kJobs && record.key == id) {
          return true;
        }
      }
    }
    return false;
  };
  http::Response refused;
  std::string id;
  for (int i = 0; refused.status != 429 && i < 10; ++i) {
    id = "00000000000000c" + std::to_string(i);
    refused = submit(id);
    EXPECT_EQ(is_stored(id), refused.status == 200);
  }
  ASSERT_EQ(refused.status, 429U);
  const int seconds = std::stoi(std::string(refused.headers.Find("Retry-After").value_or("0")));
  EXPECT_GE(seconds, 1);
  EXPECT_LE(seconds, 30);
  EXPECT_EQ(submit("0000000000000005").status, 200U);
}

/// The owner dies or is cut off. Its last outlook must not refuse anybody for longer than a second.
TEST_F(OverloadedFleet, AdmitsEverythingWhileTheOwnerIsSilent) {
  ASSERT_TRUE(this->Overload());
  this->owner->server.reset();
  this->other->client.CloseIdle(this->owner->entry.settings.peers);
  this->io.run_for(milliseconds(1100));
  EXPECT_FALSE(this->Review(912));
}

/// The owner does not know the jobs, for example just after a takeover, or its version is older.
TEST_F(OverloadedFleet, AdmitsEverythingAfterAnAnswerWithoutOutlook) {
  ASSERT_TRUE(this->Overload());
  this->owner->entry.settings.decisions.admits_by_outlook = false;
  this->io.run_for(milliseconds(700));
  EXPECT_FALSE(this->Review(913));
}

/// An earlier submission of the job may be on its way to a slow store, unknown to the owner.
TEST_F(OverloadedFleet, AdmitsEverythingWhileAppendsAreSlow) {
  ASSERT_TRUE(this->Overload());
  this->fleet.store.append_time = milliseconds(800);
  asio::co_spawn(
      this->io,
      [this]() -> asio::awaitable<void> {
        KeyedRecord record{SubmissionKey(jobs::JobId{914}), jobs::EncodeJob(JobOf(914, 1))};
        co_await this->other->entry.writer->Write(std::move(record));
      },
      asio::detached);
  this->io.run_for(milliseconds(200));
  EXPECT_FALSE(this->Review(914));
}

/// With the switch off, nothing is asked and nothing refused.
TEST_F(OverloadedFleet, AdmitsEverythingWithTheSwitchOff) {
  this->other->entry.settings.decisions.admits_by_outlook = false;
  EXPECT_FALSE(this->Overload());
}

jobs::AdmissionOutlook Outlook() {
  jobs::AdmissionOutlook outlook;
  outlook.token = 7;
  outlook.age_ms = 20;
  outlook.entries = 3;
  outlook.ask_again_ms = 250;
  outlook.is_full = true;
  outlook.pools = {{ServiceId{"desk"}, 24000, 32000}};
  outlook.accounts = {{TeamId{"t"}, "bookings", 12000, 9e6, 8e6, 2e6, 3000, true}};
  outlook.promises = {{jobs::JobId{5}, TeamId{"t"}, "bookings", 1e6, -300}};
  return outlook;
}

TEST(AdmissionMessage, IsReadAsItWasWritten) {
  EXPECT_EQ(DecodeAdmissionOutlook(EncodeAdmissionOutlook(Outlook())), Outlook());
  const jobs::AdmissionQuestion question{"e1", Outlook().promises};
  EXPECT_EQ(DecodeAdmissionQuestion(EncodeAdmissionQuestion(question)), question);
}

/// An answer is truncated, or comes from another version or program. Read partly, it could refuse
/// callers wrongly.
TEST(AdmissionMessage, IsInvalidAsAWholeIfAnyPartIs) {
  const std::string text = EncodeAdmissionOutlook(Outlook());
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(DecodeAdmissionOutlook(text.substr(0, length))) << length;
  }
  for (const auto& [part, replacement] :
       {std::pair("\"token\":7", "\"token\":-7"), std::pair("\"token\":7", "\"token\":\"7\""),
        std::pair("\"token\"", "\"other\""), std::pair("\"entries\":3", "\"entries\":0"),
        std::pair("\"full\":true", "\"full\":1"), std::pair(",true]", "]"),
        std::pair("[\"t\",\"bookings\",", "[\"t\",null,"), std::pair(",8000,", ",\"8000\","),
        std::pair(",8000,", ",-1,"), std::pair("0000000000000005", "5")}) {
    std::string changed = text;
    const std::size_t at = changed.find(part);
    ASSERT_NE(at, std::string::npos) << part;
    changed.replace(at, std::string(part).size(), replacement);
    EXPECT_FALSE(DecodeAdmissionOutlook(changed)) << changed;
  }
  EXPECT_FALSE(DecodeAdmissionQuestion("{\"entry\":\"e1\"}"));
  EXPECT_FALSE(DecodeAdmissionQuestion("{\"entry\":1,\"refused\":[]}"));
}

}  // namespace
}  // namespace chervilspar::job_entry
