package gateway

import (
	"context"
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/peers"
	"redwingknot/wire"
)

// setUpPeerExchange sets up the exchange of load reports between instances.
func (g *Gateway) setUpPeerExchange() {
	key := peerKey()
	g.wire = wire.NewServer(key)
	g.exchange = peers.New(peers.Options{
		Self: g.opts.Instance, Key: key, Source: g.relay.Endpoints(), Table: g.opts.Relay.OtherLoads, Now: g.opts.Relay.Now, Leaving: g.draining.Load,
		Confirmations: g.confirmations, Suspects: g.opts.Relay.Suspects, Limits: g.relay.Endpoints(), WeightLoads: g.relay.Endpoints(), Backlogs: g.relay.Endpoints(),
		Cold: g.relay.Endpoints(), Ramps: g.relay.Endpoints(),
		Origins: g.origins.Registry, Software: g.origins.History,
		SavesOrigins: func() bool { return len(g.software.registered.Ambiguous()) > 0 },
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

// settleTime is the time after its start in which an instance does not reduce the
// number of instances that it assumes: after a power failure, the others take some
// seconds to register in the metadata store again.
const settleTime = 5 * time.Second

// updateInstances sets the number of instances and the addresses of the peers from
// m, the entries of the instances in the metadata store.
func (g *Gateway) updateInstances(ctx context.Context, m *fleet.Mirror) {
	addresses := memberAddresses(m, memberPrefix)
	rank := 0
	for name := range addresses {
		if name < g.opts.Instance {
			rank++
		}
	}
	g.rank.Store(int64(rank))
	g.memberCount.Store(int64(max(len(addresses), 1)))
	g.setInstances()
	names := slices.Sorted(maps.Keys(addresses))
	g.relay.Endpoints().SetInstances(g.opts.Instance, names)
	g.opts.Relay.Suspects.SetInstances(g.opts.Instance, names)
	g.exchange.SetPeers(ctx, addresses)
	g.slotClient.Prune(names)
}

// setInstances sets the number of instances in the view to that of the registered
// ones, but does not reduce it before settleTime.
func (g *Gateway) setInstances() {
	n := int(g.memberCount.Load())
	if n == 0 {
		return
	}
	if g.opts.Relay.Now().Sub(g.started) < settleTime {
		n = max(n, g.view.Snapshot().Instances)
	}
	g.view.SetInstances(n)
}

// endSettling sets the number of instances once settleTime has passed.
func (g *Gateway) endSettling(ctx context.Context) error {
	if timer.Sleep(ctx, settleTime) {
		g.setInstances()
	}
	return nil
}
