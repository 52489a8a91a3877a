package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/internal/platform/platformfake"
)

func sample(desk string) *configpb.Config {
	return &configpb.Config{
		Classes: []*configpb.Class{{Name: "gate"}},
		Desks:   []*configpb.Desk{{Name: desk, Class: "gate"}},
		Services: []*configpb.Service{{
			Name: "search", Epoch: 1, Slots: 2, Connections: 25,
			Shards: []*configpb.Shard{{Name: "all", To: config.KeySpace, Replicas: []*configpb.Replica{{Address: "10.0.0.1:1"}}}},
		}},
	}
}

func editor(p *platformfake.Platform) config.Editor {
	return config.Editor{Store: p, Sleep: config.Sleep}
}

func applyFor(e config.Editor, timeout time.Duration, expect uint64, id string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.Apply(ctx, expect, id, sample(id))
}

func TestApplyRecoversFromLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfake.New()
		p.LoseReplies(config.HeadKey, 1)
		revision, err := applyFor(editor(p), time.Second, 0, "a")
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(1))
		again, err := applyFor(editor(p), time.Second, 0, "a")
		assert.NilError(t, err)
		assert.Equal(t, again, uint64(1), "the same change_id is the same change")
	})
}

func TestApplyLateWriteCannotLandAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfake.New()
		p.DelayWrites(config.HeadKey, 1000)
		_, err := applyFor(editor(p), time.Second, 0, "late")
		assert.Assert(t, errors.Is(err, config.ErrOutcomeUnknown))
		p.DelayWrites(config.HeadKey, 0)
		_, err = applyFor(editor(p), time.Second, 0, "other")
		assert.NilError(t, err)
		_, err = applyFor(editor(p), time.Second, 0, "late")
		var conflict *config.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.DeepEqual(t, conflict.Changed, []string{"other"})
		p.Deliver()
		head, _, err := config.ReadHead(context.Background(), p)
		assert.NilError(t, err)
		assert.Equal(t, head.GetChangeId(), "other")
	})
}

// A change that is applied again after more changes than the head keeps may have
// been accepted before, so it must not be reported as a conflict.
func TestApplyForgottenChangeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfake.New()
		_, err := applyFor(editor(p), time.Second, 0, "first")
		assert.NilError(t, err)
		for i := range 70 {
			_, err := applyFor(editor(p), time.Second, uint64(i+1), fmt.Sprint("next-", i))
			assert.NilError(t, err)
		}
		_, err = applyFor(editor(p), time.Second, 0, "first")
		assert.Assert(t, errors.Is(err, config.ErrOutcomeUnknown))
	})
}

func TestApplyRefusesInvalid(t *testing.T) {
	p := platformfake.New()
	bad := sample("a")
	bad.Services[0].Shards[0].To = 10
	bad.Desks[0].Class = "none"
	_, err := (&config.Editor{Store: p, Sleep: config.Sleep}).Apply(context.Background(), 0, "a", bad)
	var invalid *config.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Faults), 2, "all faults must be reported at once: %v", invalid.Faults)
	assert.Equal(t, p.Calls(), 0)
}

func TestApplyShardChangeNeedsHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfake.New()
		_, err := applyFor(editor(p), time.Second, 0, "a")
		assert.NilError(t, err)
		next := sample("a")
		next.Services[0].Shards[0].Name = "everything"
		e := editor(p)
		_, err = e.Apply(context.Background(), 1, "b", next)
		assert.ErrorContains(t, err, "increase the epoch")
	})
}

func TestHolderNeverGoesBack(t *testing.T) {
	h := config.NewHolder()
	for _, revision := range []uint64{1, 3, 2} {
		c := sample(fmt.Sprint(revision))
		c.Revision = revision
		head, parts, err := config.Split(c)
		assert.NilError(t, err)
		applied, err := h.Install(head, parts)
		assert.NilError(t, err)
		assert.Equal(t, applied, revision != 2)
	}
	assert.Equal(t, h.Revision(), uint64(3))
}

func TestHolderKeepsUnchangedServices(t *testing.T) {
	h := config.NewHolder()
	var before *configpb.Service
	for revision := range uint64(2) {
		c := sample(fmt.Sprint(revision))
		c.Revision = revision + 1
		head, parts, err := config.Split(c)
		assert.NilError(t, err)
		_, err = h.Install(head, parts)
		assert.NilError(t, err)
		if before != nil {
			assert.Assert(t, before == h.Config().GetServices()[0])
		}
		before = h.Config().GetServices()[0]
	}
}

func ExampleEditor() {
	store := platformfake.New()
	e := config.Editor{Store: store, Sleep: config.Sleep}
	store.LoseReplies(config.HeadKey, 1)
	revision, err := e.Apply(context.Background(), 0, "first shards", sample("gate-1"))
	fmt.Println("revision", revision, err)
	_, err = e.Apply(context.Background(), 0, "another operator", sample("gate-2"))
	var conflict *config.ConflictError
	fmt.Println("conflict:", errors.As(err, &conflict))
	// Output:
	// revision 1 <nil>
	// conflict: true
}
