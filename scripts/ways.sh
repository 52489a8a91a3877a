#!/usr/bin/env bash
# Runs several revisions on the same days and seeds of the users' bench. Prints the
# worth of each run, the means, and the mean differences from the first revision with
# their standard errors. The journal entries of all runs are copied to journal/.
#
#   BENCH=PATH scripts/ways.sh SITE "DAY..." "SEED..." REVISION...
#
# BENCH is the path of the bench, JOBS the number of concurrent runs (default 4). Seed 0
# is the default seed of the day.
set -euo pipefail
: "${BENCH:?set it to the path of the bench}"
cd "$(dirname "$0")/.."
site=$(realpath "$1") days=$2 seeds=$3
shift 3
root=$PWD
scratch=$(mktemp -d)
ways=("$@")

keep() { # copies the journal entries of all runs, also after an interrupt
  local w
  for w in "${ways[@]}"; do
    [ -d "$scratch/$w/journal" ] || continue
    cp -n "$scratch/$w"/journal/*.json journal/ 2>/dev/null || true
    cp -rn "$scratch/$w/journal/blobs/." journal/blobs/ 2>/dev/null || true
  done
}
trap 'keep; rm -rf "$scratch"' EXIT
trap 'exit 1' INT TERM

play() { # DIRECTORY DAY SEED: runs a day; prints its worth, and whether it was kept or broken
  cd "$1"
  local seed=()
  [ "$3" = 0 ] || seed=(--seed "$3")
  "$BENCH" run "$site" "$2" "${seed[@]}" --why "ways: $(git log -1 --format='%h %s')" 2>/dev/null |
    awk -v day="$2" '$1 == day && NF > 6 { for (i = 2; i <= NF; i++) if ($i ~ /^[0-9]+\/[0-9]+$/) { broken = /BROKEN/ ? "broken" : "kept"; print $(i + 2), broken; exit } }'
}
export -f play
export BENCH site

for revision in "$@"; do
  git clone -q "$root" "$scratch/$revision"
  (cd "$scratch/$revision" && git checkout -q "$revision" && "$BENCH" build >/dev/null)
done
for day in $days; do for seed in $seeds; do for revision in "$@"; do
  echo "$revision $day $seed"
done; done; done >"$scratch/plays"
xargs -P "${JOBS:-4}" -L 1 bash -c 'echo "$2 $3 $1 $(play "$0/$1" "$2" "$3")"' "$scratch" <"$scratch/plays" >"$scratch/worths"

sort "$scratch/worths" | awk -v order="$*" '
  { key = $1 " " $2; worth[key, $3] = $4; if ($5 != "kept") note[key] = note[key] " " $3 ":" $5; if (!(key in seen)) { seen[key] = 1; keys[++n] = key } }
  END {
    m = split(order, way, " ")
    printf "%-28s", "day seed"; for (w = 1; w <= m; w++) printf "%10s", way[w]; print ""
    for (k = 1; k <= n; k++) {
      printf "%-28s", keys[k]
      for (w = 1; w <= m; w++) {
        printf "%10.3f", worth[keys[k], way[w]]
        d = worth[keys[k], way[w]] - worth[keys[k], way[1]]; sum[w] += d; square[w] += d * d; total[w] += worth[keys[k], way[w]]
      }
      print note[keys[k]]
    }
    printf "%-28s", "mean"; for (w = 1; w <= m; w++) printf "%10.3f", total[w] / n; print ""
    printf "%-28s", "difference"; for (w = 1; w <= m; w++) printf "%+10.3f", sum[w] / n; print ""
    printf "%-28s", "standard error"
    for (w = 1; w <= m; w++) { v = n > 1 ? (square[w] - sum[w] * sum[w] / n) / (n - 1) : 0; printf "%10.3f", sqrt(v > 0 ? v / n : 0) }
    print ""
  }'
