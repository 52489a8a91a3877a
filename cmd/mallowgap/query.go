package main

import (
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/mallowgap/mallowgap/api/callerpb"
)

type queryCommand struct {
	target
	Desk    string `long:"desk" required:"yes" description:"Desk that asks."`
	Service string `long:"service" required:"yes" description:"Service that is asked."`
	Request string `long:"request-id" description:"Identifier of the request; made up if not given."`
	Once    bool   `long:"not-repeatable" description:"Run at most once; a ticket is fetched first."`
	Args    struct {
		Query string `positional-arg-name:"QUERY"`
	} `positional-args:"yes"`
}

// Execute sends one request and prints the reply.
func (c *queryCommand) Execute([]string) error {
	conn, ctx, cancel, err := c.dial()
	if err != nil {
		return err
	}
	defer cancel()
	if c.Request == "" {
		c.Request = fmt.Sprintf("query-%d", time.Now().UnixNano())
	}
	ask := &callerpb.AskRequest{
		Desk: c.Desk, Service: c.Service, RequestId: c.Request, Query: []byte(c.Args.Query), NotRepeatable: c.Once,
	}
	client := callerpb.NewQueryClient(conn)
	reply, err := client.Ask(ctx, ask, grpc.WaitForReady(true))
	if err == nil && reply.GetReason() == callerpb.Reason_TICKET_REQUIRED {
		ask.Ticket = reply.GetTicket()
		ask.NotRepeatable = true
		reply, err = client.Ask(ctx, ask)
	}
	if err != nil {
		return err
	}
	printJSON(reply)
	if reply.GetOutcome() != callerpb.Outcome_ANSWERED {
		return fmt.Errorf("%s: %s", reply.GetOutcome(), reply.GetMessage())
	}
	return nil
}
