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

/// Settings as given in flags and environment variables, not yet checked. Empty means not given.
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
  std::string cordon_bound;
  std::string job_partitions;
  std::string vm_order_pause;
  std::string vm_order_rate;
  std::string vm_service_compares_tokens;
  std::string drain_time;
  std::string cores;
  std::string link_rate;
  std::string progress_form;
  std::vector<std::string> seed_peers;
  std::vector<std::string> fleet_zones;
  std::string decisions;
  std::string log_level;

  friend bool operator==(const RawJobEntrySettings&, const RawJobEntrySettings&) = default;
};

/// In how many partitions jobs are stored unless the settings say otherwise.
inline constexpr std::uint32_t kDefaultJobPartitions = 4;

/// Checked settings of an entry that takes, stores and schedules jobs.
struct JobEntrySettings {
  EntryId id;
  ZoneId zone;
  SocketAddress callers;
  SocketAddress health;
  std::string health_path;
  /// For other entries.
  SocketAddress peers;
  /// Where orders are taken that this entry carries for the owner; without it none are carried, and
  /// as owner it gives all orders itself.
  std::optional<SocketAddress> carrier;
  /// Where the metrics are served; none when empty.
  std::optional<SocketAddress> metrics;
  SocketAddress store;
  std::optional<SocketAddress> vm_service;
  std::optional<SocketAddress> advice;
  /// In how many partitions jobs are stored, at most eight; the same at all entries, and never
  /// fewer than before. A slow store takes a few appends a second in each, and the owner follows
  /// each.
  std::uint32_t job_partitions = kDefaultJobPartitions;
  /// Callers' keys are trusted for this long after the last sign that the operators' rules are
  /// known to their end.
  Duration key_proof_limit = std::chrono::milliseconds(3500);
  /// The longest lease that endpoints give.
  Duration lease_limit = std::chrono::seconds(10);
  /// So long after operators have cordoned a zone, no task may start there; nothing where no such
  /// bound is promised.
  std::optional<Duration> cordon_bound;
  /// After a take-over, no order is given for a VM for this long, as the predecessor may just have
  /// given one.
  Duration vm_order_pause = std::chrono::seconds(3);
  /// Orders for VMs a second that the platform takes from all entries.
  double vm_order_rate = 64;
  /// The service for VMs refuses an order whose token is lower than one that it has seen.
  bool vm_service_compares_tokens = false;
  /// Longest that a shutdown waits for requests in flight.
  Duration drain_time = std::chrono::milliseconds(4500);
  /// The part of the processor that this VM gives. Entries with more go first as owner.
  double cores = 1.0;
  /// Megabits a second of this VM's link.
  double link_rate = 1000;
  /// Compact only where no entry of a version that reads rows only can become the owner.
  jobs::ProgressForm progress_form = jobs::ProgressForm::kRows;
  /// Where some other entries answer entries; they may be down or gone.
  std::vector<SocketAddress> seed_peers;
  /// The availability zones in which there may be endpoints; empty when that isn't known.
  std::vector<ZoneId> fleet_zones;
  DecisionOptions decisions;
  telemetry::LogLevel log_level = telemetry::LogLevel::kInfo;

  friend bool operator==(const JobEntrySettings&, const JobEntrySettings&) = default;
};

/// Checked settings, or all faults at once.
struct JobEntrySettingsOutcome {
  std::optional<JobEntrySettings> settings;
  std::vector<Reason> faults;
};

JobEntrySettingsOutcome CheckSettings(const RawJobEntrySettings& raw);

}  // namespace chervilspar::job_entry
