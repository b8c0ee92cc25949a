package gateway

import (
	"context"
	"crypto/sha256"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/wire"
)

// newExchange sets up what instances tell each other.
func (g *Gateway) newExchange() {
	key := peerKey()
	g.wire = wire.NewServer(key)
	g.exchange = peers.New(peers.Options{
		Self: g.o.Instance, Key: key, Source: g.relay.Endpoints(), Table: g.o.Relay.OtherLoads, Now: g.o.Relay.Now,
	})
	g.exchange.Register(g.wire)
}

// peerKey is the same for all instances: each calls only addresses that it found
// in its own store, and the network keeps strangers out. The key tells this
// protocol from others at an address that was used again.
func peerKey() []byte {
	sum := sha256.Sum256([]byte("redwingknot peers"))
	return sum[:]
}

// servePeers answers the other instances until ctx ends.
func (g *Gateway) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp4", g.o.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	return g.wire.Serve(ctx, l)
}

// settleTime is how long after its start an instance does not trust that it sees
// all others: after a loss of power they come back within some seconds.
const settleTime = 5 * time.Second

// membersChanged follows the instances that have a key in the store.
func (g *Gateway) membersChanged(ctx context.Context, m *fleet.Mirror) {
	n := m.Len()
	if g.o.Relay.Now().Sub(g.started) < settleTime {
		n = max(n, g.view.Snapshot().Instances)
	}
	g.view.SetInstances(n)
	addresses := map[string]string{}
	for _, e := range m.Entries() {
		addresses[strings.TrimPrefix(e.Key, memberPrefix)] = string(e.Value)
	}
	g.exchange.SetPeers(ctx, addresses)
}
