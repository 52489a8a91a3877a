package config

import (
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/configpb"
)

// Holder holds the current configuration of one host. It is not safe for
// concurrent use; the configurations it returns are never modified.
type Holder struct {
	head   *configpb.Head
	parts  Parts
	config *configpb.Config
}

// NewHolder returns a holder with an empty configuration at revision 0.
func NewHolder() *Holder {
	return &Holder{head: &configpb.Head{}, parts: Parts{}, config: &configpb.Config{}}
}

// Revision returns the current revision, or 0 if no configuration was applied.
func (h *Holder) Revision() uint64 { return h.head.GetRevision() }

// Head returns the current head. The caller must not modify it.
func (h *Holder) Head() *configpb.Head { return h.head }

// Config returns the current configuration. The caller must not modify it.
func (h *Holder) Config() *configpb.Config { return h.config }

// Part returns the encoded part with digest d of the current configuration.
func (h *Holder) Part(d Digest) ([]byte, bool) {
	b, ok := h.parts[d]
	return b, ok
}

// MissingParts returns the digests of the parts that must be fetched before head can
// be passed to Install. It returns none if head is not newer than the current one.
func (h *Holder) MissingParts(head *configpb.Head) ([]Digest, error) {
	if head.GetRevision() <= h.Revision() {
		return nil, nil
	}
	all, err := Digests(head)
	if err != nil {
		return nil, err
	}
	var missing []Digest
	for _, d := range all {
		if _, ok := h.parts[d]; !ok {
			missing = append(missing, d)
		}
	}
	return missing, nil
}

// Install makes head the current one if it is newer, and reports whether it did.
// fetched contains the parts that MissingParts returned.
func (h *Holder) Install(head *configpb.Head, fetched Parts) (bool, error) {
	if head.GetRevision() <= h.Revision() {
		return false, nil
	}
	digests, err := Digests(head)
	if err != nil {
		return false, err
	}
	parts := Parts{}
	for _, d := range digests {
		if b, ok := h.parts[d]; ok {
			parts[d] = b
		} else if b, ok := fetched[d]; ok {
			parts[d] = b
		}
	}
	config, err := Join(head, parts)
	if err != nil {
		return false, err
	}
	h.reuseServices(head, config)
	h.head = proto.Clone(head).(*configpb.Head)
	h.parts = parts
	h.config = config
	return true, nil
}

// reuseServices replaces the messages of unchanged services in next by those of the
// current configuration, so that readers can detect changes by comparing pointers.
func (h *Holder) reuseServices(head *configpb.Head, next *configpb.Config) {
	unchanged := map[string]*configpb.Service{}
	for i, name := range h.head.GetServiceParts() {
		unchanged[string(name)] = h.config.GetServices()[i]
	}
	for i, name := range head.GetServiceParts() {
		if s := unchanged[string(name)]; s != nil {
			next.Services[i] = s
		}
	}
}
