package peers

import (
	"cmp"
	"context"
	"net"
	"slices"

	"redwingknot/place"
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

// setAddresses sets the addresses of the other instances, and retires the clients of those
// that have another address or none. Their streams go on: an instance that was merely late in
// renewing its entry still carries connections to endpoints. The caller holds mu.
func (e *Exchange) setAddresses(addresses map[string]string) {
	e.addresses = addresses
	for name, c := range e.clients {
		if addresses[name] != c.Addr() {
			c.Retire()
			delete(e.clients, name)
		}
	}
}

// Client returns the client for calls of another instance outside of the exchange, nil if
// there is no instance of that name.
func (e *Exchange) Client(name string) *wire.Client {
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

// PeersReaching returns the peers that may reach an endpoint, given by the hash of its
// identifier: first those of the own row that say that they have lately reached it, then those
// of the row that have reached any, then those in other rows, of which only sums are known,
// then the others of the row, and those that shut down last. Among equals, instances and
// endpoints are spread by rendezvous.
func (e *Exchange) PeersReaching(target uint64) []string {
	e.mu.Lock()
	row, column := slices.Clone(e.grid.row), slices.Clone(e.grid.column)
	leaving := map[string]bool{}
	for name, p := range e.peers {
		if p.isLeaving() {
			leaving[name] = true
		}
	}
	e.mu.Unlock()
	rank := map[string]int{}
	var names []string
	for _, name := range row {
		reached, reachesAny := e.opts.Table.Reaches(name, target)
		switch {
		case reached:
			rank[name] = 0
		case reachesAny:
			rank[name] = 1
		default:
			rank[name] = 3
		}
		names = append(names, name)
	}
	for _, name := range column {
		rank[name] = 2
		names = append(names, name)
	}
	for name := range leaving {
		rank[name] = 4
	}
	weight := func(name string) uint64 {
		return place.RendezvousWeight(target^place.Hash(e.opts.Self), place.Hash(name))
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), cmp.Compare(weight(b), weight(a)))
	})
	return names
}

func (p *peer) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}
