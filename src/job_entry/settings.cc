#include "chervilspar/job_entry/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "chervilspar/inventory/document.h"

namespace chervilspar::job_entry {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr Duration kMinDuration = std::chrono::milliseconds(100);
constexpr Duration kMaxDuration = std::chrono::minutes(10);
constexpr double kMinCores = 0.01;
constexpr double kMaxCores = 1024;
constexpr std::uint32_t kMaxPartitions = 1024;
/// Upper bound on the partitions in use, as the owner follows each of them.
constexpr std::uint32_t kMaxUsedPartitions = 8;
constexpr std::uint32_t kMinLimitBytes = 1024;
constexpr std::uint32_t kMaxLimitBytes = 1024U * 1024 * 1024;
constexpr std::uint32_t kMaxConnectionLimit = 1000000;
/// A submission has a payload of up to 4,000 bytes, each of which may be escaped as six.
constexpr std::uint32_t kMinBodyLimitBytes = 32U * 1024;
constexpr double kMinRate = 0.1;
constexpr double kMaxRate = 100000;

/// Checks one flag at a time and collects all errors.
class Checker {
 public:
  std::string Name(const char* flag, const std::string& value) {
    if (value.empty() || value.size() > kMaxNameLength) {
      this->Add(flag, "should be a name of 1 to 128 characters");
    }
    return value;
  }

  SocketAddress Address(const char* flag, const std::string& value) {
    const Result<SocketAddress> address = ParseSocketAddress(value);
    if (!address) {
      this->Add(flag, '"' + value + "\" should be an address such as 10.0.0.1:8080");
      return {};
    }
    return *address;
  }

  std::optional<SocketAddress> OptionalAddress(const char* flag, const std::string& value) {
    return value.empty() ? std::nullopt : std::optional(this->Address(flag, value));
  }

  Duration DurationValue(const char* flag, const std::string& value, Duration fallback) {
    if (value.empty()) {
      return fallback;
    }
    const Result<Duration> duration = inventory::ParseDuration(value);
    if (!duration || *duration < kMinDuration || *duration > kMaxDuration) {
      this->Add(flag, '"' + value + "\" should be a duration from 100ms to 10m");
      return fallback;
    }
    return *duration;
  }

  std::optional<Duration> OptionalDuration(const char* flag, const std::string& value) {
    return value.empty() ? std::nullopt
                         : std::optional(this->DurationValue(flag, value, kMaxDuration));
  }

  /// A number from `min` to `max`; `what` describes the number and its bounds in the error message.
  double Number(const char* flag, const std::string& value, double fallback, double min, double max,
                const char* what) {
    if (value.empty()) {
      return fallback;
    }
    double number = 0;
    const char* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_number || !(number >= min && number <= max)) {
      this->Add(flag, '"' + value + "\" should be " + what);
      return fallback;
    }
    return number;
  }

  std::uint32_t WholeNumber(const char* flag, const std::string& value, std::uint32_t fallback,
                            std::uint32_t min, std::uint32_t max, const char* what) {
    const double number = this->Number(flag, value, fallback, min, max, what);
    if (number != std::floor(number)) {
      this->Add(flag, '"' + value + "\" should be " + what);
      return fallback;
    }
    return static_cast<std::uint32_t>(number);
  }

  bool Boolean(const char* flag, const std::string& value, bool fallback) {
    if (value.empty()) {
      return fallback;
    }
    if (value != "true" && value != "false") {
      this->Add(flag, '"' + value + "\" should be true or false");
      return fallback;
    }
    return value == "true";
  }

  jobs::ProgressForm Form(const char* flag, const std::string& value, jobs::ProgressForm fallback) {
    if (value.empty()) {
      return fallback;
    }
    if (value != "rows" && value != "compact") {
      this->Add(flag, '"' + value + "\" should be rows or compact");
      return fallback;
    }
    return value == "rows" ? jobs::ProgressForm::kRows : jobs::ProgressForm::kCompact;
  }

