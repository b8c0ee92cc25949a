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

// settleTime is the time after its start in which an instance does not reduce the
// number of instances that it assumes: after a power failure, the others take some
// seconds to register in the metadata store again.
const settleTime = 5 * time.Second

// updateInstances sets the number of instances and the addresses of the peers from
// m, the entries of the instances in the metadata store.
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
