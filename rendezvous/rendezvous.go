package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a candidate for the assignment of keys.
type Member struct {
	// ID is unique among the members.
	ID string
	// Domain is the failure domain of the member; it may be empty.
	Domain string
}

// scoredMember is a member with its score for one key.
type scoredMember struct {
	member Member
	score  uint64
}

// compare orders by descending score, then by ID.
func compare(a, b scoredMember) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.member.ID, b.member.ID)
}

// Rank returns the n best members for key: first the best member of each failure domain,
// ordered by score, then the second best of each, and so on. It returns fewer than n
// members only if there are fewer. For a given n, the running time is linear in the number
// of members.
func Rank(key string, members []Member, n int) []Member {
	n = min(n, len(members))
	if n <= 0 {
		return nil
	}
	byDomain := bestByDomain(key, members, n)
	chosen := make([]Member, 0, n)
	for position := 0; len(chosen) < n; position++ {
		var round []scoredMember
		for _, best := range byDomain {
			if position < len(best) {
				round = append(round, best[position])
			}
		}
		slices.SortFunc(round, compare)
		for _, s := range round[:min(len(round), n-len(chosen))] {
			chosen = append(chosen, s.member)
		}
	}
	return chosen
}

// bestByDomain returns up to n members of each failure domain, the best first.
func bestByDomain(key string, members []Member, n int) map[string][]scoredMember {
	best := map[string][]scoredMember{}
	for _, m := range members {
		s := scoredMember{member: m, score: score(key, m.ID)}
		list := best[m.Domain]
		if len(list) == n {
			if compare(s, list[n-1]) > 0 {
				continue
			}
			list = list[:n-1]
		}
		i, _ := slices.BinarySearchFunc(list, s, compare)
		best[m.Domain] = slices.Insert(list, i, s)
	}
	return best
}

// score returns the hash of a member ID and a key, separated by a zero byte.
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
