package peer

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// Gather asks a peer to call servers near it. Each reply is handed to received
// until the last one. An *UnreachableError says that nothing was sent.
func (c *DRPC) Gather(ctx context.Context, address string, request *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error {
	return c.with(ctx, address, func(conn drpc.Conn) error {
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
			received(reply)
			if reply.GetLast() {
				return stream.Close()
			}
		}
	})
}

// Follow hands what a peer learns of the platform to received until ctx ends or
// the connection fails.
func (c *DRPC) Follow(ctx context.Context, address string, request *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error {
	return c.with(ctx, address, func(conn drpc.Conn) error {
		stream, err := relaypb.NewDRPCRelayClient(conn).Follow(ctx, request)
		if err != nil {
			return err
		}
		for {
			reply, err := stream.Recv()
			if err != nil {
				return err
			}
			received(reply)
		}
	})
}

// Tell hands a peer entries that the store does not take now.
func (c *DRPC) Tell(ctx context.Context, address string, request *relaypb.TellRequest) error {
	return c.with(ctx, address, func(conn drpc.Conn) error {
		_, err := relaypb.NewDRPCRelayClient(conn).Tell(ctx, request)
		return err
	})
}

// State asks a peer for what it knows of the platform.
func (c *DRPC) State(ctx context.Context, address string, request *relaypb.StateRequest) (reply *relaypb.StateReply, err error) {
	err = c.with(ctx, address, func(conn drpc.Conn) (err error) {
		reply, err = relaypb.NewDRPCRelayClient(conn).State(ctx, request)
		return err
	})
	return reply, err
}
