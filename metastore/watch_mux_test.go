package metastore_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// receivedKeys returns the keys of the changes that are ready in a channel, and whether
// the channel is still open.
func receivedKeys(changes <-chan metastore.Change) (keys []string, open bool) {
	synctest.Wait()
	for {
		select {
		case c, ok := <-changes:
			if !ok {
				return keys, false
			}
			keys = append(keys, c.Entry.Key)
		default:
			return keys, true
		}
	}
}

func TestWatchMuxServesRangesFromOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := metastoretest.New(time.Now)
		mux := metastore.NewWatchMux(kv)
		store := kv.Store()
		create := func(key string) int64 {
			t.Helper()
			rev, err := store.Create(key, []byte("x"), 0)
			assert.NilError(t, err)
			return rev
		}
		watch := func(ctx context.Context, prefix string, rev int64) <-chan metastore.Change {
			t.Helper()
			changes, err := mux.Watch(ctx, "test", prefix+"/", prefix+"0", rev)
			assert.NilError(t, err)
			return changes
		}
		expect := func(changes <-chan metastore.Change, want ...string) {
			t.Helper()
			keys, open := receivedKeys(changes)
			assert.Check(t, open)
			assert.DeepEqual(t, keys, want)
		}
		ctx, cancel := context.WithCancel(t.Context())
		rev := create("a/0")
		a := watch(ctx, "a", rev)
		b := watch(ctx, "b", rev)
		create("a/1")
		create("b/1")
		create("c/1")
		expect(a, "a/1")
		expect(b, "b/1")
		// A watch that starts before the latest changes gets those after its revision.
		c := watch(ctx, "c", rev)
		expect(c, "c/1")
		expect(watch(ctx, "c", rev+3), []string(nil)...)
		assert.Equal(t, kv.Calls(metastore.PurposeWatch).Reads, 1)
		// One that starts before all that the mux knows makes it watch from there.
		early := watch(ctx, "a", rev-1)
		expect(early, "a/0", "a/1")
		assert.Equal(t, kv.Calls(metastore.PurposeWatch).Reads, 2)
		create("a/2")
		expect(early, "a/2")
		cancel()
		synctest.Wait()
		for _, ended := range []<-chan metastore.Change{b, c, early} {
			_, open := receivedKeys(ended)
			assert.Check(t, !open)
		}
	})
}

// TestWatchMuxClosesAllWhenWatchBreaks checks that no watch goes on silently when the
// shared watch has ended.
func TestWatchMuxClosesAllWhenWatchBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := metastoretest.New(time.Now)
		mux := metastore.NewWatchMux(kv)
		var all []<-chan metastore.Change
		for _, prefix := range []string{"a", "b"} {
			changes, err := mux.Watch(t.Context(), "test", prefix+"/", prefix+"0", 0)
			assert.NilError(t, err)
			all = append(all, changes)
		}
		kv.Store().SetDown(true)
		for _, changes := range all {
			_, open := receivedKeys(changes)
			assert.Check(t, !open)
		}
		kv.Store().SetDown(false)
		changes, err := mux.Watch(t.Context(), "test", "a/", "a0", 0)
		assert.NilError(t, err)
		_, err = kv.Store().Create("a/1", nil, 0)
		assert.NilError(t, err)
		keys, open := receivedKeys(changes)
		assert.Check(t, open)
		assert.DeepEqual(t, keys, []string{"a/1"})
	})
}

// TestWatchMuxClosesSlowReceiver checks that a receiver that falls behind is cut off,
// and that the others go on.
func TestWatchMuxClosesSlowReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := metastoretest.New(time.Now)
		mux := metastore.NewWatchMux(kv)
		slow, err := mux.Watch(t.Context(), "test", "a/", "a0", 0)
		assert.NilError(t, err)
		fast, err := mux.Watch(t.Context(), "test", "a/", "a0", 0)
		assert.NilError(t, err)
		const writes = 3000
		received := 0
		for i := range writes {
			_, err := kv.Store().Create(fmt.Sprintf("a/%d", i), nil, 0)
			assert.NilError(t, err)
			keys, open := receivedKeys(fast)
			assert.Assert(t, open)
			received += len(keys)
		}
		assert.Equal(t, received, writes)
		keys, open := receivedKeys(slow)
		assert.Check(t, !open)
		assert.Check(t, len(keys) < writes)
	})
}
