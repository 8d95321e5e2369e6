# Sourced by the scripts of the cases: play CASE FOLDER
# Starts three entry processes with the command and the settings of deploy/system.toml, plays the case
# against them and ends all of them. Returns 1 if a rule was broken, 0 if all held, 2 if it couldn't run.
play() {
  local case=$1 folder=$2
  local top temporary
  top=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
  local standin=$top/review/bin/standin binary=$top/target/chervilspar
  if [ ! -x "$standin" ] || [ ! -x "$binary" ]; then
    echo "needs the build of the deploy file and review/build.sh" >&2
    return 2
  fi
  temporary=$(mktemp -d)
  local ports
  mapfile -t ports < <("$standin" free-ports 70 "$$")
  local store=${ports[0]} cloud=${ports[1]} advice=${ports[2]}
  local at=3 zones=(is-south-a is-south-b is-south-c) seeds="" fronts="" i
  for i in 0 1 2; do
    seeds+="${seeds:+,}127.0.0.1:${ports[at + 5 * i + 2]}"
    fronts+="${fronts:+,}${ports[at + 5 * i]}"
  done
  local pids=()
  for i in 0 1 2; do
    (
      cd "$top" || exit 2
      exec env -i PATH="$PATH" HOME="$temporary" LANG=C \
        CHERVILSPAR_ID="frontend-${zones[i]}-1" \
        CHERVILSPAR_ZONE="${zones[i]}" \
        CHERVILSPAR_CALLERS_ADDRESS="127.0.0.1:${ports[at + 5 * i]}" \
        CHERVILSPAR_HEALTH_ADDRESS="127.0.0.1:${ports[at + 5 * i + 1]}" \
        CHERVILSPAR_HEALTH_PATH=/-/ready \
        CHERVILSPAR_PEER_ADDRESS="127.0.0.1:${ports[at + 5 * i + 2]}" \
        CHERVILSPAR_SEED_PEER="$seeds" \
        CHERVILSPAR_CARRIER_ADDRESS="127.0.0.1:${ports[at + 5 * i + 3]}" \
        CHERVILSPAR_METRICS_ADDRESS="127.0.0.1:${ports[at + 5 * i + 4]}" \
        CHERVILSPAR_STORE_ADDRESS="127.0.0.1:$store" \
        CHERVILSPAR_VM_SERVICE_ADDRESS="127.0.0.1:$cloud" \
        CHERVILSPAR_ADVICE_ADDRESS="127.0.0.1:$advice" \
        CHERVILSPAR_LEASE_LIMIT=10000ms \
        CHERVILSPAR_CORDON_BOUND= \
        CHERVILSPAR_FLEET_ZONE=is-south-a,is-south-b,is-south-c \
        CHERVILSPAR_JOB_PARTITIONS=8 \
        CHERVILSPAR_VM_ORDER_PAUSE=500ms \
        CHERVILSPAR_VM_ORDER_RATE=64.0 \
        CHERVILSPAR_VM_SERVICE_COMPARES_TOKENS=true \
        CHERVILSPAR_CORES=0.25 \
        CHERVILSPAR_LINK_RATE=1000.0 \
        CHERVILSPAR_PROGRESS_FORM=compact \
        CHERVILSPAR_ACCOUNT_SHARES=true \
        CHERVILSPAR_JOB_ADMISSION=true \
        CHERVILSPAR_PREEMPTION=true \
        CHERVILSPAR_STOP_LIMIT=200ms \
        CHERVILSPAR_POOL_SIZING=demand \
        CHERVILSPAR_LINK_BUDGET=true \
        target/chervilspar job-entry
    ) >"$temporary/entry-$i.log" 2>&1 &
    pids+=($!)
  done
  # Also if the script is interrupted.
  trap "kill -KILL ${pids[*]} 2>/dev/null" EXIT
  local code=0
  STORE_PORT=$store CLOUD_PORT=$cloud ADVICE_PORT=$advice FRONT_PORTS=$fronts \
    WORKER_PORTS=$(IFS=,; echo "${ports[*]:18:52}") \
    timeout -k 2 110 "$standin" "$case" "$folder/record.txt" || code=$?
  [ "$code" -le 2 ] || code=2
  if [ -n "${ENTRY_LOGS:-}" ]; then
    mkdir -p "$ENTRY_LOGS" && cp "$temporary"/entry-*.log "$ENTRY_LOGS/"
  fi
  kill -KILL "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  trap - EXIT
  rm -rf "$temporary"
  return "$code"
}
