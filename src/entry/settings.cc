#include "chervilspar/entry/settings.h"

#include <charconv>

#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/inventory/document.h"

namespace chervilspar::entry {

namespace {

constexpr std::size_t kMaxNameLength = 64;

/// The values that a whole number may take.
struct Range {
  std::uint32_t min;
  std::uint32_t max;
};

/// The spans that a duration may take.
struct DurationRange {
  Duration min;
  Duration max;
};

constexpr Range kThreads{1, 256};
constexpr Range kConnections{1, 65535};
constexpr Range kHeaderBytes{1024, 1U << 20U};
constexpr Range kBodyBytes{1024, 64U << 20U};
constexpr Range kEventRingSize{16, 1U << 20U};
constexpr DurationRange kIoTimeout{std::chrono::milliseconds(100), std::chrono::minutes(10)};
constexpr DurationRange kCallTimeout{std::chrono::milliseconds(50), std::chrono::minutes(1)};
/// A heartbeat slower than a second couldn't keep "in force within seconds".
constexpr DurationRange kHeartbeat{std::chrono::milliseconds(20), std::chrono::seconds(1)};
constexpr DurationRange kDrainDeadline{std::chrono::seconds(1), std::chrono::hours(24)};
constexpr DurationRange kSnapshotAge{std::chrono::seconds(10), std::chrono::hours(24)};

/// Checks one flag after another and keeps all faults.
class SettingsChecker {
 public:
  std::string Name(const char* flag, const std::string& value) {
    constexpr std::string_view kAllowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    const bool is_name = !value.empty() && value.size() <= kMaxNameLength &&
                         value.find_first_not_of(kAllowed) == std::string::npos;
    if (!is_name) {
      this->Add(flag, value, "should be a name of 1 to 64 letters, digits, '.', '_' or '-'");
    }
    return value;
  }

  std::string Address(const char* flag, const std::string& value) {
    if (!inventory::CheckAddress(value)) {
      this->Add(flag, value, "should be an endpoint, such as 10.0.0.1:8080 or [fd00::1]:8080");
    }
    return value;
  }

  std::uint32_t Number(const char* flag, const std::string& value, std::uint32_t otherwise,
                       Range range) {
    if (value.empty()) {
      return otherwise;
    }
    std::uint32_t number = 0;
    const char* end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc{} || rest != end || number < range.min || number > range.max) {
      this->Add(flag, value,
                "should be a whole number from " + std::to_string(range.min) + " to " +
                    std::to_string(range.max));
      return otherwise;
    }
    return number;
  }

  Duration Span(const char* flag, const std::string& value, Duration otherwise,
                DurationRange range) {
    if (value.empty()) {
      return otherwise;
    }
    const Result<Duration> duration = inventory::ParseDuration(value);
    if (!duration || *duration < range.min || *duration > range.max) {
      this->Add(flag, value,
                "should be a span of time from " + inventory::FormatDuration(range.min) + " to " +
                    inventory::FormatDuration(range.max) + ", such as 90s");
      return otherwise;
    }
    return *duration;
  }

  Route ReadRoute(const std::string& value) {
    const std::size_t equals = value.find('=');
    Route route;
    route.from = value.substr(0, equals);
    route.to = equals == std::string::npos ? "" : value.substr(equals + 1);
    if (!inventory::CheckAddress(route.from) || !inventory::CheckAddress(route.to)) {
      this->Add("--route", value, "should be FROM=TO, such as 127.0.0.1:7001=127.0.0.1:9001");
    }
    return route;
  }

  config_log::KeyDigest Digest(const std::string& value) {
    const Result<config_log::KeyDigest> digest = config_log::ParseKeyDigest(value);
    if (!digest) {
      // The value isn't shown: someone may have given the key itself.
      this->faults.push_back(Reason{ErrorCode::kInvalidArgument, "--operator-key-digest",
                                    "the value given should be 64 lower-case hex digits, the "
                                    "SHA-256 of the operator's key; it has " +
                                        std::to_string(value.size()) + " characters"});
      return config_log::KeyDigest{};
    }
    return *digest;
  }

  telemetry::LogLevel Level(const std::string& value, telemetry::LogLevel otherwise) {
    if (value.empty()) {
      return otherwise;
    }
    const std::optional<telemetry::LogLevel> level = telemetry::LogLevelFromString(value);
    if (!level) {
      this->Add("--log-level", value, "should be debug, info, warning or error");
    }
    return level.value_or(otherwise);
  }

