package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"redwingknot/fleet"
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
	// confirmationTravel is the time in which a confirmation reaches the other instances.
	confirmationTravel = 500 * time.Millisecond
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
	// minCheckedBytes is the size of a copy from which it is confirmed by its revisions
	// instead of a read. A read of that size takes a thirtieth of a second on a link of
	// 10 Mbit/s.
	minCheckedBytes = 32 << 10
	// transferCheckInterval is the time between checks whether a response of the watch is
	// being transferred. One that is at two checks in a row is a long one, beside which
	// a small range is read.
	transferCheckInterval = 200 * time.Millisecond
	// slowReadTime is the time without a response after which a read counts as slow, so
	// that another one may begin beside it.
	slowReadTime = 800 * time.Millisecond
	// maxAnswerGap is the time since the last answer after which the store counts as
	// unreachable if a read is slow. It is longer than the time between the answers to
	// reads that overlap because each is slow.
	maxAnswerGap = 1200 * time.Millisecond
	// maxReads is the number of reads of a watcher that may be under way.
	maxReads = 6
	// arrivalCheckInterval is the time between checks whether changes are still arriving.
	arrivalCheckInterval = 50 * time.Millisecond
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
	// checker confirms a large copy without reading it, nil if the store can't do that.
	checker metastore.RevisionChecker
	// expectedKeys returns the keys whose absence must be confirmed, too. It is nil if
	// there are none.
	expectedKeys func() []string
	// observer tells when changes of the watch are arriving, nil if the store's client
	// doesn't know.
	observer metastore.WatchObserver
	// freshness is shared with the exchange between instances.
	freshness *fleet.Freshness
	// onChange is called with each difference between two states of the copy.
	onChange func(fleet.Delta)
	// onRead is called after each successful read of the whole range, once its changes
	// were passed to onChange, and after each check that confirmed the copy, with the
	// time at which the read or the check was sent.
	onRead func(sentAt time.Time)
	// onError is called with the error of a read or of starting a watch.
	onError func(error)
	// onOldRead is called with the first of several reads in a row that are older than one
	// before them. It may be nil.
	onOldRead func(*OldReadError)
	// storeUnavailable reports whether the store is known not to answer. It is nil
	// for the watcher that detects when the store is available again.
	storeUnavailable func() bool

	// readsBesideTransfers is set for a small range that shares its watch with large
	// values of other ranges.
	readsBesideTransfers bool

	// The remaining fields are used only by run.

	changes      <-chan metastore.Change // of the watch, nil if there is none
	readsAreOld  bool                    // the latest read was older than one before it
	inTransfer   bool                    // at the last check, a response of the watch was being transferred
	noReadBefore time.Time
	// mustRead is set after a check of the revisions that failed or showed that the copy
	// is outdated, until the next read.
	mustRead       bool
	outageWaitEnds time.Time // until then, reads are left to another watcher while storeUnavailable; zero after a read

	reads       int           // under way, slow ones included
	latest      *read         // not slow so far, nil if there is none
	begun       chan struct{} // receives when the response to a read begins to arrive
	answeredAt  time.Time     // when the store last responded to a read
	appliedSent time.Time     // when the newest read or check was sent that has been applied
}

// read is a read of the whole range, or a check, that is under way.
type read struct {
	waitingSince time.Time   // its start or, once its response has begun, the last time that this was noticed
	begun        atomic.Bool // its response has begun to arrive
}

// SlowReadError reports that a read has had no response for After. It is still under way.
type SlowReadError struct{ After time.Duration }

// Error implements error.
func (e *SlowReadError) Error() string { return fmt.Sprintf("no response for %s", e.After) }

// readResult is the outcome of a read of the whole range, or of a check whether the copy
// is still what the store holds.
type readResult struct {
	read     *read
	sentAt   time.Time
	entries  []metastore.Entry
	revision int64
	err      error

	isCheck   bool
	digest    uint64 // of the copy that was checked
	unchanged bool   // the store holds that copy
}

// run keeps the copy up to date until ctx ends: it watches the range, and it reads the
// whole range at first, when the watch ends and when the copy may be out of date. Reads
// run beside the watch, so that changes are applied even if reads take long or fail, and
// beside reads that are slow, so that a store whose answers take seconds confirms the copy
// as often as another one.
func (w *watcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult, maxReads)
	w.begun = make(chan struct{}, 1)
	t := time.NewTimer(0)
	defer t.Stop()
	transferCheck := time.NewTicker(transferCheckInterval)
	defer transferCheck.Stop()
	if !w.readsBesideTransfers {
		transferCheck.Stop()
	}
	for {
		t.Reset(w.untilNextStep())
		select {
		case <-ctx.Done():
			cancel()
			for ; w.reads > 0; w.reads-- {
				<-results
			}
			return nil
		case <-t.C:
			w.step(ctx, results)
		case <-transferCheck.C:
			if w.isLongTransfer() && w.reads == 0 && w.changes != nil {
				w.startRead(ctx, results)
			}
		case <-w.begun:
			w.answeredAt = w.now()
		case r := <-results:
			w.endRead(ctx, r)
		case <-w.freshness.Outdated():
		case c, ok := <-w.changes:
			w.applyChange(c, ok)
		}
	}
}

