package control

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/internal/pause"
)

// announce keeps this host's entry in the store until ctx ends, then removes it.
func (c *Control) announce(ctx context.Context) {
	ttl := c.settings.GetLease().AsDuration()
	value, err := proto.Marshal(c.self)
	if err != nil {
		c.log.Error().Err(err).Msg("the entry of this host cannot be encoded: peers will not find it")
		return
	}
	var lease uint64
	for ctx.Err() == nil {
		if lease == 0 {
			lease = c.announceOnce(ctx, value, ttl)
		} else if err := c.renew(ctx, lease); errors.Is(err, ErrLeaseEnded) || c.entryMissing() {
			c.log.Info().Msg("the entry of this host is gone from the store: announcing again")
			lease = 0
			continue
		}
		if lease == 0 {
			pause.For(ctx, retryLongest)
			continue
		}
		pause.For(ctx, ttl/renewals)
	}
	c.withdraw(lease)
}

func (c *Control) announceOnce(ctx context.Context, value []byte, ttl time.Duration) uint64 {
	lease, err := c.store.Announce(ctx, c.name, value, ttl)
	if err != nil {
		c.log.Warn().Err(err).Msg("this host could not be announced; it will be tried again")
		return 0
	}
	return lease
}

func (c *Control) renew(ctx context.Context, lease uint64) error {
	err := c.store.Renew(ctx, lease)
	if err != nil && !errors.Is(err, ErrLeaseEnded) {
		c.log.Debug().Err(err).Msg("lease could not be renewed; it will be tried again")
	}
	return err
}

// entryMissing reports whether the store, which answers, lacks this host's
// entry although its lease was renewed.
func (c *Control) entryMissing() bool {
	v := c.View()
	if !v.StoreLost.IsZero() {
		return false
	}
	for _, h := range v.Hosts[c.self.GetDomain()] {
		if h.Name == c.name {
			return false
		}
	}
	return true
}

func (c *Control) withdraw(lease uint64) {
	if lease == 0 {
		return
	}
	if err := c.store.Withdraw(context.Background(), lease); err != nil {
		c.log.Warn().Err(err).Msg("the entry of this host could not be removed; it lapses with its lease")
	}
}
