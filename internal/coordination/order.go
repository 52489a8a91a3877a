package coordination

import (
	"github.com/mallowgap/mallowgap/rendezvous"
)

// orderKey is the key by which all hosts order the candidates.
const orderKey = "coordinator"

// Host is a host that may coordinate.
type Host struct {
	Name, Address string
	// Domain is the failure domain.
	Domain string
}

// Order returns the candidates in the order in which hosts connect to them. It depends only on
// their names and failure domains, so that hosts with the same candidates compute the same order.
// The first candidates stand in different failure domains.
func Order(candidates []Host) []Host {
	byName := make(map[string]Host, len(candidates))
	members := make([]rendezvous.Member, 0, len(candidates))
	for _, h := range candidates {
		if _, found := byName[h.Name]; !found {
			members = append(members, rendezvous.Member{ID: h.Name, Domain: h.Domain})
		}
		byName[h.Name] = h
	}
	ordered := make([]Host, 0, len(members))
	for _, m := range rendezvous.Rank(orderKey, members, len(members)) {
		ordered = append(ordered, byName[m.ID])
	}
	return ordered
}
