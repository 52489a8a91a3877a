package standin

import (
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/config"
)

// ServiceShape describes one service of a deployment. Slots, Connections, ConnectTime
// and ServiceTime are those of each leaf, see LeafOptions.
type ServiceShape struct {
	Name     string
	Shards   int
	Replicas int

	Slots       int
	Connections int
	ConnectTime time.Duration
	ServiceTime time.Duration

	NotRepeatable bool
	MinCoverage   float64
	EarlyShare    float64
	EarlyAfter    time.Duration
}

// Deployment describes the services and callers of one user.
type Deployment struct {
	Name string
	// Domains are the failure domains over which replicas are spread.
	Domains  []string
	Services []ServiceShape
	// Classes are the priority classes, the highest first.
	Classes []string
	Desks   []DeskShape
}

// DeskShape describes a desk and its class.
type DeskShape struct {
	Name, Class string
}

// Deployments are the known deployments.
var Deployments = []Deployment{
	{
		Name:    "trinacria",
		Domains: []string{"palermo", "catania", "trapani"},
		Services: []ServiceShape{
			{Name: "finder", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond, MinCoverage: 0.5, EarlyShare: 0.9, EarlyAfter: 150 * time.Millisecond},
			{Name: "console", Shards: 30, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond, MinCoverage: 0.5, EarlyShare: 0.9, EarlyAfter: 150 * time.Millisecond},
			{Name: "tags", Shards: 1, Replicas: 7, Slots: 4, Connections: 100, ConnectTime: time.Millisecond, ServiceTime: 5 * time.Millisecond, NotRepeatable: true},
			{Name: "kiosks", Shards: 1, Replicas: 3, Slots: 4, Connections: 100, ConnectTime: time.Millisecond, ServiceTime: 5 * time.Millisecond},
		},
		Classes: []string{"gate", "counter", "kiosk", "office"},
		Desks:   []DeskShape{{"gate-1", "gate"}, {"counter-1", "counter"}, {"printer-1", "counter"}, {"kiosk-1", "kiosk"}, {"office-1", "office"}},
	},
	{
		Name:    "veerik",
		Domains: []string{"tallinn", "riga", "vilnius"},
		Services: []ServiceShape{
			{Name: "validation", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond, MinCoverage: 0.5},
			{Name: "reporting", Shards: 30, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond, MinCoverage: 0.5},
			{Name: "shop", Shards: 1, Replicas: 3, Slots: 4, Connections: 40, ConnectTime: time.Millisecond, ServiceTime: 5 * time.Millisecond},
			{Name: "ledger", Shards: 1, Replicas: 3, Slots: 4, Connections: 40, ConnectTime: time.Millisecond, ServiceTime: 5 * time.Millisecond, NotRepeatable: true},
		},
		Classes: []string{"border", "shop", "partner"},
		Desks:   []DeskShape{{"border-1", "border"}, {"payout-1", "border"}, {"shop-1", "shop"}, {"partner-1", "partner"}},
	},
}

// FindDeployment returns the deployment with the given name.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range Deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q: use trinacria or veerik", name)
}

// Config returns the configuration of the deployment, whose leaves listen on
// consecutive loopback ports from base.
func (d Deployment) Config(base int) *configpb.Config {
	c := &configpb.Config{}
	for i, name := range d.Classes {
		c.Classes = append(c.Classes, &configpb.Class{Name: name, Rank: uint32(i)})
	}
	for _, desk := range d.Desks {
		c.Desks = append(c.Desks, &configpb.Desk{Name: desk.Name, Class: desk.Class})
	}
	port := base
	for _, s := range d.Services {
		service := &configpb.Service{
			Name: s.Name, Epoch: 1, Slots: uint32(s.Slots), Connections: uint32(s.Connections), Homes: 1,
			NotRepeatable: s.NotRepeatable, MinCoverage: s.MinCoverage,
			EarlyShare: s.EarlyShare, EarlyAfterMs: uint32(s.EarlyAfter.Milliseconds()),
		}
		for i := range s.Shards {
			shard := &configpb.Shard{
				Name: fmt.Sprintf("%s-%02d", s.Name, i),
				From: uint32(config.KeySpace * i / s.Shards), To: uint32(config.KeySpace * (i + 1) / s.Shards),
			}
			for r := range s.Replicas {
				shard.Replicas = append(shard.Replicas, &configpb.Replica{Address: loopbackAddress(port), FailureDomain: d.Domains[r%len(d.Domains)]})
				port++
			}
			service.Shards = append(service.Shards, shard)
		}
		c.Services = append(c.Services, service)
	}
	return c
}

// Leaves returns the backend servers named by Config, in the order of their ports.
// They do not listen yet.
func (d Deployment) Leaves(base int, record bool) []*Leaf {
	var leaves []*Leaf
	port := base
	for _, s := range d.Services {
		for range s.Shards * s.Replicas {
			leaves = append(leaves, NewLeaf(LeafOptions{
				Address: loopbackAddress(port), Slots: s.Slots, Connections: s.Connections, ServiceTime: s.ServiceTime,
				ConnectTime: s.ConnectTime, Versions: []uint64{1}, Seed: uint64(port), RecordExecutions: record,
			}))
			port++
		}
	}
	return leaves
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
