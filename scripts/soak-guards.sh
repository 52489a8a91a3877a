#!/usr/bin/env bash
# Mutation tests for the soak: for each guard of the list, removes the guard in a
# scratch copy and runs soak seeds until one detects a violation, at most $1 seeds
# (default 12). Prints the number of seeds needed. GUARD=NAME tests one guard only.
set -euo pipefail
cd "$(dirname "$0")/.."
most=${1:-12}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
go test -c -o "$scratch/soak.test" ./platform/soak
guard() { # NAME FILES SED [FIRST_SEED]
  [[ -z ${GUARD:-} || $1 == "$GUARD" ]] || return 0
  rm -rf "$scratch/copy"
  mkdir "$scratch/copy"
  git ls-files -z --cached --others --exclude-standard -- '*.go' go.mod go.sum | xargs -0 cp --parents -t "$scratch/copy"
  for file in $2; do
    sed -i -E "$3" "$scratch/copy/$file"
    if cmp -s "$file" "$scratch/copy/$file"; then echo "$1: the expression does not match $file"; return 1; fi
  done
  (cd "$scratch/copy" && go build -o "$scratch/mutant" ./cmd/mallowgap)
  for ((n = 0; n < most; n += 4)); do
    if ! (cd platform/soak && "$scratch/soak.test" -soak.binary "$scratch/mutant" -soak.seed $((${4:-1000} + n)) -soak.seeds 4 -soak.jobs 4 -soak.timed -soak.length 6s) >"$scratch/out" 2>&1; then
      echo "$1: detected within $((n + 4)) seeds: $(grep -m1 -E '^ {8}[ic]' "$scratch/out" || true)"
      return 0
    fi
  done
  echo "$1: not detected within $most seeds"
}
guard "whole answers" internal/httppool/receive.go 's/return nil, (fmt.Errorf\("%w: %w", errTruncated, err\))/_ = \1; return body, nil/'
guard "own answers" "internal/httppool/pool.go internal/httppool/receive.go" 's/reusable := .*/reusable := !head.Close/; s/if match == Foreign \{/if false {/; s/\&\& isOpenAndEmpty\(c.Conn\)//'
guard "bytes without end" internal/httppool/receive.go 's/if l.left <= 0 \{/if false {/' 60000
guard "sent once" "internal/gateway/serve.go internal/gateway/query.go" 's/if !(q.)?entry.Idempotent \{/if false {/'
guard "not run" internal/gateway/query.go 's/if !q.mayHaveRun \&\& !q.running\(\) \&\&/if/'
guard "disjoint blocks" fanout/query.go 's/if !q.anyCovered\(b.Shards\) \{/if true {/'
guard "floors" fanout/query.go 's/return q.best\[len\(q.best\)-RecordSize:\]/return q.best[:RecordSize]/'
guard "draining" internal/gateway/fleet.go 's/if s.Draining \{/if false {/'
guard "planned stop" internal/gateway/server.go 's/s.callers.Shutdown\(ctx\)/s.callers.Close()/; s/cut := g.WaitDrained\(ctx\)/cut, _ := 0, ctx/; s/sleep\(ctx, g.settings.GetShutdown\(\).GetBalancerLag\(\).AsDuration\(\)\)//'
guard "retry budget" retry/window.go 's/> share\*float64\(first\)\+slack/> 1e9+share*float64(first)+slack/'
guard "quarantine" "quarantine/suspicion.go" 's/return s.served == 0 \&\& s.suspected \|\| s.unreported.Crashes > s.served/return false/'
guard "keys" internal/gateway/team.go 's/case known \|\| entry.Public:/case known || !known:/' 30002
guard "keys stay" internal/gateway/team.go 's/^\tr.Header.Del\(headerAuthorization\)$//' 30002
guard "new keys" route/table.go 's/t.teams = team.NewDirectory\(config.Teams\)/if firstTeams == nil { firstTeams = team.NewDirectory(config.Teams) }; t.teams = firstTeams/; s/^type Table struct/var firstTeams *team.Directory\n\n&/' 30002
guard "team header" internal/gateway/team.go 's/^\tr.Header.Del\(g.adapters.TeamHeader\)$//' 30002
guard "quotas" internal/gateway/quota.go 's/if ruling.Action == quota.Refuse \{/if ruling.Action == quota.Refuse \&\& false {/' 30002
guard "own fraction" quota/meter.go 's/limit, m.hosts, m.rank, m.aloneSince/limit, 1, 0, m.aloneSince/' 30002
guard "list of metered teams" quota/ledger.go 's/case metered \&\& a.level >= a.above:/case l.bound.alwaysMetered(a.limit) || metered \&\& a.level >= a.above:/' 30002
guard "evidence of an outage" discovery/contact.go 's/return c.Current\(now\) .*/return c.Current(now) \&\& c.Length() < grace/' 50000
