package coordination

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/peer"
)

const (
	// closeTimeout limits the time to tell a coordinator that the stream ends.
	closeTimeout = 100 * time.Millisecond
	// maxWait is the longest wait of a session that is not paused, as it sends heartbeats. After a
	// pause of this process its timers tell nothing about the coordinator.
	maxWait = heartbeatInterval * 3 / 2
)

var (
	errNoConnection = errors.New("no connection within the timeout")
	errMoved        = errors.New("another candidate is preferred")
	errDisabled     = errors.New("the configuration needs no coordination")
	errLeaving      = errors.New("this host is shutting down")
)

// session is one stream to a coordinator. Its fields belong to the goroutine of run.
type session struct {
	c      *Coordination
	target Host
	began  time.Time
	// heard is when the last message arrived; zero if none has.
	heard time.Time

	received chan *relaypb.CoordinateVerdict
	failed   chan error
	outgoing chan *relaypb.CoordinateReport
	written  chan struct{}
	// writing is set while a report is being written; due, if there is news to report.
	writing, due bool
	// better is the candidate that has been preferred to the target without interruption since
	// betterSince.
	better      Host
	betterSince time.Time
	// probed receives the result of the probe of a better candidate; probing is set until then.
	probed  chan probeResult
	probing bool
}

// probeResult tells whether a candidate is ready to coordinate.
type probeResult struct {
	address string
	err     error
}

// run reports to the coordinator and applies its messages until the stream fails or is no longer
// wanted. It returns why.
func (s *session) run(ctx context.Context, stream peer.CoordinateStream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.received, s.failed = make(chan *relaypb.CoordinateVerdict), make(chan error, 1)
	s.outgoing, s.written = make(chan *relaypb.CoordinateReport, 1), make(chan struct{}, 1)
	s.probed = make(chan probeResult, 1)
	go s.receive(ctx, stream)
	go s.write(ctx, stream)
	defer closeStream(stream)
	account, now := s.c.account, time.Now()
	recent := account.connected(now)
	defer func() { account.disconnected(time.Now()) }()
	s.send(recent, now)
	return s.loop(ctx)
}

// closeStream tells the coordinator that the stream ends, unless that takes too long.
func closeStream(stream peer.CoordinateStream) {
	closed := make(chan struct{})
	go func() {
		_ = stream.Close() // The stream may have failed.
		close(closed)
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}

func (s *session) receive(ctx context.Context, stream peer.CoordinateStream) {
	for {
		m, err := stream.Recv()
		if err != nil {
			s.failed <- err
			return
		}
		select {
		case s.received <- m:
		case <-ctx.Done():
			return
		}
	}
}

// write writes reports. After an error receive learns why the stream failed.
func (s *session) write(ctx context.Context, stream peer.CoordinateStream) {
	for {
		select {
		case m := <-s.outgoing:
			if stream.Send(m) != nil {
				return
			}
			s.written <- struct{}{}
		case <-ctx.Done():
			return
		}
	}
}

// loop waits for what happens next until the stream ends.
func (s *session) loop(ctx context.Context) error {
	account := s.c.account
	coalesce, heartbeat, silence, poll := stoppedTimer(), time.NewTimer(heartbeatInterval), time.NewTimer(silenceTimeout), time.NewTicker(pollInterval)
	defer func() { coalesce.Stop(); heartbeat.Stop(); silence.Stop(); poll.Stop() }()
	for coalescing := false; ; {
		waitBegan, silent := time.Now(), false
		select {
		case m := <-s.received:
			silence.Reset(silenceTimeout)
			recoverPanic(s.c.log, "message of the coordinator", func() { s.apply(m, time.Now()) })
		case err := <-s.failed:
			return err
		case <-account.asked:
			s.due = true
		case <-account.news:
			if !coalescing {
				coalesce.Reset(verdictInterval)
			}
			coalescing = true
		case <-coalesce.C:
			s.due, coalescing = true, false
		case <-heartbeat.C:
			s.due = true
		case <-s.written:
			s.writing = false
		case <-silence.C:
			silent = true
		case <-poll.C:
			if err := s.recheck(ctx, time.Now()); err != nil {
				return err
			}
		case p := <-s.probed:
			if s.probing = false; p.err == nil {
				return errMoved
			}
			s.c.coolDown(p.address, p.err, time.Now())
		case <-s.c.resumed:
			return errSuspended
		case <-s.c.leave:
			return s.sayLeaving()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if time.Since(waitBegan) > maxWait {
			silence.Reset(silenceTimeout)
		} else if silent {
			return errSilent
		}
		if s.due && !s.writing {
			s.send(nil, time.Now())
			heartbeat.Reset(heartbeatInterval)
		}
	}
}

// stoppedTimer returns a timer that does not run.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(math.MaxInt64)
	t.Stop()
	return t
}

// send writes a report. Nothing is being written.
func (s *session) send(recent []*relaypb.TeamCount, now time.Time) {
	m := s.c.account.report(now)
	m.Host, m.Incarnation, m.Recent = s.c.config.Host, s.c.config.Incarnation, recent
	s.outgoing <- m
	s.writing, s.due = true, false
}

// apply applies a message of the coordinator.
func (s *session) apply(m *relaypb.CoordinateVerdict, now time.Time) {
	if s.heard.IsZero() {
		coordinatorChanges.Inc()
		s.c.log.Info().Str("coordinator", s.target.Name).Str("peer", s.target.Address).Msg("connected to the coordinator")
	}
	s.heard = now
	s.c.account.heard(s.target.Name, m, now)
	if verdicts := verdictsFromWire(m.GetGates()); len(verdicts) > 0 {
		s.c.config.Listener.VerdictsChanged(verdicts, now)
	}
	if loads := loadsFromWire(m.GetLoads()); len(loads) > 0 {
		s.c.config.Listener.LoadsChanged(loads, now)
	}
}

// recheck returns an error if the stream is no longer wanted. If there is a better candidate, it
// finds out whether that responds.
func (s *session) recheck(ctx context.Context, now time.Time) error {
	target, enabled := s.c.choose(now)
	switch {
	case !enabled:
		return errDisabled
	case target.Name == "" || !s.c.outranks(target, s.target):
		s.better = Host{}
		return nil
	case target != s.better:
		s.better, s.betterSince = target, now
		return nil
	case now.Sub(s.betterSince) < moveDelay || s.probing:
		return nil
	case s.c.isSelf(target):
		return errMoved
	}
	s.probing = true
	go func() { s.probed <- probeResult{target.Address, s.c.probe(ctx, target)} }()
	return nil
}

// probe opens a stream to a candidate and returns an error unless it is ready to coordinate.
func (c *Coordination) probe(ctx context.Context, target Host) error {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return c.config.Peers.Coordinate(ctx, target.Address, func(stream peer.CoordinateStream) error {
		defer closeStream(stream)
		_, err := stream.Recv()
		return err
	})
}

// sayLeaving sends the last report.
func (s *session) sayLeaving() error {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	for last := false; ; {
		if !s.writing && !last {
			m := s.c.account.report(time.Now())
			m.Host, m.Incarnation, m.Leaving = s.c.config.Host, s.c.config.Incarnation, true
			s.outgoing <- m
			s.writing, last = true, true
		}
		select {
		case <-s.written:
			s.writing = false
			if last {
				return errLeaving
			}
		case <-s.failed:
			return errLeaving
		case <-timer.C:
			return errLeaving
		}
	}
}