// untilNextStep returns the time until step has something to do.
func (w *watcher) untilNextStep() time.Duration {
	switch {
	case w.latest != nil:
		return w.latest.waitingSince.Add(slowReadTime).Sub(w.now())
	case w.reads >= maxReads:
		return slowReadTime
	}
	return w.untilRead()
}

// step begins a read that is due, or finds the latest one to be slow.
func (w *watcher) step(ctx context.Context, results chan<- readResult) {
	switch {
	case w.latest != nil:
		w.checkSlowRead()
	case w.reads < maxReads && w.untilRead() <= 0 && !w.awaitsOtherWatcher() && !w.awaitsArrivingChanges():
		w.startRead(ctx, results)
	}
}

// checkSlowRead lets other reads begin beside the latest one if it has had no response for
// slowReadTime. A response that has begun is awaited: beside it, another one would take
// twice as long.
func (w *watcher) checkSlowRead() {
	slow := w.latest
	if w.now().Sub(slow.waitingSince) < slowReadTime {
		return
	}
	if slow.begun.Load() {
		slow.waitingSince = w.now()
		return
	}
	w.latest = nil
	metric.Counter("metastore_slow_reads_total", "purpose", string(w.purpose)).Inc(1)
	if w.now().Sub(w.answeredAt) > maxAnswerGap {
		w.onError(&SlowReadError{After: slowReadTime})
		w.outageWaitEnds = w.now().Add(maxOutageWait)
	}
	w.delayRead()
}

// startRead reads the whole range, or checks the revisions of a large copy, and sends the
// result.
//
// Load pattern: a configuration of a megabyte, links on which it takes a second, and
// confirmations every second.
func (w *watcher) startRead(ctx context.Context, results chan<- readResult) {
	started := &read{waitingSince: w.now()}
	w.reads++
	w.latest = started
	ctx = metastore.WithResponseBegun(ctx, func() {
		started.begun.Store(true)
		select {
		case w.begun <- struct{}{}:
		default: // the watcher has yet to hear of another response
		}
	})
	r := readResult{read: started, sentAt: started.waitingSince}
	if revisions := w.checkableRevisions(); revisions != nil {
		r.isCheck, r.digest = true, w.mirror.Digest()
		go func() {
			r.unchanged, r.err = w.checker.CheckRevisions(ctx, w.purpose, revisions)
			results <- r
		}()
		return
	}
	go func() {
		r.entries, r.revision, r.err = w.kv.Range(ctx, w.purpose, w.from, w.to, 0)
		results <- r
	}()
}

// endRead applies the result of a read. Of a slow read, the failure has been reported, and
// an answer counts unless a later read has been applied.
func (w *watcher) endRead(ctx context.Context, r readResult) {
	w.reads--
	wasSlow := w.latest != r.read
	if !wasSlow {
		w.latest = nil
	}
	if wasSlow && (r.err != nil || r.sentAt.Before(w.appliedSent)) {
		return
	}
	if r.err == nil {
		w.answeredAt, w.appliedSent = w.now(), r.sentAt
	}
	w.applyRead(ctx, r)
}

// checkableRevisions returns the revisions by which the copy can be confirmed, nil if the
// range has to be read.
func (w *watcher) checkableRevisions() map[string]int64 {
	if w.checker == nil || w.mustRead || w.changes == nil || w.mirror.ValueBytes() < minCheckedBytes {
		return nil
	}
	revisions := w.mirror.Revisions()
	if w.expectedKeys != nil {
		for _, key := range w.expectedKeys() {
			if _, ok := revisions[key]; !ok {
				revisions[key] = 0
			}
		}
	}
	if len(revisions) > metastore.MaxCheckedKeys {
		return nil
	}
	return revisions
}

// applyRead applies a read to the copy and starts the watch if there is none.
func (w *watcher) applyRead(ctx context.Context, r readResult) {
	if r.err != nil {
		w.mustRead = true
		w.onError(r.err)
		w.outageWaitEnds = w.now().Add(maxOutageWait)
		w.delayRead()
		return
	}
	w.outageWaitEnds = time.Time{}
	if r.isCheck && !r.unchanged {
		w.awaitChange(r.digest)
		return
	}
	if !r.isCheck && w.mirror.IsOlder(r.revision) {
		w.endOldRead(r)
		return
	}
	w.readsAreOld = w.readsAreOld && r.isCheck
	if !r.isCheck {
		w.mustRead = false
		w.notify(w.mirror.Reset(r.entries, r.revision))
	}
	w.freshness.RecordRead(w.mirror.Digest(), r.sentAt, w.now())
	w.onRead(r.sentAt)
	if w.changes != nil || r.isCheck {
		return
	}
	changes, err := w.kv.Watch(ctx, w.purpose, w.from, w.to, r.revision)
	if err != nil {
		w.onError(err)
		w.delayRead()
		return
	}
	w.changes = changes
}

