package snapshot

// Any is chosen while the versions of no available replica are known.
const Any uint64 = 0

// Tracker records the index versions that each replica of each shard last
// reported. It is not safe for concurrent use.
type Tracker struct {
	shards []shardVersions
	// choice is cached; Choose recomputes it if stale is set.
	choice Choice
	stale  bool
}

type shardVersions struct {
	replicas []replicaVersions
}

type replicaVersions struct {
	versions    []uint64
	unavailable bool
}

// Choice is an index version and the number of shards that can serve it.
type Choice struct {
	Version uint64
	Shards  int
}

// NewTracker returns a tracker for len(replicas) shards, where replicas[i] is the
// number of replicas of shard i.
func NewTracker(replicas []int) *Tracker {
	t := &Tracker{shards: make([]shardVersions, len(replicas)), stale: true}
	for i, n := range replicas {
		t.shards[i].replicas = make([]replicaVersions, n)
	}
	return t
}

// Observe records the versions that a replica holds. It retains the slice.
func (t *Tracker) Observe(shard, replica int, versions []uint64) {
	known := &t.shards[shard].replicas[replica]
	if equal(known.versions, versions) {
		return
	}
	known.versions = versions
	t.stale = true
}

// Versions returns the versions that a replica last reported. The caller must not
// modify the slice.
func (t *Tracker) Versions(shard, replica int) []uint64 {
	return t.shards[shard].replicas[replica].versions
}

// SetUnavailable records whether a replica is excluded from the choice because it gets no
// requests.
func (t *Tracker) SetUnavailable(shard, replica int, unavailable bool) {
	known := &t.shards[shard].replicas[replica]
	if known.unavailable != unavailable {
		known.unavailable = unavailable
		t.stale = true
	}
}

// Holds reports whether a replica may hold version. A replica whose versions are
// unknown may hold any.
func (t *Tracker) Holds(shard, replica int, version uint64) bool {
	known := t.shards[shard].replicas[replica].versions
	if version == Any || len(known) == 0 {
		return true
	}
	return contains(known, version)
}

// Choose returns the version that the most shards can serve, preferring the newest
// on a tie, or Any if no version is known.
func (t *Tracker) Choose() Choice {
	if t.stale {
		t.choice = t.computeChoice()
		t.stale = false
	}
	return t.choice
}

func (t *Tracker) computeChoice() Choice {
	counts := map[uint64]int{}
	for i := range t.shards {
		seen := map[uint64]bool{}
		for _, r := range t.shards[i].replicas {
			if r.unavailable {
				continue
			}
			for _, v := range r.versions {
				if !seen[v] {
					seen[v] = true
					counts[v]++
				}
			}
		}
	}
	var best Choice
	for v, n := range counts {
		if n > best.Shards || (n == best.Shards && v > best.Version) {
			best = Choice{Version: v, Shards: n}
		}
	}
	return best
}

func equal(a, b []uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func contains(versions []uint64, version uint64) bool {
	for _, v := range versions {
		if v == version {
			return true
		}
	}
	return false
}
