#pragma once

#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/socket_address.h"
#include "chervilspar/base/time.h"
#include "chervilspar/job_entry/decision_options.h"
#include "chervilspar/jobs/progress.h"
#include "chervilspar/telemetry/logger.h"

namespace chervilspar::job_entry {

/// Unchecked settings from flags and environment variables. An empty value means not given.
struct RawJobEntrySettings {
  std::string id;
  std::string zone;
  std::string callers_address;
  std::string health_address;
  std::string health_path;
  std::string peer_address;
  std::string carrier_address;
  std::string metrics_address;
  std::string store_address;
  std::string vm_service_address;
  std::string advice_address;
  std::string key_proof_limit;
  std::string lease_limit;
  std::string order_delay_limit;
  std::string unheard_order_delay_limit;
  std::string cordon_bound;
  std::string job_partitions;
  std::string record_limit;
  std::string append_limit;
  std::string vm_order_pause;
  std::string vm_order_rate;
  std::string vm_move_cost;
  std::string drain_time;
  std::string max_connections;
  std::string max_body_bytes;
  std::string max_pending_bytes;
  std::string cores;
  std::string link_rate;
  std::string progress_form;
  std::string account_shares;
  std::string job_admission;
  std::string preemption;
  std::string preemption_budget;
  std::string stop_limit;
  std::string pool_sizing;
  std::string link_budget;
  std::vector<std::string> seed_peers;
  std::vector<std::string> fleet_zones;
  std::string decisions;
  std::string log_level;

  friend bool operator==(const RawJobEntrySettings&, const RawJobEntrySettings&) = default;
};

/// Default number of partitions in which jobs are stored.
inline constexpr std::uint32_t kDefaultJobPartitions = 4;

/// Checked settings of an entry that accepts, stores and schedules jobs.
struct JobEntrySettings {
  EntryId id;
  ZoneId zone;
  /// Where callers' requests are served.
  SocketAddress callers;
  /// Where the balancer's health checks are answered.
  SocketAddress health;
  std::string health_path;
  /// Where requests of other entries are served.
  SocketAddress peers;
  /// Where the owner sends the orders that this entry forwards. Without it, this entry forwards no
  /// orders, and as owner it sends all orders directly.
  std::optional<SocketAddress> carrier;
  /// An additional address at which metrics are served; without it, only `health` serves them.
  std::optional<SocketAddress> metrics;
  SocketAddress store;
  std::optional<SocketAddress> vm_service;
  std::optional<SocketAddress> advice;
  /// Number of partitions in which jobs are stored, at most eight. All entries must use the same
  /// number, and it must never decrease. More partitions raise throughput, as a slow store accepts
  /// only a few appends per second in each, but the owner has to follow each of them.
  std::uint32_t job_partitions = kDefaultJobPartitions;
  /// The store's limits on the size of one record and of all records of one append, in bytes.
  std::uint32_t record_limit = 256U * 1024;
  std::uint32_t append_limit = 2048U * 1024;
  /// Callers' keys are accepted for this long after the last proof that the operators' rules have
  /// been read to their end.
  Duration key_proof_limit = std::chrono::milliseconds(3500);
  /// The longest lease that endpoints grant.
  Duration lease_limit = std::chrono::seconds(10);
  /// No task may start in a zone once this time has passed since operators cordoned it; not set if
  /// no such bound is guaranteed.
  std::optional<Duration> cordon_bound;
  /// A new owner sends no VM orders for this long, as an order of its predecessor may still take
  /// effect.
  Duration vm_order_pause = std::chrono::seconds(3);
  /// VM orders per second that the platform accepts from all entries together.
  double vm_order_rate = 64;
  /// Maximum time that a shutdown waits for requests in flight.
  Duration drain_time = std::chrono::milliseconds(4500);
  /// Callers' connections open at once; more are answered 503 and closed. With the entry's own
  /// connections they must stay below the process's limit on descriptors.
  std::uint32_t max_connections = 3072;
  /// Largest body of a caller's request, in bytes.
  std::uint32_t max_body_bytes = 256U * 1024;
  /// Bytes of callers' requests that are read and handled at once; the same bound holds for the
  /// requests of other entries, and for the frames from other entries that are not whole yet.
  std::uint32_t max_pending_bytes = 32U * 1024 * 1024;
  /// Processor cores, possibly a fraction of one, that this VM provides. Entries with more are
  /// preferred as owner.
  double cores = 1.0;
  /// Bandwidth of this VM's network link, in megabits per second.
  double link_rate = 1000;
  /// Compact is safe only if no entry whose version reads nothing but rows can become the owner.
  jobs::ProgressForm progress_form = jobs::ProgressForm::kRows;
  /// The `peers` addresses of some other entries, which may be down or removed.
  std::vector<SocketAddress> seed_peers;
  /// The availability zones that may contain endpoints; empty if unknown.
  std::vector<ZoneId> fleet_zones;
  DecisionOptions decisions;
  telemetry::LogLevel log_level = telemetry::LogLevel::kInfo;

  friend bool operator==(const JobEntrySettings&, const JobEntrySettings&) = default;
};

/// The checked settings, or all errors in them.
struct JobEntrySettingsOutcome {
  std::optional<JobEntrySettings> settings;
  std::vector<Reason> faults;
};

/// Checks all settings; the reason for each invalid one names its flag.
JobEntrySettingsOutcome CheckSettings(const RawJobEntrySettings& raw);

}  // namespace chervilspar::job_entry
