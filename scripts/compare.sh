#!/usr/bin/env bash
# Runs scenarios with the default policies and with simple baseline policies, each
# on a new cluster, and prints the tables.
# Usage: scripts/compare.sh DEPLOYMENT [SCENARIO...]
# POLICIES=default runs the default policies only; PLOTS=DIRECTORY writes plots.
set -uo pipefail
cd "$(dirname "$0")/.."
deployment=$1
shift
scenarios=("$@")
[ ${#scenarios[@]} -gt 0 ] || scenarios=(calm straggler dead dead_each domain versions overload2 overload4 outage combined)
plain=$'selection = random\norder = fifo\nhedging = false\nextra_share = 1\nfloor_share = 0'
export SERVICE_TIME=10ms
go build -o bin/mallowgap ./cmd/mallowgap

run_one() (
  name=$1
  DEPLOYMENT=$deployment
  . scripts/cluster.sh
  trap 'cluster_stop >/dev/null 2>&1' EXIT
  cluster_start >/dev/null || exit 1
  [ "$name" = combined ] && REPARTITION_AFTER=12 # after the first outage
  if [[ $name == versions || $name == combined ]]; then
    ( sleep ${REPARTITION_AFTER:-8}
      "$BIN" standin shape --deployment "$DEPLOYMENT" --base "$PORTS" --homes "$HOMES" --epoch 2 >"$RUN_DIR/config2.json"
      "$BIN" operator apply --address "$(entry_callers 0)" --expect 1 --change-id second "$RUN_DIR/config2.json" --timeout 20s >/dev/null
    ) &
  fi
  # shellcheck disable=SC2046
  "$BIN" load $(load_targets) ${PLOTS:+--plots "$PLOTS/$deployment-$name-$POLICY"} "scenarios/$deployment/$name.ini"
  for ((i = 0; i < ENTRIES; i++)); do
    curl -fsS "http://$(entry_http "$i")/metrics" | grep -E 'leaf_attempts_total|extra_denied' || true
  done | awk '{n[$1] += $2} END {for (k in n) if (n[k] > 0) printf "%s=%d ", k, n[k]; print ""}'
)

for name in "${scenarios[@]}"; do
  echo "== $deployment $name, default policies"
  POLICY=default run_one "$name"
  [ "${POLICIES:-both}" = both ] || continue
  echo "== $deployment $name, baseline policies"
  TRAFFIC=$plain POLICY=plain run_one "$name"
done