  bool IsSizedByDemand(const char* flag, const std::string& value, bool fallback) {
    if (value.empty()) {
      return fallback;
    }
    if (value != "demand" && value != "peak") {
      this->Add(flag, '"' + value + "\" should be demand or peak");
      return fallback;
    }
    return value == "demand";
  }

  telemetry::LogLevel Level(const char* flag, const std::string& value,
                            telemetry::LogLevel fallback) {
    if (value.empty()) {
      return fallback;
    }
    const std::optional<telemetry::LogLevel> level = telemetry::LogLevelFromString(value);
    if (!level) {
      this->Add(flag, '"' + value + "\" should be debug, info, warning or error");
    }
    return level.value_or(fallback);
  }

  /// The decisions that a deployment has to ask for. They override the defaults of `--decisions`.
  void SetOptionalDecisions(const RawJobEntrySettings& raw, JobEntrySettings& settings) {
    jobs::SchedulerOptions& scheduler = settings.decisions.scheduler;
    scheduler.divides_shares =
        this->Boolean("--account-shares", raw.account_shares, scheduler.divides_shares);
    scheduler.preempts = this->Boolean("--preemption", raw.preemption, scheduler.preempts);
    scheduler.preemption_budget =
        this->Number("--preemption-budget", raw.preemption_budget, scheduler.preemption_budget, 0,
                     1, "a fraction from 0 to 1");
    scheduler.stop_limit =
        this->DurationValue("--stop-limit", raw.stop_limit, scheduler.stop_limit);
    scheduler.order_delay_limit = this->DurationValue("--order-delay-limit", raw.order_delay_limit,
                                                      scheduler.order_delay_limit);
    scheduler.unheard_order_delay_limit =
        this->DurationValue("--unheard-order-delay-limit", raw.unheard_order_delay_limit,
                            scheduler.unheard_order_delay_limit);
    scheduler.budgets_link =
        this->Boolean("--link-budget", raw.link_budget, scheduler.budgets_link);
    scheduler.link_rate = settings.link_rate;
    settings.decisions.sizer.sizes_by_demand = this->IsSizedByDemand(
        "--pool-sizing", raw.pool_sizing, settings.decisions.sizer.sizes_by_demand);
    settings.decisions.admits_by_outlook =
        this->Boolean("--job-admission", raw.job_admission, settings.decisions.admits_by_outlook);
  }

  DecisionOptions Decisions(const char* flag, const std::string& value) {
    const Result<DecisionOptions> options = ParseDecisionOptions(value);
    if (!options) {
      const Reason& reason = options.LastReason();
      this->Add(flag, '"' + reason.field + "\" " + reason.message);
      return {};
    }
    return *options;
  }

  std::string Path(const char* flag, const std::string& value) {
    if (value.empty()) {
      return "/ready";
    }
    if (value.front() != '/') {
      this->Add(flag, '"' + value + "\" should start with a slash");
    }
    return value;
  }

  std::vector<Reason> faults;

 private:
  void Add(const char* flag, std::string message) {
    this->faults.push_back({ErrorCode::kInvalidArgument, flag, std::move(message)});
  }
};

}  // namespace

