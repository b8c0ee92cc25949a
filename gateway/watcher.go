package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
)

// Purposes of calls to the metadata store. They are labels of the metric that counts
// these calls.
const (
	purposeOperator  metastore.Purpose = "operator"
	purposeEndpoints metastore.Purpose = "endpoints"
	purposeMembers   metastore.Purpose = "members"
)

const (
	// readsPerApplyTime is the number of reads of the operator's keys in the time
	// within which a configuration must be in force, so that a change that the
	// watch doesn't report is still applied in time.
	readsPerApplyTime = 2
	// readsPerRevokeTime is the number of reads of the operator's keys in the time
	// within which a withdrawn token must be refused. It lets three reads fail
	// before all tokens are refused.
	readsPerRevokeTime = 4
	// fullReadInterval is the time between reads of a whole range that is also
	// watched. It limits how long a change goes unnoticed that the store fails to
	// report to the watch. If the watch breaks or its connection goes silent, the
	// range is read at once.
	fullReadInterval = 10 * time.Second
	// retryDelay is the mean time between attempts while the store fails.
	retryDelay = 200 * time.Millisecond
	// maxOutageWait bounds how long a watcher relies on another one to detect that
	// the store is available again.
	maxOutageWait = 2 * time.Second
	// brokenWatchDelay keeps a watch that breaks at once each time from using up
	// the store's limit of calls.
	brokenWatchDelay = 30 * time.Millisecond
)

// watcher keeps a copy of the entries in a range of the metadata store's keys.
type watcher struct {
	kv       metastore.KV
	purpose  metastore.Purpose
	from, to string
	interval time.Duration
	now      func() time.Time
	mirror   *fleet.Mirror
	// onChange is called with each difference between two states of the copy.
	onChange func(fleet.Delta)
	// onConfirm is called after each successful read of the whole range, once its
	// changes were passed to onChange, with the time at which the read was sent.
	onConfirm func(sentAt time.Time)
	// onError is called with the error of a read or of starting a watch.
	onError func(error)
	// storeUnavailable reports whether the store is known not to answer. It is nil
	// for the watcher that detects when the store is available again.
	storeUnavailable func() bool
}

// run keeps the copy up to date until ctx ends. It reads the whole range at each
// interval and watches it in between.
func (w *watcher) run(ctx context.Context) error {
	var changes <-chan metastore.Change
	for ctx.Err() == nil {
		sentAt := w.now()
		entries, revision, err := w.kv.Range(ctx, w.purpose, w.from, w.to, 0)
		if err != nil {
			w.onError(err)
			w.waitToRetry(ctx)
			continue
		}
		w.notify(w.mirror.Reset(entries, revision))
		w.onConfirm(sentAt)
		if changes == nil {
			changes, err = w.kv.Watch(ctx, w.purpose, w.from, w.to, revision)
			if err != nil {
				w.onError(err)
			}
		}
		changes = w.applyChangesForInterval(ctx, changes)
	}
	return nil
}

// waitToRetry waits before the next attempt after a failed read: for a random time
// with mean retryDelay or, while storeUnavailable returns true, for up to about
// maxOutageWait.
//
// The longer wait is for a store that refuses a third of the instances for seconds.
// If each of these retried every one of its ranges at once, their calls would
// exceed the usual calls of all instances, and the store limits the number of calls.
func (w *watcher) waitToRetry(ctx context.Context) {
	until := w.now().Add(maxOutageWait)
	for {
		timer.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
		if w.storeUnavailable == nil || !w.storeUnavailable() || !w.now().Before(until) || ctx.Err() != nil {
			return
		}
	}
}

// applyChangesForInterval applies the changes of a watch for one interval. It
// returns the channel of the watch, nil if the watch ended.
func (w *watcher) applyChangesForInterval(ctx context.Context, changes <-chan metastore.Change) <-chan metastore.Change {
	t := time.NewTimer(w.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return changes
		case <-t.C:
			return changes
		case c, ok := <-changes:
			if !ok {
				timer.Sleep(ctx, brokenWatchDelay)
				return nil
			}
			w.applyChange(c)
		}
	}
}

func (w *watcher) applyChange(c metastore.Change) {
	if c.Deleted {
		w.notify(w.mirror.Remove(c.Entry.Key, c.Entry.ModRevision))
		return
	}
	w.notify(w.mirror.Put(c.Entry))
}

func (w *watcher) notify(d fleet.Delta) {
	if !d.Empty() {
		w.onChange(d)
	}
}
