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

/// VMs with one endpoint each that reboot immediately, and a record of the orders to them.
class FakeVms {
 public:
  std::vector<jobs::VmRecord> vms;
  std::map<VmId, int> reboots;
  /// The tokens of all reboot orders in order of arrival.
  std::vector<std::uint64_t> tokens;
  /// The age of the last VM list at each reboot order.
  std::vector<Duration> list_ages;
  /// How long the service takes to list the VMs.
  Duration list_delay{};
  /// When the VMs were last listed.
  TimePoint listed{};
  /// All orders are answered with `kBusy`, so that the entry repeats them.
  bool is_busy = false;
  /// VMs whose orders are answered with `kNotAllowed`, as if the wave did not include them.
  std::set<VmId> refused;
};

class FakeVmLink final : public VmService {
 public:
  explicit FakeVmLink(FakeVms& all) : all(all) {}

  boost::asio::awaitable<Result<std::vector<jobs::VmRecord>>> List(Duration) override {
    if (this->all.list_delay > Duration::zero()) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      this->all.list_delay);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
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

/// Reads the records that the tests write: rules, whose value is the version; endpoints, in zone
/// "z" unless their value is "zone:" and the name of another one; waves and cordons.
class FakeRecords final : public RecordFormat {
 public:
  bool IsPolicyKey(std::string_view key) const override { return key == "rules"; }
  Result<jobs::Policy> ReadPolicy(std::string_view value) const override;
  Result<jobs::EndpointRecord> ReadEndpoint(std::string_view key,
                                            std::string_view value) const override;
  bool IsCordonKey(std::string_view key) const override { return key.starts_with("cordon/"); }
  /// Fails for the value "?".
  Result<ZoneId> ReadCordon(std::string_view key,
                            const std::optional<std::string>& value) const override;
  bool IsWaveKey(std::string_view key) const override { return key.starts_with("wave"); }
  /// The value lists the wave's VMs, separated by commas, after "2:" for the second wave.
  Result<jobs::Wave> ReadWave(std::string_view value) const override;
  KeyedRecord WriteWaveStatus(const jobs::Wave&, bool is_complete) const override {
    return {"wave", is_complete ? "complete" : "running"};
  }
};

/// Returns a port on which nothing listened just now. A fixed port would be in use when tests run
/// in parallel.
std::uint16_t FreePort(boost::asio::io_context& io);

/// Runs until `is_over` returns true, for at most `timeout`.
void RunUntil(boost::asio::io_context& io, Duration timeout, const std::function<bool()>& is_over);

/// An entry without its HTTP servers.
class FakeEntry {
 public:
  FakeEntry(boost::asio::io_context& io, FakeStore& store, FakeEndpoints& endpoints, FakeVms& vms,
            const std::string& name, double cores = 1.0);

  /// Forwards orders for the owner on this loopback port; as the owner, has its own orders
  /// forwarded by others regardless of the number of endpoints. Called before `Start`.
  void EnableCarrying(std::uint16_t port);
  void Start();
  /// Disconnects the entry from everything. To others this looks the same as the end of its
  /// process.
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

/// Whether the entry is the owner and has loaded the state.
bool IsServing(const FakeEntry& entry);

/// A store, endpoints and VMs, with entries that tests add.
class FakeFleet {
 public:
  explicit FakeFleet(boost::asio::io_context& io, int endpoint_count = 3);

  FakeEntry& AddEntry(const std::string& name, double cores = 1.0);
  /// Adds an entry that forwards orders on this port.
  FakeEntry& AddCarrier(const std::string& name, std::uint16_t port);
  /// A job with one step of `tasks` tasks.
  static jobs::Job MakeJob(std::uint64_t number, std::uint32_t tasks);

  boost::asio::io_context& io;
  FakeStore store;
  FakeEndpoints endpoints;
  FakeVms vms;
  std::vector<std::unique_ptr<FakeEntry>> entries;
};

}  // namespace chervilspar::job_entry
