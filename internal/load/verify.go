package load

import (
	"context"
	"fmt"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
)

// Verify compares the outcomes reported to desks with the executions recorded by
// the leaves, and returns the violations. See Violations.
func Verify(ctx context.Context, targets Targets, told []Outcome) ([]string, error) {
	executed := map[string]int{}
	for _, address := range targets.LeafControls {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		reply, err := platformpb.NewControlClient(conn).Executions(ctx, &platformpb.ExecutionsRequest{}, executionsReplyLimit)
		_ = conn.Close()
		if err != nil {
			return nil, fmt.Errorf("read the executions of %s: %w", address, err)
		}
		for _, e := range reply.GetExecutions() {
			executed[e.GetRequestId()]++
		}
	}
	return Violations(told, executed), nil
}

// Violations checks that no request reported as not run was executed, that no
// non-repeatable request was executed twice, and that an answered non-repeatable
// request was executed once. executed holds the executions of each request.
func Violations(told []Outcome, executed map[string]int) []string {
	var violations []string
	for _, t := range told {
		n := executed[t.Request]
		if t.Outcome == callerpb.Outcome_NOT_RUN && n > 0 {
			violations = append(violations, fmt.Sprintf("request %s was reported as not run but executed %d times", t.Request, n))
		}
		if t.NotRepeatable && n > 1 {
			violations = append(violations, fmt.Sprintf("request %s is not repeatable but was executed %d times", t.Request, n))
		}
		if t.NotRepeatable && t.Outcome == callerpb.Outcome_ANSWERED && n != 1 {
			violations = append(violations, fmt.Sprintf("request %s was answered but executed %d times", t.Request, n))
		}
	}
	return violations
}
