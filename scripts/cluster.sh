#!/usr/bin/env bash
# Functions that start stand-ins and entry hosts as separate processes on
# loopback. Source this file and call cluster_start, and cluster_stop at the end.
#
# Variables, with their defaults: DEPLOYMENT (trinacria), ENTRIES (number of entry
# hosts, 3), HOMES (homes of each service, 1), TRAFFIC (additional lines of the
# [traffic] section), PORTS (first port, 21000), RECORD (empty, or --record),
# SERVICE_TIME (mean service time of the leaves, that of the deployment).
BIN=${BIN:-bin/mallowgap}
DEPLOYMENT=${DEPLOYMENT:-trinacria}
ENTRIES=${ENTRIES:-3}
HOMES=${HOMES:-1}
PORTS=${PORTS:-21000}
LEAF_PARTS=2
RUN_DIR=$(mktemp -d)
declare -a ENTRY_PIDS LEAF_PIDS
PLATFORM_PID=

platform_address() { echo "127.0.0.1:$((PORTS + 900))"; }
leaf_control() { echo "127.0.0.1:$((PORTS + 910 + $1))"; }
entry_callers() { echo "127.0.0.1:$((PORTS + 1000 + $1))"; }
entry_peers() { echo "127.0.0.1:$((PORTS + 1100 + $1))"; }
entry_http() { echo "127.0.0.1:$((PORTS + 1200 + $1))"; }

# seeds prints the peer addresses of all entry hosts.
seeds() {
  local list="" i
  for ((i = 0; i < ENTRIES; i++)); do list+="$(entry_peers "$i"),"; done
  echo "${list%,}"
}

# entry_settings prints the settings file of an entry host.
entry_settings() {
  local i=$1 domains=(palermo catania trapani)
  cat <<INI
[host]
name = entry-$i
failure_domain = ${domains[$((i % 3))]}

[listen]
callers = $(entry_callers "$i")
peers = $(entry_peers "$i")
http = $(entry_http "$i")

[platform]
address = $(platform_address)

[membership]
seeds = $(seeds)

[shutdown]
balancer_lag = 1s
drain_timeout = 10s

[traffic]
${TRAFFIC:-}
INI
}

# start_entry starts an entry host in the background.
start_entry() {
  local i=$1
  entry_settings "$i" >"$RUN_DIR/entry-$i.ini"
  "$BIN" entry "$RUN_DIR/entry-$i.ini" >>"$RUN_DIR/entry-$i.log" 2>&1 &
  ENTRY_PIDS[i]=$!
}

# wait_ready waits until an entry host is ready, and fails after 10 s.
wait_ready() {
  local i=$1 tries
  for ((tries = 0; tries < 100; tries++)); do
    if curl -fsS -o /dev/null "http://$(entry_http "$i")/readyz" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "entry-$i did not become ready; end of its log:" >&2
  tail -5 "$RUN_DIR/entry-$i.log" >&2
  return 1
}

# wait_platform waits until the stand-in platform serves, and fails after 10 s.
wait_platform() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    if "$BIN" standin counters --address "$(platform_address)" >/dev/null 2>&1; then return 0; fi
    kill -0 "$PLATFORM_PID" 2>/dev/null || break
    sleep 0.1
  done
  echo "the platform did not start; its log:" >&2
  cat "$RUN_DIR/platform.log" >&2
  return 1
}

# cluster_start starts all processes, applies the configuration and waits until all
# entry hosts are ready.
cluster_start() {
  local i
  "$BIN" standin platform --listen "$(platform_address)" --lag 500ms >"$RUN_DIR/platform.log" 2>&1 &
  PLATFORM_PID=$!
  wait_platform || return 1
  for ((i = 0; i < LEAF_PARTS; i++)); do
    "$BIN" standin leaf ${SERVICE_TIME:+--service-time $SERVICE_TIME} --deployment "$DEPLOYMENT" --base "$PORTS" --control "$(leaf_control "$i")" \
      --part "$i" --parts "$LEAF_PARTS" ${RECORD:-} >"$RUN_DIR/leaf-$i.log" 2>&1 &
    LEAF_PIDS[i]=$!
  done
  for ((i = 0; i < ENTRIES; i++)); do start_entry "$i"; done
  "$BIN" standin shape --deployment "$DEPLOYMENT" --base "$PORTS" --homes "$HOMES" >"$RUN_DIR/config.json"
  "$BIN" operator apply --address "$(entry_callers 0)" --change-id first --wait "$RUN_DIR/config.json"
  for ((i = 0; i < ENTRIES; i++)); do wait_ready "$i"; done
}

# load_targets prints the flags of mallowgap load for this cluster.
load_targets() {
  local i
  for ((i = 0; i < ENTRIES; i++)); do echo "--entry=$(entry_callers "$i") --ready=$(entry_http "$i")"; done
  for ((i = 0; i < LEAF_PARTS; i++)); do echo "--leaf-control=$(leaf_control "$i")"; done
  echo "--platform-control=$(platform_address)"
}

# stop_entry shuts one entry host down gracefully and returns its exit status.
stop_entry() {
  local pid=${ENTRY_PIDS[$1]}
  ENTRY_PIDS[$1]=
  kill -TERM "$pid"
  wait "$pid"
}

# cluster_stop stops all processes that this script started, by process ID. It fails
# if an entry host cut off requests.
cluster_stop() {
  local status=0 i pid
  for i in "${!ENTRY_PIDS[@]}"; do
    if [ -n "${ENTRY_PIDS[$i]}" ]; then stop_entry "$i" || status=1; fi
  done
  for pid in "${LEAF_PIDS[@]}" $PLATFORM_PID; do
    kill -TERM "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  return $status
}
