package peer_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcwire"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/endless"
	"github.com/mallowgap/mallowgap/internal/peer"
)

// maxMessageMemory limits what a message without end may allocate, in bytes: 6 times the greatest
// message, as its buffer grows by doubling and is copied.
const maxMessageMemory = 6 * 17 << 20

// endlessMessages are bytes that never complete a message.
func endlessMessages(kind drpcwire.Kind) map[string][]byte {
	frame := drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Data: make([]byte, 60<<10)}
	return map[string][]byte{
		"frames of one message": drpcwire.AppendFrame(nil, frame),
		"zeros":                 make([]byte, 64<<10),
		"ones":                  bytes.Repeat([]byte{0xff}, 64<<10),
		"text":                  bytes.Repeat([]byte("HTTP/1.1 200 OK\r\n"), 4<<10),
	}
}

// A host that sends without end must lose its connection in bounded memory.
func TestEndlessMessageOfAPeerEndsItsConnection(t *testing.T) {
	mux := drpcmux.New()
	assert.NilError(t, relaypb.DRPCRegisterRelay(mux, &relayStub{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = peer.NewServer(mux).Serve(ctx, listener) }()
	for name, block := range endlessMessages(drpcwire.KindInvoke) {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			var taken bool
			memory := endless.Allocated(func() { taken = endless.Write(c, "", block) })
			assert.Assert(t, !taken)
			assert.Assert(t, memory < maxMessageMemory, "%d bytes allocated", memory)
		})
	}
}

// The same holds for a host that replies without end.
func TestEndlessReplyOfAPeerEndsItsCall(t *testing.T) {
	for name, block := range endlessMessages(drpcwire.KindMessage) {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			taken := make(chan bool, 1)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				taken <- endless.Write(c, "", block)
			}()
			client := peer.NewDRPCClient(time.Second, nil)
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			memory := endless.Allocated(func() {
				_, err = client.State(ctx, listener.Addr().String(), &relaypb.StateRequest{})
			})
			assert.Assert(t, err != nil && ctx.Err() == nil, "%v", err)
			assert.Assert(t, !<-taken)
			assert.Assert(t, memory < maxMessageMemory, "%d bytes allocated", memory)
		})
	}
}
