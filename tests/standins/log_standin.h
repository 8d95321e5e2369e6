#pragma once

#include <deque>
#include <string>

#include "control.h"

namespace chervilspar::standins {

/// The platform's log in memory. Switches: `outage`, `lose_answers` (appends take effect but are
/// not answered), `slow_ms`, `retain` (records kept).
class LogStandin final : public ReplyHandler, public Controlled {
 public:
  boost::asio::awaitable<Reply> Handle(http::Request request) override;
  bool Apply(const boost::json::object& switches) override;
  std::optional<std::string> Report(const std::string& name) override;

 private:
  Reply Append(std::string data);
  boost::asio::awaitable<Reply> Read(std::string target);
  std::int64_t Next() const;
  std::string Bounds() const;
  void Trim();

  std::deque<std::string> records;
  std::int64_t first = 0;
  bool outage = false;
  bool lose_answers = false;
  std::int64_t slow_ms = 0;
  std::int64_t retain = 1'000'000;
};

}  // namespace chervilspar::standins
