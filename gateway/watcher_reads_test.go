package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// slowReadKV is a KV whose reads of ranges take readTime and, once failing is set, then
// fail. Its watches are not affected.
type slowReadKV struct {
	metastore.KV
	readTime time.Duration
	failing  atomic.Bool
}

// Range implements metastore.KV.
func (k *slowReadKV) Range(ctx context.Context, p metastore.Purpose, from, to string, limit int) ([]metastore.Entry, int64, error) {
	time.Sleep(k.readTime)
	if k.failing.Load() {
		return nil, 0, &metastore.UnknownOutcomeError{Op: "range", Key: from, Err: context.DeadlineExceeded}
	}
	return k.KV.Range(ctx, p, from, to, limit)
}

// TestWatchedChangeIsAppliedWhileReadsFail checks that a change that the watch delivers
// is applied at once, whether reads of the range fail or are under way.
func TestWatchedChangeIsAppliedWhileReadsFail(t *testing.T) {
	const readTime, maxAge = 800 * time.Millisecond, time.Second
	for _, failing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := metastoretest.New(time.Now)
			kv := &slowReadKV{KV: store, readTime: readTime}
			applied := 0
			w := &watcher{
				kv: kv, purpose: purposeOperator, from: "a/", to: "a0", maxAge: func() time.Duration { return maxAge }, now: time.Now,
				mirror: fleet.NewMirror(), freshness: fleet.NewFreshness(),
				onChange: func(fleet.Delta) { applied++ }, onRead: func(time.Time) {}, onError: func(error) {},
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				assert.Check(t, w.run(ctx))
			}()
			defer func() {
				cancel()
				<-done
			}()
			time.Sleep(readTime + maxAge/2)
			kv.failing.Store(failing)
			for changes := range 40 {
				_, err := store.Create(ctx, "test", "a/"+string(rune('0'+changes)), nil, 0)
				assert.NilError(t, err)
				synctest.Wait()
				assert.Equal(t, applied, changes+1, "failing %t", failing)
				time.Sleep(70 * time.Millisecond)
			}
		})
	}
}

// maxConfirmationAge is the age of the last confirmation at which gateways refuse all tokens
// on the users' machines.
const maxConfirmationAge = 4500 * time.Millisecond

// TestSlowStoreConfirmsInTime has each read take up to 3 s. The copy must be confirmed
// before the last confirmation is too old, and a store that answers now and then must not
// count as unreachable all the time.
func TestSlowStoreConfirmsInTime(t *testing.T) {
	for _, readTime := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var confirmedAt time.Time
			reads, failures := 0, 0
			w := &watcher{
				kv: &slowReadKV{KV: metastoretest.New(time.Now), readTime: readTime}, purpose: purposeOperator, from: "a/", to: "a0",
				maxAge: func() time.Duration { return time.Second }, now: time.Now, mirror: fleet.NewMirror(), freshness: fleet.NewFreshness(),
				onChange: func(fleet.Delta) {}, onError: func(error) { failures++ },
				onRead: func(sentAt time.Time) {
					reads++
					if !confirmedAt.IsZero() {
						age := time.Since(confirmedAt)
						assert.Check(t, age < maxConfirmationAge, "confirmed %s ago, reads take %s", age, readTime)
					}
					confirmedAt = sentAt
				},
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				assert.Check(t, w.run(ctx))
			}()
			const duration = time.Minute
			time.Sleep(duration)
			cancel()
			<-done
			assert.Check(t, reads >= int(duration/maxConfirmationAge))
			assert.Check(t, failures <= 3, "%d failures, reads take %s", failures, readTime)
		})
	}
}

// checkBed is a watcher of a store whose one key has a value large enough to be checked
// instead of read.
type checkBed struct {
	store    *metastoretest.Store
	kv       *metastoretest.KV // the watcher's connection
	view     *fleet.View
	applied  *atomic.Int64   // changes reported by the watcher
	observer arrivingChanges // the watcher's
}

// newCheckBed starts a watcher in a synctest bubble, with wrap around its connection to
// the store. It ends with ctx.
func newCheckBed(t *testing.T, ctx context.Context, wrap func(metastore.KV) metastore.KV) *checkBed {
	kv := metastoretest.New(time.Now)
	b := &checkBed{store: kv.Store(), kv: kv, view: fleet.NewView(), applied: &atomic.Int64{}}
	_, err := b.store.Create("a/config", make([]byte, minCheckedBytes), 0)
	assert.NilError(t, err)
	w := &watcher{
		kv: wrap(kv), checker: kv, purpose: purposeOperator, from: "a/", to: "a0", maxAge: func() time.Duration { return time.Second }, now: time.Now,
		observer:     &b.observer,
		expectedKeys: func() []string { return []string{"a/config", "a/absent"} },
		mirror:       fleet.NewMirror(), freshness: fleet.NewFreshness(), onError: func(error) {},
		onChange: func(d fleet.Delta) { b.applied.Add(int64(len(d.Changed))) },
		onRead:   func(sentAt time.Time) { b.view.Confirm(sentAt) },
	}
	go func() { assert.Check(t, w.run(ctx)) }()
	synctest.Wait()
	return b
}

// countRanges makes a connection count its reads of ranges and fail its checks of
// revisions while failChecks is set.
func (b *checkBed) countRanges(failChecks *atomic.Bool) *atomic.Int64 {
	var ranges atomic.Int64
	b.kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
		if op.Name == "range" {
			ranges.Add(1)
		}
		if op.Name == "check" && failChecks.Load() {
			return metastoretest.LostResponse
		}
		return metastoretest.NoFault
	})
	return &ranges
}

