package peer

import (
	"context"
	"errors"
	"io"
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// Gather asks a peer to call backend servers near it. handle is called for each
// reply up to the last one. An *UnreachableError means that nothing was sent.
func (c *DRPCClient) Gather(ctx context.Context, address string, request *relaypb.GatherRequest, handle func(*relaypb.GatherReply)) error {
	return c.withConn(ctx, address, func(conn drpc.Conn) error {
		stream, err := relaypb.NewDRPCRelayClient(conn).Gather(ctx, request)
		if err != nil {
			return err
		}
		for {
			reply, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			handle(reply)
			if reply.GetLast() {
				return stream.Close()
			}
		}
	})
}

// Follow subscribes to the platform state of a peer. handle is called for each
// update until ctx ends or the connection fails.
func (c *DRPCClient) Follow(ctx context.Context, address string, request *relaypb.FollowRequest, handle func(*relaypb.FollowReply)) error {
	return c.withConn(ctx, address, func(conn drpc.Conn) error {
		stream, err := relaypb.NewDRPCRelayClient(conn).Follow(ctx, request)
		if err != nil {
			return err
		}
		for {
			reply, err := stream.Recv()
			if err != nil {
				return err
			}
			handle(reply)
		}
	})
}

// Tell sends a peer the entries that this host cannot write to the store now.
func (c *DRPCClient) Tell(ctx context.Context, address string, request *relaypb.TellRequest) error {
	return c.withConn(ctx, address, func(conn drpc.Conn) error {
		_, err := relaypb.NewDRPCRelayClient(conn).Tell(ctx, request)
		return err
	})
}

// State returns the platform state of a peer.
func (c *DRPCClient) State(ctx context.Context, address string, request *relaypb.StateRequest) (reply *relaypb.StateReply, err error) {
	err = c.withConn(ctx, address, func(conn drpc.Conn) (err error) {
		reply, err = relaypb.NewDRPCRelayClient(conn).State(ctx, request)
		return err
	})
	return reply, err
}

// CoordinateStream is a host's end of a stream to a coordinator. Send and Recv may be called by
// different goroutines.
type CoordinateStream interface {
	Send(report *relaypb.CoordinateReport) error
	Recv() (*relaypb.CoordinateVerdict, error)
	// Close tells the coordinator that the host closes the stream, while its process runs on.
	Close() error
}

// Coordinate opens a stream to a coordinator and calls run with it. The stream ends when run
// returns. An *UnreachableError means that no connection could be established.
func (c *DRPCClient) Coordinate(ctx context.Context, address string, run func(CoordinateStream) error) error {
	return c.withConn(ctx, address, func(conn drpc.Conn) error {
		stream, err := relaypb.NewDRPCRelayClient(conn).Coordinate(ctx)
		if err != nil {
			return err
		}
		return run(stream)
	})
}

// Unimplemented reports whether an error means that the peer does not know the method, because
// it runs an older version.
func Unimplemented(err error) bool {
	return err != nil && (drpcerr.Code(err) == drpcerr.Unimplemented || strings.Contains(err.Error(), "unknown rpc"))
}
