#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "endpoint_standin.h"
#include "log_standin.h"
#include "relay.h"
#include "vm_list_standin.h"

namespace chervilspar::standins {
namespace {

constexpr std::size_t kPlatformConnections = 1000;
constexpr std::size_t kSlots = 8;
constexpr std::size_t kEndpointConnections = 64;

SocketAddress AddressOrExit(const std::string& text) {
  const Result<SocketAddress> address = ParseSocketAddress(text);
  if (!address) {
    std::fprintf(stderr, "%s\n", address.LastReason().message.c_str());
    std::exit(2);
  }
  return *address;
}

/// "left=right" cut at the first equals sign.
std::pair<std::string, std::string> SplitOrExit(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    std::fprintf(stderr, "'%s' has no '='\n", text.c_str());
    std::exit(2);
  }
  return {text.substr(0, equals), text.substr(equals + 1)};
}

struct Flags {
  std::string address;
  std::string control;
  std::size_t slots = kSlots;
  std::size_t connections = kEndpointConnections;
  std::vector<std::string> items;
};

/// Serves the control address and runs until SIGTERM or SIGINT.
void RunWithControl(boost::asio::io_context& io, Controlled& target, const Flags& flags) {
  ControlHandler handler(target);
  FakeServer server(io, AddressOrExit(flags.control), handler, kPlatformConnections);
  server.Start();
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

void RunLog(const Flags& flags) {
  LogStandin log;
  boost::asio::io_context io;
  FakeServer server(io, AddressOrExit(flags.address), log, kPlatformConnections);
  server.Start();
  RunWithControl(io, log, flags);
}

void RunVmList(const Flags& flags) {
  boost::asio::io_context io;
  VmListStandin list(io);
  for (const std::string& item : flags.items) {
    const auto [vm, addresses] = SplitOrExit(item);
    const auto [address, control] = SplitOrExit(addresses);
    list.Add(vm, address, AddressOrExit(control));
  }
  FakeServer server(io, AddressOrExit(flags.address), list, kPlatformConnections);
  server.Start();
  RunWithControl(io, list, flags);
}

void RunEndpoints(const Flags& flags) {
  boost::asio::io_context io;
  EndpointGroup group;
  for (const std::string& item : flags.items) {
    const auto [vm, address] = SplitOrExit(item);
    auto endpoint = std::make_unique<EndpointStandin>(io, vm, AddressOrExit(address), flags.slots,
                                                      flags.connections);
    endpoint->Start();
    group.Add(std::move(endpoint));
  }
  RunWithControl(io, group, flags);
}

void RunRelay(const Flags& flags) {
  boost::asio::io_context io;
  Relay relay(io);
  for (const std::string& item : flags.items) {
    const auto [group, pair] = SplitOrExit(item);
    const auto [listen, target] = SplitOrExit(pair);
    relay.Add(group, AddressOrExit(listen), AddressOrExit(target));
  }
  RunWithControl(io, relay, flags);
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins of the platform and of endpoints, for tests.");
  app.require_subcommand(1);
  Flags flags;
  const auto add = [&](const std::string& name, const std::string& about, auto run) {
    CLI::App* command = app.add_subcommand(name, about);
    command->add_option("--control", flags.control, "address that takes switches")->required();
    command->callback([&flags, run] { run(flags); });
    return command;
  };
  CLI::App* log = add("log", "the log service", RunLog);
  log->add_option("--address", flags.address)->required();
  CLI::App* list = add("vmlist", "the VM list", RunVmList);
  list->add_option("--address", flags.address)->required();
  list->add_option("--vm", flags.items, "VM=ADDRESS=CONTROL, repeatable");
  for (const char* name : {"endpoint", "endpoints"}) {
    CLI::App* endpoints = add(name, "one or more endpoints in one process", RunEndpoints);
    endpoints->add_option("--endpoint", flags.items, "VM=ADDRESS, repeatable")->required();
    endpoints->add_option("--slots", flags.slots);
    endpoints->add_option("--connections", flags.connections);
  }
  CLI::App* relay = add("relay", "TCP relays that can be cut", RunRelay);
  relay->add_option("--pair", flags.items, "GROUP=LISTEN=TARGET, repeatable")->required();
  CLI11_PARSE(app, argc, argv);
  return 0;
}

}  // namespace
}  // namespace chervilspar::standins

int main(int argc, char** argv) { return chervilspar::standins::Main(argc, argv); }
