package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/obs"
)

const (
	// refusalLinesPerSecond limits the log lines of one process about requests that were refused while they were read.
	refusalLinesPerSecond = 5
	// requestMemoryDivisor is the part of the host's memory that requests of callers may take by default, as a divisor:
	// the collector lets garbage grow to as much again, and connections and the kernel's buffers take more.
	requestMemoryDivisor = 8
	// receiveBuffer limits what the kernel keeps unread of a caller's connection, in bytes. It counts toward the
	// host's memory.
	receiveBuffer = 16 << 10

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
		OnRefusal: func(r callerconn.Refusal) {
			lines.Info().Str("reason", r.Reason.String()).Str("caller", r.Caller.String()).Int64("head_bytes", r.HeadBytes).
				Int64("held", r.Held).Dur("age", r.Age).Msg("caller refused before its request was read")
		},
	}
	g.log.Info().Int64("request_memory", limits.Memory).Msg("limits of callers")
	return limits
}

// requestMemory returns the limit of the memory of callers' requests, in bytes.
func requestMemory(s *settingspb.Gateway) int64 {
	if set := s.GetListen().GetRequestMemoryMb(); set > 0 {
		return int64(set) * mb
	}
	return int64(s.GetHost().GetMemoryMb()) * mb / requestMemoryDivisor
}

// observeCallers updates the gauges of what callers take.
func observeCallers(conns *callerconn.Tracker) {
	callerMemory.Set(float64(conns.MemoryTaken()))
	callerConnections.Set(float64(conns.Open()))
}
