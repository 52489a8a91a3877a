package capacity

import (
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/route"
)

// routeCounts are the numbers of routes measured.
var routeCounts = []int{50, 1450, 2850, 4250}

const (
	// queryShards is the number of shards of the query among the routes.
	queryShards = 135
	// hostNames is the number of host names among which the routes are spread.
	hostNames = 97
)

// syntheticRoutes returns a configuration with one query and single services for the other routes.
func syntheticRoutes(routes int) route.Config {
	var c route.Config
	query := &route.Query{Top: 20, MinShare: 0.95}
	for i := range queryShards {
		query.Shards = append(query.Shards, fmt.Sprintf("shard-%04d", i))
		c.Services = append(c.Services, route.Service{Name: query.Shards[i], MaxConns: 26})
	}
	for i := range routes {
		r := route.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: fmt.Sprintf("host-%02d", i%hostNames), Prefix: fmt.Sprintf("/route-%04d/", i),
			Timeout: time.Second, Objective: time.Second, MaxAttempts: 2,
		}
		if i == 0 {
			r.Query = query
		} else {
			r.Targets = []route.Target{{Service: query.Shards[i%queryShards], Weight: 1}}
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

// measureRoutes measures the processor time in which a decoded version of a gateway's configuration is
// validated and its table is built, and the memory of both, by number of routes.
func measureRoutes() []Slope {
	var adopted, memory []Point
	for _, n := range routeCounts {
		c := syntheticRoutes(n)
		size := float64(n)
		var holder route.Holder
		adopted = append(adopted, Point{size, microsPerCall(func() {
			c.Version++
			if ok, err := holder.Adopt(c); !ok || err != nil {
				panic(fmt.Sprint("capacity: configuration not adopted: ", err))
			}
		})})
		memory = append(memory, Point{size, heapOf(func() *route.Table { return route.NewTable(syntheticRoutes(n)) }) / 1024})
	}
	return []Slope{
		fit("decoded version of a gateway's routes adopted, processor time", "µs", "routes", adopted),
		fit("routes and table of a gateway, memory", "KiB", "routes", memory),
	}
}
