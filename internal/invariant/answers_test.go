package invariant

import (
	"testing"

	"pgregory.net/rapid"
)

// checkInvariants checks all invariants over random runs with steps of the allowed kinds; a kind
// that is listed more than once is drawn more often.
func checkInvariants(t *testing.T, allowed ...stepKind) {
	rapid.Check(t, func(rt *rapid.T) {
		run := drawSteps(rt, allowed...)
		failOnViolations(rt, withCluster(t, func(_ *testing.T, cl *cluster) { cl.runSteps(run) }))
	})
}

// All rows of an answer must come from one snapshot while index versions change, shards are
// repartitioned and leaves answer from other versions. The most frequent steps are queries and
// changes of index versions.
func TestInvariantSnapshot(t *testing.T) {
	t.Parallel()
	checkInvariants(t, askSearch, askSearch, askSearch, setLeafVersions, setLeafVersions, repartition, setLeafFault, clearLeafFault)
}

// The coverage of an answer must name exactly the shards that contributed while leaves are down,
// stall, fail and omit rows from parts. The most frequent steps are queries
// and faults of leaves.
func TestInvariantCoverage(t *testing.T) {
	t.Parallel()
	checkInvariants(t, askSearch, askSearch, askSearch, setLeafFault, setLeafFault, clearLeafFault, setLeafVersions, killHost)
}

// Each caller must get the answer to its own request even if leaves answer late, lose replies or
// send the reply to another request. The most frequent steps are queries.
func TestInvariantCorrelation(t *testing.T) {
	t.Parallel()
	checkInvariants(t, askSearch, askSearch, askTag, setLeafFault, clearLeafFault, freezeHost, thawHost, killHost)
}

// A request that was reported as not run must not have been executed by any leaf. The most
// frequent steps are queries and requests that are not repeatable.
func TestInvariantNotRun(t *testing.T) {
	t.Parallel()
	checkInvariants(t, askSearch, askSearch, askTag, askTag, setLeafFault, clearLeafFault, freezeHost, thawHost, killHost, cutHosts, reconnectHosts, setLeafVersions)
}

// A request that is not repeatable must run at most once while it is resent through other hosts,
// hosts freeze, crash and are cut off, and the platform has outages. The most frequent steps are
// such requests.
func TestInvariantAtMostOnce(t *testing.T) {
	t.Parallel()
	checkInvariants(t, askTag, askTag, askTag, setLeafFault, clearLeafFault, freezeHost, thawHost, killHost, cutHosts, reconnectHosts, startOutage, endOutage)
}
