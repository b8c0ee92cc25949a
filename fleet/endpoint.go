package fleet

import "time"

// Endpoint is one incarnation of a server of a service. It is immutable.
type Endpoint struct {
	ID          string
	StartMillis int64 // start of the incarnation as Unix time in ms; 0 if not reported
	Service     string
	Address     string // IP:port
	DataCentre  string
	// SoftwareVersion is the version of its software, not of the weights. What endpoints of
	// different versions respond does not fit together.
	SoftwareVersion string
	Slots           int              // requests that it runs at the same time
	Leaving         bool             // takes no new requests
	WeightVersions  map[string]int64 // version of the weights that it has loaded, by model
	ColdUntil       time.Time        // until when it is cold by its entry, zero if it is not
	// ListedAt is when the incarnation was first listed, zero if that was at the start of this
	// process. A View sets it.
	ListedAt time.Time
}

// EndpointKey identifies an incarnation of an endpoint: an identifier can return with
// another start time.
type EndpointKey struct {
	ID          string
	StartMillis int64
}

// Key returns the key of the endpoint's incarnation.
func (e *Endpoint) Key() EndpointKey { return EndpointKey{ID: e.ID, StartMillis: e.StartMillis} }
