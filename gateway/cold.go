package gateway

import "time"

// sharedMemberInterval is the time between confirmations of the live instances while the
// configuration has services whose cold endpoints bear a limited rate. With maxAgeFactor and
// a read that fails it is within place.MaxMemberAge, after which shares are not used.
const sharedMemberInterval = 2 * time.Second

// memberInterval returns the time between confirmations of the live instances.
func (g *Gateway) memberInterval() time.Duration {
	if g.view.Snapshot().LimitsCold() {
		return sharedMemberInterval
	}
	return fullReadInterval
}

// membersConfirmedAt returns when the list of live instances was last confirmed.
func (g *Gateway) membersConfirmedAt() time.Time {
	_, at := g.confirmations.freshness[purposeMembers].Confirmation()
	return at
}
