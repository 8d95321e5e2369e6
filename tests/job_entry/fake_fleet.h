#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "job_entry/election.h"
#include "job_entry/job_writer.h"
#include "job_entry/order_exchange.h"
#include "job_entry/owner_directory.h"
#include "tests/job_entry/fake_endpoints.h"
#include "tests/job_entry/fake_store.h"

namespace chervilspar::job_entry {

/// VMs that reboot at once, with an endpoint each, and count how often.
class FakeVms {
 public:
  std::vector<jobs::VmRecord> vms;
  std::map<VmId, int> reboots;
  /// The tokens of all orders, in the order in which they came.
  std::vector<std::uint64_t> tokens;
  /// How old the last list was at each order, and when that was read.
  std::vector<Duration> list_ages;
  TimePoint listed{};
  /// Orders are refused for now, so that they are given again and again.
  bool is_busy = false;
  /// The wave doesn't name these, as far as the service knows.
  std::set<VmId> refused;
};

class FakeVmLink final : public VmService {
 public:
  explicit FakeVmLink(FakeVms& all) : all(all) {}

  boost::asio::awaitable<Result<std::vector<jobs::VmRecord>>> List(Duration) override {
    this->all.listed = SystemClock().Now();
    co_return this->all.vms;
  }
  boost::asio::awaitable<jobs::VmOrderOutcome> Reboot(jobs::RebootOrder order, Duration) override {
    this->all.tokens.push_back(order.token);
    this->all.list_ages.push_back(SystemClock().Now() - this->all.listed);
    if (this->all.is_busy) {
      co_return jobs::VmOrderOutcome::kBusy;
    }
    if (this->all.refused.contains(order.vm)) {
      co_return jobs::VmOrderOutcome::kNotAllowed;
    }
    ++this->all.reboots[order.vm];
    co_return jobs::VmOrderOutcome::kDone;
  }
  boost::asio::awaitable<jobs::VmOrderOutcome> Move(jobs::MoveOrder, Duration) override {
    co_return jobs::VmOrderOutcome::kNotAllowed;
  }

 private:
  FakeVms& all;
};

/// Reads the records that the tests write: rules "version", endpoints by name, in zone "z" unless
/// their value is "zone:" with another, and cordons.
class FakeRecords final : public RecordReader {
 public:
  bool IsPolicyKey(std::string_view key) const override { return key == "rules"; }
  Result<jobs::Policy> ReadPolicy(std::string_view value) const override;
  Result<jobs::EndpointRecord> ReadEndpoint(std::string_view key,
                                            std::string_view value) const override;
  bool IsCordonKey(std::string_view key) const override { return key.starts_with("cordon/"); }
  /// The value "?" can't be read.
  Result<ZoneId> ReadCordon(std::string_view key,
                            const std::optional<std::string>& value) const override;
  bool IsWaveKey(std::string_view key) const override { return key.starts_with("wave"); }
  /// The names of the wave's VMs, with commas; before them "2:" for the second wave.
  Result<jobs::Wave> ReadWave(std::string_view value) const override;
  KeyedRecord WriteWaveStatus(const jobs::Wave&, bool is_complete) const override {
    return {"wave", is_complete ? "complete" : "running"};
  }
};

/// A port that nobody listened at a moment ago; a fixed one would be taken where tests run twice.
std::uint16_t FreePort(boost::asio::io_context& io);

/// Runs until `is_over`, or for `longest`.
void RunUntil(boost::asio::io_context& io, Duration longest, const std::function<bool()>& is_over);

/// One entry without its HTTP servers.
class FakeEntry {
 public:
  FakeEntry(boost::asio::io_context& io, FakeStore& store, FakeEndpoints& endpoints, FakeVms& vms,
            const std::string& name, double cores = 1.0);

  /// Carries orders for the owner at this port of the loopback address, and as owner has others
  /// carry its own, however few endpoints there are; before `Start`.
  void EnableCarrying(std::uint16_t port);
  void Start();
  /// The process is gone, or cut off from everything; it can't be told from outside.
  void Disconnect();
  OwnerTerm::Answer Find(const jobs::JobId& id) const;

  JobEntrySettings settings;
  telemetry::MetricsRegistry metrics;
  SystemClock clock;
  Links links;
  Context context;
  FakeStoreLink* store = nullptr;
  FakeEndpointLink* endpoints = nullptr;
  std::unique_ptr<OrderExchange> exchange;
  OperatorView operators;
  OwnerDirectory directory;
  std::shared_ptr<JobWriter> writer;
  std::shared_ptr<Election> election;
};

/// The entry is owner and has read the state.
bool IsServing(const FakeEntry& entry);

/// A store and endpoints with entries that come and go.
class FakeFleet {
 public:
  explicit FakeFleet(boost::asio::io_context& io, int endpoint_count = 3);

  FakeEntry& AddEntry(const std::string& name, double cores = 1.0);
  /// One that carries orders at this port.
  FakeEntry& AddCarrier(const std::string& name, std::uint16_t port);
  /// A job of `tasks` tasks.
  static jobs::Job MakeJob(std::uint64_t number, std::uint32_t tasks);

  boost::asio::io_context& io;
  FakeStore store;
  FakeEndpoints endpoints;
  FakeVms vms;
  std::vector<std::unique_ptr<FakeEntry>> entries;
};

}  // namespace chervilspar::job_entry
