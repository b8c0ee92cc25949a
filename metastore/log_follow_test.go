package metastore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// TestFollow checks that Follow applies entries that the watch reports, and
// that it catches up after an outage, when the watch is gone and slots that it
// has not read are trimmed.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := metastoretest.NewStore(time.Now)
		writer := metastore.OpenLog(store.Client("w"), metastore.LogOptions{Name: "l", StateMachine: &entryList{}, Writer: "w", Purpose: purpose, SnapshotEvery: 4, TrimMargin: 1})
		reader := metastore.OpenLog(store.Client("r"), metastore.LogOptions{Name: "l", StateMachine: &entryList{}, Writer: "r", Purpose: purpose})
		go reader.Follow(ctx)
		add := func() {
			_, err := writer.Append(ctx, []byte("x"))
			assert.NilError(t, err)
			synctest.Wait()
		}
		synctest.Wait()
		add()
		assert.Equal(t, reader.AppliedIndex(), uint64(1))
		store.SetDown(true)
		time.Sleep(time.Hour)
		store.SetDown(false)
		for range 10 { // the snapshots trim slots that the reader has not read
			add()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, reader.AppliedIndex(), writer.AppliedIndex())
		add()
		assert.Equal(t, reader.AppliedIndex(), uint64(12))
		cancel()
		synctest.Wait()
	})
}

// TestAppendWithExpiredContext checks that, when the context ends, a queued
// append returns a *NotSentError and is not committed, while an append whose
// commit is under way returns an *UnknownOutcomeError.
func TestAppendWithExpiredContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := metastoretest.New(time.Now)
		unblockWrites := make(chan struct{})
		kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
			if op.Write {
				<-unblockWrites
			}
			return metastoretest.NoFault
		})
		l := &entryList{}
		log := metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: l, Writer: "w", Purpose: purpose, CallTimeout: time.Hour, ResolveTimeout: 2 * time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		errs := make([]error, 2)
		for i := range errs {
			go func() { _, errs[i] = log.Append(ctx, []byte{byte('0' + i)}) }()
			synctest.Wait()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, metastore.IsUnknownOutcome(errs[0]), "%v", errs[0])
		var notSent *metastore.NotSentError
		assert.Assert(t, errors.As(errs[1], &notSent), "%v", errs[1])
		close(unblockWrites)
		synctest.Wait()
		assert.DeepEqual(t, l.entries, []string{"0"})
	})
}

func TestAppendAtTakenIndex(t *testing.T) {
	kv := metastoretest.New(nil)
	open := func(writer string) *metastore.SharedLog {
		return metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: &entryList{}, Writer: writer, Purpose: purpose})
	}
	a, b := open("a"), open("b")
	assert.NilError(t, a.AppendAt(t.Context(), 1, []byte("a")))
	assert.Assert(t, metastore.IsCause(b.AppendAt(t.Context(), 1, []byte("b")), metastore.CauseExists))
	assert.Assert(t, metastore.IsCause(b.AppendAt(t.Context(), 9, []byte("b")), metastore.CauseConflict))
	assert.NilError(t, b.AppendAt(t.Context(), 2, []byte("b")))
	_, err := a.Append(t.Context(), make([]byte, metastore.MaxValueBytes))
	assert.Assert(t, metastore.IsCause(err, metastore.CauseTooLarge))
}
