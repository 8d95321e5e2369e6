#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control.h"

namespace chervilspar::standins {

/// One task as it was run; times are wall time in microseconds.
struct LedgerLine {
  std::string task;
  std::string request;
  std::string team;
  std::string service;
  std::string vm;
  std::int64_t start_us = 0;
  /// Zero while it runs.
  std::int64_t end_us = 0;
  std::string outcome = "running";
};

/// When an endpoint became, or ceased to be, able to take tasks.
struct AvailabilityLine {
  std::string vm;
  std::int64_t at_us = 0;
  bool is_available = true;
  /// "start", "drain", "undrain", "reboot", "failure" or "back".
  std::string cause;
};

/// An endpoint: slots, task leases, start-by check, cancel, drain, usage with a lag. What it ran is
/// kept in a ledger over reboots, for the outside observer.
///
/// A task's body may be a JSON object with `work_ms`; it is echoed in the answer.
///
/// Switches: `slow_factor` (percent), `fail_fast`, `silent`, `truncate`, `late_ms`, `down`,
/// `reboot_ms`, `usage_lag_ms`.
class EndpointStandin final : public ReplyHandler {
 public:
  EndpointStandin(boost::asio::io_context& io, std::string vm, SocketAddress address,
                  std::size_t slots, std::size_t connections);

  void Start();
  boost::asio::awaitable<Reply> Handle(http::Request request) override;
  void Apply(const boost::json::object& switches);
  const std::string& Vm() const { return this->vm; }
  const std::vector<LedgerLine>& Ledger() const { return this->ledger; }
  const std::vector<AvailabilityLine>& Availability() const { return this->availability; }
  std::size_t Running() const { return this->running.size(); }
  bool IsDraining() const { return this->draining; }

 private:
  enum class Order { kNone, kStop, kCutByReboot, kCutByFailure };
  struct Task {
    std::string id;
    std::size_t line = 0;
    Order order = Order::kNone;
    std::int64_t slow_percent = 100;
  };

  boost::asio::awaitable<Reply> RunTask(http::Request request);
  /// Works until done, ordered to end, or over its lease; gives the outcome.
  boost::asio::awaitable<std::string> Work(std::shared_ptr<Task> task, std::int64_t work_us,
                                           std::int64_t lease_us);
  /// Ends a running task in the ledger and frees its slot; the first outcome stays.
  void Finish(const Task& task, const std::string& outcome);
  void GiveOrder(Task& task, Order order);
  std::string RefusalOf(const http::Request& request) const;
  Reply Answer(const http::Request& request, const std::string& outcome);
  Reply Act(const http::Request& request);
  Reply Cancel(const std::string& id);
  std::string Usage();
  void TakeDown(Order order);
  void BringBack();
  void Note(bool is_available, std::string cause);
  boost::asio::awaitable<void> Reboot(std::int64_t span_ms);

  boost::asio::io_context& io;
  std::string vm;
  std::size_t slots;
  FakeServer server;
  std::map<std::string, std::shared_ptr<Task>> running;
  std::map<std::string, std::size_t> seen;
  std::vector<LedgerLine> ledger;
  std::vector<AvailabilityLine> availability;
  std::string usage;
  std::int64_t usage_at_us = 0;
  bool draining = false;
  bool is_down = false;
  bool fail_fast = false;
  bool silent = false;
  bool truncate = false;
  std::int64_t slow_factor = 100;
  std::int64_t late_ms = 0;
  std::int64_t usage_lag_ms = 200;
};

/// The endpoints of one process, controlled together: switches go to the endpoint named by `vm`, or
/// to all. Reports: `ledger` and `availability` (JSON lines), `peaks` (most tasks at once by team),
/// `states`.
class EndpointGroup final : public Controlled {
 public:
  void Add(std::unique_ptr<EndpointStandin> endpoint);
  bool Apply(const boost::json::object& switches) override;
  std::optional<std::string> Report(const std::string& name) override;

 private:
  std::string LedgerLines() const;
  std::string AvailabilityLines() const;
  std::string Peaks() const;
  std::string States() const;

  std::vector<std::unique_ptr<EndpointStandin>> endpoints;
};

}  // namespace chervilspar::standins
