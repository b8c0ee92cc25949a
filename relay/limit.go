package relay

import (
	"log/slog"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
)

// endpointLimit is what is known about the limit that an incarnation of an endpoint has
// named.
type endpointLimit struct {
	limit      fleet.RateLimit
	observedAt time.Time // when the latest response that says so arrived
}

// recordLimit records what the response to a request that was sent at sentAt says about a
// limit. A response that names none ends a limit only if the request was sent after the
// limit was named: responses may overtake each other. The caller holds mu.
func (e *Endpoints) recordLimit(ep *endpoint, limit fleet.RateLimit, sentAt time.Time) {
	known := e.limits[ep.incarnationHash]
	if known == nil {
		if !limit.Named {
			return
		}
		known = &endpointLimit{}
		e.limits[ep.incarnationHash] = known
	}
	if !limit.Named && sentAt.Before(known.observedAt) {
		return
	}
	if known.limit != limit {
		event.EndpointLimited.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service),
			slog.Bool("limited", limit.Named), slog.Float64("perSecond", limit.PerSecond))
		metric.Counter("endpoint_limits_total", "service", ep.spec.Service).Inc(1)
	}
	known.limit, known.observedAt = limit, e.now()
}

// countLimited counts a request to an endpoint that has named a limit. The caller holds
// mu.
func (e *Endpoints) countLimited(ep *endpoint) {
	if known := e.limits[ep.incarnationHash]; known != nil && known.limit.Named {
		metric.Counter("limited_endpoint_requests_total", "service", ep.spec.Service).Inc(1)
	}
}
