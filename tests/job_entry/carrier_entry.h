#pragma once

#include <memory>
#include <string>

#include "job_entry/member_name.h"
#include "job_entry/order_exchange.h"
#include "tests/job_entry/endpoint_table.h"
#include "tests/job_entry/fake_store.h"

namespace chervilspar::job_entry {

/// Passes calls on to a table of endpoints that several carriers share.
class SharedTable final : public EndpointLink {
 public:
  explicit SharedTable(EndpointTable& table) : table(table) {}

  boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder order,
                                                    Duration timeout) override {
    return this->table.RenewLease(std::move(order), timeout);
  }
  boost::asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order,
                                                  Duration timeout) override {
    return this->table.Start(std::move(order), timeout);
  }
  boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order,
                                                  Duration timeout) override {
    return this->table.Stop(std::move(order), timeout);
  }
  boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::ThrottleOrder order,
                                                      Duration timeout) override {
    return this->table.Throttle(std::move(order), timeout);
  }

 private:
  EndpointTable& table;
};

/// An entry that does nothing but forward orders.
class CarrierEntry {
 public:
  CarrierEntry(boost::asio::io_context& io, const SocketAddress& address, const ZoneId& zone,
               EndpointTable& table)
      : settings(SettingsFor(address, zone)),
        context{this->settings, this->links, this->clock, this->metrics, io, this->work},
        carried(this->context, std::make_unique<SharedTable>(table)),
        exchange(this->context, this->carried) {}

  /// Begins to listen, and enters it into the store's list of members for an hour.
  Status Open(FakeStore& store, const std::string& name) {
    const std::string member =
        WithCarrier(name + "@0.500/1", {ToString(*this->settings.carrier), this->settings.zone});
    store.members[member] = {this->clock.Now(), std::chrono::hours(1)};
    return this->exchange.Open(this->links);
  }
  /// Begins to listen as an entry that isn't a member, and whose questions a member collects.
  Status OpenAsCaller(const FakeStore& store) {
    Status opened = this->exchange.Open(this->links);
    if (opened) {
      std::vector<std::string> members;
      for (const auto& [name, member] : store.members) {
        members.push_back(name);
      }
      this->links.owner_questions->SetMembers(members);
    }
    return opened;
  }
  OwnerQuestions& Questions() { return *this->links.owner_questions; }
  OrderExchange& Exchange() { return this->exchange; }
  const Context& GetContext() const { return this->context; }

 private:
  static JobEntrySettings SettingsFor(const SocketAddress& address, const ZoneId& zone) {
    JobEntrySettings settings;
    settings.zone = zone;
    settings.carrier = address;
    settings.decisions.scheduler.budgets_link = true;
    return settings;
  }

  const JobEntrySettings settings;
  telemetry::MetricsRegistry metrics;
  const SystemClock clock;
  telemetry::WorkMeter work{this->clock, this->metrics};
  Links links;
  const Context context;
  CarriedEndpoints carried;
  OrderExchange exchange;
};

}  // namespace chervilspar::job_entry
