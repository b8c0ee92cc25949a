package gateway

import (
	"maps"
	"slices"

	"redwingknot/fleet"
	"redwingknot/slots"
	"redwingknot/wire"
)

// setUpSlots sets up the granting of slots between instances. The exchange and the relay are set
// up later.
func (g *Gateway) setUpSlots() {
	g.slots = slots.NewServer(slotSource{g}, g.opts.Relay.Now, g.log)
	g.slotClient = slots.NewClient(slots.ClientOptions{
		Self: g.opts.Instance, DataCentre: g.opts.DataCentre, Server: g.slots, Log: g.log,
		Open: slots.OpenOverWire(func(name string) *wire.Client { return g.exchange.Client(name) }),
	})
	g.opts.Relay.Slots = g.slotClient
}

// slotSource tells the endpoints whose slots this instance grants. It implements slots.Source.
type slotSource struct{ gateway *Gateway }

// SlotEndpoints implements slots.Source.
func (s slotSource) SlotEndpoints(g slots.Group) []slots.Endpoint {
	return s.gateway.relay.Endpoints().SlotEndpoints(g)
}

// updateCoordinators sets the instances that coordinate others by preference, from m, their
// entries in the metadata store.
func (g *Gateway) updateCoordinators(m *fleet.Mirror) {
	g.relay.Endpoints().SetCoordinators(slices.Sorted(maps.Keys(memberAddresses(m, coordinatorPrefix))))
}
