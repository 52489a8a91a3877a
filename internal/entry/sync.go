package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/drain"
	"github.com/mallowgap/mallowgap/member"
)

const (
	// bootstrapPeers is the number of replies after which a starting host sends no more join
	// requests, and the maximum number of peers from which it pulls the configuration.
	bootstrapPeers = 5
	// watchTimeout bounds one watch call.
	watchTimeout = 30 * time.Second
	// retryDelay is the minimum delay after a failed call to the platform. Up to the
	// same time is added as jitter.
	retryDelay = 500 * time.Millisecond
	// roleCheckInterval is how often a host checks whether it has become a watcher.
	roleCheckInterval = 500 * time.Millisecond
	// pullTimeout bounds the transfer of a configuration from a peer.
	pullTimeout = 5 * time.Second
	// resyncInterval bounds one watch call too, so that a watch that no longer delivers
	// changes is replaced.
	resyncInterval = 5 * time.Second
)

// watcherRole is the role of reading the store and the host list for all hosts.
const watcherRole = "watch"

// bootstrap joins the members and fetches the newest configuration from the store and
// the peers. It returns once one of them has provided it.
func (d *Daemon) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		joined := d.join(ctx)
		// Peers come first: parts received from them are not read from the store, which
		// limits its load when many hosts start together.
		fromPeers := d.pullFromPeers(ctx)
		fromStore := d.readStore(ctx) == nil
		if (joined && fromStore) || fromPeers {
			d.control.do(func() {
				d.control.synced = true
				d.control.dirty = true
			})
			return
		}
		d.sleepBeforeRetry(ctx)
	}
}

// sleepBeforeRetry sleeps for retryDelay with jitter.
func (d *Daemon) sleepBeforeRetry(ctx context.Context) {
	_ = config.Sleep(ctx, retryDelay+rand.N(retryDelay))
}

