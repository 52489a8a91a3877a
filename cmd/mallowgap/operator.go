package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/internal/secure"
)

type operatorCommand struct {
	Get    getCommand    `command:"get" description:"Print the configuration in force as JSON"`
	Apply  applyCommand  `command:"apply" description:"Replace the configuration by that of a JSON file"`
	Wait   waitCommand   `command:"wait" description:"Wait until a revision is in force at every live entry host"`
	Status statusCommand `command:"status" description:"Print members, homes and revisions"`
}

// target holds the flags of commands that call an entry host or a stand-in.
type target struct {
	Address string        `long:"address" required:"yes" description:"Callers address of an entry host, IP:port."`
	CA      string        `long:"ca" description:"Authorities of the host (PEM file); TLS is off without."`
	Cert    string        `long:"cert" description:"Certificate to prove oneself with (PEM file)."`
	Key     string        `long:"key" description:"Key of the certificate (PEM file)."`
	Timeout time.Duration `long:"timeout" default:"10s" description:"Longest wait."`
}

// dial connects to the target. The returned context expires after the timeout.
func (t target) dial() (*grpc.ClientConn, context.Context, context.CancelFunc, error) {
	identity, err := secure.Load(secure.Files{Cert: t.Cert, Key: t.Key, CA: t.CA})
	if err != nil {
		return nil, nil, nil, err
	}
	conn, err := secure.Dial(t.Address, identity.ClientCredentials())
	if err != nil {
		return nil, nil, nil, fmt.Errorf("address %q: %w: give IP:port", t.Address, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	return conn, ctx, cancel, nil
}

func printJSON(m proto.Message) {
	fmt.Println(protojson.MarshalOptions{Multiline: true, EmitUnpopulated: false}.Format(m))
}

type getCommand struct{ target }

// Execute prints the configuration in force.
func (c *getCommand) Execute([]string) error {
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := operatorpb.NewOperatorClient(conn).Get(ctx, &operatorpb.GetRequest{}, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	printJSON(reply.GetConfig())
	return nil
}

type applyCommand struct {
	target
	Expect   uint64 `long:"expect" description:"Revision the change was made from; 0 for the first."`
	ChangeID string `long:"change-id" description:"Unique name of the change; repeat it to learn the fate of a change."`
	Wait     bool   `long:"wait" description:"Wait until the change is in force everywhere."`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"Configuration as JSON."`
	} `positional-args:"yes" required:"yes"`
}

// Execute applies a configuration.
func (c *applyCommand) Execute([]string) error {
	next, err := readConfig(c.Args.File)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = fmt.Sprintf("change-%d-%d", os.Getpid(), time.Now().UnixNano())
	}
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	client := operatorpb.NewOperatorClient(conn)
	reply, err := client.Apply(ctx, &operatorpb.ApplyRequest{ExpectRevision: c.Expect, ChangeId: c.ChangeID, Config: next}, grpc.WaitForReady(true))
	if err != nil {
		return fmt.Errorf("%w: apply again with --change-id %s to learn whether the change was accepted", err, c.ChangeID)
	}
	if reply.GetOutcome() != operatorpb.ApplyOutcome_ACCEPTED {
		return fmt.Errorf("%s: %s (change-id %s)", reply.GetOutcome(), reply.GetMessage(), c.ChangeID)
	}
	fmt.Printf("accepted as revision %d\n", reply.GetRevision())
	if !c.Wait {
		return nil
	}
	return waitFor(ctx, client, reply.GetRevision())
}

// readConfig reads a configuration from a JSON file.
func readConfig(path string) (*configpb.Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &configpb.Config{}
	if err := protojson.Unmarshal(b, c); err != nil {
		return nil, fmt.Errorf("%s: %w: correct the JSON", path, err)
	}
	return c, nil
}

type waitCommand struct {
	target
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute waits until a revision is in force everywhere.
func (c *waitCommand) Execute([]string) error {
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	return waitFor(ctx, operatorpb.NewOperatorClient(conn), c.Args.Revision)
}

func waitFor(ctx context.Context, client operatorpb.OperatorClient, revision uint64) error {
	begin := time.Now()
	reply, err := client.Wait(ctx, &operatorpb.WaitRequest{Revision: revision}, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	if !reply.GetInForce() {
		return errors.New("revision is not confirmed in force at: " + strings.Join(reply.GetMissing(), ", "))
	}
	fmt.Printf("in force everywhere after %v\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

type statusCommand struct{ target }

// Execute prints the status that the entry host reports.
func (c *statusCommand) Execute([]string) error {
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := operatorpb.NewOperatorClient(conn).Status(ctx, &operatorpb.StatusRequest{}, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	printJSON(reply)
	return nil
}
