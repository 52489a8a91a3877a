package load

import (
	"context"
	"fmt"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
)

// Verify compares the outcomes reported to desks with the executions recorded by
// the leaves, and returns the violations. See Violations.
func Verify(ctx context.Context, targets Targets, outcomes []Outcome) ([]string, error) {
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
	return Violations(outcomes, executed), nil
}

// Violations checks that no request reported as not run was executed, that no
// non-repeatable request was executed twice, and that an answered non-repeatable
// request was executed once. executed holds the executions of each request.
func Violations(outcomes []Outcome, executed map[string]int) []string {
	var violations []string
	for _, o := range outcomes {
		n := executed[o.Request]
		if o.Outcome == callerpb.Outcome_NOT_RUN && n > 0 {
			violations = append(violations, fmt.Sprintf("request %s was reported as not run but executed %d times", o.Request, n))
		}
		if o.NotRepeatable && n > 1 {
			violations = append(violations, fmt.Sprintf("request %s is not repeatable but was executed %d times", o.Request, n))
		}
		if o.NotRepeatable && o.Outcome == callerpb.Outcome_ANSWERED && n != 1 {
			violations = append(violations, fmt.Sprintf("request %s was answered but executed %d times", o.Request, n))
		}
	}
	return violations
}
