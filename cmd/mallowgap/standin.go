package main

import (
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/internal/standin"
)

type standinCommand struct {
	Leaf     leafCommand     `command:"leaf" description:"Run the backend servers of a deployment, or a part of them"`
	Platform platformCommand `command:"platform" description:"Run the platform's key-value service and host list"`
	Shape    shapeCommand    `command:"shape" description:"Print the configuration of a deployment as JSON"`
	Fault    faultCommand    `command:"fault" description:"Change the faults of a running stand-in"`
	Counters countersCommand `command:"counters" description:"Print the counters of a running stand-in"`
}

// deploymentFlags name a deployment and the ports of its leaves.
type deploymentFlags struct {
	Deployment string `long:"deployment" default:"trinacria" description:"trinacria or veerik."`
	Base       int    `long:"base" default:"21000" description:"First port of the leaves."`
}

type shapeCommand struct {
	deploymentFlags
	Homes uint32 `long:"homes" default:"1" description:"Entry hosts that carry each service."`
	Epoch uint64 `long:"epoch" default:"1" description:"Epoch of the shard maps; shards are named by it."`
}

// Execute prints the configuration of a deployment.
func (c *shapeCommand) Execute([]string) error {
	d, err := standin.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	config := d.Config(c.Base)
	for _, s := range config.GetServices() {
		s.Homes = c.Homes
		s.Epoch = c.Epoch
		for _, shard := range s.GetShards() {
			if c.Epoch > 1 {
				shard.Name = fmt.Sprintf("%s-e%d", shard.GetName(), c.Epoch)
			}
		}
	}
	printJSON(config)
	return nil
}

type leafCommand struct {
	deploymentFlags
	Control string        `long:"control" required:"yes" description:"Address for control calls."`
	Part    int           `long:"part" default:"0" description:"Part of the leaves that this process runs."`
	Parts   int           `long:"parts" default:"1" description:"Number of parts."`
	Record  bool          `long:"record" description:"Keep every execution, to verify replies."`
	Faults  string        `long:"faults" description:"Faults of all leaves at the start, as JSON (see LeafFaults in api/platformpb/platform.proto)."`
	Service time.Duration `long:"service-time" description:"Mean service time instead of the deployment's."`
}

// Execute runs leaves until a stop signal arrives.
func (c *leafCommand) Execute([]string) error {
	d, err := standin.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	for i := range d.Services {
		if c.Service > 0 {
			d.Services[i].ServiceTime = c.Service
		}
	}
	faults := &platformpb.LeafFaults{}
	if err := parseFaults(c.Faults, faults); err != nil {
		return err
	}
	control := standin.LeafControl{}
	for i, l := range d.Leaves(c.Base, c.Record) {
		if i%c.Parts != c.Part {
			continue
		}
		if err := l.Listen(); err != nil {
			return err
		}
		if err := l.SetFaults(proto.Clone(faults).(*platformpb.LeafFaults)); err != nil {
			return err
		}
		control.Leaves = append(control.Leaves, l)
	}
	server := grpc.NewServer(grpc.MaxSendMsgSize(512 << 20))
	platformpb.RegisterControlServer(server, control)
	return serveUntilStopped(server, c.Control)
}

type platformCommand struct {
	Listen string        `long:"listen" required:"yes" description:"Address to serve on."`
	Lag    time.Duration `long:"lag" default:"2s" description:"Lag of the host list."`
	Faults string        `long:"faults" description:"Faults at the start, as JSON (see PlatformFaults in api/platformpb/platform.proto)."`
}

// Execute runs the platform until a stop signal arrives.
func (c *platformCommand) Execute([]string) error {
	faults := &platformpb.PlatformFaults{HostListLagMs: uint32(c.Lag.Milliseconds())}
	if err := parseFaults(c.Faults, faults); err != nil {
		return err
	}
	p := standin.NewPlatform(faults)
	server := grpc.NewServer()
	platformpb.RegisterKeyValueServer(server, p)
	platformpb.RegisterHostListServer(server, p)
	platformpb.RegisterControlServer(server, p)
	return serveUntilStopped(server, c.Listen)
}

// serveUntilStopped serves on address until a stop signal arrives.
func serveUntilStopped(server *grpc.Server, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: choose a free address", err)
	}
	stop := stopSignal()
	go func() {
		<-stop
		server.Stop()
	}()
	return server.Serve(lis)
}

type faultCommand struct {
	target
	Platform bool `long:"platform" description:"The stand-in is a platform, not leaves."`
	Args     struct {
		JSON string `positional-arg-name:"JSON" description:"Faults, such as {\"slowFactor\": 10, \"address\": \"127.0.0.1:21000\"}."`
	} `positional-args:"yes" required:"yes"`
}

// Execute sets the faults of a running stand-in.
func (c *faultCommand) Execute([]string) error {
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	client := platformpb.NewControlClient(conn)
	if c.Platform {
		f := &platformpb.PlatformFaults{}
		if err := parseFaults(c.Args.JSON, f); err != nil {
			return err
		}
		_, err = client.SetPlatformFaults(ctx, f)
		return err
	}
	f := &platformpb.LeafFaults{}
	if err := parseFaults(c.Args.JSON, f); err != nil {
		return err
	}
	_, err = client.SetLeafFaults(ctx, f)
	return err
}

// parseFaults merges faults given as JSON into target. Empty text leaves target
// unchanged.
func parseFaults(text string, target proto.Message) error {
	if text == "" {
		return nil
	}
	parsed := target.ProtoReflect().New().Interface()
	if err := protojson.Unmarshal([]byte(text), parsed); err != nil {
		return fmt.Errorf("faults: %w: see %s in api/platformpb/platform.proto", err, target.ProtoReflect().Descriptor().Name())
	}
	proto.Merge(target, parsed)
	return nil
}

type countersCommand struct{ target }

// Execute prints the counters of a running stand-in.
func (c *countersCommand) Execute([]string) error {
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := platformpb.NewControlClient(conn).Counters(ctx, &platformpb.CountersRequest{})
	if err != nil {
		return err
	}
	printJSON(reply)
	return nil
}
