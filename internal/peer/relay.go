package peer

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"

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
