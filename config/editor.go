package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/configpb"
)

const (
	// HeadKey is the store key of the head.
	HeadKey = "mallowgap/config/head"
	// PartPrefix is the prefix of the store keys of parts.
	PartPrefix = "mallowgap/config/part/"
	// maxRecentChanges bounds the IDs of accepted changes kept in the head.
	maxRecentChanges = 64
	// initialBackoff is the wait before the first retry of a store call; it doubles
	// with each retry up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// MaxValueBytes is the largest value that the store accepts, in bytes.
	MaxValueBytes = 1 << 20
)

// Value is a value in the store with its version. Version 0 means that the key
// does not exist.
type Value struct {
	Version uint64
	Data    []byte
}

// Store is the part of the platform's key-value service that this package uses.
// After an error, a write may or may not have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Value, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (bool, error)
}

// ConflictError reports that the configuration is not at the expected revision.
type ConflictError struct {
	Expected, Current uint64
	Changed           []string
}

// Error describes the conflict and how to resolve it.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was expected but the current one is %d (changes since: %v): get the current configuration, redo the change on it and apply it again",
		e.Expected, e.Current, e.Changed)
}

// ErrUnavailable reports that the store is unreachable and that this call changed
// nothing. An earlier call for the same change may still have taken effect.
var ErrUnavailable = errors.New("the store is unreachable and this call changed nothing: apply again later with the same change_id; the current configuration is kept")

// ErrOutcomeUnknown reports that a change was sent to the store but its outcome is unknown.
var ErrOutcomeUnknown = errors.New("the change was sent but its outcome is unknown: apply again with the same change_id to find out")

// PartKey returns the store key of a part.
func PartKey(d Digest) string { return fmt.Sprintf("%s%x", PartPrefix, d[:]) }

// Editor changes the configuration in the store. It keeps no state between calls.
type Editor struct {
	Store Store
	// Sleep waits for d, or returns the error of ctx if that ends first.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Sleep waits for d, or returns the error of ctx if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// ReadHead returns the head in the store and its version.
func ReadHead(ctx context.Context, store Store) (*configpb.Head, uint64, error) {
	v, err := store.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, err
	}
	head, err := DecodeHead(v)
	if err != nil {
		return nil, 0, err
	}
	return head, v.Version, nil
}

// DecodeHead decodes a head from its value in the store.
func DecodeHead(v Value) (*configpb.Head, error) {
	head := &configpb.Head{}
	if err := proto.Unmarshal(v.Data, head); err != nil {
		return nil, fmt.Errorf("decode the configuration head: %w: check that all hosts run the same version", err)
	}
	return head, nil
}

// ReadParts reads parts from the store. Parts that do not exist are omitted.
func ReadParts(ctx context.Context, store Store, digests []Digest) (Parts, error) {
	parts := Parts{}
	for _, d := range digests {
		v, err := store.Get(ctx, PartKey(d))
		if err != nil {
			return nil, err
		}
		if v.Version != 0 {
			parts[d] = v.Data
		}
	}
	return parts, nil
}

// Apply stores next as the successor of revision expect and returns its revision.
// Errors are an *InvalidError, a *ConflictError, ErrUnavailable or ErrOutcomeUnknown.
// Apply is idempotent by changeID, also across hosts: a change that was accepted
// before returns the revision it was given then.
func (e *Editor) Apply(ctx context.Context, expect uint64, changeID string, next *configpb.Config) (uint64, error) {
	if changeID == "" {
		return 0, &InvalidError{Faults: []string{"change_id is empty: set a unique name for the change"}}
	}
	if err := Validate(next); err != nil {
		return 0, err
	}
	head, version, err := ReadHead(ctx, e.Store)
	if err != nil {
		return 0, fmt.Errorf("%w (%v)", ErrUnavailable, err)
	}
	if revision, ok := acceptedRevision(head, changeID); ok {
		return revision, nil
	}
	if head.GetRevision() != expect {
		return 0, staleRevisionError(expect, head)
	}
	encoded, err := e.prepare(ctx, head, changeID, next)
	if err != nil {
		return 0, err
	}
	return e.swap(ctx, expect, version, changeID, encoded)
}

