#pragma once

#include <algorithm>
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
  /// How many more orders for the VM get no answer. The first of them is executed after
  /// `late_delay`.
  std::map<VmId, int> unanswered;
  Duration late_delay{};
  /// How long a VM is listed as rebooting.
  Duration reboot_time{};
  /// The highest number of VMs that were rebooting at once.
  std::size_t max_rebooting = 0;
  /// Otherwise, moves are answered with `kNotAllowed`.
  bool accepts_moves = false;
  /// How long the service takes to execute and answer a move.
  Duration move_delay{};
  /// The moves that were ordered, in order of arrival.
  std::vector<jobs::MoveOrder> moves;
  /// Called when an order for a VM is executed, which ends what runs there.
  std::function<void(const jobs::VmRecord&)> on_executed;

  jobs::VmRecord& At(const VmId& id) {
    return *std::find_if(this->vms.begin(), this->vms.end(),
                         [&](const jobs::VmRecord& vm) { return vm.id == id; });
  }
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
    if (this->all.unanswered[order.vm] > 0) {
      --this->all.unanswered[order.vm];
      if (this->late.insert(order.vm).second) {
        Spawn(co_await boost::asio::this_coro::executor, this->RebootLate(order.vm));
      }
      co_return jobs::VmOrderOutcome::kNoAnswer;
    }
    this->Begin(co_await boost::asio::this_coro::executor, order.vm);
    co_return jobs::VmOrderOutcome::kDone;
  }
  boost::asio::awaitable<jobs::VmOrderOutcome> Move(jobs::MoveOrder order, Duration) override {
    if (!this->all.accepts_moves) {
      co_return jobs::VmOrderOutcome::kNotAllowed;
    }
    this->all.moves.push_back(order);
    const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
    if (this->all.unanswered[order.vm] > 0) {
      --this->all.unanswered[order.vm];
      Spawn(executor, this->MoveLater(order, this->all.late_delay));
      co_return jobs::VmOrderOutcome::kNoAnswer;
    }
    co_await this->MoveLater(order, this->all.move_delay);
    co_return jobs::VmOrderOutcome::kDone;
  }

 private:
  static void Spawn(const boost::asio::any_io_executor& executor,
                    boost::asio::awaitable<void> work) {
    boost::asio::co_spawn(executor, std::move(work), boost::asio::detached);
  }

  boost::asio::awaitable<void> MoveLater(jobs::MoveOrder order, Duration delay) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
    jobs::VmRecord& vm = this->all.At(order.vm);
    if (vm.pool != order.pool) {
      this->ReportExecuted(vm);
      vm.pool = order.pool;
      vm.endpoint += "'";
    }
  }

  void ReportExecuted(const jobs::VmRecord& vm) {
    if (this->all.on_executed) {
      this->all.on_executed(vm);
    }
  }

  boost::asio::awaitable<void> RebootLate(VmId vm) {
    const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor, this->all.late_delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
    this->Begin(executor, vm);
  }

  /// Does nothing if the VM has been rebooted before.
  void Begin(const boost::asio::any_io_executor& executor, const VmId& id) {
    if (this->all.reboots[id] > 0) {
      return;
    }
    ++this->all.reboots[id];
    this->ReportExecuted(this->all.At(id));
    if (this->all.reboot_time > Duration::zero()) {
      this->all.At(id).phase = jobs::VmPhase::kRebooting;
      const auto rebooting = static_cast<std::size_t>(std::count_if(
          this->all.vms.begin(), this->all.vms.end(),
          [](const jobs::VmRecord& vm) { return vm.phase == jobs::VmPhase::kRebooting; }));
      this->all.max_rebooting = std::max(this->all.max_rebooting, rebooting);
      Spawn(executor, this->Return(id));
    }
  }

  boost::asio::awaitable<void> Return(VmId id) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    this->all.reboot_time);
    co_await timer.async_wait(boost::asio::use_awaitable);
    this->all.At(id).phase = jobs::VmPhase::kUp;
  }

  FakeVms& all;
  /// VMs with an order that is executed late.
  std::set<VmId> late;
};

/// Reads the records that the tests write: rules, whose value is the version, with ":standby" if
/// there is a pool "off" of VMs that are switched off; endpoints, in zone
/// "z" unless their value is "zone:" and the name of another one; waves and cordons.
class FakeRecords final : public RecordFormat {
 public:
  bool IsPolicyKey(std::string_view key) const override { return key == "rules"; }
  Result<jobs::Policy> ReadPolicy(std::string_view value) const override;
  /// Fails for the value "?".
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
  telemetry::WorkMeter work{this->clock, this->metrics};
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
