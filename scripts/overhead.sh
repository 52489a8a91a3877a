#!/usr/bin/env bash
# Measures the overhead of the tier at four request rates: latency compared with
# direct queries to the leaves, and processor time of an entry host per leaf call.
set -uo pipefail
cd "$(dirname "$0")/.."
ENTRIES=1
. scripts/cluster.sh
trap 'cluster_stop >/dev/null 2>&1' EXIT
cluster_start >/dev/null || exit 1
ticks=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/${ENTRY_PIDS[0]}/stat"; }
attempts() { curl -fsS "http://$(entry_http 0)/metrics" | awk '/leaf_attempts_total/ {n += $2} END {print n + 0}'; }
for rate in 25 50 100 200; do
  cat >"$RUN_DIR/rate.ini" <<INI
[run]
duration = 8s
warmup = 1s
[class one]
desk = gate-1
service = finder
rate = $rate
deadline = 1s
INI
  echo "rate $rate/s, direct queries to the leaves:"
  "$BIN" load --direct "$RUN_DIR/config.json" "$RUN_DIR/rate.ini" | grep one
  c0=$(cpu) a0=$(attempts)
  echo "rate $rate/s, through an entry host:"
  # shellcheck disable=SC2046
  "$BIN" load $(load_targets) "$RUN_DIR/rate.ini" | grep one
  c1=$(cpu) a1=$(attempts)
  awk -v c=$((c1 - c0)) -v a=$((a1 - a0)) -v t="$ticks" 'BEGIN {printf "leaf calls %d, processor time %.2f s, %.1f us per leaf call\n", a, c / t, 1e6 * c / t / a}'
done
