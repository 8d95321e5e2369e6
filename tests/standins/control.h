#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include "chervilspar/base/time.h"

#include "fake_server.h"

namespace chervilspar::standins {

/// Switches of a stand-in, thrown by the scenario runner: `POST /control` with a JSON object, and
/// `GET /control/...` for what an outside observer wants to know.
class Controlled {
 public:
  virtual ~Controlled() = default;
  /// Applies the switches; false when one of them is unknown.
  virtual bool Apply(const boost::json::object& switches) = 0;
  /// The answer to `GET /control/{name}`.
  virtual std::optional<std::string> Report(const std::string& name) = 0;
};

/// Answers the control address of a stand-in.
class ControlHandler final : public ReplyHandler {
 public:
  explicit ControlHandler(Controlled& target) : target(target) {}
  boost::asio::awaitable<Reply> Handle(http::Request request) override;

 private:
  Controlled& target;
};

/// Waits on the calling coroutine's executor.
boost::asio::awaitable<void> Sleep(Duration span);

/// A whole number from a switch or a default.
std::int64_t IntegerOr(const boost::json::object& object, std::string_view name,
                       std::int64_t fallback);
/// A truth value from a switch or a default.
bool FlagOr(const boost::json::object& object, std::string_view name, bool fallback);
/// A text from a switch or a default.
std::string TextOr(const boost::json::object& object, std::string_view name,
                   const std::string& fallback);

std::int64_t UnixMicros();

}  // namespace chervilspar::standins
