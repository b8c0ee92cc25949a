package relay

import (
	"net/http"

	"redwingknot/fleet"
	"redwingknot/upstream"
)

// IncarnationDialect encodes and decodes the call by which an endpoint's process says which
// incarnation it is.
type IncarnationDialect interface {
	// IncarnationRequest returns the request for that call. It takes no slot.
	IncarnationRequest(endpointID string) *upstream.Request
	// ParseIncarnation decodes the answer to the call for endpointID. The identifier is empty
	// if another endpoint answers that does not name its own. The error is that of an answer
	// that does not say which incarnation gave it.
	ParseIncarnation(endpointID string, status int, h http.Header, body []byte) (fleet.EndpointKey, error)
}
