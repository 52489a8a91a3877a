package once_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/once"
)

func decode(t *testing.T, encoded []byte) once.Ticket {
	t.Helper()
	ticket, err := once.Decode(encoded)
	assert.NilError(t, err)
	return ticket
}

func redeem(l *once.Ledger, ticket once.Ticket, request string) once.Decision {
	decision, _, _ := l.Redeem(ticket, "desk", "tags", request)
	return decision
}

func TestRedeemOnce(t *testing.T) {
	l := once.NewLedger("a", 1)
	ticket := decode(t, l.Mint("desk", "tags", "r"))
	assert.Equal(t, redeem(l, ticket, "r"), once.Execute)
	assert.Equal(t, redeem(l, ticket, "r"), once.InProgress)
	assert.Equal(t, redeem(l, ticket, "other"), once.OtherRequest)
	l.Finish(ticket, []byte("done"))
	decision, outcome, done := l.Redeem(ticket, "desk", "tags", "r")
	assert.Equal(t, decision, once.Replay)
	assert.Equal(t, string(outcome), "done")
	<-done
}

func TestRedeemWithoutKeptOutcomeIsUsed(t *testing.T) {
	l := once.NewLedger("a", 1)
	first := decode(t, l.Mint("desk", "tags", "r"))
	assert.Equal(t, redeem(l, first, "r"), once.Execute)
	l.Finish(first, nil)
	for i := range 5000 {
		ticket := decode(t, l.Mint("desk", "tags", fmt.Sprint(i)))
		assert.Equal(t, redeem(l, ticket, fmt.Sprint(i)), once.Execute)
		l.Finish(ticket, nil)
	}
	assert.Equal(t, redeem(l, first, "r"), once.OutcomeExpired)
}

func TestForeignAndForgedTicketsAreRejected(t *testing.T) {
	l := once.NewLedger("a", 2)
	assert.Equal(t, redeem(l, decode(t, once.NewLedger("b", 2).Mint("desk", "tags", "r")), "r"), once.OtherHost)
	assert.Equal(t, redeem(l, decode(t, once.NewLedger("a", 1).Mint("desk", "tags", "r")), "r"), once.HostGone)
	assert.Equal(t, redeem(l, decode(t, once.NewLedger("a", 2).Mint("desk", "tags", "r")), "r"), once.Invalid, "another key")
	assert.Equal(t, redeem(l, decode(t, l.Mint("desk", "ledger", "r")), "r"), once.Invalid)
	forged := decode(t, l.Mint("desk", "tags", "r"))
	forged.Sequence++
	assert.Equal(t, redeem(l, forged, "r"), once.Invalid)
	_, err := once.Decode([]byte("nonsense"))
	assert.ErrorIs(t, err, once.ErrMalformed)
}

// A request gets the same ticket each time, so that duplicates sent without a ticket
// cannot be executed twice. Renew replaces the ticket after "not run".
func TestMintIsIdempotentUntilRenewed(t *testing.T) {
	l := once.NewLedger("a", 1)
	first := decode(t, l.Mint("desk", "tags", "r"))
	assert.Equal(t, decode(t, l.Mint("desk", "tags", "r")).Sequence, first.Sequence)
	assert.Assert(t, !l.Redeemed("desk", "tags", "r"))
	assert.Equal(t, redeem(l, first, "r"), once.Execute)
	assert.Assert(t, l.Redeemed("desk", "tags", "r"))
	renewed := decode(t, l.Renew("desk", "tags", "r"))
	assert.Assert(t, renewed.Sequence != first.Sequence)
	l.Finish(first, []byte("not run"))
	assert.Equal(t, redeem(l, first, "r"), once.Replay, "the old ticket must not permit an execution")
}

func ExampleLedger() {
	ledger := once.NewLedger("entry-1", 1)
	ticket, _ := once.Decode(ledger.Mint("printer-1", "tags", "tag 17"))
	for range 2 {
		decision, _, _ := ledger.Redeem(ticket, "printer-1", "tags", "tag 17")
		fmt.Println("run it:", decision == once.Execute)
	}
	// Output:
	// run it: true
	// run it: false
}

func BenchmarkMintRedeem(b *testing.B) {
	l := once.NewLedger("a", 1)
	b.ReportAllocs()
	for b.Loop() {
		ticket, _ := once.Decode(l.Mint("desk", "tags", ""))
		l.Redeem(ticket, "desk", "tags", "r")
		l.Finish(ticket, nil)
	}
}
