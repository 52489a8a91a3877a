package invariant

import (
	"testing"

	"pgregory.net/rapid"
)

// checkProperty checks the invariants over random runs with steps of the allowed kinds.
func checkProperty(t *testing.T, allowed ...stepKind) {
	rapid.Check(t, func(rt *rapid.T) {
		run := drawSteps(rt, allowed...)
		failOnViolations(rt, withCluster(t, func(_ *testing.T, cl *cluster) { cl.runSteps(run) }))
	})
}

// All rows of an answer must come from one snapshot while index versions change, shards are
// repartitioned and leaves answer from other versions.
func TestInvariantSnapshot(t *testing.T) {
	t.Parallel()
	checkProperty(t, askSearch, askSearch, askSearch, versions, versions, repartition, leafFault, leafRecovery)
}

// The coverage of an answer must name exactly the shards that contributed while leaves are down,
// stall, fail and truncate parts.
func TestInvariantCoverage(t *testing.T) {
	t.Parallel()
	checkProperty(t, askSearch, askSearch, askSearch, leafFault, leafFault, leafRecovery, versions, killHost)
}

// Each caller must get the answer to its own request even if leaves answer late, twice or with the
// reply to another request.
func TestInvariantCorrelation(t *testing.T) {
	t.Parallel()
	checkProperty(t, askSearch, askSearch, askTag, leafFault, leafRecovery, freezeHost, thawHost, killHost)
}

// A request that was reported as not run must not have been executed by any leaf.
func TestInvariantNotRun(t *testing.T) {
	t.Parallel()
	checkProperty(t, askSearch, askSearch, askTag, askTag, leafFault, leafRecovery, freezeHost, thawHost, killHost, cutHosts, reconnectHosts, versions)
}

// A request that is not repeatable must run at most once while it is resent through other hosts,
// hosts freeze, crash and are cut off, and the platform has outages.
func TestInvariantAtMostOnce(t *testing.T) {
	t.Parallel()
	checkProperty(t, askTag, askTag, askTag, leafFault, leafRecovery, freezeHost, thawHost, killHost, cutHosts, reconnectHosts, outage, outageEnd)
}
