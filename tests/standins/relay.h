#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "control.h"

namespace chervilspar::standins {

/// State of all connections of one group.
struct RelayGroup {
  bool is_cut = false;
  /// What targets send is held back, while what they are sent still arrives.
  bool is_cut_back = false;
  std::int64_t delay_ms = 0;
  /// Connections are numbered; those below this pass nothing on any more, for good.
  std::uint64_t silent_below = 0;
  std::uint64_t next_connection = 0;
  std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> sockets;
};

/// Passes TCP bytes from listening addresses on to targets; each pair belongs to a named group.
/// Switches, each an array of groups: `cut`, `cut_back`, `heal`, `reset`, `silence`, and `delay`
/// with `delay_ms`.
///
/// A cut is silence, as in a real partition: bytes of open connections stay where they are and go
/// on after healing, new connections are not passed on until then. `silence` holds for the
/// connections that are open now, for good, while new ones work.
class Relay final : public Controlled {
 public:
  explicit Relay(boost::asio::io_context& io) : io(io) {}

  void Add(const std::string& group, const SocketAddress& listen, const SocketAddress& target);
  bool Apply(const boost::json::object& switches) override;
  std::optional<std::string> Report(const std::string& name) override;

 private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept(std::shared_ptr<RelayGroup> group, SocketAddress listen,
                                      SocketAddress target);
  static boost::asio::awaitable<void> Connect(std::shared_ptr<RelayGroup> group, Socket from,
                                              SocketAddress target);
  /// One direction of one connection.
  struct Way {
    std::shared_ptr<RelayGroup> group;
    std::shared_ptr<Socket> from;
    std::shared_ptr<Socket> to;
    std::uint64_t connection = 0;
    bool is_back = false;
  };
  static boost::asio::awaitable<void> WaitUntilHealed(const Way& way);
  static boost::asio::awaitable<void> Pump(Way way);
  bool ForEach(const boost::json::object& switches, std::string_view name,
               void (*change)(RelayGroup&, std::int64_t), std::int64_t value);

  boost::asio::io_context& io;
  std::map<std::string, std::shared_ptr<RelayGroup>> groups;
};

}  // namespace chervilspar::standins
