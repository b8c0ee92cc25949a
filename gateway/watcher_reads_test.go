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
