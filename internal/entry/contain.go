package entry

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/internal/home"
)

// panicLinesPerSecond limits the log lines of one process about panics, which hold a stack trace.
const panicLinesPerSecond = 10

// recoverPanic runs fn for a request, and converts a panic into a *home.PanicError.
func (d *Daemon) recoverPanic(work, request string, fn func() error) error {
	var err error
	panicked := home.RecoverPanic(&d.panicLog, work, request, func() { err = fn() })
	if panicked != nil {
		return panicked
	}
	return err
}

// replyOrPanic returns the reply of fn, or that of onPanic if fn panics.
func (d *Daemon) replyOrPanic(work string, req *callerpb.AskRequest, onPanic func(*callerpb.AskRequest) *callerpb.AskReply, fn func() *callerpb.AskReply) (reply *callerpb.AskReply) {
	if home.RecoverPanic(&d.panicLog, work, req.GetRequestId(), func() { reply = fn() }) != nil {
		return onPanic(req)
	}
	return reply
}

// refusePanic returns the reply to a request that panicked before it was sent to a home.
func (d *Daemon) refusePanic(req *callerpb.AskRequest) *callerpb.AskReply {
	reply := home.PanicNotRun(req)
	if len(req.GetTicket()) > 0 {
		reply = home.PanicUnknown(req)
	}
	return reply
}

// recoverUnary converts a panic of a call into a status. gRPC does not recover panics.
func (d *Daemon) recoverUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	request := ""
	if r, ok := req.(interface{ GetRequestId() string }); ok {
		request = r.GetRequestId()
	}
	err = d.recoverPanic(info.FullMethod, request, func() (err error) {
		reply, err = handler(ctx, req)
		return err
	})
	return reply, statusOfPanic(err)
}

// recoverStream is recoverUnary for streams.
func (d *Daemon) recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return statusOfPanic(d.recoverPanic(info.FullMethod, "", func() error { return handler(server, stream) }))
}

// statusOfPanic returns the status Internal for a panic, and other errors unchanged.
func statusOfPanic(err error) error {
	var panicked *home.PanicError
	if errors.As(err, &panicked) {
		return status.Error(codes.Internal, panicked.Error())
	}
	return err
}

// recoveringHandler converts a panic of a peer's call into an error. drpc does not recover panics.
type recoveringHandler struct {
	handler drpc.Handler
	daemon  *Daemon
}

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.daemon.recoverPanic(rpc, "", func() error { return h.handler.HandleRPC(stream, rpc) })
}