// pullFromPeers pulls the configuration from a few random peers and reports whether
// this host has one then.
func (d *Daemon) pullFromPeers(ctx context.Context) bool {
	v := d.control.view()
	others := make([]member.Fact, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Host != v.Self.Host {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	found := false
	for _, m := range others[:min(bootstrapPeers, len(others))] {
		if ctx.Err() == nil && d.pullConfig(m.Address) == nil {
			found = found || d.control.view().Revision > 0
		}
	}
	return found
}

// pullConfig fetches the configuration of a peer and applies it if it is newer.
func (d *Daemon) pullConfig(address string) error {
	ctx, cancel := context.WithTimeout(d.ctx, pullTimeout)
	defer cancel()
	reply, err := d.peers.FetchHead(ctx, address)
	if err != nil {
		return err
	}
	return d.adoptHead(reply.GetHead(), func(missing []config.Digest) (config.Parts, error) {
		request := &peerpb.FetchPartsRequest{}
		for _, digest := range missing {
			request.Digests = append(request.Digests, digest[:])
		}
		fetched, err := d.peers.FetchParts(ctx, address, request)
		if err != nil {
			return nil, err
		}
		parts := config.Parts{}
		for i, part := range fetched.GetParts() {
			if i < len(missing) {
				parts[missing[i]] = part
			}
		}
		return parts, nil
	})
}

// readStore reads the configuration in the store and applies it if it is newer.
func (d *Daemon) readStore(ctx context.Context) error {
	head, _, err := config.ReadHead(ctx, d.store)
	if err != nil {
		return err
	}
	return d.adoptFromStore(ctx, head)
}

// adoptStoreValue applies the configuration whose encoded head is value, if it is
// newer.
func (d *Daemon) adoptStoreValue(ctx context.Context, value config.Value) error {
	head, err := config.DecodeHead(value)
	if err != nil {
		return err
	}
	return d.adoptFromStore(ctx, head)
}

// adoptFromStore applies the configuration of head with parts from the store, if it is
// newer.
func (d *Daemon) adoptFromStore(ctx context.Context, head *configpb.Head) error {
	return d.adoptHead(head, func(missing []config.Digest) (config.Parts, error) {
		return config.ReadParts(ctx, d.store, missing)
	})
}

// adoptHead fetches the parts of a configuration that this host lacks and applies it if
// it is newer.
func (d *Daemon) adoptHead(head *configpb.Head, fetch func(missing []config.Digest) (config.Parts, error)) error {
	var missing []config.Digest
	var err error
	if !d.control.do(func() { missing, err = d.control.holder.MissingParts(head) }) {
		return errStopped
	}
	if err != nil {
		return err
	}
	parts := config.Parts{}
	if len(missing) > 0 {
		if parts, err = fetch(missing); err != nil {
			return err
		}
	}
	if !d.control.do(func() { err = d.control.applyConfig(head, parts) }) {
		return errStopped
	}
	return err
}

// watchStore watches the store for new configurations while this host is a watcher.
func (d *Daemon) watchStore(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		if !d.hasRole(watcherRole) {
			_ = config.Sleep(ctx, roleCheckInterval)
			continue
		}
		watchCtx, cancel := context.WithTimeout(ctx, min(watchTimeout, resyncInterval))
		value, err := d.store.Watch(watchCtx, config.HeadKey, version)
		expired := watchCtx.Err() != nil
		cancel()
		switch {
		case expired:
			// The next watch also returns changes that this one missed.
		case err != nil:
			d.sleepBeforeRetry(ctx)
		default:
			if d.adoptStoreValue(ctx, value) == nil {
				version = value.Version
			} else {
				d.sleepBeforeRetry(ctx)
			}
		}
	}
}

// pollHostList reads the host list at intervals while this host is a watcher.
func (d *Daemon) pollHostList(ctx context.Context) {
	interval := d.settings.GetPlatform().GetHostPoll().AsDuration()
	for ctx.Err() == nil {
		if d.hasRole(watcherRole) {
			_, _ = d.readHostList(ctx)
		}
		_ = config.Sleep(ctx, interval)
	}
}

// hasRole reports whether this host has a role, and is synced so that it knows the
// others that may have it.
func (d *Daemon) hasRole(role string) bool {
	v := d.control.view()
	return v.Synced && holdsRole(role, v.Members, v.Self.Host, int(d.settings.GetPlatform().GetWatchers()))
}

// readHostList reads the host list, merges it and returns the other live entry hosts.
// The list lags, so it only adds members and leaving leaves; heartbeats detect that a
// member is gone.
func (d *Daemon) readHostList(ctx context.Context) ([]member.Fact, error) {
	hosts, err := d.hosts.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var entries []member.Fact
	for _, h := range hosts {
		if h.GetKind() == platformpb.HostKind_ENTRY && h.GetState() == platformpb.HostState_LIVE && h.GetName() != d.name {
			entries = append(entries, member.Fact{
				Host: h.GetName(), Address: h.GetAddress(), Domain: h.GetFailureDomain(), Incarnation: h.GetIncarnation(),
			})
		}
	}
	d.control.do(func() {
		d.control.members.Merge(entries, time.Now())
		for _, h := range hosts {
			if h.GetKind() == platformpb.HostKind_LEAF && h.GetState() == platformpb.HostState_HOST_LEAVING {
				d.control.addNotice(drain.Notice{Address: h.GetAddress(), Incarnation: h.GetIncarnation(), TTL: drain.NoticeTTL}, "host list")
			}
		}
	})
	return entries, nil
}

// announceState announces the state of this host to the host list, with retries until
// that succeeds or ctx ends.
func (d *Daemon) announceState(ctx context.Context, state platformpb.HostState) {
	host := &platformpb.Host{
		Name: d.name, Address: d.settings.GetListen().GetPeers(), FailureDomain: d.settings.GetHost().GetFailureDomain(),
		Kind: platformpb.HostKind_ENTRY, State: state, Incarnation: d.incarnation,
	}
	for ctx.Err() == nil {
		if d.hosts.Announce(ctx, host) == nil {
			return
		}
		d.sleepBeforeRetry(ctx)
	}
}

// FetchHead returns the head of the current configuration to another host.
func (d *Daemon) FetchHead(context.Context, *peerpb.FetchHeadRequest) (*peerpb.FetchHeadReply, error) {
	reply := &peerpb.FetchHeadReply{}
	if !d.control.do(func() { reply.Head = d.control.holder.Head() }) {
		return nil, errStopped
	}
	return reply, nil
}

// FetchParts returns parts of the current configuration to another host, in the order
// requested. A part that this host lacks is empty.
func (d *Daemon) FetchParts(_ context.Context, request *peerpb.FetchPartsRequest) (*peerpb.FetchPartsReply, error) {
	reply := &peerpb.FetchPartsReply{}
	ok := d.control.do(func() {
		for _, name := range request.GetDigests() {
			digest, _ := config.DigestFromBytes(name)
			part, _ := d.control.holder.Part(digest)
			reply.Parts = append(reply.Parts, part)
		}
	})
	if !ok {
		return nil, errStopped
	}
	return reply, nil
}

// Applied returns the revision of the current configuration to another host.
func (d *Daemon) Applied(context.Context, *peerpb.AppliedRequest) (*peerpb.AppliedReply, error) {
	return &peerpb.AppliedReply{Host: d.name, Revision: d.control.view().Revision}, nil
}
