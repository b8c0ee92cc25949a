package gateway

import (
	"time"

	"redwingknot/fleet"
	"redwingknot/metastore"
	"redwingknot/peers"
)

// confirmations passes on between instances what each confirmed by its reads of the
// metadata store. It implements peers.ConfirmationSource.
type confirmations struct {
	view      *fleet.View
	now       func() time.Time
	freshness map[metastore.Purpose]*fleet.Freshness // of the copy of each watched range
}

func newConfirmations(view *fleet.View, now func() time.Time) *confirmations {
	c := &confirmations{view: view, now: now, freshness: map[metastore.Purpose]*fleet.Freshness{}}
	for _, p := range []metastore.Purpose{purposeOperator, purposeEndpoints, purposeMembers} {
		c.freshness[p] = fleet.NewFreshness()
	}
	return c
}

// Confirmations implements peers.ConfirmationSource.
func (c *confirmations) Confirmations() []peers.Confirmation {
	var list []peers.Confirmation
	for p, f := range c.freshness {
		if digest, at := f.Confirmation(); !at.IsZero() {
			list = append(list, peers.Confirmation{Range: string(p), Digest: digest, At: at})
		}
	}
	return list
}

// RecordConfirmation implements peers.ConfirmationSource. Ranges that this instance
// does not know are ignored: another version of the program may watch more of them.
func (c *confirmations) RecordConfirmation(confirmed peers.Confirmation) {
	p := metastore.Purpose(confirmed.Range)
	f := c.freshness[p]
	if f == nil {
		return
	}
	if f.Observe(confirmed.Digest, confirmed.At, c.now()) && p == purposeOperator {
		c.view.Confirm(confirmed.At)
	}
}
