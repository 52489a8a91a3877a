#!/usr/bin/env bash
# Runs a complete cluster on loopback for about 20 s, with a slow leaf, a killed leaf
# and a graceful shutdown of an entry host. Fails if a request is cut off.
set -uo pipefail
cd "$(dirname "$0")/.."
RECORD=--record
. scripts/cluster.sh
status=0
trap 'cluster_stop >/dev/null 2>&1' INT TERM
cluster_start || { cluster_stop; exit 1; }
echo "logs and settings: $RUN_DIR"
# shellcheck disable=SC2046
"$BIN" load $(load_targets) --verify --plots "$RUN_DIR/plots" --title "demo" scenarios/demo.ini &
load=$!
sleep 14
echo "graceful shutdown of entry-1"
stop_entry 1 || { echo "entry-1 cut off requests"; status=1; }
wait "$load" || status=1
cluster_stop || { echo "an entry host cut off requests"; status=1; }
echo "plots: $RUN_DIR/plots/report.html"
[ $status -eq 0 ] && echo "demo passed" || echo "demo failed"
exit $status
