package gateway

import (
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/obs"
)

const (
	// refusalLinesPerSecond limits the log lines of one process about requests that were refused while they were read.
	refusalLinesPerSecond = 5
	// connectionMemory is the memory that a connection of a caller may take besides that limit, in bytes: the buffers of
	// net/http and the kernel, stacks, and the allowance of a request.
	connectionMemory = 192 << 10
	// fileDescriptors is the number of descriptors that are kept for files and listeners. Callers get half of the others:
	// the store, servers and other hosts need the rest.
	fileDescriptors = 200
	// maxDescriptors is the limit that is assumed where the system has none.
	maxDescriptors = 1 << 20

	mb = 1 << 20
)

var (
	// callerMemory is the memory of the requests that are read and served, in bytes, and callerConnections the number of
	// open connections of callers.
	callerMemory      = metrics.GetOrCreateGauge("mallowgap_caller_request_memory_bytes", nil)
	callerConnections = metrics.GetOrCreateGauge("mallowgap_caller_connections", nil)
)

// callerLimits returns the limits of the connections of callers.
func (g *Gateway) callerLimits() callerconn.Limits {
	lines := obs.RateLimited(g.log, refusalLinesPerSecond)
	limits := callerconn.Limits{
		HeadBytes: func() int { return g.Limits().HeaderBytes },
		Memory:    requestMemory(g.settings),
		MaxConns:  maxConnections(g.settings, descriptorLimit(g.settings)),
		OnRefusal: func(r callerconn.Refusal) {
			lines.Info().Str("reason", r.Reason.String()).Str("caller", r.Caller.String()).Int64("head_bytes", r.HeadBytes).
				Int64("held", r.Held).Dur("age", r.Age).Msg("caller refused before its request was read")
		},
	}
	g.log.Info().Int64("request_memory", limits.Memory).Int("connections", limits.MaxConns).Msg("limits of callers")
	return limits
}

// requestMemory returns the limit of the memory of callers' requests, in bytes.
func requestMemory(s *settingspb.Gateway) int64 {
	if set := s.GetListen().GetRequestMemoryMb(); set > 0 {
		return int64(set) * mb
	}
	return int64(s.GetHost().GetMemoryMb()) * mb / callerconn.MemoryDivisor
}

// maxConnections returns the limit of the number of callers' connections.
func maxConnections(s *settingspb.Gateway, descriptors int) int {
	if set := s.GetListen().GetMaxConnections(); set > 0 {
		return int(set)
	}
	byMemory := int(s.GetHost().GetMemoryMb()) * mb / connectionMemory
	return max(1, min(byMemory, (descriptors-fileDescriptors)/2))
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit(s *settingspb.Gateway) int {
	limit := int(s.GetHost().GetMaxDescriptors())
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil || system.Cur > maxDescriptors {
		system.Cur = maxDescriptors
	}
	if limit == 0 || int(system.Cur) < limit {
		limit = int(system.Cur)
	}
	return limit
}

// observeCallers updates the gauges of what callers take.
func observeCallers(conns *callerconn.Tracker) {
	callerMemory.Set(float64(conns.MemoryTaken()))
	callerConnections.Set(float64(conns.Open()))
}