  void Add(const char* flag, const std::string& value, const std::string& what) {
    const std::string shown = value.empty() ? "the value is missing; it " : '"' + value + "\" ";
    this->faults.push_back(Reason{ErrorCode::kInvalidArgument, flag, shown + what});
  }

  std::vector<Reason> faults;
};

void CheckAddresses(const RawEntrySettings& raw, SettingsChecker& check, EntrySettings& settings) {
  settings.http_address = check.Address("--http-address", raw.http_address);
  settings.peer_address = check.Address("--peer-address", raw.peer_address);
  settings.log_address = check.Address("--log-address", raw.log_address);
  settings.vm_list_address = check.Address("--vm-list-address", raw.vm_list_address);
  if (!raw.http_address.empty() && raw.http_address == raw.peer_address) {
    check.Add("--peer-address", raw.peer_address, "should differ from --http-address");
  }
  for (const std::string& peer : raw.seed_peers) {
    settings.seed_peers.push_back(check.Address("--seed-peer", peer));
  }
  for (const std::string& route : raw.routes) {
    settings.routes.push_back(check.ReadRoute(route));
  }
}

void CheckLimits(const RawEntrySettings& raw, SettingsChecker& check, EntrySettings& settings) {
  settings.threads = check.Number("--threads", raw.threads, settings.threads, kThreads);
  settings.max_connections = check.Number("--max-connections", raw.max_connections,
                                          settings.max_connections, kConnections);
  settings.max_header_bytes = check.Number("--max-header-bytes", raw.max_header_bytes,
                                           settings.max_header_bytes, kHeaderBytes);
  settings.max_body_bytes =
      check.Number("--max-body-bytes", raw.max_body_bytes, settings.max_body_bytes, kBodyBytes);
  settings.event_ring_size = check.Number("--event-ring-size", raw.event_ring_size,
                                          settings.event_ring_size, kEventRingSize);
}

void CheckTimes(const RawEntrySettings& raw, SettingsChecker& check, EntrySettings& settings) {
  settings.read_timeout =
      check.Span("--read-timeout", raw.read_timeout, settings.read_timeout, kIoTimeout);
  settings.write_timeout =
      check.Span("--write-timeout", raw.write_timeout, settings.write_timeout, kIoTimeout);
  settings.idle_timeout =
      check.Span("--idle-timeout", raw.idle_timeout, settings.idle_timeout, kIoTimeout);
  settings.log_timeout =
      check.Span("--log-timeout", raw.log_timeout, settings.log_timeout, kCallTimeout);
  settings.peer_timeout =
      check.Span("--peer-timeout", raw.peer_timeout, settings.peer_timeout, kCallTimeout);
  settings.heartbeat_interval = check.Span("--heartbeat-interval", raw.heartbeat_interval,
                                           settings.heartbeat_interval, kHeartbeat);
  settings.drain_deadline =
      check.Span("--drain-deadline", raw.drain_deadline, settings.drain_deadline, kDrainDeadline);
  settings.snapshot_max_age = check.Span("--snapshot-max-age", raw.snapshot_max_age,
                                         settings.snapshot_max_age, kSnapshotAge);
}

}  // namespace

std::string EntrySettings::RouteTo(const std::string& address) const {
  for (const Route& route : this->routes) {
    if (route.from == address) {
      return route.to;
    }
  }
  return address;
}

SettingsOutcome CheckSettings(const RawEntrySettings& raw) {
  SettingsChecker check;
  EntrySettings settings;
  settings.id.text = check.Name("--id", raw.id);
  settings.zone.text = check.Name("--zone", raw.zone);
  CheckAddresses(raw, check, settings);
  if (raw.operator_key_digests.empty()) {
    check.Add("--operator-key-digest", "",
              "should be the SHA-256 of an operator's key in hex, or nobody could publish");
  }
  for (const std::string& digest : raw.operator_key_digests) {
    settings.operator_key_digests.push_back(check.Digest(digest));
  }
  CheckLimits(raw, check, settings);
  CheckTimes(raw, check, settings);
  settings.log_level = check.Level(raw.log_level, settings.log_level);
  settings.log_file = raw.log_file;
  if (!check.faults.empty()) {
    return SettingsOutcome{std::nullopt, std::move(check.faults)};
  }
  return SettingsOutcome{std::move(settings), {}};
}

}  // namespace chervilspar::entry
