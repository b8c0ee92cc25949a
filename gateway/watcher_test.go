package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/fleet"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
	"redwingknot/peers"
	"redwingknot/relay"
)

// watcherRecord records what a watcher reports.
type watcherRecord struct {
	mu        sync.Mutex
	keys      map[string]int64
	confirmed time.Time
	failures  int
}

func (r *watcherRecord) recordDelta(d fleet.Delta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range d.Changed {
		r.keys[e.Key] = e.ModRevision
	}
	for _, key := range d.Removed {
		delete(r.keys, key)
	}
}

// keysText returns the keys and their revisions as text.
func (r *watcherRecord) keysText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.keys)
}

// waitForContent waits until the watcher has reported the store's content.
func (r *watcherRecord) waitForContent(t *testing.T, s *metastoretest.Store) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entries, _, _ := s.Range("a/", "a0", 0)
		content := map[string]int64{}
		for _, e := range entries {
			content[e.Key] = e.ModRevision
		}
		if got := r.keysText(); got != fmt.Sprint(content) {
			return poll.Continue("%s is not %v", got, content)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func startWatcher(t *testing.T, kv metastore.KV, interval time.Duration) *watcherRecord {
	t.Helper()
	record := &watcherRecord{keys: map[string]int64{}}
	w := &watcher{
		kv: kv, purpose: purposeOperator, from: "a/", to: "a0", maxAge: func() time.Duration { return interval }, now: time.Now, mirror: fleet.NewMirror(), freshness: fleet.NewFreshness(),
		onChange: record.recordDelta,
		onRead: func(sentAt time.Time) {
			record.mu.Lock()
			defer record.mu.Unlock()
			record.confirmed = sentAt
		},
		onError: func(error) {
			record.mu.Lock()
			defer record.mu.Unlock()
			record.failures++
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, w.run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return record
}

// TestWatcherCopyMatchesStoreAfterOutage checks that a watcher's copy matches the
// store after changes, and after an outage in which keys change and the history is
// compacted.
func TestWatcherCopyMatchesStoreAfterOutage(t *testing.T) {
	kv := metastoretest.New(time.Now)
	s := kv.Store()
	create := func(key string) {
		t.Helper()
		_, err := s.Create(key, []byte("x"), 0)
		assert.NilError(t, err)
	}
	create("a/1")
	// The interval is so long that only the watch can report changes in time.
	record := startWatcher(t, kv, time.Hour)
	record.waitForContent(t, s)
	create("a/2")
	create("b/1")
	assert.NilError(t, s.Delete("a/1", 0))
	record.waitForContent(t, s)
	s.SetDown(true)
	create("a/3")
	assert.NilError(t, s.Delete("a/2", 0))
	s.Compact()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		record.mu.Lock()
		defer record.mu.Unlock()
		if record.failures > 0 {
			return poll.Success()
		}
		return poll.Continue("no failure seen")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	s.SetDown(false)
	record.waitForContent(t, s)
}

// TestWatcherConfirmsReads checks that a watcher confirms its reads, with a time after
// its start that is not in the future.
func TestWatcherConfirmsReads(t *testing.T) {
	kv := metastoretest.New(time.Now)
	before := time.Now()
	record := startWatcher(t, kv, 5*time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		record.mu.Lock()
		defer record.mu.Unlock()
		if record.confirmed.After(before) && !record.confirmed.After(time.Now()) {
			return poll.Success()
		}
		return poll.Continue("not confirmed")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// countingKV refuses and counts all reads of ranges.
type countingKV struct {
	metastore.KV
	reads atomic.Int64
}

func (k *countingKV) Range(context.Context, metastore.Purpose, string, string, int) ([]metastore.Entry, int64, error) {
	k.reads.Add(1)
	return nil, 0, &metastore.RefusedError{Op: "range", Cause: metastore.CauseUnavailable}
}

// TestUnavailableStoreIsReadRarely simulates nine seconds in which the store refuses
// an instance. Watchers that know of the outage must leave it to the one without
// storeUnavailable to retry often, because the store limits the number of calls.
func TestUnavailableStoreIsReadRarely(t *testing.T) {
	reads := func(storeUnavailable func() bool) int64 {
		var n int64
		synctest.Test(t, func(t *testing.T) {
			kv := &countingKV{}
			w := &watcher{kv: kv, maxAge: func() time.Duration { return time.Second }, now: time.Now, mirror: fleet.NewMirror(), freshness: fleet.NewFreshness(), onError: func(error) {}, storeUnavailable: storeUnavailable}
			ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
			defer cancel()
			assert.NilError(t, w.run(ctx))
			n = kv.reads.Load()
		})
		return n
	}
	assert.Check(t, reads(nil) > 30)
	unavailableReads := reads(func() bool { return true })
	assert.Check(t, unavailableReads <= 6, "%d", unavailableReads)
	assert.Check(t, reads(func() bool { return false }) > 30)
}

// TestConfirmInterval checks the interval of confirmations for the time limits of
// different deployments.
func TestConfirmInterval(t *testing.T) {
	for _, c := range []struct{ apply, revoke, want time.Duration }{
		{2 * time.Second, 5 * time.Second, time.Second},
		{3 * time.Second, 5 * time.Second, time.Second},
		{3 * time.Second, 0, time.Second},
		{time.Minute, 0, time.Second},
		{3 * time.Second, 2 * time.Second, 500 * time.Millisecond},
	} {
		g := &Gateway{opts: Options{ApplyTime: c.apply, Relay: relay.Options{RevokeTime: c.revoke}}}
		assert.Equal(t, g.confirmInterval(), c.want)
	}
}

// plainSchema is a Schema whose endpoints' entries hold nothing but their keys.
type plainSchema struct{ Schema }

// ApplyEndpoint implements Schema.
func (plainSchema) ApplyEndpoint(v *fleet.View, e metastore.Entry, _ time.Time) error {
	v.PutEndpoint(&fleet.Endpoint{ID: e.Key, Service: "s"})
	return nil
}

// EndpointID implements Schema.
func (plainSchema) EndpointID(key string) string { return key }

// TestRestoredEntryDoesNotBringBackRemovedEndpoint checks that an endpoint which was
// removed does not come back with an older copy of the metadata store, but with its next
// registration, and that one which the copy lacks is kept for a time.
func TestRestoredEntryDoesNotBringBackRemovedEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	view := fleet.NewView()
	g := &Gateway{view: view, log: slog.New(slog.DiscardHandler), opts: Options{Schema: plainSchema{}, Relay: relay.Options{Now: func() time.Time { return now }}}}
	entry := func(key string) metastore.Entry { return metastore.Entry{Key: key} }
	listed := func() string { return fmt.Sprint(slices.Sorted(maps.Keys(view.Snapshot().Endpoints))) }
	g.applyEndpointsDelta(fleet.Delta{Changed: []metastore.Entry{entry("gone"), entry("new")}})
	g.applyEndpointsDelta(fleet.Delta{Removed: []string{"gone"}})
	g.applyEndpointsDelta(fleet.Delta{Restored: true, Changed: []metastore.Entry{entry("gone"), entry("unseen")}, Removed: []string{"new"}})
	assert.Equal(t, listed(), "[new unseen]")
	g.applyEndpointsDelta(fleet.Delta{Changed: []metastore.Entry{entry("gone")}})
	assert.Equal(t, listed(), "[gone new unseen]")
	view.ExpireLapsed(now.Add(time.Minute))
	assert.Equal(t, listed(), "[gone unseen]")
}

// TestEndpointRegisteredBeforeReadOfRestoredStoreIsListed has an endpoint register again between
// the restore of the metadata store and the first read. Its entry changes no more, so it must be
// listed once the entries of endpoints that are gone have expired. One whose entry expires until
// then must not be listed, nor while the store does not answer.
func TestEndpointRegisteredBeforeReadOfRestoredStoreIsListed(t *testing.T) {
	now := time.Unix(1000, 0)
	view := fleet.NewView()
	const expiry = 3 * time.Second
	g := &Gateway{view: view, log: slog.New(slog.DiscardHandler), opts: Options{
		Schema: plainSchema{}, EndpointExpiry: expiry, Relay: relay.Options{Now: func() time.Time { return now }},
	}}
	entries := []metastore.Entry{{Key: "back"}, {Key: "gone"}}
	listedAfter := func(d time.Duration) string {
		now = now.Add(d)
		g.checkEndpoints()
		return fmt.Sprint(slices.Sorted(maps.Keys(view.Snapshot().Endpoints)))
	}
	g.applyEndpointsDelta(fleet.Delta{Changed: entries})
	g.applyEndpointsDelta(fleet.Delta{Removed: []string{"back", "gone"}})
	g.applyEndpointsDelta(fleet.Delta{Restored: true, Changed: entries})
	assert.Equal(t, listedAfter(expiry), "[]")
	g.applyEndpointsDelta(fleet.Delta{Removed: []string{"gone"}})
	view.MarkStoreUnreachable()
	assert.Equal(t, listedAfter(time.Minute), "[]")
	view.MarkStoreReachable(now)
	assert.Equal(t, listedAfter(expiry), "[]")
	assert.Equal(t, listedAfter(fleet.LapseGracePeriod), "[back]")
	assert.Check(t, !view.HasLeft("back"))
}

// TestConfirmedCopyIsNotRead simulates a minute in which other instances confirm a
// copy every second. The instance must not read the store itself, until another
// instance finds its copy to be outdated, or until the confirmations end.
func TestConfirmedCopyIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := metastoretest.New(time.Now)
		c := newConfirmations(fleet.NewView(), time.Now)
		f := c.freshness[purposeOperator]
		w := &watcher{
			kv: kv, purpose: purposeOperator, from: "a/", to: "a0", maxAge: func() time.Duration { return 1500 * time.Millisecond }, now: time.Now,
			mirror: fleet.NewMirror(), freshness: f, onChange: func(fleet.Delta) {}, onRead: func(time.Time) {}, onError: func(error) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { assert.Check(t, w.run(ctx)) }()
		synctest.Wait()
		reads := func() int { return kv.Calls(purposeOperator).Reads - 1 } // without the watch
		assert.Equal(t, reads(), 1)
		digest, _ := f.Confirmation()
		for range 60 {
			c.RecordConfirmation(peers.Confirmation{Range: string(purposeOperator), Digest: digest, At: time.Now()})
			time.Sleep(time.Second)
		}
		assert.Equal(t, reads(), 1)
		assert.Check(t, c.view.ConfirmedAge(time.Now()) <= time.Second)
		c.RecordConfirmation(peers.Confirmation{Range: string(purposeOperator), Digest: digest + 1, At: time.Now()})
		time.Sleep(outdatedGrace + time.Millisecond)
		assert.Equal(t, reads(), 2)
		time.Sleep(10 * time.Second)
		assert.Check(t, reads() >= 8, "%d", reads())
	})
}
