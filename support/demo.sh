#!/usr/bin/env bash
# Runs the whole system as processes on loopback, changes it under load and
# reports what callers saw. Exits non-zero when an established flow broke, a
# request ran more than once or a packet reached another service.
#
# Usage: support/demo.sh [--keep DIRECTORY]
#   --keep DIRECTORY  write settings, logs and reports there and keep them
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=$PWD
BIN=$ROOT/build/release
SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-26}
ZONES=(depot-north civic-hall depot-south)
KEY=$(printf '0123456789abcdef%.0s' 1 2 3 4)
FITQUOTE_TARGETS=7
PLANSTORE_TARGETS=3

KEEP=
case "${1:-}" in
  "") ;;
  --keep)
    KEEP=${2:?--keep needs a directory}
    mkdir -p "$KEEP"
    ;;
  -h | --help)
    sed -n '2,7s/^# \{0,1\}//p' "$0"
    exit 0
    ;;
  *)
    echo "demo.sh: unknown argument '$1'; see --help" >&2
    exit 2
    ;;
esac

declare -A PID=()

# Ends the processes that this script started, by process id: with SIGTERM, and
# with SIGKILL those that are still running up to 3 s later.
stop_processes_and_clean_up() {
  local name
  for name in "${!PID[@]}"; do
    kill "${PID[$name]}" 2>/dev/null || true
  done
  for name in "${!PID[@]}"; do
    for _ in $(seq 30); do
      kill -0 "${PID[$name]}" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "${PID[$name]}" 2>/dev/null || true
    wait "${PID[$name]}" 2>/dev/null || true
  done
  if [ -z "$KEEP" ]; then
    rm -rf "$DIR"
  fi
}

log_progress() {
  printf '%5.1f s  %s\n' "$(print_elapsed_seconds)" "$*"
}

print_elapsed_seconds() {
  python3 -c 'import sys, time; print(time.time() - float(sys.argv[1]))' \
    "$START_TIME"
}

# start_process NAME COMMAND...: runs the command in the background and appends
# its output to NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >>"$DIR/$name.log" 2>&1 &
  PID[$name]=$!
}

install_packages() {
  [ "$(id -u)" = 0 ] || return 0
  local missing
  missing=$(xargs -n 1 -a support/packages.txt dpkg-query -W -f '${Status}\n' \
    2>&1 | grep -vc 'install ok installed' || true)
  [ "$missing" != 0 ] || return 0
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  xargs -a support/packages.txt apt-get install -y -qq \
    --no-install-recommends >/dev/null
}

build_release() {
  cmake --preset release >/dev/null
  cmake --build --preset release | tail -n 1
}

PORTS=()
take_next_port() {
  PORT=127.0.0.1:${PORTS[0]}
  PORTS=("${PORTS[@]:1}")
}

declare -A PACKETS PEER METRICS TARGET STATS
assign_ports() {
  local name
  mapfile -t PORTS < <(python3 support/free_ports.py 80)
  take_next_port && PLATFORM=$PORT
  take_next_port && FITQUOTE=$PORT
  take_next_port && PLANSTORE=$PORT
  take_next_port && RETURN=$PORT
  take_next_port && STATS[fabric]=$PORT
  for name in "${ZONES[@]/#/entry-}"; do
    take_next_port && PACKETS[$name]=$PORT
    take_next_port && PEER[$name]=$PORT
    take_next_port && METRICS[$name]=$PORT
  done
  for name in "${TARGETS[@]}"; do
    take_next_port && TARGET[$name]=$PORT
    take_next_port && STATS[$name]=$PORT
    take_next_port && PEER[$name]=$PORT
    take_next_port && METRICS[$name]=$PORT
  done
}

# The balancers don't execute the plan, because the targets that it puts in
# standby depend on the time of day.
write_balancer_settings() {
  cat >"$DIR/entry-$1.ini" <<INI
[host]
name = entry-$1
zone = $1
region = main
[listen]
packets = ${PACKETS[entry-$1]}
peer = ${PEER[entry-$1]}
metrics = ${METRICS[entry-$1]}
[platform]
address = $PLATFORM
[peers]
balancers = $BALANCERS
[key]
current = $KEY
[log]
level = info
layout = text
[plan]
execute = false
INI
}

write_agent_settings() {
  cat >"$DIR/$1.ini" <<INI
[host]
name = $1
zone = $2
region = main
[listen]
peer = ${PEER[$1]}
metrics = ${METRICS[$1]}
[platform]
address = $PLATFORM
[peers]
balancers = $BALANCERS
[key]
current = $KEY
[target]
service = ${1%-*}
address = ${TARGET[$1]}
return = $RETURN
[log]
level = info
layout = text
[limits]
drain_limit_s = 3
INI
}

write_settings() {
  local n zone
  BALANCERS=${PEER[entry-depot-north]},${PEER[entry-civic-hall]}
  BALANCERS+=,${PEER[entry-depot-south]}
  for zone in "${ZONES[@]}"; do
    write_balancer_settings "$zone"
  done
  for n in "${!TARGETS[@]}"; do
    write_agent_settings "${TARGETS[$n]}" "${ZONES[$((n % ${#ZONES[@]}))]}"
  done
}

list_balancer_endpoints() {
  local endpoints=${METRICS[entry-depot-north]},${METRICS[entry-civic-hall]}
  echo "$endpoints,${METRICS[entry-depot-south]}"
}

run_hawthornctl() {
  HAWTHORNCTL_BALANCERS=$(list_balancer_endpoints) \
    "$BIN/apps/hawthornctl" "$@" --platform "$PLATFORM" --region main \
    >>"$DIR/ctl.log" 2>&1 || {
    tail -n 5 "$DIR/ctl.log" >&2
    return 1
  }
}

