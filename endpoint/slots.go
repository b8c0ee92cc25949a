package endpoint

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/metastore"
)

// PurposeSlots labels the platform calls for the slots of weight loads.
const PurposeSlots metastore.Purpose = "load-slots"

const slotPrefix = "load/"

const (
	// slotTenure is how long a data centre keeps a slot before others get a
	// chance at it.
	slotTenure = 20 * time.Second
	// slotPause is how long it then leaves the slot alone.
	slotPause = 5 * time.Second
	// slotRetry is the time between attempts at a slot.
	slotRetry       = 2 * time.Second
	slotCallTimeout = 2 * time.Second
)

// slots is the data centre's part of the fleet's weight loads at once. A slot
// is a key under the lead's lease: it ends with the lease, and whoever takes it
// next waits until the earlier holder's orders have settled. It has one owner.
type slots struct {
	kv      metastore.KV
	self    string
	service string
	limit   int // slots of the service in all data centres

	held      map[string]slot // by key
	nextTry   time.Time
	pausedFor time.Time // no slot is taken before
}

// slot is one key held.
type slot struct {
	revision int64
	usable   time.Time // when an earlier holder's orders have settled
	until    time.Time // when to let others have it
	lease    metastore.LeaseID
}

func newSlots(kv metastore.KV, self, service string) *slots {
	return &slots{kv: kv, self: self, service: service, held: map[string]slot{}}
}

// usable returns how many loads may go on under the lease now.
func (s *slots) usable(now time.Time, lease metastore.LeaseID) int {
	count := 0
	for _, x := range s.held {
		if x.lease == lease && !now.Before(x.usable) {
			count++
		}
	}
	return min(count, s.limit)
}

// sync takes or frees slots: need is how many workers wait or load, loading how
// many of them may load now.
func (s *slots) sync(ctx context.Context, now time.Time, lease metastore.LeaseID, need, loading int) error {
	s.dropOthers(lease)
	if err := s.free(ctx, now, need, loading); err != nil {
		return err
	}
	if len(s.held) >= min(need, s.limit) || now.Before(s.nextTry) || now.Before(s.pausedFor) {
		return nil
	}
	s.nextTry = now.Add(slotRetry)
	return s.take(ctx, now, lease, min(need, s.limit))
}

// dropOthers forgets slots of an earlier lease, which end with it.
func (s *slots) dropOthers(lease metastore.LeaseID) {
	for key, x := range s.held {
		if x.lease != lease {
			delete(s.held, key)
		}
	}
}

// free gives back slots that are not needed or have been held for long, and
// never one that a load may be using.
func (s *slots) free(ctx context.Context, now time.Time, need, loading int) error {
	for key, x := range s.held {
		expired := now.After(x.until)
		if len(s.held) <= loading || len(s.held) <= need && !expired {
			continue
		}
		if expired {
			s.pausedFor = now.Add(slotPause)
		}
		if err := s.delete(ctx, key, x.revision); err != nil {
			return err
		}
		delete(s.held, key)
	}
	return nil
}

func (s *slots) delete(ctx context.Context, key string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	err := s.kv.Delete(ctx, PurposeSlots, key, revision)
	var refused *metastore.RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return errors.Wrap(err, "free load slot")
}

// take reads all slots of the service and creates missing ones up to want. A
// key found under our lease is ours from a create whose answer was lost.
func (s *slots) take(ctx context.Context, now time.Time, lease metastore.LeaseID, want int) error {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	prefix := slotPrefix + s.service + "/"
	entries, _, err := s.kv.Range(ctx, PurposeSlots, prefix, prefix+"\xff", 0)
	if err != nil {
		return errors.Wrap(err, "read load slots")
	}
	taken := map[string]bool{}
	for _, e := range entries {
		taken[e.Key] = true
		if _, known := s.held[e.Key]; e.Lease == lease && !known {
			s.hold(now, e.Key, e.ModRevision, lease)
		}
	}
	for i := 0; i < s.limit && len(s.held) < want; i++ {
		key := fmt.Sprintf("%s%d", prefix, i)
		if taken[key] {
			continue
		}
		rev, err := s.kv.Create(ctx, PurposeSlots, key, []byte(s.self), lease)
		if err != nil {
			return errors.Wrap(err, "take load slot")
		}
		s.hold(now, key, rev, lease)
	}
	return nil
}

func (s *slots) hold(now time.Time, key string, rev int64, lease metastore.LeaseID) {
	usable := now.Add(slotCallTimeout + settleTime)
	s.held[key] = slot{revision: rev, lease: lease, usable: usable, until: usable.Add(slotTenure)}
}
