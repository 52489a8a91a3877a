package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/drain"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/member"
)

// pushFanout is the number of members that a change is sent to at once.
const pushFanout = 3

// probeLoop probes one member per heartbeat interval of the settings until ctx ends.
func (d *Daemon) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(d.settings.GetMembership().GetHeartbeat().AsDuration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var target member.Fact
		var found bool
		d.control.do(func() { target, found = d.control.members.Probe() })
		if found {
			go d.exchangeFacts(ctx, target, false)
		}
	}
}

// exchangeFacts probes a member by exchanging facts with it, and reports whether it
// replied. With fullTable, it asks for all facts of the member.
func (d *Daemon) exchangeFacts(ctx context.Context, target member.Fact, fullTable bool) bool {
	ctx, cancel := context.WithTimeout(ctx, d.settings.GetMembership().GetHeartbeatTimeout().AsDuration())
	defer cancel()
	var message *peerpb.GossipMessage
	d.control.do(func() {
		message = d.gossipMessage()
		if claim, ok := d.control.members.ClaimAgainst(target.Host); ok {
			message.Members = append(message.Members, toProto(claim))
		}
	})
	if message == nil {
		return false
	}
	message.WantAll = fullTable
	reply, err := d.peers.Gossip(ctx, target.Address, message)
	if err != nil {
		obs.CountHeartbeat("failed")
		d.control.do(func() { d.control.members.ProbeFailed(target.Host, time.Now()) })
		return false
	}
	obs.CountHeartbeat("answered")
	d.lastReplies.record(target.Host)
	d.mergeGossip(reply, fullTable)
	if reply.GetRevision() > d.control.view().Revision {
		go d.pullConfig(target.Address)
	}
	return true
}

// gossipMessage returns the facts that this host passes on. It must run in the control
// loop.
func (d *Daemon) gossipMessage() *peerpb.GossipMessage {
	c := d.control
	message := &peerpb.GossipMessage{From: c.members.Self().Host, Revision: c.holder.Revision()}
	for _, f := range c.members.PendingFacts() {
		message.Members = append(message.Members, toProto(f))
	}
	for _, notice := range c.draining.Pending(time.Now()) {
		message.Leaves = append(message.Leaves, &peerpb.LeafFact{
			Address: notice.Address, Incarnation: notice.Incarnation, TtlMs: uint32(notice.TTL.Milliseconds()),
		})
	}
	return message
}

// mergeGossip merges the facts of a message. Those of a full table are not passed on to
// others.
func (d *Daemon) mergeGossip(message *peerpb.GossipMessage, fullTable bool) {
	facts := make([]member.Fact, 0, len(message.GetMembers()))
	for _, f := range message.GetMembers() {
		facts = append(facts, fromProto(f))
	}
	d.control.do(func() {
		now := time.Now()
		if fullTable {
			d.control.members.LoadFacts(facts, now)
		} else {
			d.control.members.Merge(facts, now)
		}
		for _, f := range message.GetLeaves() {
			d.control.addNotice(drain.Notice{
				Address:     f.GetAddress(),
				Incarnation: f.GetIncarnation(),
				TTL:         time.Duration(f.GetTtlMs()) * time.Millisecond,
			}, message.GetFrom())
		}
	})
}

// Gossip handles a probe by another host: it merges the facts in the message and replies with
// those of this host.
func (d *Daemon) Gossip(_ context.Context, message *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	d.mergeGossip(message, false)
	var reply *peerpb.GossipMessage
	ok := d.control.do(func() {
		reply = d.gossipMessage()
		if message.GetWantAll() {
			reply.Members = reply.Members[:0]
			for _, f := range d.control.members.All() {
				reply.Members = append(reply.Members, toProto(f))
			}
		}
		if claim, ok := d.control.members.ClaimAgainst(message.GetFrom()); ok {
			reply.Members = append(reply.Members, toProto(claim))
		}
	})
	if !ok {
		return nil, errStopped
	}
	v := d.control.view()
	if from, known := v.Member(message.GetFrom()); known && message.GetRevision() > v.Revision {
		go d.pullConfig(from.Address)
	}
	return reply, nil
}

// pushUpdates exchanges facts with a few random members at once, without waiting for the
// next probe. Each send counts as a probe: a member that does not reply becomes suspect, or
// dead if it was leaving.
func (d *Daemon) pushUpdates(ctx context.Context) {
	var others []member.Fact
	v := d.control.view()
	for _, m := range v.Members {
		if m.Host != v.Self.Host && m.State != member.Dead {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others[:min(pushFanout, len(others))] {
		go d.exchangeFacts(ctx, m, false)
	}
}

// join requests all facts from the seeds and then from the hosts of the host list, one after
// the other, until bootstrapPeers of them have replied. It returns false if no host replied
// and the host list could not be read.
func (d *Daemon) join(ctx context.Context) bool {
	hosts, err := d.readHostList(ctx)
	targets := d.seeds()
	if err == nil {
		for _, m := range hosts {
			targets = append(targets, m.Address)
		}
	}
	answered := 0
	for _, address := range targets {
		if address != d.settings.GetListen().GetPeers() && d.exchangeFacts(ctx, member.Fact{Address: address}, true) {
			answered++
		}
		if answered >= bootstrapPeers {
			break
		}
	}
	return answered > 0 || err == nil
}

// seeds returns the peer addresses listed in the settings.
func (d *Daemon) seeds() []string {
	var seeds []string
	for _, s := range strings.Split(d.settings.GetMembership().GetSeeds(), ",") {
		if s = strings.TrimSpace(s); s != "" {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

func toProto(f member.Fact) *peerpb.MemberFact {
	return &peerpb.MemberFact{
		Host: f.Host, Address: f.Address, FailureDomain: f.Domain,
		Incarnation: f.Incarnation, State: peerpb.MemberState(f.State),
	}
}

func fromProto(f *peerpb.MemberFact) member.Fact {
	return member.Fact{
		Host: f.GetHost(), Address: f.GetAddress(), Domain: f.GetFailureDomain(),
		Incarnation: f.GetIncarnation(), State: member.State(f.GetState()),
	}
}
