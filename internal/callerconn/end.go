package callerconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// End is why a connection ended, if it has.
type End int

const (
	// Unknown: the context is not that of a tracked connection.
	Unknown End = iota
	// Open: the connection has not ended.
	Open
	// EndOfFile: the caller closed its sending side. It may still read a response.
	EndOfFile
	// Reset: the caller reset the connection. Nobody reads a response.
	Reset
	// Deadline: this host ended it because the caller took too long to send or to read, or was idle for
	// too long.
	Deadline
	// Broken: reading or writing failed otherwise.
	Broken
	// Idle: this host closed it as idle.
	Idle
	// Stopping: this host closed it as idle during a graceful shutdown.
	Stopping
	// HeadTooLarge: this host refused a request whose head exceeds the limit.
	HeadTooLarge
	// Memory: this host ended a request that was being read, to make room for others.
	Memory
	// Displaced: this host closed it before a whole request was read, to make room for another connection.
	Displaced
	// NoRoom: this host closed it at once, as no other connection could make room for it.
	NoRoom
	// Closed: this host closed it after a response, or instead of one.
	Closed
)

// String returns the name used in logs and metrics.
func (e End) String() string {
	return [...]string{"unknown", "open", "end_of_file", "reset", "deadline", "broken", "idle", "stopping", "head_too_large", "memory", "displaced", "no_room", "closed"}[e]
}

// FromContext returns why the connection of a request ended. It is known before the context of the
// request is done.
func FromContext(ctx context.Context) End {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return Unknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// endOf returns the end that the error of a read or write means.
func endOf(err error) End {
	switch {
	case errors.Is(err, io.EOF):
		return EndOfFile
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Deadline
	}
	return Broken
}

// noteEnd records why the connection ended. The first reason stands, but a reset tells more than an
// end of file. c.mu is held.
func (c *Conn) noteEnd(e End) {
	if !c.closed && (c.end == Open || c.end == EndOfFile && e == Reset) {
		c.end = e
	}
}

// ended counts the connections that ended, by reason.
var ended = newEndCounters()

func newEndCounters() map[End]*metrics.Counter {
	counters := map[End]*metrics.Counter{}
	for e := EndOfFile; e <= Closed; e++ {
		counters[e] = metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_caller_connections_ended_total{reason=%q}", e))
	}
	return counters
}
