package config

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/configpb"
)

// Digest is the SHA-256 hash of an encoded part, by which the part is identified.
type Digest [sha256.Size]byte

// DigestFromBytes converts a byte slice to a digest.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fmt.Errorf("digest has %d bytes, want %d: the head was written by another version of mallowgap", len(b), len(d))
	}
	copy(d[:], b)
	return d, nil
}

// Parts maps digests to encoded parts.
type Parts map[Digest][]byte

// Split encodes a configuration as a head and its parts.
func Split(c *configpb.Config) (*configpb.Head, Parts, error) {
	head := &configpb.Head{Revision: c.GetRevision(), ChangeId: c.GetChangeId()}
	parts := Parts{}
	for _, s := range c.GetServices() {
		digest, err := parts.add(s)
		if err != nil {
			return nil, nil, err
		}
		head.ServiceParts = append(head.ServiceParts, digest)
	}
	digest, err := parts.add(&configpb.DeskList{Desks: c.GetDesks(), Classes: c.GetClasses()})
	if err != nil {
		return nil, nil, err
	}
	head.DesksPart = digest
	return head, parts, nil
}

func (p Parts) add(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode part of the configuration: %w", err)
	}
	digest := Digest(sha256.Sum256(b))
	p[digest] = b
	return digest[:], nil
}

// Digests returns the digests of the parts that a head references.
func Digests(head *configpb.Head) ([]Digest, error) {
	names := append([][]byte{head.GetDesksPart()}, head.GetServiceParts()...)
	digests := make([]Digest, 0, len(names))
	for _, name := range names {
		d, err := DigestFromBytes(name)
		if err != nil {
			return nil, err
		}
		digests = append(digests, d)
	}
	return digests, nil
}

// Join decodes the configuration that a head references. It returns an error if a
// part is missing or does not match its digest.
func Join(head *configpb.Head, parts Parts) (*configpb.Config, error) {
	c := &configpb.Config{Revision: head.GetRevision(), ChangeId: head.GetChangeId()}
	for _, name := range head.GetServiceParts() {
		s := &configpb.Service{}
		if err := parts.decode(name, s); err != nil {
			return nil, err
		}
		c.Services = append(c.Services, s)
	}
	desks := &configpb.DeskList{}
	if err := parts.decode(head.GetDesksPart(), desks); err != nil {
		return nil, err
	}
	c.Desks = desks.GetDesks()
	c.Classes = desks.GetClasses()
	return c, nil
}

func (p Parts) decode(name []byte, m proto.Message) error {
	digest, err := DigestFromBytes(name)
	if err != nil {
		return err
	}
	b, ok := p[digest]
	if !ok {
		return fmt.Errorf("part %x is missing: fetch it from a peer or the store", name[:4])
	}
	if sha256.Sum256(b) != digest {
		return fmt.Errorf("part %x does not match its digest: fetch it again", name[:4])
	}
	return proto.Unmarshal(b, m)
}
