package gateway

import (
	"context"
	"time"

	"redwingknot/origin"
)

// origins is what all instances together know about the software versions that began
// streams. It implements relay.Origins.
type origins struct {
	origin.Local
	gateway *Gateway
}

// LookUp implements relay.Origins. An instance that has just started first reads what is
// saved in the metadata store.
func (o *origins) LookUp(ctx context.Context, s origin.Stream) (origin.Version, bool) {
	if v, known := o.Version(s); known {
		return v, true
	}
	o.gateway.originBatches.waitUntilRead(ctx)
	return o.gateway.exchange.LookUpOrigin(ctx, s)
}

// Sole implements relay.Origins. It follows from the registered versions alone: the own history
// may end before others have joined, which an instance that was paused or cut off a moment ago
// does not know.
func (o *origins) Sole(ctx context.Context, service string, _ time.Time) (origin.Version, bool) {
	return o.gateway.software.sole(ctx, service)
}

// MayBegin implements relay.Origins.
func (o *origins) MayBegin(service string, listed []origin.Version) []origin.Version {
	return o.gateway.software.mayBegin(service, listed)
}
