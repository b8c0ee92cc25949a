package relay

import (
	"time"

	"redwingknot/contract"
)

// evacuationRetryAfter is when a caller may return whose request only evacuated data centres
// could run. An evacuation lasts for minutes; the time is short because the service may
// also get endpoints elsewhere.
const evacuationRetryAfter = 2 * time.Second

// refuseEvacuated returns a refusal if all endpoints that could run the request are in data
// centres that are being evacuated. Waiting would not help the caller.
func (c *callerRequest) refuseEvacuated() *contract.Refusal {
	if !c.server.endpoints.view.Snapshot().IsEvacuated(c.query.service) {
		return nil
	}
	return contract.Unavailable(contract.ReasonEvacuated, evacuationRetryAfter+c.retrySpread(), "all endpoints are in data centres that are being evacuated")
}

// isEvacuated reports whether the data centre of an endpoint is being evacuated. The caller
// holds mu.
func (e *Endpoints) isEvacuated(ep *endpoint) bool {
	return e.view.Snapshot().Evacuated[ep.spec.DataCentre]
}
