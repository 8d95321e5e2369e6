#include "tests/soak/soak_fleet.h"

#include <boost/json.hpp>

#include "chervilspar/base/assert.h"

namespace chervilspar::soak {

namespace json = boost::json;

namespace {

constexpr std::int64_t kEndpointMemoryMb = 8000;
/// The store's limits with `SoakSizes::has_changes`: the progress of most jobs takes several
/// records.
constexpr std::size_t kSmallRecordBytes = 1024;
constexpr std::size_t kSmallAppendBytes = 16384;
/// Of so many tasks, the first run of one fails.
constexpr std::uint32_t kTasksPerFailure = 5;

bool FailsRun(const jobs::TaskKey& task, std::uint64_t run) {
  const std::uint64_t place = task.job.number + task.occurrence + task.step + task.index;
  return run == 1 && place % kTasksPerFailure == 0;
}

}  // namespace

SoakFleet::SoakFleet(boost::asio::io_context& io, const SoakSizes& sizes, std::string binary,
                     std::string log_dir)
    : io(io),
      sizes(sizes),
      store(io),
      store_server(this->store),
      endpoints(io),
      binary(std::move(binary)),
      log_dir(std::move(log_dir)),
      relay(io) {
  this->endpoints.may_rerun_after_unreported_end = true;
  if (sizes.has_changes) {
    this->endpoints.fails_run = FailsRun;
    this->store.max_record_bytes = kSmallRecordBytes;
    this->store.max_append_bytes = kSmallAppendBytes;
  }
  const SocketAddress store_address = this->ports.Next();
  this->Listen(store_address, this->store_server);
  for (int i = 0; i < sizes.entries; ++i) {
    EntryPlace place{"entry-" + std::to_string(i), this->ports.Next(), this->ports.Next(),
                     this->ports.Next(),           this->ports.Next(), this->ports.Next()};
    this->relay.Add(place.name, place.store, store_address);
    this->places.push_back(std::move(place));
    this->processes.emplace_back();
  }
  for (std::size_t i = 0; i < static_cast<std::size_t>(sizes.endpoints); ++i) {
    const SocketAddress address = this->ports.Next();
    this->worker_relays.push_back(this->ports.Next());
    this->workers.push_back(
        std::make_unique<WorkerServer>(this->endpoints, this->asked, EndpointName(i)));
    this->Listen(address, *this->workers.back());
    this->relay.Add(EndpointName(i), this->worker_relays.back(), address);
    this->endpoints.endpoints[EndpointName(i)];
    this->Register(i);
  }
}

void SoakFleet::Listen(const SocketAddress& address, http::Handler& handler) {
  auto server = http::Server::Listen({&this->io}, address, {}, handler);
  CHERVILSPAR_ASSERT(server.HasValue());
  this->servers.push_back(std::move(server).Value());
}

std::string SoakFleet::EndpointName(std::size_t endpoint) {
  return "i-" + std::to_string(endpoint);
}

void SoakFleet::Register(std::size_t endpoint) {
  const std::string name = EndpointName(endpoint);
  const json::object record{
      {"service", "desk"},
      {"address", ToString(this->worker_relays[endpoint])},
      {"zone", "z"},
      {"phase", "ready"},
      {"born", this->endpoints.endpoints[name].born_ms},
      {"capacity", {{"cpu", this->sizes.endpoint_cpu}, {"mem_mb", kEndpointMemoryMb}}},
      {"labels", json::array{"kind", "rack"}}};
  this->store.At(job_entry::Topic::kEndpoints, 0)
      .records.push_back({name, json::serialize(record)});
}

void SoakFleet::RestartEndpoint(std::size_t endpoint) {
  this->endpoints.Advance();
  this->endpoints.endpoints[EndpointName(endpoint)].Restart();
  // What was sent to the former process never reaches the new one.
  this->Switch("reset", EndpointName(endpoint));
  this->Register(endpoint);
}

void SoakFleet::SetQueue(bool has_queue) {
  this->has_queue = has_queue;
  this->Publish(this->keys);
}

void SoakFleet::Publish(const std::vector<std::string>& keys) {
  this->keys = keys;
  json::array api_keys(keys.begin(), keys.end());
  json::array routes;
  if (this->has_queue) {
    routes.push_back(json::object{{"name", "bookings"},
                                  {"host", "127.0.0.1"},
                                  {"path_prefix", "/bookings/"},
                                  {"service", "desk"},
                                  {"attempts", 3},
                                  {"slack_factor", 3.0},
                                  {"target_runtime_ms", 2000}});
  }
  const json::object rules{
      {"version", ++this->version},
      {"routes", std::move(routes)},
      {"tenants", json::array{{{"name", "team"}, {"weight", 1}, {"api_keys", api_keys}}}},
      {"services", json::array{{{"name", "desk"}}}}};
  this->store.At(job_entry::Topic::kOperators, 0)
      .records.push_back({"config", json::serialize(rules)});
}

bool SoakFleet::IsRunning(std::size_t entry) {
  return this->processes[entry] != nullptr && this->processes[entry]->IsRunning();
}

void SoakFleet::StartEntry(std::size_t entry) {
  if (this->IsRunning(entry)) {
    return;
  }
  const EntryPlace& place = this->places[entry];
  const std::string log = this->log_dir + "/" + place.name + ".log";
  std::vector<std::string> command{this->binary,
                                   "job-entry",
                                   "--id",
                                   place.name,
                                   "--zone",
                                   "z",
                                   "--callers-address",
                                   ToString(place.callers),
                                   "--health-address",
                                   ToString(place.health),
                                   "--peer-address",
                                   ToString(place.peers),
                                   "--store-address",
                                   ToString(place.store)};
  if (this->sizes.are_orders_carried) {
    command.insert(command.end(), {"--carrier-address", ToString(place.carrier), "--decisions",
                                   "carriers.endpoints_per_core=0"});
  }
  if (this->sizes.has_changes) {
    command.insert(command.end(), {"--record-limit", std::to_string(kSmallRecordBytes),
                                   "--append-limit", std::to_string(kSmallAppendBytes)});
  }
  this->processes[entry] = std::make_unique<scenario::ChildProcess>(
      std::move(command), scenario::OutputFiles{log, log}, this->sizes.entry_environment);
}

void SoakFleet::Switch(const std::string& what, const std::string& group, std::int64_t delay_ms) {
  const bool is_known = this->relay.Apply({{what, json::array{group}}, {"delay_ms", delay_ms}});
  CHERVILSPAR_ASSERT(is_known);
}

}  // namespace chervilspar::soak
