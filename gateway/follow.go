package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
)

// Purposes of calls to the metadata store.
const (
	purposeOperator  metastore.Purpose = "operator"
	purposeEndpoints metastore.Purpose = "endpoints"
	purposeMembers   metastore.Purpose = "members"
)

const (
	// confirmsPerApply is the number of reads of the operator's keys in the time
	// within which a configuration must be in force: a change that the watch does
	// not tell is still in time.
	confirmsPerApply = 2
	// confirmsPerRevoke lets three reads fail before tokens are refused.
	confirmsPerRevoke = 4
	// listInterval is the time between reads of lists that are also watched. A
	// watch that is cut or whose connection is silent is followed by a read at
	// once; this bounds the harm of a store that tells a watch nothing.
	listInterval = 10 * time.Second
	// failedPause is the mean time between attempts while the store fails.
	failedPause = 200 * time.Millisecond
	// awayPause bounds how long a follower leaves it to another one to find out
	// that the store is back.
	awayPause = 2 * time.Second
	// brokenWatchPause keeps a watch that breaks at once from taking the store's
	// calls.
	brokenWatchPause = 30 * time.Millisecond
)

// follower keeps a copy of the keys under a prefix.
type follower struct {
	kv       metastore.KV
	purpose  metastore.Purpose
	from, to string
	interval time.Duration
	now      func() time.Time
	mirror   *fleet.Mirror
	// changed takes what differs.
	changed func(fleet.Delta)
	// confirmed takes the time at which a read of the whole range was sent,
	// after its changes.
	confirmed func(sentAt time.Time)
	// failed takes the error of a read.
	failed func(error)
	// away reports whether the store is known not to answer; nil if this follower
	// is the one that finds out.
	away func() bool
}

// run follows until ctx ends: reads of the whole range at an interval, and a
// watch in between.
func (f *follower) run(ctx context.Context) error {
	var watch <-chan metastore.Change
	for ctx.Err() == nil {
		sent := f.now()
		entries, revision, err := f.kv.Range(ctx, f.purpose, f.from, f.to, 0)
		if err != nil {
			f.failed(err)
			f.pause(ctx)
			continue
		}
		f.apply(f.mirror.Reset(entries, revision))
		f.confirmed(sent)
		if watch == nil {
			watch, err = f.kv.Watch(ctx, f.purpose, f.from, f.to, revision)
			if err != nil {
				f.failed(err)
			}
		}
		watch = f.await(ctx, watch)
	}
	return nil
}

// pause waits before the next attempt after a failed read.
//
// Load pattern: a store that turns away a third of the instances for seconds.
// If every list of each is tried again at once, the calls of those few exceed
// the usual ones of all, and the store has a limit of calls.
func (f *follower) pause(ctx context.Context) {
	until := f.now().Add(awayPause)
	for {
		timer.Sleep(ctx, failedPause/2+rand.N(failedPause))
		if f.away == nil || !f.away() || !f.now().Before(until) || ctx.Err() != nil {
			return
		}
	}
}

// await applies changes for an interval. It returns nil if the watch ended.
func (f *follower) await(ctx context.Context, watch <-chan metastore.Change) <-chan metastore.Change {
	t := time.NewTimer(f.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return watch
		case <-t.C:
			return watch
		case c, ok := <-watch:
			if !ok {
				timer.Sleep(ctx, brokenWatchPause)
				return nil
			}
			f.applyChange(c)
		}
	}
}

func (f *follower) applyChange(c metastore.Change) {
	if c.Deleted {
		f.apply(f.mirror.Remove(c.Entry.Key, c.Entry.ModRevision))
		return
	}
	f.apply(f.mirror.Put(c.Entry))
}

func (f *follower) apply(d fleet.Delta) {
	if !d.Empty() {
		f.changed(d)
	}
}
