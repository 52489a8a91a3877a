package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/mallowgap/mallowgap/api/configpb"
)

// KeySpace is the exclusive end of the key range that the shards of a service cover.
const KeySpace = 65536

// MaxReplicas is the maximum number of replicas per shard.
const MaxReplicas = 64

// InvalidError lists all faults of a configuration.
type InvalidError struct {
	Faults []string
}

// Error returns the faults, separated by semicolons.
func (e *InvalidError) Error() string { return strings.Join(e.Faults, "; ") }

// Validate checks a configuration and returns an *InvalidError with all its faults,
// or nil.
func Validate(c *configpb.Config) error {
	v := &validator{}
	v.classes(c.GetClasses())
	v.desks(c.GetDesks(), c.GetClasses())
	names := map[string]bool{}
	for _, s := range c.GetServices() {
		v.unique("service", s.GetName(), names)
		v.service(s)
	}
	if len(v.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: v.faults}
}

type validator struct {
	faults []string
}

func (v *validator) add(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *validator) unique(kind, name string, seen map[string]bool) {
	if name == "" {
		v.add("a %s has no name: set one", kind)
	} else if seen[name] {
		v.add("%s %q is a duplicate: remove one", kind, name)
	}
	seen[name] = true
}

func (v *validator) classes(classes []*configpb.Class) {
	names, ranks := map[string]bool{}, map[uint32]string{}
	for _, c := range classes {
		v.unique("class", c.GetName(), names)
		if other, ok := ranks[c.GetRank()]; ok {
			v.add("classes %q and %q have the same rank %d: use distinct ranks", other, c.GetName(), c.GetRank())
		}
		ranks[c.GetRank()] = c.GetName()
	}
}

func (v *validator) desks(desks []*configpb.Desk, classes []*configpb.Class) {
	names := map[string]bool{}
	for _, d := range desks {
		v.unique("desk", d.GetName(), names)
		known := slices.ContainsFunc(classes, func(c *configpb.Class) bool { return c.GetName() == d.GetClass() })
		if !known {
			v.add("desk %q has class %q, which does not exist: add the class or change the desk", d.GetName(), d.GetClass())
		}
	}
}

func (v *validator) service(s *configpb.Service) {
	if s.GetEpoch() == 0 {
		v.add("service %q has epoch 0: number shard maps from 1", s.GetName())
	}
	if s.GetSlots() == 0 {
		v.add("service %q has 0 slots: set the number of concurrent requests per leaf", s.GetName())
	}
	if s.GetConnections() == 0 {
		v.add("service %q has 0 connections: set the maximum per leaf", s.GetName())
	}
	if m := s.GetMinCoverage(); m < 0 || m > 1 {
		v.add("service %q has min_coverage %g: use a fraction from 0 to 1", s.GetName(), m)
	}
	if e := s.GetEarlyShare(); e < 0 || e > 1 {
		v.add("service %q has early_share %g: use a fraction from 0 to 1", s.GetName(), e)
	}
	v.shards(s)
}

func (v *validator) shards(s *configpb.Service) {
	names := map[string]bool{}
	sorted := slices.Clone(s.GetShards())
	slices.SortFunc(sorted, func(a, b *configpb.Shard) int { return int(a.GetFrom()) - int(b.GetFrom()) })
	next := uint32(0)
	for _, shard := range sorted {
		v.unique("shard of "+s.GetName(), shard.GetName(), names)
		if shard.GetFrom() != next || shard.GetTo() <= shard.GetFrom() {
			v.add("service %q: shard %q covers %d to %d but should start at %d: cover 0 to %d without gaps or overlaps",
				s.GetName(), shard.GetName(), shard.GetFrom(), shard.GetTo(), next, KeySpace)
		}
		next = shard.GetTo()
		v.replicas(s, shard)
	}
	if next != KeySpace {
		v.add("service %q: shards end at %d: cover 0 to %d", s.GetName(), next, KeySpace)
	}
}

func (v *validator) replicas(s *configpb.Service, shard *configpb.Shard) {
	if n := len(shard.GetReplicas()); n == 0 || n > MaxReplicas {
		v.add("service %q: shard %q has %d replicas: list 1 to %d", s.GetName(), shard.GetName(), n, MaxReplicas)
	}
	seen := map[string]bool{}
	for _, r := range shard.GetReplicas() {
		if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil {
			v.add("service %q: shard %q: address %q is not IP:port: correct the address", s.GetName(), shard.GetName(), r.GetAddress())
		}
		v.unique("replica of "+shard.GetName(), r.GetAddress(), seen)
	}
}

// ValidateChange checks that a valid configuration may follow the old one, and
// returns an *InvalidError otherwise: a changed shard map needs a higher epoch.
func ValidateChange(old, next *configpb.Config) error {
	v := &validator{}
	for _, s := range next.GetServices() {
		previous := findService(old, s.GetName())
		if previous == nil || sameShards(previous, s) {
			continue
		}
		if s.GetEpoch() <= previous.GetEpoch() {
			v.add("service %q: the shards changed but epoch %d is not greater than %d: increase the epoch", s.GetName(), s.GetEpoch(), previous.GetEpoch())
		}
	}
	if len(v.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: v.faults}
}

func findService(c *configpb.Config, name string) *configpb.Service {
	for _, s := range c.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

// sameShards reports whether two services have shards of the same names and
// ranges. Replicas are not compared, as they are not part of the shard map.
func sameShards(a, b *configpb.Service) bool {
	return slices.EqualFunc(a.GetShards(), b.GetShards(), func(x, y *configpb.Shard) bool {
		return x.GetName() == y.GetName() && x.GetFrom() == y.GetFrom() && x.GetTo() == y.GetTo()
	})
}
