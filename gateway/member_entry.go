package gateway

import (
	"net"
	"strconv"
	"strings"

	"redwingknot/fleet"
	"redwingknot/metastore"
)

// InvalidMemberError reports an entry among those of the live instances that no instance has
// written.
type InvalidMemberError struct{ Key string }

// Error implements the error interface.
func (e *InvalidMemberError) Error() string {
	return e.Key + " doesn't hold an instance's host and port"
}

// decodeMember returns the name of the instance to which an entry belongs, and its address.
// prefix is that of the entry's key. The error is an *InvalidMemberError.
func decodeMember(e metastore.Entry, prefix string) (name, address string, err error) {
	name, address = strings.TrimPrefix(e.Key, prefix), string(e.Value)
	host, portText, err := net.SplitHostPort(address)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil || port == 0 || name == "" || strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", "", &InvalidMemberError{Key: e.Key}
	}
	return name, address, nil
}

// memberAddresses returns the addresses of the instances whose entries are in m, by name.
// Entries that can't be read are left out: each further instance makes the shares of the
// others smaller.
func memberAddresses(m *fleet.Mirror, prefix string) map[string]string {
	addresses := map[string]string{}
	for _, e := range m.Entries() {
		if name, address, err := decodeMember(e, prefix); err == nil {
			addresses[name] = address
		}
	}
	return addresses
}

// recordInvalidMembers records the changed entries that can't be read.
func (g *Gateway) recordInvalidMembers(d fleet.Delta, prefix string) {
	for _, e := range d.Changed {
		if _, _, err := decodeMember(e, prefix); err != nil {
			g.recordInvalidEntry(e.Key, err)
		}
	}
}
