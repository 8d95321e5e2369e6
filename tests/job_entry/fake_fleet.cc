#include "tests/job_entry/fake_fleet.h"

#include <boost/asio/ip/tcp.hpp>

#include "chervilspar/base/assert.h"

namespace chervilspar::job_entry {

namespace {

constexpr std::string_view kZonePrefix = "zone:";

Links MakeLinks(FakeStore& store, FakeEndpoints& endpoints, FakeVms& vms) {
  Links links;
  links.store = std::make_unique<FakeStoreLink>(store);
  links.endpoints = std::make_unique<FakeEndpointLink>(endpoints);
  links.records = std::make_unique<FakeRecords>();
  links.vms = std::make_unique<FakeVmLink>(vms);
  return links;
}

JobEntrySettings SettingsFor(const std::string& name, double cores) {
  JobEntrySettings settings;
  settings.id = EntryId{name};
  settings.zone = ZoneId{"z"};
  settings.peers = {"127.0.0.1", 1};
  settings.cores = cores;
  settings.vm_order_pause = std::chrono::milliseconds(100);
  return settings;
}

}  // namespace

Result<jobs::Policy> FakeRecords::ReadPolicy(std::string_view value) const {
  jobs::Policy policy;
  policy.version = std::stoull(std::string(value));
  jobs::Queue queue;
  queue.name = "bookings";
  queue.service = ServiceId{"desk"};
  queue.attempts = 3;
  queue.is_public = true;
  policy.queues["bookings"] = queue;
  if (value.ends_with(":standby")) {
    policy.standby = {ServiceId{"off"}};
  }
  return policy;
}

Result<jobs::Wave> FakeRecords::ReadWave(std::string_view value) const {
  jobs::Wave wave;
  const bool is_second = value.starts_with("2:");
  wave.number = is_second ? 2 : 1;
  value.remove_prefix(is_second ? 2 : 0);
  wave.max_down = 2;
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    wave.vms.push_back(VmId{std::string(value.substr(0, comma))});
    value = comma == std::string_view::npos ? "" : value.substr(comma + 1);
  }
  return wave;
}

Result<ZoneId> FakeRecords::ReadCordon(std::string_view key,
                                       const std::optional<std::string>& value) const {
  if (value == "?") {
    return Reason{ErrorCode::kMalformed, "zone", "is not one"};
  }
  return ZoneId{std::string(key.substr(key.find('/') + 1))};
}

Result<jobs::EndpointRecord> FakeRecords::ReadEndpoint(std::string_view key,
                                                       std::string_view value) const {
  if (value == "?") {
    return Reason{ErrorCode::kMalformed, "endpoint", "is not one"};
  }
  jobs::EndpointRecord record;
  record.id = std::string(key);
  record.service = ServiceId{"desk"};
  const bool has_zone = value.starts_with(kZonePrefix);
  record.zone = ZoneId{has_zone ? std::string(value.substr(kZonePrefix.size())) : "z"};
  record.address = {"127.0.0.1", 2};
  record.born_ms = 1;
  record.capacity = {8000, 8000, 0};
  return record;
}

FakeEntry::FakeEntry(boost::asio::io_context& io, FakeStore& store, FakeEndpoints& endpoints,
                     FakeVms& vms, const std::string& name, double cores)
    : settings(SettingsFor(name, cores)),
      links(MakeLinks(store, endpoints, vms)),
      context{this->settings, this->links, this->clock, this->metrics, io, this->work},
      store(static_cast<FakeStoreLink*>(this->links.store.get())),
      endpoints(static_cast<FakeEndpointLink*>(this->links.endpoints.get())),
      operators(this->context),
      directory(this->context),
      writer(std::make_shared<JobWriter>(this->context)),
      election(std::make_shared<Election>(this->context, this->operators, this->directory)) {}

void FakeEntry::EnableCarrying(std::uint16_t port) {
  this->settings.carrier = SocketAddress{"127.0.0.1", port};
  this->settings.decisions.carriers.endpoints_per_core = 0;
  auto carried =
      std::make_unique<CarriedEndpoints>(this->context, std::move(this->links.endpoints));
  this->exchange = std::make_unique<OrderExchange>(this->context, *carried);
  this->links.endpoints = std::move(carried);
  const Status opened = this->exchange->Open(this->links);
  CHERVILSPAR_ASSERT(opened.HasValue());
  this->election = std::make_shared<Election>(this->context, this->operators, this->directory);
}

void FakeEntry::Start() {
  this->operators.Start();
  this->directory.Start();
  this->election->Start();
}

void FakeEntry::Disconnect() {
  this->store->is_disconnected = true;
  this->endpoints->is_disconnected = true;
  if (this->exchange != nullptr) {
    this->exchange->Close();
  }
}

OwnerTerm::Answer FakeEntry::Find(const jobs::JobId& id) const {
  const std::shared_ptr<OwnerTerm> term = this->election->Term();
  return term == nullptr ? OwnerTerm::Answer{} : term->Find(id);
}

FakeFleet::FakeFleet(boost::asio::io_context& io, int endpoint_count)
    : io(io), store(io), endpoints(io) {
  this->store.At(Topic::kOperators, 0).records.push_back({"rules", "1"});
  for (int i = 0; i < endpoint_count; ++i) {
    this->store.At(Topic::kEndpoints, 0).records.push_back({"i" + std::to_string(i), "x"});
  }
}

std::uint16_t FreePort(boost::asio::io_context& io) {
  using boost::asio::ip::tcp;
  const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

void RunUntil(boost::asio::io_context& io, Duration timeout, const std::function<bool()>& is_over) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + timeout;
  while (clock.Now() < end && !is_over()) {
    io.run_for(std::chrono::milliseconds(10));
  }
}

bool IsServing(const FakeEntry& entry) {
  const std::shared_ptr<OwnerTerm> term = entry.election->Term();
  return term != nullptr && term->IsServing();
}

FakeEntry& FakeFleet::AddEntry(const std::string& name, double cores) {
  this->entries.push_back(
      std::make_unique<FakeEntry>(this->io, this->store, this->endpoints, this->vms, name, cores));
  this->entries.back()->Start();
  return *this->entries.back();
}

FakeEntry& FakeFleet::AddCarrier(const std::string& name, std::uint16_t port) {
  this->entries.push_back(
      std::make_unique<FakeEntry>(this->io, this->store, this->endpoints, this->vms, name));
  this->entries.back()->EnableCarrying(port);
  this->entries.back()->Start();
  return *this->entries.back();
}

jobs::Job FakeFleet::MakeJob(std::uint64_t number, std::uint32_t tasks) {
  jobs::Job job;
  job.id = jobs::JobId{number};
  job.queue = "bookings";
  job.service = ServiceId{"desk"};
  job.payload = "x";
  jobs::Step step;
  step.count = tasks;
  step.need = {500, 10, 0};
  step.estimate_ms = 150;
  job.steps = {step};
  return job;
}

}  // namespace chervilspar::job_entry
