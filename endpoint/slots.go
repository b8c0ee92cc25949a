package endpoint

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/metastore"
)

// PurposeSlots is the purpose label of the key-value service calls for load
// slots.
const PurposeSlots metastore.Purpose = "load-slots"

const slotKeyPrefix = "load/"

const (
	// slotHoldTime is how long a data centre keeps a usable slot before it
	// releases it, so that other data centres can acquire it.
	slotHoldTime = 20 * time.Second
	// slotPause is how long a data centre acquires no slot of the service after it
	// has released one because of slotHoldTime.
	slotPause = 5 * time.Second
	// slotRetryInterval is the time between attempts to acquire slots.
	slotRetryInterval = 2 * time.Second
	slotCallTimeout   = 2 * time.Second
)

// loadSlots holds the load slots of one service that this data centre has
// acquired. The slots limit how many workers of the service load weights at the
// same time in the whole fleet. A slot is a key under the leader lease, so it
// expires with the lease. Whoever acquires it next waits until the orders of the
// earlier holder have settled, see settleTime. loadSlots is not safe for concurrent use.
type loadSlots struct {
	kv      metastore.KV
	self    string // identifier of this instance
	service string
	limit   int // slots of the service in all data centres together

	held        map[string]heldSlot // by key
	nextAttempt time.Time           // earliest time of the next attempt to acquire slots
	pausedUntil time.Time           // until then no slots are acquired, because one was released for other data centres
}

// heldSlot is one slot held by this data centre.
type heldSlot struct {
	revision   int64     // revision of the key
	usableFrom time.Time // when the orders of an earlier holder have settled
	holdUntil  time.Time // when to release it for other data centres
	lease      metastore.LeaseID
}

func newLoadSlots(kv metastore.KV, self, service string) *loadSlots {
	return &loadSlots{kv: kv, self: self, service: service, held: map[string]heldSlot{}}
}

// usableCount returns how many loads may run under the lease now.
func (s *loadSlots) usableCount(now time.Time, lease metastore.LeaseID) int {
	count := 0
	for _, h := range s.held {
		if h.lease == lease && !now.Before(h.usableFrom) {
			count++
		}
	}
	return min(count, s.limit)
}

// sync releases slots that are not needed and acquires missing ones. need is the
// number of workers that wait for a load or are loading; loading is the number of
// those that may be loading now.
func (s *loadSlots) sync(ctx context.Context, now time.Time, lease metastore.LeaseID, need, loading int) error {
	s.dropOtherLeases(lease)
	if err := s.releaseSurplus(ctx, now, need, loading); err != nil {
		return err
	}
	if len(s.held) >= min(need, s.limit) || now.Before(s.nextAttempt) || now.Before(s.pausedUntil) {
		return nil
	}
	s.nextAttempt = now.Add(slotRetryInterval)
	return s.acquire(ctx, now, lease, min(need, s.limit))
}

// dropOtherLeases forgets slots held under another lease; their keys expire with
// it.
func (s *loadSlots) dropOtherLeases(lease metastore.LeaseID) {
	for key, h := range s.held {
		if h.lease != lease {
			delete(s.held, key)
		}
	}
}

// releaseSurplus releases slots that are not needed or have been held past
// holdUntil. It never releases a slot that a load may be using.
func (s *loadSlots) releaseSurplus(ctx context.Context, now time.Time, need, loading int) error {
	for key, h := range s.held {
		expired := now.After(h.holdUntil)
		if len(s.held) <= loading || len(s.held) <= need && !expired {
			continue
		}
		if expired {
			s.pausedUntil = now.Add(slotPause)
		}
		if err := s.deleteKey(ctx, key, h.revision); err != nil {
			return err
		}
		delete(s.held, key)
	}
	return nil
}

// deleteKey deletes a slot's key if it still has the given revision. A refusal by
// the key-value service is not an error.
func (s *loadSlots) deleteKey(ctx context.Context, key string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	err := s.kv.Delete(ctx, PurposeSlots, key, revision)
	var refused *metastore.RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return errors.Wrap(err, "release load slot")
}

// acquire reads all slots of the service and creates free ones until this data
// centre holds target of them. A key found under lease that is not in held
// comes from a create call whose answer was lost; it is added to held.
func (s *loadSlots) acquire(ctx context.Context, now time.Time, lease metastore.LeaseID, target int) error {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	prefix := slotKeyPrefix + s.service + "/"
	entries, _, err := s.kv.Range(ctx, PurposeSlots, prefix, prefix+"\xff", 0)
	if err != nil {
		return errors.Wrap(err, "read load slots")
	}
	taken := map[string]bool{}
	for _, e := range entries {
		taken[e.Key] = true
		if _, alreadyHeld := s.held[e.Key]; e.Lease == lease && !alreadyHeld {
			s.addHeld(now, e.Key, e.ModRevision, lease)
		}
	}
	for i := 0; i < s.limit && len(s.held) < target; i++ {
		key := fmt.Sprintf("%s%d", prefix, i)
		if taken[key] {
			continue
		}
		rev, err := s.kv.Create(ctx, PurposeSlots, key, []byte(s.self), lease)
		if err != nil {
			return errors.Wrap(err, "acquire load slot")
		}
		s.addHeld(now, key, rev, lease)
	}
	return nil
}

// addHeld records a slot as held. now is the time before the call that acquired
// or found the slot, so an earlier holder's orders have settled slotCallTimeout +
// settleTime later at the latest.
func (s *loadSlots) addHeld(now time.Time, key string, rev int64, lease metastore.LeaseID) {
	usableFrom := now.Add(slotCallTimeout + settleTime)
	s.held[key] = heldSlot{revision: rev, lease: lease, usableFrom: usableFrom, holdUntil: usableFrom.Add(slotHoldTime)}
}
