package gateway

import (
	"context"
	"fmt"
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
	"redwingknot/relay"
)

// followed is a follower with what it saw.
type followed struct {
	mu        sync.Mutex
	keys      map[string]int64
	confirmed time.Time
	failures  int
}

func (f *followed) change(d fleet.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range d.Changed {
		f.keys[e.Key] = e.ModRevision
	}
	for _, key := range d.Removed {
		delete(f.keys, key)
	}
}

// state renders the keys with their revisions.
func (f *followed) state() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.keys)
}

// want waits until the follower's copy is the store's content.
func (f *followed) want(t *testing.T, s *metastoretest.Store) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entries, _, _ := s.Range("a/", "a0", 0)
		content := map[string]int64{}
		for _, e := range entries {
			content[e.Key] = e.ModRevision
		}
		if got := f.state(); got != fmt.Sprint(content) {
			return poll.Continue("%s is not %v", got, content)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func follow(t *testing.T, kv metastore.KV, interval time.Duration) *followed {
	t.Helper()
	f := &followed{keys: map[string]int64{}}
	w := &follower{
		kv: kv, purpose: purposeOperator, from: "a/", to: "a0", interval: interval, now: time.Now, mirror: fleet.NewMirror(),
		changed: f.change,
		confirmed: func(sentAt time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.confirmed = sentAt
		},
		failed: func(error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.failures++
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
	return f
}

// TestFollowerKeepsUp goes through changes, a history that is dropped, and an
// outage in which keys change.
func TestFollowerKeepsUp(t *testing.T) {
	kv := metastoretest.New(time.Now)
	s := kv.Store()
	create := func(key string) {
		t.Helper()
		_, err := s.Create(key, []byte("x"), 0)
		assert.NilError(t, err)
	}
	create("a/1")
	// So long an interval that only the watch can tell in time.
	f := follow(t, kv, time.Hour)
	f.want(t, s)
	create("a/2")
	create("b/1")
	assert.NilError(t, s.Delete("a/1", 0))
	f.want(t, s)
	s.SetDown(true)
	create("a/3")
	assert.NilError(t, s.Delete("a/2", 0))
	s.Compact()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.failures > 0 {
			return poll.Success()
		}
		return poll.Continue("no failure seen")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	s.SetDown(false)
	f.want(t, s)
}

// TestFollowerConfirmsFromTheSending checks that a confirmation never counts
// from later than its read was sent.
func TestFollowerConfirmsFromTheSending(t *testing.T) {
	kv := metastoretest.New(time.Now)
	before := time.Now()
	f := follow(t, kv, 5*time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.confirmed.After(before) && !f.confirmed.After(time.Now()) {
			return poll.Success()
		}
		return poll.Continue("not confirmed")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// countingKV refuses all reads and counts them.
type countingKV struct {
	metastore.KV
	reads atomic.Int64
}

func (k *countingKV) Range(context.Context, metastore.Purpose, string, string, int) ([]metastore.Entry, int64, error) {
	k.reads.Add(1)
	return nil, 0, &metastore.RefusedError{Op: "range", Cause: metastore.CauseUnavailable}
}

// TestOneFollowerFindsOutThatTheStoreIsBack replays nine seconds of a store that
// turns an instance away.
func TestOneFollowerFindsOutThatTheStoreIsBack(t *testing.T) {
	reads := func(away func() bool) int64 {
		var n int64
		synctest.Test(t, func(t *testing.T) {
			kv := &countingKV{}
			f := &follower{kv: kv, now: time.Now, mirror: fleet.NewMirror(), failed: func(error) {}, away: away}
			ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
			defer cancel()
			assert.NilError(t, f.run(ctx))
			n = kv.reads.Load()
		})
		return n
	}
	assert.Check(t, reads(nil) > 30)
	away := reads(func() bool { return true })
	assert.Check(t, away <= 6, "%d", away)
	assert.Check(t, reads(func() bool { return false }) > 30)
}

// TestConfirmationsKeepTheBounds checks the interval of confirmations under the
// bounds of different deployments.
func TestConfirmationsKeepTheBounds(t *testing.T) {
	for _, c := range []struct{ apply, revoke, want time.Duration }{
		{2 * time.Second, 5 * time.Second, time.Second},
		{3 * time.Second, 5 * time.Second, 1250 * time.Millisecond},
		{3 * time.Second, 0, 1500 * time.Millisecond},
		{3 * time.Second, 2 * time.Second, 500 * time.Millisecond},
	} {
		g := &Gateway{o: Options{ApplyTime: c.apply, Relay: relay.Options{RevokeTime: c.revoke}}}
		assert.Equal(t, g.confirmInterval(), c.want)
	}
}
