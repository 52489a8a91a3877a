package secure

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Files are the paths of PEM files. If all are empty, TLS is disabled.
type Files struct {
	// Cert and Key are this host's certificate and key.
	Cert, Key string
	// CA contains the CA certificates by which others' certificates are verified.
	CA string
}

// Enabled reports whether TLS is enabled.
func (f Files) Enabled() bool { return f != Files{} }

// Identity is the certificate of a host, if it has one, and the CAs that it trusts.
// A nil *Identity means that TLS is disabled.
type Identity struct {
	certificates []tls.Certificate
	authorities  *x509.CertPool
}

// Load reads the files. It returns nil if TLS is disabled.
func Load(f Files) (*Identity, error) {
	if !f.Enabled() {
		return nil, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("[tls] ca: %w: set a readable PEM file of CA certificates", err)
	}
	id := &Identity{authorities: x509.NewCertPool()}
	if !id.authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("[tls] ca: %s contains no certificate: set a PEM file of CA certificates", f.CA)
	}
	if f.Cert == "" && f.Key == "" {
		return id, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("[tls] cert, key: %w: set PEM files of a certificate and its private key", err)
	}
	id.certificates = []tls.Certificate{certificate}
	return id, nil
}

// ServerConfig returns the TLS configuration of a server, or nil if TLS is disabled. If
// mutual is set, clients must present a certificate.
func (id *Identity) ServerConfig(mutual bool) *tls.Config {
	if id == nil {
		return nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: id.certificates, ClientCAs: id.authorities, ClientAuth: tls.VerifyClientCertIfGiven}
	if mutual {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// ClientConfig returns the TLS configuration of a client, or nil if TLS is disabled.
func (id *Identity) ClientConfig() *tls.Config {
	if id == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: id.certificates, RootCAs: id.authorities}
}

// Listener wraps lis with TLS, or returns it unchanged if TLS is disabled.
func (id *Identity) Listener(lis net.Listener, mutual bool) net.Listener {
	if id == nil {
		return lis
	}
	return tls.NewListener(lis, id.ServerConfig(mutual))
}

// ServerCredentials returns the credentials of a gRPC server. Client certificates are
// optional.
func (id *Identity) ServerCredentials() credentials.TransportCredentials {
	if id == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(id.ServerConfig(false))
}

// ClientCredentials returns the credentials of a gRPC client.
func (id *Identity) ClientCredentials() credentials.TransportCredentials {
	if id == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(id.ClientConfig())
}
