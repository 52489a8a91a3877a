package secure_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/internal/secure"
)

// authority is a CA that signs certificates for the loopback address.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.file = a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, a.key))
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func (a *authority) sign(c *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// files creates a host certificate and returns its files.
func (a *authority) files() secure.Files {
	key := newKey(a.t)
	der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	return secure.Files{Cert: a.write("host.pem", "CERTIFICATE", der), Key: a.write("host.key", "EC PRIVATE KEY", keyDER), CA: a.file}
}

// revisionStub is a peer that returns a fixed revision.
type revisionStub struct{ peerpb.DRPCPeerServer }

func (revisionStub) Applied(context.Context, *peerpb.AppliedRequest) (*peerpb.AppliedReply, error) {
	return &peerpb.AppliedReply{Revision: 7}, nil
}

func (revisionStub) Forward(context.Context, *peerpb.ForwardRequest) (*callerpb.AskReply, error) {
	return &callerpb.AskReply{}, nil
}

// A peer accepts hosts with a certificate of its CA, and rejects hosts of another CA
// and those without TLS.
func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	identity, err := secure.Load(ours.files())
	assert.NilError(t, err)
	untrusted, err := secure.Load(theirs.files())
	assert.NilError(t, err)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := drpcmux.New()
	assert.NilError(t, peerpb.DRPCRegisterPeer(mux, revisionStub{}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = drpcserver.New(mux).Serve(ctx, identity.Listener(lis, true)) }()
	reply, err := peer.NewDRPCClient(time.Second, identity).Applied(ctx, lis.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRevision(), uint64(7))
	for name, other := range map[string]*secure.Identity{"stranger": untrusted, "no TLS": nil} {
		callCtx, cancelCall := context.WithTimeout(ctx, 2*time.Second)
		_, err := peer.NewDRPCClient(time.Second, other).Applied(callCtx, lis.Addr().String())
		cancelCall()
		assert.Assert(t, err != nil, "%s must be rejected", name)
	}
}

func TestLoadNamesTheRemedy(t *testing.T) {
	none, err := secure.Load(secure.Files{})
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	_, err = secure.Load(secure.Files{CA: "no-such-file.pem"})
	assert.ErrorContains(t, err, "set a readable PEM file")
	empty := filepath.Join(t.TempDir(), "empty.pem")
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	_, err = secure.Load(secure.Files{CA: empty})
	assert.ErrorContains(t, err, "contains no certificate")
}
