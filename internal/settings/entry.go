package settings

import (
	"github.com/mallowgap/mallowgap/api/settingspb"
)

// LoadEntry reads the settings of an entry host and also checks what lies
// between keys. It returns an *Error with every fault.
func LoadEntry(path string, entry *settingspb.Entry) error {
	if err := Load(path, entry); err != nil {
		return err
	}
	l := &loader{}
	l.distinct([]address{
		{"listen", "callers", entry.GetListen().GetCallers()},
		{"listen", "peers", entry.GetListen().GetPeers()},
		{"listen", "http", entry.GetListen().GetHttp()},
		{"platform", "address", entry.GetPlatform().GetAddress()},
	})
	l.tls(entry.GetTls())
	m := entry.GetMembership()
	if m.GetHeartbeatTimeout().AsDuration() > m.GetSuspicion().AsDuration() {
		l.add("membership", "heartbeat_timeout", "is longer than suspicion", "make it shorter, so that a member can refute in time")
	}
	if len(l.faults) > 0 {
		return &Error{File: path, Faults: l.faults}
	}
	return nil
}

func (l *loader) tls(t *settingspb.TlsSection) {
	if (t.GetCert() == "") != (t.GetKey() == "") {
		l.add("tls", "cert", "cert and key belong together", "set both or neither")
	}
	if t.GetCert() != "" && t.GetCa() == "" {
		l.add("tls", "ca", "is missing", "set the authorities by which peers are verified")
	}
	if t.GetCa() != "" && t.GetCert() == "" {
		l.add("tls", "cert", "is missing", "set the certificate of this host, or remove ca to switch TLS off")
	}
	if t.GetCa() == "" && (t.GetLeaves() || t.GetPlatform()) {
		l.add("tls", "ca", "is missing", "set the authorities, or leaves and platform to false")
	}
}
