#!/usr/bin/env bash
# Runs a cluster of real processes under constant load and a series of faults:
# queries that crash leaves, kill -9, SIGSTOP and SIGCONT, an outage of the platform
# and a graceful shutdown. Compares the replies to desks with the executions that the
# leaves recorded. Takes about 40 s.
set -uo pipefail
cd "$(dirname "$0")/.."
ENTRIES=4
RECORD=--record
PORTS=${PORTS:-23000}
. scripts/cluster.sh
status=0
trap 'cluster_stop >/dev/null 2>&1' INT TERM
cluster_start || { cluster_stop; exit 1; }
sed "s/127.0.0.1:21/127.0.0.1:$((PORTS / 1000))/" scenarios/chaos.ini >"$RUN_DIR/chaos.ini"
# shellcheck disable=SC2046
"$BIN" load $(load_targets) --verify --allow-lost "$RUN_DIR/chaos.ini" &
load=$!
for part in $(seq 0 $((${LEAF_PARTS:-1} - 1))); do
  "$BIN" standin fault --address "$(leaf_control "$part")" '{"poison": "poison", "poisonDownMs": 1500}' || status=1
done
echo "sending a query that crashes leaves, eight times"
for n in 0 1 2 3 0 1 2 3; do
  last=$("$BIN" query --address "$(entry_callers "$n")" --desk counter-1 --service finder --timeout 2s poison 2>/dev/null)
done
case "$last" in *BARRED*) ;; *) echo "the query was not refused as barred: $last"; status=1 ;; esac
sleep 3
echo "kill -9 entry-0, restart after 1 s"
kill -9 "${ENTRY_PIDS[0]}"; wait "${ENTRY_PIDS[0]}" 2>/dev/null
sleep 1; start_entry 0
sleep 4
echo "SIGSTOP entry-2 for 6 s, longer than all timeouts"
kill -STOP "${ENTRY_PIDS[2]}"; sleep 6; kill -CONT "${ENTRY_PIDS[2]}"
sleep 3
echo "graceful shutdown of entry-3 during an outage of the platform"
stop_entry 3 || { echo "entry-3 cut off requests"; status=1; }
wait "$load" || status=1
wait_ready 0 || status=1
cluster_stop || { echo "an entry host cut off requests"; status=1; }
[ $status -eq 0 ] && echo "chaos passed" || echo "chaos failed (logs: $RUN_DIR)"
exit $status
