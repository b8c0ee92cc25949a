package gateway

import (
	"context"
	"net"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/tunnel"
)

// detours opens connections to endpoints through other instances. It implements
// relay.Detours.
type detours struct{ exchange *peers.Exchange }

// Peers implements relay.Detours.
func (d *detours) Peers(target uint64) []string { return d.exchange.PeersReaching(target) }

// Dial implements relay.Detours.
func (d *detours) Dial(ctx context.Context, peer string, key fleet.EndpointKey) (net.Conn, error) {
	client := d.exchange.Client(peer)
	if client == nil {
		return nil, &tunnel.UnknownEndpointError{ID: key.ID}
	}
	c, err := tunnel.Dial(ctx, client, key)
	if err != nil {
		return nil, err
	}
	return c, nil
}
