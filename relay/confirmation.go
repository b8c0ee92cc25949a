package relay

import (
	"time"

	"redwingknot/contract"
)

// confirmationLeft returns how long the caller's token counts as confirmed, 0 or less if it
// does not, and whether it has to be.
func (c *callerRequest) confirmationLeft() (time.Duration, bool) {
	s := c.server
	if c.team == nil || s.opts.RevokeTime == 0 {
		return 0, false
	}
	return s.opts.RevokeTime - revokeMargin - s.confirmedAge(), true
}

// refuseUnconfirmed returns a refusal if the request of c would wait in vain because the
// metadata store can't be read: no endpoint that may run it is listed, and none will be; or its
// token no longer counts as confirmed when room is expected.
//
// Load pattern: the store has lost its history, and what it serves confirms nothing. Requests
// whose endpoints have been replaced meanwhile wait for a list that does not come.
func (c *callerRequest) refuseUnconfirmed() *contract.Refusal {
	e := c.server.endpoints
	if e.view.ConfirmedAge(e.now()) <= maxConfirmationAge {
		return nil
	}
	left, limited := c.confirmationLeft()
	expected := max(c.query.admissionDelay, c.query.backlogWait)
	if c.query.hasCandidate && !(limited && expected > left) {
		return nil
	}
	return contract.Unavailable(contract.ReasonPlatformUnreached, shortRetryAfter+c.retrySpread(), "the configuration can't be confirmed in time")
}

// confirmationMargin is how much longer than a token counts as confirmed a request waits, so
// that its next check finds it unconfirmed.
const confirmationMargin = time.Millisecond
