package settings

import (
	"github.com/mallowgap/mallowgap/api/settingspb"
)

// LoadEntry loads the settings of an entry host. Beyond Load, it checks constraints
// between keys. It returns an *Error with all faults.
func LoadEntry(path string, entry *settingspb.Entry) error {
	if err := Load(path, entry); err != nil {
		return err
	}
	l := &loader{}
	l.checkAddresses([]address{
		{"listen", "callers", entry.GetListen().GetCallers()},
		{"listen", "peers", entry.GetListen().GetPeers()},
		{"listen", "http", entry.GetListen().GetHttp()},
		{"platform", "address", entry.GetPlatform().GetAddress()},
	})
	l.checkTLS(entry.GetTls())
	m := entry.GetMembership()
	if m.GetHeartbeatTimeout().AsDuration() > m.GetSuspicion().AsDuration() {
		l.addFault("membership", "heartbeat_timeout", "is longer than suspicion", "make it shorter, so that a member can refute a suspicion in time")
	}
	if len(l.faults) > 0 {
		return &Error{File: path, Faults: l.faults}
	}
	return nil
}

func (l *loader) checkTLS(t *settingspb.TlsSection) {
	if (t.GetCert() == "") != (t.GetKey() == "") {
		l.addFault("tls", "cert", "cert and key belong together", "set both or neither")
	}
	if t.GetCert() != "" && t.GetCa() == "" {
		l.addFault("tls", "ca", "is missing", "set a PEM file of the CA certificates by which peers are verified")
	}
	if t.GetCa() != "" && t.GetCert() == "" {
		l.addFault("tls", "cert", "is missing", "set the certificate of this host, or remove ca to disable TLS")
	}
	if t.GetCa() == "" && (t.GetLeaves() || t.GetPlatform()) {
		l.addFault("tls", "ca", "is missing", "set a PEM file of CA certificates, or set leaves and platform to false")
	}
}
