#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/telemetry/logger.h"

namespace chervilspar::entry {

/// Settings as given in flags and environment variables, not yet checked. Empty means not given.
struct RawEntrySettings {
  std::string id;
  std::string zone;
  std::string http_address;
  std::string peer_address;
  std::string log_address;
  std::string vm_list_address;
  std::vector<std::string> seed_peers;
  std::vector<std::string> routes;
  std::vector<std::string> operator_key_digests;
  std::string threads;
  std::string max_connections;
  std::string max_header_bytes;
  std::string max_body_bytes;
  std::string read_timeout;
  std::string write_timeout;
  std::string idle_timeout;
  std::string log_timeout;
  std::string peer_timeout;
  std::string heartbeat_interval;
  std::string drain_deadline;
  std::string log_level;
  std::string log_file;
  std::string event_ring_size;
  std::string snapshot_max_age;

  friend bool operator==(const RawEntrySettings&, const RawEntrySettings&) = default;
};

/// Traffic to `from` goes to `to` instead, for tests that put a relay between processes.
struct Route {
  std::string from;
  std::string to;

  friend bool operator==(const Route&, const Route&) = default;
};

/// Checked settings of an entry process.
struct EntrySettings {
  EntryId id;
  ZoneId zone;
  /// "ip:port" for callers and operators.
  std::string http_address;
  /// "ip:port" for other entries.
  std::string peer_address;
  std::string log_address;
  std::string vm_list_address;
  /// Entries to ask for the state while the log is down and no configuration is known.
  std::vector<std::string> seed_peers;
  std::vector<Route> routes;
  /// Keys that may use the operators' calls.
  std::vector<config_log::KeyDigest> operator_key_digests;
  /// Worker threads, and shards of state.
  std::uint32_t threads = 2;
  std::uint32_t max_connections = 2048;
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint32_t max_body_bytes = 1U << 20U;
  /// Longest between two bytes of a request that has begun.
  Duration read_timeout = std::chrono::seconds(10);
  Duration write_timeout = std::chrono::seconds(10);
  /// Longest that a connection stays open without a request.
  Duration idle_timeout = std::chrono::seconds(60);
  /// For one call to the log or VM list, without the time that a read waits for a record.
  Duration log_timeout = std::chrono::seconds(2);
  Duration peer_timeout = std::chrono::seconds(1);
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// Longest that a graceful shutdown waits for requests in flight.
  Duration drain_deadline = std::chrono::seconds(60);
  telemetry::LogLevel log_level = telemetry::LogLevel::kInfo;
  /// Empty for standard error.
  std::string log_file;
  std::uint32_t event_ring_size = 16384;
  /// Write a snapshot at least this often; a quarter of the log's retention.
  Duration snapshot_max_age = std::chrono::hours(1);

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;

  /// The address to connect to in place of `address`.
  std::string RouteTo(const std::string& address) const;
};

/// Checked settings, or all faults at once.
struct SettingsOutcome {
  std::optional<EntrySettings> settings;
  /// Each names the flag in `field`, and the value and what would be right in `message`.
  std::vector<Reason> faults;

  friend bool operator==(const SettingsOutcome&, const SettingsOutcome&) = default;
};

SettingsOutcome CheckSettings(const RawEntrySettings& raw);

}  // namespace chervilspar::entry
