package once

import (
	"crypto/hmac"
	"sync"
)

// maxOutcomes bounds the outcomes of recent executions that are kept to be
// returned to resends. The redemption itself is recorded for as long as the
// process runs.
const maxOutcomes = 4096

// maxMinted bounds the minted tickets that are remembered by their request.
const maxMinted = 16384

// pageBits is the number of bits, one per ticket, in a page of the bitmap of
// redeemed tickets.
const pageBits = 1 << 12

// Decision is the result of redeeming a ticket.
type Decision int

const (
	// Execute permits the only execution of the request.
	Execute Decision = iota
	// Replay means that the request was executed and its outcome is returned.
	Replay
	// InProgress means that the request is being executed.
	InProgress
	// OutcomeExpired means that the execution was permitted before and its outcome is no
	// longer kept.
	OutcomeExpired
	// OtherRequest means that the ticket is bound to another request; this one was
	// not run.
	OtherRequest
	// OtherHost means that only the host named in the ticket can redeem it.
	OtherHost
	// HostGone means that the incarnation that minted the ticket has ended.
	HostGone
	// Invalid means that the ticket was not minted by this host for this desk and
	// service; it never permits an execution.
	Invalid
)

// Ledger mints and redeems the tickets of one incarnation of one host. It is
// safe for concurrent use.
type Ledger struct {
	host        string
	incarnation uint64
	key         signingKey

	mu           sync.Mutex
	lastSequence uint64
	// redeemed is the bitmap of redeemed sequence numbers, by page.
	redeemed map[uint64]*[pageBits / 64]uint64
	running  map[uint64]*execution
	outcomes map[uint64]*execution
	// outcomeOrder lists the keys of outcomes, oldest first.
	outcomeOrder []uint64
	// minted maps recent requests to the sequence numbers of their tickets.
	minted    map[requestKey]uint64
	mintOrder []requestKey
}

// requestKey identifies a request of a desk.
type requestKey struct {
	desk, service, request string
}

type execution struct {
	request string
	outcome []byte
	done    chan struct{}
}

// NewLedger returns the ledger of one incarnation of a host. A host name must
// never use an incarnation number twice.
func NewLedger(host string, incarnation uint64) *Ledger {
	return &Ledger{
		host:        host,
		incarnation: incarnation,
		key:         newSigningKey(),
		redeemed:    map[uint64]*[pageBits / 64]uint64{},
		running:     map[uint64]*execution{},
		outcomes:    map[uint64]*execution{},
		minted:      map[requestKey]uint64{},
	}
}

// Mint returns an encoded ticket for a request of a desk. The same request gets
// the same ticket as long as it is remembered. An empty request gets a new ticket
// each time.
func (l *Ledger) Mint(desk, service, request string) []byte {
	l.mu.Lock()
	sequence := l.sequenceFor(desk, service, request)
	l.mu.Unlock()
	t := Ticket{Host: l.host, Incarnation: l.incarnation, Service: service, Desk: desk, Sequence: sequence}
	t.MAC = l.key.sign(t)
	return t.encode()
}

func (l *Ledger) sequenceFor(desk, service, request string) uint64 {
	id := requestKey{desk: desk, service: service, request: request}
	if sequence, ok := l.minted[id]; ok && request != "" {
		return sequence
	}
	l.lastSequence++
	if request == "" {
		return l.lastSequence
	}
	l.minted[id] = l.lastSequence
	l.mintOrder = append(l.mintOrder, id)
	if len(l.mintOrder) > maxMinted {
		delete(l.minted, l.mintOrder[0])
		l.mintOrder = l.mintOrder[1:]
	}
	return l.lastSequence
}

// Renew returns a new encoded ticket for a request whose previous ticket was spent
// without an execution.
func (l *Ledger) Renew(desk, service, request string) []byte {
	l.mu.Lock()
	delete(l.minted, requestKey{desk: desk, service: service, request: request})
	l.mu.Unlock()
	return l.Mint(desk, service, request)
}

// Redeemed reports whether the ticket of a request that arrived without it is known
// to be redeemed. Such a request must not be reported as not run.
func (l *Ledger) Redeemed(desk, service, request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sequence, ok := l.minted[requestKey{desk: desk, service: service, request: request}]
	return ok && l.isRedeemed(sequence)
}

// Redeem decides whether a request with a ticket may be executed. After Execute, the
// caller must call Finish. With Replay, the outcome is returned. With InProgress,
// the returned channel is closed when the execution ends.
func (l *Ledger) Redeem(t Ticket, desk, service, request string) (Decision, []byte, <-chan struct{}) {
	if t.Host != l.host {
		return OtherHost, nil, nil
	}
	if t.Incarnation != l.incarnation {
		return HostGone, nil, nil
	}
	if !hmac.Equal(t.MAC, l.key.sign(t)) || t.Desk != desk || t.Service != service {
		return Invalid, nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.running[t.Sequence]; e != nil {
		return l.duplicate(e, request, InProgress)
	}
	if e := l.outcomes[t.Sequence]; e != nil {
		return l.duplicate(e, request, Replay)
	}
	if l.isRedeemed(t.Sequence) {
		return OutcomeExpired, nil, nil
	}
	l.setRedeemed(t.Sequence)
	l.running[t.Sequence] = &execution{request: request, done: make(chan struct{})}
	return Execute, nil, nil
}

func (l *Ledger) duplicate(e *execution, request string, decision Decision) (Decision, []byte, <-chan struct{}) {
	if e.request != request {
		return OtherRequest, nil, nil
	}
	return decision, e.outcome, e.done
}

// Finish records the outcome of a permitted execution. The ticket is spent even if
// the outcome is "not run", so that no delayed copy of the request is executed
// after the desk has received this outcome.
func (l *Ledger) Finish(t Ticket, outcome []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.running[t.Sequence]
	if e == nil {
		return
	}
	delete(l.running, t.Sequence)
	e.outcome = outcome
	l.outcomes[t.Sequence] = e
	l.outcomeOrder = append(l.outcomeOrder, t.Sequence)
	if len(l.outcomeOrder) > maxOutcomes {
		delete(l.outcomes, l.outcomeOrder[0])
		l.outcomeOrder = l.outcomeOrder[1:]
	}
	close(e.done)
}

func (l *Ledger) isRedeemed(sequence uint64) bool {
	page := l.redeemed[sequence/pageBits]
	return page != nil && page[sequence%pageBits/64]&(1<<(sequence%64)) != 0
}

func (l *Ledger) setRedeemed(sequence uint64) {
	page := l.redeemed[sequence/pageBits]
	if page == nil {
		page = new([pageBits / 64]uint64)
		l.redeemed[sequence/pageBits] = page
	}
	page[sequence%pageBits/64] |= 1 << (sequence % 64)
}
