package platform

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/secure"
)

// Store is the key-value service.
type Store interface {
	config.Store
	// Watch waits until the version of the value is greater than after and returns
	// the value, or an error if ctx ends first.
	Watch(ctx context.Context, key string, after uint64) (config.Value, error)
}

// HostList is the platform's list of hosts. It is eventually consistent and may be
// out of date.
type HostList interface {
	// Hosts returns the hosts in the list.
	Hosts(ctx context.Context) ([]*platformpb.Host, error)
	// Announce adds this host to the list or updates its entry.
	Announce(ctx context.Context, host *platformpb.Host) error
}

// Client implements Store and HostList over gRPC. It is safe for concurrent use.
type Client struct {
	conn    *grpc.ClientConn
	kv      platformpb.KeyValueClient
	hosts   platformpb.HostListClient
	timeout time.Duration
}

// NewClient returns a client of the platform at address. timeout bounds each call
// except Watch.
func NewClient(address string, timeout time.Duration, c credentials.TransportCredentials) (*Client, error) {
	conn, err := secure.Dial(address, c)
	if err != nil {
		return nil, fmt.Errorf("platform address %q: %w", address, err)
	}
	return &Client{
		conn:    conn,
		kv:      platformpb.NewKeyValueClient(conn),
		hosts:   platformpb.NewHostListClient(conn),
		timeout: timeout,
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Get returns a value. Version 0 means that the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (config.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.kv.Get(ctx, &platformpb.GetRequest{Key: key})
	obs.CountPlatformCall("get", err)
	if err != nil {
		return config.Value{}, err
	}
	return config.Value{Version: reply.GetVersion(), Data: reply.GetValue()}, nil
}

// CompareAndSwap writes a value if the key has the expected version, and reports
// whether it did. After an error, the value may or may not have been written.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.kv.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{Key: key, ExpectVersion: expect, Value: data})
	obs.CountPlatformCall("compare_and_swap", err)
	if err != nil {
		return false, err
	}
	return reply.GetSwapped(), nil
}

// Watch waits until the version of the value is greater than after and returns the
// value, or an error if ctx ends first.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (config.Value, error) {
	reply, err := c.kv.Watch(ctx, &platformpb.WatchRequest{Key: key, AfterVersion: after})
	obs.CountPlatformCall("watch", err)
	if err != nil {
		return config.Value{}, err
	}
	return config.Value{Version: reply.GetVersion(), Data: reply.GetValue()}, nil
}

// Hosts returns the hosts in the list.
func (c *Client) Hosts(ctx context.Context) ([]*platformpb.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.hosts.List(ctx, &platformpb.ListRequest{})
	obs.CountPlatformCall("list_hosts", err)
	if err != nil {
		return nil, err
	}
	return reply.GetHosts(), nil
}

// Announce adds a host to the list or updates its entry.
func (c *Client) Announce(ctx context.Context, host *platformpb.Host) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.hosts.Announce(ctx, &platformpb.AnnounceRequest{Host: host})
	obs.CountPlatformCall("announce", err)
	return err
}
