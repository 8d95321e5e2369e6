#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job_entry/vm_driver.h"
#include "tests/job_entry/fake_fleet.h"
#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::job_entry {

/// A driver with its own scheduler, to which the test registers the endpoints; these answer at once
/// when the driver asks. A wave names all VMs.
class DriverWorld : public VmDriverHost {
 public:
  explicit DriverWorld(int count, bool sizes_by_demand = false) : fleet(this->io, 0) {
    this->entry.settings.decisions.sizer.sizes_by_demand = sizes_by_demand;
    this->driver =
        std::make_unique<VmDriver>(this->entry.context, this->entry.operators,
                                   this->entry.directory, this->world.scheduler, *this, "a", 1);
    std::string names;
    for (int i = 0; i < count; ++i) {
      const std::string number = std::to_string(i);
      jobs::VmRecord vm;
      vm.id = VmId{"m" + number};
      vm.pool = ServiceId{"desk"};
      vm.phase = jobs::VmPhase::kUp;
      vm.endpoint = "i" + number;
      vm.capacity = {8000, 8000, 0};
      this->fleet.vms.vms.push_back(vm);
      names += (names.empty() ? "" : ",") + vm.id.text;
    }
    this->fleet.store.At(Topic::kOperators, 0).records.push_back({"wave", names});
    this->fleet.store.At(Topic::kOwners, 0)
        .records.push_back({kOwnerKey, EncodeClaim({"a", "a", {"127.0.0.1", 1}})});
    this->Register();
  }
  ~DriverWorld() override {
    this->driver->Stop();
    this->is_over = true;
    this->io.run_for(std::chrono::milliseconds(200));
  }
  DriverWorld(const DriverWorld&) = delete;
  DriverWorld& operator=(const DriverWorld&) = delete;

  /// Registers exactly the endpoints that the list of VMs names.
  void Register() {
    std::vector<jobs::EndpointRecord> records;
    for (const jobs::VmRecord& vm : this->fleet.vms.vms) {
      records.push_back(jobs::SchedulerHarness::Endpoint(vm.endpoint));
      records.back().service = vm.pool;
    }
    this->world.Register(records);
  }

  /// Adds a pool and a queue of its name to what the scheduler serves.
  void AddPool(const std::string& name) {
    jobs::Policy policy = this->world.policy;
    ++policy.version;
    jobs::Queue queue = policy.queues["bookings"];
    queue.name = name;
    queue.service = ServiceId{name};
    policy.queues[name] = queue;
    this->world.scheduler.SetPolicy(policy);
  }

  void Start() {
    this->entry.operators.Start();
    this->entry.directory.Start();
    this->RunUntil(std::chrono::seconds(2),
                   [this] { return this->entry.operators.Policy() != nullptr; });
    Spawn(this->entry.context, [](DriverWorld& self) -> boost::asio::awaitable<void> {
      co_await self.driver->Run(self.entry.context.Now(), self.owner);
    }(*this));
    Spawn(this->entry.context, [](DriverWorld& self) -> boost::asio::awaitable<void> {
      while (!self.is_over) {
        if (self.stores_records) {
          self.Store();
        }
        co_await Pause(self.entry.context, std::chrono::milliseconds(10));
      }
    }(*this));
  }

  /// Stores the driver's records as the owner does.
  void Store() {
    for (const KeyedRecord& record : this->driver->TakeRecords()) {
      if (VmDriver::IsMoveKey(record.key)) {
        this->stored_moves[record.key] = record.value;
      } else {
        this->stored = *jobs::DecodeWaveProgress(*record.value);
      }
    }
    this->driver->OnRecordsStored();
  }

  void RunUntil(Duration timeout, const std::function<bool()>& is_done) {
    const TimePoint end = this->entry.context.Now() + timeout;
    while (this->entry.context.Now() < end && !is_done()) {
      this->io.run_for(std::chrono::milliseconds(10));
    }
  }

  /// The status of the wave that operators read; empty before it is published.
  std::string WaveStatus() {
    const std::vector<KeyedRecord>& statuses = this->fleet.store.At(Topic::kStatus, 0).records;
    return statuses.empty() ? "" : statuses.back().value.value_or("");
  }

  boost::asio::io_context io;
  FakeFleet fleet;
  FakeEntry entry{this->io, this->fleet.store, this->fleet.endpoints, this->fleet.vms, "a"};
  /// Shares the clock of the entry.
  jobs::SchedulerHarness world{{}, 1, SystemClock().Now(), SystemClock().Now()};
  std::shared_ptr<int> owner = std::make_shared<int>(0);
  bool is_over = false;
  bool stores_records = true;
  /// Endpoints that answer nothing.
  std::set<std::string> silent;
  /// What endpoints list as active.
  std::map<std::string, std::vector<jobs::ActiveRun>> runs;
  /// The stored progress of the wave.
  jobs::WaveProgress stored;
  /// The stored moves by key; nothing for one that was removed.
  std::map<std::string, std::optional<std::string>> stored_moves;
  std::unique_ptr<VmDriver> driver;

 private:
  void WakeEndpoint(const std::string& endpoint) override {
    if (this->silent.contains(endpoint)) {
      return;
    }
    const TimePoint now = this->entry.context.Now();
    const jobs::RenewalPlan plan = this->world.scheduler.PlanRenewal(endpoint, now);
    jobs::RenewalReport report;
    report.born_ms = 1;
    report.active = this->runs[endpoint];
    this->world.scheduler.OnRenewalAnswered(plan.order, report, now, now);
  }
  void OnVmRecords() override {}
};

}  // namespace chervilspar::job_entry