// TestLargeCopyIsConfirmedWithoutReadingIt checks that a large copy stays confirmed for a
// minute without a read of its values, and that it is read if checks get no answer.
func TestLargeCopyIsConfirmedWithoutReadingIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newCheckBed(t, ctx, func(kv metastore.KV) metastore.KV { return kv })
		var failChecks atomic.Bool
		ranges := b.countRanges(&failChecks)
		for range 60 {
			time.Sleep(time.Second)
			assert.Check(t, b.view.ConfirmedAge(time.Now()) <= time.Second)
		}
		assert.Equal(t, ranges.Load(), int64(0))
		failChecks.Store(true)
		for range 60 {
			time.Sleep(time.Second)
			assert.Check(t, b.view.ConfirmedAge(time.Now()) <= 3*time.Second, "%s", b.view.ConfirmedAge(time.Now()))
		}
		assert.Check(t, ranges.Load() > 20, "%d", ranges.Load())
	})
}

// TestWatchThatEndsDuringCheckIsStartedAgain ends the watch while a check is under way: the
// check must not be taken for the read at whose revision a watch starts.
func TestWatchThatEndsDuringCheckIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newCheckBed(t, ctx, func(kv metastore.KV) metastore.KV { return kv })
		var ranges, watchesFromStart atomic.Int64
		ended := false
		b.kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
			switch {
			case op.Name == "range":
				ranges.Add(1)
			case op.Name == "watch" && ranges.Load() == 0:
				watchesFromStart.Add(1)
			case op.Name == "check" && !ended:
				ended = true
				b.store.SetDown(true) // ends the watch
				time.Sleep(10 * time.Millisecond)
				b.store.SetDown(false)
			}
			return metastoretest.NoFault
		})
		time.Sleep(3 * time.Second)
		assert.Equal(t, watchesFromStart.Load(), int64(0))
		assert.Equal(t, ranges.Load(), int64(1))
		_, err := b.store.Create("a/new", nil, 0)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, b.applied.Load(), int64(2))
	})
}

// deafKV is a KV whose watches report nothing.
type deafKV struct{ metastore.KV }

// Watch implements metastore.KV.
func (deafKV) Watch(context.Context, metastore.Purpose, string, string, int64) (<-chan metastore.Change, error) {
	return make(chan metastore.Change), nil
}

// TestCheckFindsChangesThatTheWatchMisses changes a key, and writes one that was absent,
// behind a watch that reports nothing. Each must be applied within the time in which a
// configuration must be in force.
func TestCheckFindsChangesThatTheWatchMisses(t *testing.T) {
	const applyTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newCheckBed(t, ctx, func(kv metastore.KV) metastore.KV { return deafKV{kv} })
		e, err := b.store.Get("a/config")
		assert.NilError(t, err)
		time.Sleep(1700 * time.Millisecond)
		_, err = b.store.Swap("a/config", make([]byte, 2*minCheckedBytes), e.ModRevision, 0)
		assert.NilError(t, err)
		time.Sleep(applyTime)
		assert.Equal(t, b.applied.Load(), int64(2))
		_, err = b.store.Create("a/absent", nil, 0)
		assert.NilError(t, err)
		time.Sleep(applyTime)
		assert.Equal(t, b.applied.Load(), int64(3))
	})
}

// TestRangeIsReadBesideLongTransfer checks that a small change is known soon although the
// watch is taken up by the transfer of a large change of another range.
func TestRangeIsReadBesideLongTransfer(t *testing.T) {
	const knownWithin = 500 * time.Millisecond // a quarter of the shortest time for which a leaving endpoint serves
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := metastoretest.New(time.Now)
		var observer arrivingChanges
		var applied atomic.Int64
		w := &watcher{
			kv: deafKV{store}, purpose: purposeEndpoints, from: "a/", to: "a0", maxAge: func() time.Duration { return fullReadInterval }, now: time.Now,
			observer: &observer, readsBesideTransfers: true, mirror: fleet.NewMirror(), freshness: fleet.NewFreshness(),
			onChange: func(fleet.Delta) { applied.Add(1) }, onRead: func(time.Time) {}, onError: func(error) {},
		}
		go func() { assert.Check(t, w.run(ctx)) }()
		time.Sleep(time.Second)
		reads := store.Calls(purposeEndpoints).Reads
		time.Sleep(5 * time.Second)
		assert.Equal(t, store.Calls(purposeEndpoints).Reads, reads, "nothing is being transferred")
		observer.Store(true)
		for changes := range 5 {
			_, err := store.Create(ctx, "test", "a/"+string(rune('0'+changes)), nil, 0)
			assert.NilError(t, err)
			time.Sleep(knownWithin)
			assert.Equal(t, applied.Load(), int64(changes+1))
		}
	})
}

// arrivingChanges is a metastore.WatchObserver.
type arrivingChanges struct{ atomic.Bool }

// ReceivingChanges implements metastore.WatchObserver.
func (a *arrivingChanges) ReceivingChanges() bool { return a.Load() }

// TestRangeIsNotReadWhileItsChangeArrives checks that a copy that is known to be outdated
// is not read while changes of the watch arrive, and is read when none do any more.
func TestRangeIsNotReadWhileItsChangeArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newCheckBed(t, ctx, func(kv metastore.KV) metastore.KV { return deafKV{kv} })
		var failChecks atomic.Bool
		ranges := b.countRanges(&failChecks)
		b.observer.Store(true)
		e, err := b.store.Get("a/config")
		assert.NilError(t, err)
		_, err = b.store.Swap("a/config", make([]byte, minCheckedBytes), e.ModRevision, 0)
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		assert.Equal(t, ranges.Load(), int64(0))
		b.observer.Store(false)
		time.Sleep(arrivalCheckInterval + time.Millisecond)
		assert.Equal(t, ranges.Load(), int64(1))
		assert.Equal(t, b.applied.Load(), int64(2))
	})
}
