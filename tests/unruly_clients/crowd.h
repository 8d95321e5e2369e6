#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "chervilspar/base/socket_address.h"

namespace chervilspar::unruly_clients {

/// Clients that all do the same, each on one connection.
struct Crowd {
  std::size_t clients = 0;
  /// What each sends first.
  std::string begin;
  /// What follows until a client has sent `max_bytes`.
  std::string more;
  std::size_t max_bytes = 0;
  /// Whether each byte is sent alone.
  bool sends_single_bytes = false;
  /// Whether `begin` goes in one piece all the same.
  bool sends_begin_whole = false;
  /// Whether answers are read. A client that reads none stays until the crowd leaves.
  bool reads_answers = true;

  friend bool operator==(const Crowd&, const Crowd&) = default;
};

/// Lets all clients work at once until each has sent all it may or has been refused, keeps the
/// connections that are left for a moment, and closes them. Ends early when a few seconds have
/// passed or `is_enough` says so.
void Play(const Crowd& crowd, const SocketAddress& address, const std::function<bool()>& is_enough);

}  // namespace chervilspar::unruly_clients
