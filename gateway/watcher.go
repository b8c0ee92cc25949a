package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
)

// Purposes of calls to the metadata store. They are labels of the metric that counts
// these calls.
const (
	purposeOperator  metastore.Purpose = "operator"
	purposeEndpoints metastore.Purpose = "endpoints"
	purposeMembers   metastore.Purpose = "members"
)

const (
	// confirmationsPerApplyTime is the number of confirmations of the operator's keys in the
	// time within which a configuration must be in force, so that a change that the
	// watch doesn't report is still applied in time.
	confirmationsPerApplyTime = 2
	// confirmationsPerRevokeTime is the number of confirmations of the operator's keys in the
	// time within which a withdrawn token must be refused. It lets three reads fail
	// before all tokens are refused.
	confirmationsPerRevokeTime = 4
	// ageFactorPerRank staggers the reads of the instances in a row of the exchange
	// between instances: the first one reads the store as soon as a confirmation is
	// due, each following one only once its copy was not confirmed for longer by that
	// share of the interval, up to maxAgeFactor. A report reaches the whole row in
	// about the time of one step.
	ageFactorPerRank = 0.25
	maxAgeFactor     = 1.5
	// fullReadInterval is the time between confirmations of a range that is otherwise
	// only watched. It limits how long a change goes unnoticed that the store fails
	// to report to the watch. If the watch breaks or its connection goes silent, the
	// range is read at once.
	fullReadInterval = 10 * time.Second
	// retryDelay is the mean time between attempts while the store fails.
	retryDelay = 200 * time.Millisecond
	// confirmedRetryDelay is the same while other instances confirm the copy.
	confirmedRetryDelay = time.Second
	// maxOutageWait bounds how long a watcher relies on another one to detect that
	// the store is available again.
	maxOutageWait = 2 * time.Second
	// outdatedGrace is how long a copy that another instance has found to be outdated
	// waits for the watch to report the change before it is read. It is longer than
	// the store's client waits between two polls of a watch.
	outdatedGrace = 400 * time.Millisecond
	// brokenWatchDelay keeps a watch that breaks at once each time from using up
	// the store's limit of calls.
	brokenWatchDelay = 30 * time.Millisecond
)

// watcher keeps a copy of the entries in a range of the metadata store's keys.
type watcher struct {
	kv       metastore.KV
	purpose  metastore.Purpose
	from, to string
	// maxAge returns how long ago the copy may have been confirmed, by this instance
	// or by another one, before this instance reads the whole range.
	maxAge func() time.Duration
	now    func() time.Time
	mirror *fleet.Mirror
	// freshness is shared with the exchange between instances.
	freshness *fleet.Freshness
	// onChange is called with each difference between two states of the copy.
	onChange func(fleet.Delta)
	// onRead is called after each successful read of the whole range, once its
	// changes were passed to onChange, with the time at which the read was sent.
	onRead func(sentAt time.Time)
	// onError is called with the error of a read or of starting a watch.
	onError func(error)
	// storeUnavailable reports whether the store is known not to answer. It is nil
	// for the watcher that detects when the store is available again.
	storeUnavailable func() bool
}

// run keeps the copy up to date until ctx ends: it watches the range, and it reads the
// whole range at first, when the watch ends and when the copy may be out of date.
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
		w.freshness.RecordRead(w.mirror.Digest(), sentAt, w.now())
		w.onRead(sentAt)
		if changes == nil {
			changes, err = w.kv.Watch(ctx, w.purpose, w.from, w.to, revision)
			if err != nil {
				w.onError(err)
			}
		}
		changes = w.applyChangesUntilReadDue(ctx, changes)
	}
	return nil
}

// waitToRetry waits before the next attempt after a failed read: for a random time
// with mean retryDelay or, while other instances confirm the copy, confirmedRetryDelay.
// While storeUnavailable returns true, it waits for up to about maxOutageWait.
//
// The longer waits are for a store that refuses a third of the instances for seconds.
// If each of these retried every one of its ranges at once, their calls would
// exceed the usual calls of all instances, and the store limits the number of calls.
func (w *watcher) waitToRetry(ctx context.Context) {
	until := w.now().Add(maxOutageWait)
	for {
		delay := retryDelay
		if w.untilRead() > 0 {
			delay = confirmedRetryDelay
		}
		timer.Sleep(ctx, delay/2+rand.N(delay))
		if w.storeUnavailable == nil || !w.storeUnavailable() || !w.now().Before(until) || ctx.Err() != nil {
			return
		}
	}
}

// applyChangesUntilReadDue applies the changes of a watch until the range has to be
// read. It returns the channel of the watch, nil if the watch ended.
func (w *watcher) applyChangesUntilReadDue(ctx context.Context, changes <-chan metastore.Change) <-chan metastore.Change {
	t := time.NewTimer(w.untilRead())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return changes
		case <-t.C:
			if w.untilRead() <= 0 {
				return changes
			}
		case <-w.freshness.Outdated():
		case c, ok := <-changes:
			if !ok {
				timer.Sleep(ctx, brokenWatchDelay)
				return nil
			}
			w.applyChange(c)
			continue
		}
		t.Reset(w.untilRead())
	}
}

// untilRead returns the time until this instance has to read the range, 0 or less if
// that is due.
func (w *watcher) untilRead() time.Duration {
	return w.freshness.NextRead(w.maxAge(), outdatedGrace).Sub(w.now())
}

func (w *watcher) applyChange(c metastore.Change) {
	if c.Deleted {
		w.notify(w.mirror.Remove(c.Entry.Key, c.Entry.ModRevision))
	} else {
		w.notify(w.mirror.Put(c.Entry))
	}
	w.freshness.RecordChange(w.mirror.Digest(), w.now())
	metric.Counter("metastore_changes_applied_total", "purpose", string(w.purpose)).Inc(1)
}

func (w *watcher) notify(d fleet.Delta) {
	if !d.Empty() {
		w.onChange(d)
	}
}
