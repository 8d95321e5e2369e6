#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/fleet/child_process.h"
#include "bench/fleet/free_ports.h"
#include "tests/soak/store_server.h"
#include "tests/soak/worker_server.h"
#include "tests/standins/relay.h"

namespace chervilspar::soak {

/// The addresses of one entry process.
struct EntryPlace {
  std::string name;
  SocketAddress callers;
  SocketAddress health;
  SocketAddress peers;
  /// The store, through this entry's own relay.
  SocketAddress store;
  SocketAddress carrier;
};

struct SoakSizes {
  int entries = 4;
  int endpoints = 6;
  /// Whether other entries carry the owner's orders to the endpoints.
  bool are_orders_carried = false;
  /// Of each endpoint, in thousandths of a core; the callers' jobs need some 9,500 in all.
  std::int64_t endpoint_cpu = 8000;
  /// Jobs repeat and runs fail, endpoints hang, the queue is removed for some time, and the store
  /// takes small records only.
  bool has_changes = false;
  /// NAME=VALUE additions to the entries' environment.
  std::vector<std::string> entry_environment;

  friend bool operator==(const SoakSizes&, const SoakSizes&) = default;
};

/// Entries as real processes, and the store and the endpoints that they use in this one. All bytes
/// between them pass through relays, one for each entry's way to the store and one for each
/// endpoint.
class SoakFleet {
 public:
  /// `binary` is the program; logs of entry processes go to `log_dir`.
  SoakFleet(boost::asio::io_context& io, const SoakSizes& sizes, std::string binary,
            std::string log_dir);

  /// Starts the process unless it runs.
  void StartEntry(std::size_t entry);
  scenario::ChildProcess* Process(std::size_t entry) { return this->processes[entry].get(); }
  bool IsRunning(std::size_t entry);
  /// Switches of the relays, such as "cut", for an entry's way to the store or for an endpoint.
  void Switch(const std::string& what, const std::string& group, std::int64_t delay_ms = 0);
  std::string StoreGroup(std::size_t entry) const { return this->places[entry].name; }
  static std::string EndpointName(std::size_t endpoint);
  /// The endpoint's process is gone and another one is there at once.
  void RestartEndpoint(std::size_t endpoint);
  /// Writes the endpoint's registration.
  void Register(std::size_t endpoint);
  /// Writes the operators' rules with these callers' keys, as the next version.
  void Publish(const std::vector<std::string>& keys);
  /// Publishes the rules once more, with or without the queue.
  void SetQueue(bool has_queue);

  boost::asio::io_context& io;
  const SoakSizes sizes;
  job_entry::FakeStore store;
  StoreServer store_server;
  job_entry::FakeEndpoints endpoints;
  StepCounts asked;
  std::vector<EntryPlace> places;

 private:
  void Listen(const SocketAddress& address, http::Handler& handler);

  const std::string binary;
  const std::string log_dir;
  scenario::FreePorts ports;
  standins::Relay relay;
  std::vector<std::unique_ptr<WorkerServer>> workers;
  std::vector<SocketAddress> worker_relays;
  std::vector<std::unique_ptr<http::Server>> servers;
  std::vector<std::unique_ptr<scenario::ChildProcess>> processes;
  int version = 0;
  std::vector<std::string> keys;
  bool has_queue = true;
};

}  // namespace chervilspar::soak
