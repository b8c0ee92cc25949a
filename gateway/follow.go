package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/fleet"
	"redwingknot/metastore"
)

// Purposes of calls to the metadata store.
const (
	purposeOperator  metastore.Purpose = "operator"
	purposeEndpoints metastore.Purpose = "endpoints"
	purposeMembers   metastore.Purpose = "members"
)

const (
	// confirmInterval lets three reads fail before tokens are refused, at a
	// limit of 5 s.
	confirmInterval = time.Second
	// listInterval is the time between reads of lists that are also watched. A
	// watch that is cut or whose connection is silent is followed by a read at
	// once; this bounds the harm of a store that tells a watch nothing.
	listInterval = 4 * time.Second
	// membersInterval is that for the instances, which only shares rest on.
	membersInterval = 10 * time.Second
	// failedPause is the mean time between attempts while the store fails.
	failedPause = 200 * time.Millisecond
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
			sleep(ctx, failedPause/2+rand.N(failedPause))
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
				sleep(ctx, brokenWatchPause)
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