// prepare writes the parts of next to the store and returns its encoded head.
func (e *Editor) prepare(ctx context.Context, head *configpb.Head, changeID string, next *configpb.Config) ([]byte, error) {
	current, err := e.load(ctx, head)
	if err != nil {
		return nil, fmt.Errorf("%w (%v)", ErrUnavailable, err)
	}
	if err := ValidateChange(current, next); err != nil {
		return nil, err
	}
	next = proto.Clone(next).(*configpb.Config)
	next.Revision = head.GetRevision() + 1
	next.ChangeId = changeID
	nextHead, parts, err := Split(next)
	if err != nil {
		return nil, err
	}
	nextHead.RecentChanges = append(slices.Clone(head.GetRecentChanges()), changeID)
	if excess := len(nextHead.RecentChanges) - maxRecentChanges; excess > 0 {
		nextHead.RecentChanges = nextHead.RecentChanges[excess:]
	}
	if err := e.writeParts(ctx, head, parts); err != nil {
		return nil, err
	}
	return proto.Marshal(nextHead)
}

func (e *Editor) load(ctx context.Context, head *configpb.Head) (*configpb.Config, error) {
	if head.GetRevision() == 0 {
		return &configpb.Config{}, nil
	}
	digests, err := Digests(head)
	if err != nil {
		return nil, err
	}
	parts, err := ReadParts(ctx, e.Store, digests)
	if err != nil {
		return nil, err
	}
	return Join(head, parts)
}

// writeParts writes the parts that the old head does not reference. A part that
// already exists has the same content, since its key is its digest.
func (e *Editor) writeParts(ctx context.Context, old *configpb.Head, parts Parts) error {
	known := map[Digest]bool{}
	if old.GetRevision() > 0 {
		digests, err := Digests(old)
		if err != nil {
			return err
		}
		for _, d := range digests {
			known[d] = true
		}
	}
	for d, b := range parts {
		if known[d] {
			continue
		}
		if len(b) > MaxValueBytes {
			return &InvalidError{Faults: []string{fmt.Sprintf("a part has %d bytes but the store accepts at most %d: split the service", len(b), MaxValueBytes)}}
		}
		err := e.retry(ctx, func() error {
			_, err := e.Store.CompareAndSwap(ctx, PartKey(d), 0, b)
			return err
		})
		if err != nil {
			return fmt.Errorf("%w (%v)", ErrUnavailable, err)
		}
	}
	return nil
}

// retry repeats a call with exponential backoff until it succeeds or ctx ends, and
// returns the last error.
func (e *Editor) retry(ctx context.Context, call func() error) error {
	backoff := initialBackoff
	for {
		err := call()
		if err == nil {
			return nil
		}
		if e.Sleep(ctx, backoff) != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// swap replaces the head by compare-and-swap. While the outcome of the write is
// unknown, it repeats the identical write: either this succeeds, or the head has
// changed and its list of recent changes shows whether this change was accepted.
// A delayed duplicate expects the old version and cannot succeed any more.
func (e *Editor) swap(ctx context.Context, expect, version uint64, changeID string, encoded []byte) (uint64, error) {
	swapped := false
	err := e.retry(ctx, func() error {
		var err error
		swapped, err = e.Store.CompareAndSwap(ctx, HeadKey, version, encoded)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("%w (%v)", ErrOutcomeUnknown, err)
	}
	if swapped {
		return expect + 1, nil
	}
	var head *configpb.Head
	err = e.retry(ctx, func() error {
		var err error
		var now uint64
		head, now, err = ReadHead(ctx, e.Store)
		if err == nil && now == version {
			return errors.New("the store returned a stale head")
		}
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("%w (%v)", ErrOutcomeUnknown, err)
	}
	if revision, ok := acceptedRevision(head, changeID); ok {
		return revision, nil
	}
	return 0, staleRevisionError(expect, head)
}

// staleRevisionError returns the error for a change whose expected revision is not
// the current one and which is not among the recent changes of head. If more
// changes were made since than the head keeps, the change may have been one of
// them, so that its outcome is unknown.
func staleRevisionError(expect uint64, head *configpb.Head) error {
	if head.GetRevision() > expect+maxRecentChanges {
		return fmt.Errorf("%w, or compare with the current configuration: %d changes were made since, more than the head keeps",
			ErrOutcomeUnknown, head.GetRevision()-expect)
	}
	return newConflict(expect, head)
}

// acceptedRevision returns the revision of a change if it is among the recent
// changes of head.
func acceptedRevision(head *configpb.Head, changeID string) (uint64, bool) {
	recent := head.GetRecentChanges()
	i := slices.Index(recent, changeID)
	if i < 0 {
		return 0, false
	}
	return head.GetRevision() - uint64(len(recent)-1-i), true
}

func newConflict(expect uint64, head *configpb.Head) error {
	conflict := &ConflictError{Expected: expect, Current: head.GetRevision()}
	recent := head.GetRecentChanges()
	if head.GetRevision() > expect {
		n := min(uint64(len(recent)), head.GetRevision()-expect)
		conflict.Changed = recent[uint64(len(recent))-n:]
	}
	return conflict
}
