#!/usr/bin/env bash
# Real processes under kill -9, SIGSTOP and SIGCONT, an outage of the platform
# and a planned stop, with load throughout. What desks were told is held against
# what the leaves recorded. Takes about 40 s.
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
echo "a query that ends the leaves which run it, eight times"
for n in 0 1 2 3 0 1 2 3; do
  last=$("$BIN" query --address "$(entry_callers "$n")" --desk counter-1 --service finder --timeout 2s poison 2>/dev/null)
done
case "$last" in *BARRED*) ;; *) echo "it is not turned away: $last"; status=1 ;; esac
sleep 3
echo "kill -9 entry-0, started again after 1 s"
kill -9 "${ENTRY_PIDS[0]}"; wait "${ENTRY_PIDS[0]}" 2>/dev/null
sleep 1; start_entry 0
sleep 4
echo "SIGSTOP entry-2 for 6 s, past every timeout"
kill -STOP "${ENTRY_PIDS[2]}"; sleep 6; kill -CONT "${ENTRY_PIDS[2]}"
sleep 3
echo "planned stop of entry-3 during an outage of the platform"
stop_entry 3 || { echo "entry-3 cut requests off"; status=1; }
wait "$load" || status=1
wait_ready 0 || status=1
cluster_stop || { echo "an entry host cut requests off"; status=1; }
[ $status -eq 0 ] && echo "chaos passed" || echo "chaos failed (logs: $RUN_DIR)"
exit $status
