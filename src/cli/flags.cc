#include "cli/flags.h"

#include <algorithm>
#include <cctype>

#include "chervilspar/inventory/document.h"

namespace chervilspar::cli {

namespace {

std::string VariableFor(const std::string& flag) {
  std::string name = "CHERVILSPAR_";
  for (const char c : flag.substr(2)) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

}  // namespace

CLI::Option* AddFlag(CLI::App& app, const std::string& name, std::string& value,
                     const std::string& description) {
  return app.add_option(name, value, description)->envname(VariableFor(name));
}

CLI::Option* AddListFlag(CLI::App& app, const std::string& name, std::vector<std::string>& values,
                         const std::string& description) {
  return app.add_option(name, values, description)
      ->envname(VariableFor(name))
      ->delimiter(',')
      ->allow_extra_args(false);
}

void AddOrderDelayFlags(CLI::App& app, job_entry::RawJobEntrySettings& raw) {
  AddFlag(app, "--order-delay-limit", raw.order_delay_limit,
          "So long after it was given an unanswered order may be executed by an endpoint that is "
          "known to have restarted and has not answered since [15s]");
  AddFlag(
      app, "--unheard-order-delay-limit", raw.unheard_order_delay_limit,
      "The same for an endpoint whose restart nobody can have noticed; tasks whose start got no "
      "answer wait that long [such an endpoint executes none]");
}

void AddJobEntryFlags(CLI::App& app, job_entry::RawJobEntrySettings& raw) {
  AddFlag(app, "--id", raw.id, "Name of this entry");
  AddFlag(app, "--zone", raw.zone, "Availability zone of this entry");
  AddFlag(app, "--callers-address", raw.callers_address, "ip:port for callers");
  AddFlag(app, "--health-address", raw.health_address, "ip:port for the balancer's health check");
  AddFlag(app, "--health-path", raw.health_path, "Path of the health check [/ready]");
  AddFlag(app, "--peer-address", raw.peer_address, "ip:port for other entries");
  AddFlag(app, "--carrier-address", raw.carrier_address,
          "ip:port for orders that this entry carries for the owner [none are carried]");
  AddFlag(app, "--metrics-address", raw.metrics_address, "ip:port of the metrics [none]");
  AddFlag(app, "--store-address", raw.store_address, "ip:port of the platform's store");
  AddFlag(app, "--vm-service-address", raw.vm_service_address,
          "ip:port of the platform's service for VMs [no upkeep]");
  AddFlag(app, "--advice-address", raw.advice_address,
          "ip:port of the adviser on where steps may run [none]");
  AddFlag(app, "--key-proof-limit", raw.key_proof_limit,
          "How long keys are trusted without news from the store [3500ms]");
  AddFlag(app, "--lease-limit", raw.lease_limit, "The longest lease that endpoints give [10s]");
  AddOrderDelayFlags(app, raw);
  AddFlag(app, "--cordon-bound", raw.cordon_bound,
          "So long after a zone was cordoned nothing may start there [no bound]");
  AddFlag(app, "--vm-order-pause", raw.vm_order_pause,
          "No orders for VMs this long after a take-over [3s]");
  AddFlag(app, "--vm-order-rate", raw.vm_order_rate,
          "Orders for VMs a second that the platform takes from all entries [64]");
  AddFlag(app, "--vm-move-cost", raw.vm_move_cost,
          "What moving a VM between pools costs, as the time for which an idle VM costs as much; "
          "the higher, the longer pools keep idle VMs [1s]");
  AddFlag(
      app, "--job-partitions", raw.job_partitions,
      "In how many partitions of the store jobs are kept, at most 8; never fewer than before [4]");
  AddFlag(app, "--record-limit", raw.record_limit,
          "The largest record that the store accepts, in bytes [262144]");
  AddFlag(app, "--append-limit", raw.append_limit,
          "The largest sum of the records that the store accepts at once, in bytes [2097152]");
  AddFlag(app, "--drain-time", raw.drain_time,
          "Longest that a shutdown waits for requests in flight [4500ms]");
  AddFlag(app, "--max-connections", raw.max_connections,
          "Connections of callers open at once; more are answered 503 [3072]");
  AddFlag(app, "--max-body-bytes", raw.max_body_bytes, "Largest body of a request [262144]");
  AddFlag(app, "--max-pending-bytes", raw.max_pending_bytes,
          "Bytes of all requests that are read and handled at once; more are answered 503 "
          "[33554432]");
  AddFlag(app, "--cores", raw.cores,
          "Part of the processor that this VM gives, in cores; more goes first as owner [1]");
  AddFlag(app, "--link-rate", raw.link_rate,
          "Megabits a second of this VM's link; with little, an owner reads its state in sequence "
          "and stays a member for longer [1000]");
  AddFlag(
      app, "--progress-form", raw.progress_form,
      "How the progress of jobs is stored: rows, or compact once every entry reads that [rows]");
  AddFlag(app, "--account-shares", raw.account_shares,
          "true to serve accounts by their shares over all pools when not all work fits [false]");
  AddFlag(app, "--job-admission", raw.job_admission,
          "true to refuse jobs at once that can't be served in time [false]");
  AddFlag(app, "--preemption", raw.preemption,
          "true to stop running tasks for on-time tasks that find no capacity [false]");
  AddFlag(app, "--preemption-budget", raw.preemption_budget,
          "The part of a pool's recent work that preemption may discard, from 0 to 1 [0.02]");
  AddFlag(app, "--stop-limit", raw.stop_limit,
          "The longest time that an endpoint takes to stop a task [1000ms]");
  AddFlag(app, "--pool-sizing", raw.pool_sizing,
          "What the size of a pool follows: peak, all open work, or demand, the work that more VMs "
          "would serve on time [peak]");
  AddFlag(app, "--link-budget", raw.link_budget,
          "true to limit starts to what the owner's link carries besides lease renewals [false]");
  AddListFlag(app, "--seed-peer", raw.seed_peers,
              "ip:port where another entry answers entries; writes for this one when the store "
              "turns it away [none]");
  AddListFlag(app, "--fleet-zone", raw.fleet_zones,
              "Availability zone in which there may be endpoints; with all of them cordoned, jobs "
              "are refused [not known]");
  AddFlag(app, "--decisions", raw.decisions,
          "NAME=VALUE,...: figures of decisions that differ from the defaults, for experiments")
      ->group("");
  AddFlag(app, "--log-level", raw.log_level, "debug, info, warning or error [info]");
}

void AddEntryFlags(CLI::App& app, entry::RawEntrySettings& raw) {
  AddFlag(app, "--id", raw.id, "Name of this entry, as in the inventory");
  AddFlag(app, "--zone", raw.zone, "Availability zone of this entry");
  AddFlag(app, "--http-address", raw.http_address, "ip:port for callers and operators");
  AddFlag(app, "--peer-address", raw.peer_address, "ip:port for other entries");
  AddFlag(app, "--log-address", raw.log_address, "ip:port of the platform's log service");
  AddFlag(app, "--vm-list-address", raw.vm_list_address, "ip:port of the platform's VM list");
  AddListFlag(app, "--seed-peer", raw.seed_peers,
              "ip:port of another entry to take the state from when the log is down");
  AddListFlag(app, "--route", raw.routes, "FROM=TO: connect to TO in place of FROM");
  AddListFlag(app, "--operator-key-digest", raw.operator_key_digests,
              "SHA-256 in hex of a key that may publish");
  AddFlag(app, "--threads", raw.threads, "Worker threads [2]");
  AddFlag(app, "--max-connections", raw.max_connections, "Connections of callers [2048]");
  AddFlag(app, "--max-header-bytes", raw.max_header_bytes, "Largest request header [16384]");
  AddFlag(app, "--max-body-bytes", raw.max_body_bytes, "Largest request body [1048576]");
  AddFlag(app, "--read-timeout", raw.read_timeout, "For reading one request [10s]");
  AddFlag(app, "--write-timeout", raw.write_timeout, "For writing one answer [10s]");
  AddFlag(app, "--idle-timeout", raw.idle_timeout, "For a connection without request [60s]");
  AddFlag(app, "--log-timeout", raw.log_timeout, "For one call to the platform [2s]");
  AddFlag(app, "--peer-timeout", raw.peer_timeout, "For one call to another entry [1s]");
  AddFlag(app, "--heartbeat-interval", raw.heartbeat_interval, "Between heartbeats [250ms]");
  AddFlag(app, "--drain-deadline", raw.drain_deadline,
          "Longest that a shutdown waits for requests in flight [60s]");
  AddFlag(app, "--log-level", raw.log_level, "debug, info, warning or error [info]");
  AddFlag(app, "--log-file", raw.log_file, "Append log lines to this file [standard error]");
  AddFlag(app, "--event-ring-size", raw.event_ring_size, "Events kept for the time line [16384]");
  AddFlag(app, "--snapshot-max-age", raw.snapshot_max_age,
          "Write a snapshot at least this often; a quarter of the log's retention [1h]");
}

void AddOperatorFlags(CLI::App& app, RawOperatorFlags& raw) {
  AddListFlag(app, "--entry", raw.entries, "ip:port of an entry; several are tried in order");
  AddFlag(app, "--operator-key", raw.operator_key,
          "The operator's key; better given in the variable or file, as all users of a VM can see "
          "flags");
  AddFlag(app, "--operator-key-file", raw.operator_key_file, "File that holds the operator's key");
  AddFlag(app, "--timeout", raw.timeout, "For one call to an entry [30s]");
  AddListFlag(app, "--route", raw.routes, "FROM=TO: connect to TO in place of FROM");
}

OperatorFlagsOutcome CheckOperatorFlags(const RawOperatorFlags& raw) {
  OperatorFlagsOutcome outcome;
  OperatorOptions options;
  const auto add = [&outcome](const char* flag, std::string message) {
    outcome.faults.push_back(Reason{ErrorCode::kInvalidArgument, flag, std::move(message)});
  };
  options.entries = raw.entries;
  if (raw.entries.empty()) {
    add("--entry",
        "the value is missing; give the HTTP address of an entry, such as "
        "10.0.0.1:8080");
  }
  for (const std::string& address : raw.entries) {
    if (const Status status = inventory::CheckAddress(address); !status) {
      add("--entry", status.LastReason().message);
    }
  }
  options.operator_key = raw.operator_key;
  if (!raw.operator_key_file.empty()) {
    const Result<std::string> text = ReadFile(raw.operator_key_file);
    if (text) {
      options.operator_key = text->substr(0, text->find_first_of("\r\n"));
    } else {
      add("--operator-key-file", '"' + raw.operator_key_file + "\" can't be read");
    }
  }
  if (options.operator_key.empty() && raw.operator_key_file.empty()) {
    add("--operator-key",
        "the key is missing; set CHERVILSPAR_OPERATOR_KEY or give "
        "--operator-key-file");
  }
  const Result<Duration> timeout = inventory::ParseDuration(raw.timeout);
  if (!timeout || *timeout <= Duration::zero()) {
    add("--timeout", '"' + raw.timeout + "\" should be a span of time above zero, such as 30s");
  } else {
    options.timeout = *timeout;
  }
  if (outcome.faults.empty()) {
    outcome.options = std::move(options);
  }
  return outcome;
}

}  // namespace chervilspar::cli
