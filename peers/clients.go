package peers

import (
	"context"
	"net"

	"redwingknot/upstream"
	"redwingknot/wire"
)

// newClient returns a client of another instance.
func (e *Exchange) newClient(address string) *wire.Client {
	dialer := net.Dialer{Timeout: exchangeTimeout, Control: upstream.SetSocketOptions, KeepAliveConfig: upstream.KeepAliveConfig}
	return wire.NewClient(address, e.opts.Key, func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", addr)
	})
}

// setAddresses sets the addresses of the other instances, and closes the clients of those
// that have another address or none. The caller holds mu.
func (e *Exchange) setAddresses(addresses map[string]string) {
	e.addresses = addresses
	for name, c := range e.clients {
		if addresses[name] != c.Addr() {
			c.Close()
			delete(e.clients, name)
		}
	}
}

// client returns the client for calls of another instance outside of the exchange, nil if
// there is no instance of that name.
func (e *Exchange) client(name string) *wire.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	address, known := e.addresses[name]
	if !known || name == e.opts.Self {
		return nil
	}
	if e.clients[name] == nil {
		e.clients[name] = e.newClient(address)
	}
	return e.clients[name]
}
