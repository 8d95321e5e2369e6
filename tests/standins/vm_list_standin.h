#pragma once

#include <deque>
#include <map>
#include <string>

#include "chervilspar/http/client.h"

#include "control.h"

namespace chervilspar::standins {

/// The platform's VM list. A reboot is carried out by telling the endpoint's process over its
/// control address; each step id once. Switches: `outage`, `lose_answers`, `lag_ms`, `reboot_ms`,
/// `fail_reboots`; `vm` with `state` (`live`, `leaving`, `failed`, `gone`); `odd` (`backwards`,
/// `repeat`, `unknown`, `none`).
class VmListStandin final : public ReplyHandler, public Controlled {
 public:
  explicit VmListStandin(boost::asio::io_context& io)
      : io(io), client(http::ClientLimits{}, http::Routes{}) {}

  /// `control` is where the VM's endpoint takes switches.
  void Add(const std::string& vm, const std::string& address, const SocketAddress& control);

  boost::asio::awaitable<Reply> Handle(http::Request request) override;
  bool Apply(const boost::json::object& switches) override;
  std::optional<std::string> Report(const std::string& name) override;

 private:
  struct Vm {
    std::string address;
    SocketAddress control;
    std::string state = "live";
    std::int64_t boot = 1;
    std::map<std::string, int> steps;
    std::string last_step;
  };
  struct Snapshot {
    std::int64_t at_us = 0;
    std::string body;
  };

  Reply Reboot(const std::string& name, const std::string& step);
  boost::asio::awaitable<void> CarryOutReboot(std::string name, std::string step);
  std::string Describe(const std::string& name) const;
  /// Remembers the list as it is now; answers are taken from the past.
  void Changed();
  std::string LaggingList() const;
  std::string Render(std::int64_t shown_sequence) const;

  boost::asio::io_context& io;
  http::Client client;
  std::map<std::string, Vm> vms;
  std::deque<Snapshot> past;
  std::int64_t sequence = 0;
  bool outage = false;
  bool lose_answers = false;
  bool fail_reboots = false;
  std::int64_t lag_ms = 200;
  std::int64_t reboot_ms = 500;
  std::string odd = "none";
};

}  // namespace chervilspar::standins