JobEntrySettingsOutcome CheckSettings(const RawJobEntrySettings& raw) {
  Checker check;
  JobEntrySettings settings;
  settings.id = EntryId{check.Name("--id", raw.id)};
  settings.zone = ZoneId{check.Name("--zone", raw.zone)};
  settings.callers = check.Address("--callers-address", raw.callers_address);
  settings.health = check.Address("--health-address", raw.health_address);
  settings.health_path = check.Path("--health-path", raw.health_path);
  settings.peers = check.Address("--peer-address", raw.peer_address);
  settings.carrier = check.OptionalAddress("--carrier-address", raw.carrier_address);
  settings.metrics = check.OptionalAddress("--metrics-address", raw.metrics_address);
  settings.store = check.Address("--store-address", raw.store_address);
  settings.vm_service = check.OptionalAddress("--vm-service-address", raw.vm_service_address);
  settings.advice = check.OptionalAddress("--advice-address", raw.advice_address);
  settings.key_proof_limit =
      check.DurationValue("--key-proof-limit", raw.key_proof_limit, settings.key_proof_limit);
  settings.lease_limit =
      check.DurationValue("--lease-limit", raw.lease_limit, settings.lease_limit);
  settings.cordon_bound = check.OptionalDuration("--cordon-bound", raw.cordon_bound);
  settings.vm_order_pause =
      check.DurationValue("--vm-order-pause", raw.vm_order_pause, settings.vm_order_pause);
  settings.drain_time = check.DurationValue("--drain-time", raw.drain_time, settings.drain_time);
  settings.max_connections =
      check.WholeNumber("--max-connections", raw.max_connections, settings.max_connections, 1,
                        kMaxConnectionLimit, "a whole number of connections from 1 to 1000000");
  settings.max_body_bytes = check.WholeNumber(
      "--max-body-bytes", raw.max_body_bytes, settings.max_body_bytes, kMinBodyLimitBytes,
      kMaxLimitBytes, "a whole number of bytes from 32768 to 1073741824");
  settings.max_pending_bytes = check.WholeNumber(
      "--max-pending-bytes", raw.max_pending_bytes, settings.max_pending_bytes, kMinBodyLimitBytes,
      kMaxLimitBytes, "a whole number of bytes from 32768 to 1073741824");
  settings.job_partitions =
      std::min(kMaxUsedPartitions,
               check.WholeNumber("--job-partitions", raw.job_partitions, settings.job_partitions, 1,
                                 kMaxPartitions, "a whole number of partitions from 1 to 1024"));
  settings.record_limit =
      check.WholeNumber("--record-limit", raw.record_limit, settings.record_limit, kMinLimitBytes,
                        kMaxLimitBytes, "a whole number of bytes from 1024 to 1073741824");
  settings.append_limit =
      check.WholeNumber("--append-limit", raw.append_limit, settings.append_limit, kMinLimitBytes,
                        kMaxLimitBytes, "a whole number of bytes from 1024 to 1073741824");
  settings.vm_order_rate =
      check.Number("--vm-order-rate", raw.vm_order_rate, settings.vm_order_rate, kMinRate, kMaxRate,
                   "a number of orders per second from 0.1 to 100000");
  settings.cores = check.Number("--cores", raw.cores, settings.cores, kMinCores, kMaxCores,
                                "a number of cores from 0.01 to 1024");
  settings.link_rate = check.Number("--link-rate", raw.link_rate, settings.link_rate, kMinRate,
                                    kMaxRate, "a number of megabits per second from 0.1 to 100000");
  settings.progress_form = check.Form("--progress-form", raw.progress_form, settings.progress_form);
  for (const std::string& peer : raw.seed_peers) {
    settings.seed_peers.push_back(check.Address("--seed-peer", peer));
  }
  for (const std::string& zone : raw.fleet_zones) {
    settings.fleet_zones.push_back(ZoneId{check.Name("--fleet-zone", zone)});
  }
  settings.decisions = check.Decisions("--decisions", raw.decisions);
  settings.decisions.sizer.move_cost =
      check.DurationValue("--vm-move-cost", raw.vm_move_cost, settings.decisions.sizer.move_cost);
  check.SetOptionalDecisions(raw, settings);
  settings.log_level = check.Level("--log-level", raw.log_level, settings.log_level);
  JobEntrySettingsOutcome outcome{std::nullopt, std::move(check.faults)};
  if (outcome.faults.empty()) {
    outcome.settings = std::move(settings);
  }
  return outcome;
}

}  // namespace chervilspar::job_entry
