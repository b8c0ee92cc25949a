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

// setUpPeerExchange sets up the exchange of load reports between instances.
func (g *Gateway) setUpPeerExchange() {
	key := peerKey()
	g.wire = wire.NewServer(key)
	g.exchange = peers.New(peers.Options{
		Self: g.opts.Instance, Key: key, Source: g.relay.Endpoints(), Table: g.opts.Relay.OtherLoads, Now: g.opts.Relay.Now,
	})
	g.exchange.Register(g.wire)
}

// peerKey returns the key of the connections between instances, which is the same
// for all: each instance calls only addresses that it found in its own metadata
// store, and the network keeps others out. The key distinguishes this protocol from
// others at an address that has been reused.
func peerKey() []byte {
	sum := sha256.Sum256([]byte("redwingknot peers"))
	return sum[:]
}

// servePeers serves the calls of other instances until ctx ends.
func (g *Gateway) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp4", g.opts.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	return g.wire.Serve(ctx, l)
}

// settleTime is how long after its start an instance does not rely on the metadata
// store to list all others: after a power failure they come back within some
// seconds.
const settleTime = 5 * time.Second

// updateInstances sets the number of instances and the peers to the instances that
// have a key in the metadata store.
func (g *Gateway) updateInstances(ctx context.Context, m *fleet.Mirror) {
	n := m.Len()
	if g.opts.Relay.Now().Sub(g.started) < settleTime {
		n = max(n, g.view.Snapshot().Instances)
	}
	g.view.SetInstances(n)
	addresses := map[string]string{}
	for _, e := range m.Entries() {
		addresses[strings.TrimPrefix(e.Key, memberPrefix)] = string(e.Value)
	}
	g.exchange.SetPeers(ctx, addresses)
}
