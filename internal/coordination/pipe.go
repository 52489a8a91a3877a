package coordination

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/peer"
)

var errStreamClosed = errors.New("the host has closed the stream")

// Connect connects a host with a coordinator in the same process: serve and run get the two ends of
// a stream, which ends when one of them returns. It returns the result of run.
func Connect(ctx context.Context, serve func(ServerStream) error, run func(peer.CoordinateStream) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &pipe{
		ctx: ctx, reports: make(chan *relaypb.CoordinateReport), verdicts: make(chan *relaypb.CoordinateVerdict),
		closed: make(chan struct{}), served: make(chan struct{}),
	}
	go func() {
		if p.err = serve(serverEnd{p}); p.err == nil {
			p.err = io.EOF
		}
		close(p.served)
	}()
	return run(hostEnd{p})
}

// pipe is a stream within a process.
type pipe struct {
	ctx      context.Context
	reports  chan *relaypb.CoordinateReport
	verdicts chan *relaypb.CoordinateVerdict
	// closed is closed when the host closes the stream; served, when the coordinator has returned,
	// with err.
	closed    chan struct{}
	closeOnce sync.Once
	served    chan struct{}
	err       error
}

// hostEnd is the host's end of a pipe.
type hostEnd struct{ *pipe }

func (p hostEnd) Send(m *relaypb.CoordinateReport) error {
	select {
	case p.reports <- m:
		return nil
	case <-p.served:
		return io.EOF
	case <-p.closed:
		return errStreamClosed
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p hostEnd) Recv() (*relaypb.CoordinateVerdict, error) {
	select {
	case m := <-p.verdicts:
		return m, nil
	case <-p.served:
		return nil, p.err
	case <-p.closed:
		return nil, errStreamClosed
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

func (p hostEnd) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// serverEnd is the coordinator's end of a pipe.
type serverEnd struct{ *pipe }

func (p serverEnd) Send(m *relaypb.CoordinateVerdict) error {
	select {
	case p.verdicts <- m:
		return nil
	case <-p.closed:
		return errStreamClosed
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p serverEnd) Recv() (*relaypb.CoordinateReport, error) {
	select {
	case m := <-p.reports:
		return m, nil
	case <-p.closed:
		return nil, io.EOF
	case <-p.served:
		return nil, p.err
	case <-p.ctx.Done():
		select {
		case <-p.closed:
			return nil, io.EOF
		default:
			return nil, p.ctx.Err()
		}
	}
}