start_balancer() {
  start_process "entry-$1" "$BIN/apps/hawthornd" --role balancer \
    --config "$DIR/entry-$1.ini"
}

start_all_processes() {
  local name zone
  start_process platform "$BIN/standins/standin_platform" --listen "$PLATFORM"
  python3 support/demo_report.py wait-port "$PLATFORM"
  python3 support/replace_addresses.py examples/trentmoor.csv \
    "$DIR/sheet.csv" "fitquote=$FITQUOTE" "planstore=$PLANSTORE"
  run_hawthornctl sheet import "$DIR/sheet.csv"
  for zone in "${ZONES[@]}"; do
    start_balancer "$zone"
  done
  for name in "${TARGETS[@]}"; do
    start_process "target-$name" "$BIN/standins/standin_target" --name "$name" \
      --kind "${name%-*}" --listen "${TARGET[$name]}" \
      --stats "${STATS[$name]}" --slots 3 --service-ms 20
    start_process "agent-$name" "$BIN/apps/hawthornd" --role agent \
      --config "$DIR/$name.ini"
  done
  start_process fabric "$BIN/standins/standin_fabric" --service "$FITQUOTE" \
    --service "$PLANSTORE" --return "$RETURN" --stats "${STATS[fabric]}" \
    --balancer "${PACKETS[entry-depot-north]}" \
    --balancer "${PACKETS[entry-civic-hall]}" \
    --balancer "${PACKETS[entry-depot-south]}"
}

run_hawthornload() {
  "$BIN/apps/hawthornload" --service "fitquote=$FITQUOTE" \
    --service "planstore=$PLANSTORE" "$@"
}

# Runs hawthornload for a second at a time until it gets all its calls answered.
wait_until_serving() {
  local n
  for n in $(seq 20); do
    run_hawthornload --watches 3 --rate 10 --uploads 4 --seconds 1 \
      --seed "$((1000 + n))" --report "$DIR/probe.json" >/dev/null
    if python3 support/demo_report.py serving "$DIR/probe.json"; then
      return 0
    fi
  done
  echo "demo: not every kind of call was answered; see the logs in $DIR" >&2
  tail -n 3 "$DIR"/*.log >&2
  return 1
}

# fetch_counters SUFFIX: saves the counters of the fabric and the targets.
fetch_counters() {
  local name
  local pairs=("http://${STATS[fabric]}/stats" "$DIR/fabric$1.json")
  for name in "${TARGETS[@]}"; do
    pairs+=("http://${STATS[$name]}/stats" "$DIR/target-$name$1.json")
  done
  python3 support/demo_report.py fetch "${pairs[@]}"
}

# Saves the status of the balancers and agents that are still running: balancer
# entry-civic-hall and the agent of planstore-3 were stopped.
fetch_process_status() {
  local name
  local pairs=()
  for name in "${TARGETS[@]}" entry-depot-north entry-depot-south; do
    [ "$name" != planstore-3 ] || continue
    pairs+=("http://${METRICS[$name]}/status" "$DIR/daemon-$name.json")
  done
  python3 support/demo_report.py fetch "${pairs[@]}"
}

sleep_until_second() {
  sleep "$(python3 -c 'import sys, time
print(max(0, float(sys.argv[1]) + float(sys.argv[2]) - time.time()))' \
    "$START_TIME" "$1")"
}

# stop_gracefully NAME: sends SIGTERM and checks that the process exits with 0.
stop_gracefully() {
  log_progress "stopping $1 gracefully (SIGTERM)"
  kill -TERM "${PID[$1]}"
  if ! wait "${PID[$1]}"; then
    echo "demo: $1 didn't stop gracefully" >&2
    return 1
  fi
  unset "PID[$1]"
  log_progress "$1 has stopped"
}

change_system_under_load() {
  sleep_until_second 4
  log_progress "killing balancer entry-depot-south (SIGKILL)"
  kill -KILL "${PID[entry-depot-south]}"
  wait "${PID[entry-depot-south]}" 2>/dev/null || true
  sleep_until_second 8
  log_progress "starting entry-depot-south again"
  start_balancer depot-south
  sleep_until_second 11
  log_progress "draining target fitquote-3"
  run_hawthornctl target drain fitquote-3
  sleep_until_second 15
  fetch_counters .drained
  sleep_until_second 17
  stop_gracefully entry-civic-hall
  sleep_until_second 20
  stop_gracefully agent-planstore-3
}

DIR=${KEEP:-$(mktemp -d)}
TARGETS=()
for n in $(seq "$FITQUOTE_TARGETS"); do TARGETS+=("fitquote-$n"); done
for n in $(seq "$PLANSTORE_TARGETS"); do TARGETS+=("planstore-$n"); done
trap stop_processes_and_clean_up EXIT
trap 'exit 130' INT TERM

install_packages
build_release
assign_ports
write_settings
export HAWTHORNCTL_BALANCERS=${METRICS[entry-depot-north]},${METRICS[entry-civic-hall]},${METRICS[entry-depot-south]}
START_TIME=$(date +%s.%N)
start_all_processes
wait_until_serving
log_progress "serving; callers start"
fetch_counters .start
START_TIME=$(date +%s.%N)
run_hawthornload --watches 30 --steady-callers 14 --rate 60 --uploads 20 \
  --upload-bytes 65536 --seconds "$SECONDS_OF_LOAD" --seed 1 \
  --report "$DIR/load.json" >"$DIR/load.log" 2>&1 &
PID[load]=$!
change_system_under_load
wait "${PID[load]}"
unset "PID[load]"
log_progress "callers are done"
fetch_counters .end
fetch_process_status
cat "$DIR/load.log"
python3 support/demo_report.py judge "$DIR"
