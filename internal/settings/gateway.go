package settings

import (
	"net/netip"

	"github.com/mallowgap/mallowgap/api/settingspb"
)

// LoadGateway loads the settings of a gateway. Beyond Load, it checks the addresses.
// It returns an *Error with all faults.
func LoadGateway(path string, gateway *settingspb.Gateway) error {
	if err := Load(path, gateway); err != nil {
		return err
	}
	l := &loader{}
	listen := gateway.GetListen()
	l.checkAddresses([]address{
		{"listen", "callers", listen.GetCallers()},
		{"listen", "ready", listen.GetReady()},
		{"listen", "peers", listen.GetPeers()},
		{"listen", "metrics", listen.GetMetrics()},
		{"store", "address", gateway.GetStore().GetAddress()},
	})
	if len(l.faults) > 0 {
		return &Error{File: path, Faults: l.faults}
	}
	return nil
}

// address is a key of a settings file whose value is an IP:port.
type address struct{ section, key, value string }

// checkAddresses checks that each address is IP:port and that no two are equal. Empty
// addresses are skipped.
func (l *loader) checkAddresses(addresses []address) {
	seen := map[string]string{}
	for _, a := range addresses {
		if a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			l.addFault(a.section, a.key, "\""+a.value+"\" is not IP:port", "write an address such as 10.0.0.1:7000")
			continue
		}
		if other, ok := seen[a.value]; ok {
			l.addFault(a.section, a.key, "is the same address as "+other, "choose another port")
		}
		seen[a.value] = a.key
	}
}