// endOldRead handles a read that is older than one before it: it confirms nothing, and no watch
// starts from it.
//
// Load pattern: the store has lost its history, so that no watch goes on, and serves reads from
// an older state. If these confirmed the copy, a token that is withdrawn meanwhile would be
// accepted as long as that lasts.
func (w *watcher) endOldRead(r readResult) {
	w.mustRead = true
	metric.Counter("metastore_old_reads_total", "purpose", string(w.purpose)).Inc(1)
	if !w.readsAreOld && w.onOldRead != nil {
		w.onOldRead(&OldReadError{Purpose: w.purpose, Revision: r.revision})
	}
	w.readsAreOld = true
	w.delayRead()
}

// OldReadError reports that a read of the metadata store showed an older state than one before
// it.
type OldReadError struct {
	Purpose  metastore.Purpose
	Revision int64 // of the read
}

// Error implements error.
func (e *OldReadError) Error() string {
	return fmt.Sprintf("read of %s at revision %d is older than one before it", e.Purpose, e.Revision)
}

// awaitChange handles a check that found the copy with the digest to be outdated: unless
// the watch reports the change first, the range is read.
func (w *watcher) awaitChange(digest uint64) {
	if digest != w.mirror.Digest() {
		return // the watch has reported a change since
	}
	w.mustRead = true
	if w.freshness.MarkOutdated(w.now()) {
		w.noReadBefore = w.now().Add(outdatedGrace)
	}
}

// delayRead puts off the next read for a random time with mean retryDelay or, while other
// instances confirm the copy, confirmedRetryDelay.
//
// The longer delay is for a store that refuses a third of the instances for seconds. If
// each of these retried every one of its ranges at once, their calls would exceed the
// usual calls of all instances, and the store limits the number of calls.
func (w *watcher) delayRead() {
	delay := retryDelay
	if w.freshness.NextRead(w.maxAge(), outdatedGrace).After(w.now()) {
		delay = confirmedRetryDelay
	}
	w.noReadBefore = w.now().Add(delay/2 + rand.N(delay))
}

// awaitsOtherWatcher reports whether a read that is due is left to another watcher, which
// detects when the store is available again, and puts the read off if so.
func (w *watcher) awaitsOtherWatcher() bool {
	if w.storeUnavailable == nil || !w.storeUnavailable() || !w.now().Before(w.outageWaitEnds) {
		return false
	}
	w.delayRead()
	return true
}

// awaitsArrivingChanges reports whether a read of the whole range is left until the changes
// of the watch that are arriving are there, and puts the read off if so. Beside it, the
// transfer of the same value would take twice as long.
func (w *watcher) awaitsArrivingChanges() bool {
	if w.observer == nil || w.readsBesideTransfers || w.changes == nil || w.checkableRevisions() != nil || !w.observer.ReceivingChanges() {
		return false
	}
	w.noReadBefore = w.now().Add(arrivalCheckInterval)
	return true
}

// isLongTransfer reports whether a response of the watch is being transferred now and was
// at the check before.
//
// Load pattern: a configuration of a megabyte arrives in a second on a link of 10 Mbit/s,
// or several one after the other. Endpoints that leave meanwhile would be known only
// behind them.
func (w *watcher) isLongTransfer() bool {
	before := w.inTransfer
	w.inTransfer = w.observer != nil && w.observer.ReceivingChanges()
	return before && w.inTransfer
}

// untilRead returns the time until this instance has to read the range, 0 or less if
// that is due.
func (w *watcher) untilRead() time.Duration {
	due := w.now()
	if w.changes != nil {
		due = w.freshness.NextRead(w.maxAge(), outdatedGrace)
	}
	if due.Before(w.noReadBefore) {
		due = w.noReadBefore
	}
	return due.Sub(w.now())
}

// applyChange applies a change of the watch; ok is false if the watch has ended. The
// range is then read again, because a watch starts at the revision of a read.
func (w *watcher) applyChange(c metastore.Change, ok bool) {
	if !ok {
		w.changes = nil
		w.noReadBefore = w.now().Add(brokenWatchDelay)
		return
	}
	if c.Deleted {
		w.notify(w.mirror.Remove(c.Entry.Key, c.Entry.ModRevision))
	} else {
		w.notify(w.mirror.Put(c.Entry))
	}
	w.mustRead = false
	w.freshness.RecordChange(w.mirror.Digest(), w.now())
	metric.Counter("metastore_changes_applied_total", "purpose", string(w.purpose)).Inc(1)
}

func (w *watcher) notify(d fleet.Delta) {
	if !d.Empty() {
		w.onChange(d)
	}
}
