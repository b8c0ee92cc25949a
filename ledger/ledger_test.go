package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"redwingknot/contract"
	"redwingknot/metastore"
)

var bodyDigest = sha256.Sum256([]byte("body"))

// keyAt returns a key created at t. n distinguishes keys with the same time.
func keyAt(t time.Time, n uint64) Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	id[6] = uuidV7 << 4
	binary.BigEndian.PutUint64(id[8:], n)
	id[8] = id[8]&0x3f | 0x80
	return Key{Team: "ilala", Service: "cheti-app", ID: id.String()}
}

// neverUnreachable is passed to fakeService.open for an instance that is never killed
// or cut off.
func neverUnreachable() bool { return false }

// openLedger returns a ledger that writes its own operations to f. It considers every
// instance alive except the one named "dead".
func openLedger(t *testing.T, f *fakeService, name string) *Ledger {
	l := New(Config{
		Instance: name,
		OpenLog:  func(n int, sm metastore.StateMachine) metastore.Log { return f.open(n, sm, neverUnreachable) },
		Alive:    func(name string) bool { return name != "dead" },
	})
	t.Cleanup(l.Close)
	return l
}

// mustGrant claims k and fails the test if the claim is not granted.
func mustGrant(t *testing.T, l *Ledger, k Key) Claim {
	t.Helper()
	o, err := l.Claim(t.Context(), k, bodyDigest)
	assert.NilError(t, err)
	g, ok := o.(Granted)
	assert.Assert(t, ok, "%#v", o)
	return g.Claim
}

func TestClaim(t *testing.T) {
	f := newFakeService()
	a, b, dead := openLedger(t, f, "a"), openLedger(t, f, "b"), openLedger(t, f, "dead")
	now := time.Now()
	claim := func(l *Ledger, k Key) Outcome {
		o, err := l.Claim(t.Context(), k, bodyDigest)
		assert.NilError(t, err)
		return o
	}

	k := keyAt(now, 1)
	c := mustGrant(t, a, k)
	_, running := claim(b, k).(Running)
	assert.Assert(t, running)
	answer := Answer{Status: 201, ContentType: "text/plain", Body: []byte("cheti")}
	assert.NilError(t, a.Finish(t.Context(), c, answer))
	assert.DeepEqual(t, claim(b, k), StoredAnswer{Answer: answer})

	k = keyAt(now, 2)
	assert.NilError(t, a.Release(t.Context(), mustGrant(t, a, k)))
	c = mustGrant(t, b, k)
	assert.NilError(t, b.MarkUnknown(t.Context(), c))
	assert.DeepEqual(t, claim(a, k), Unknown{Instance: "b"})

	k = keyAt(now, 3)
	mustGrant(t, dead, k)
	assert.DeepEqual(t, claim(a, k), Unknown{Instance: "dead"})

	k = keyAt(now, 4)
	large := Answer{Status: 200, Body: make([]byte, DefaultMaxBodyBytes+1)}
	assert.NilError(t, a.Finish(t.Context(), mustGrant(t, a, k), large))
	digest := sha256.Sum256(large.Body)
	assert.DeepEqual(t, claim(b, k), StoredDigest{Status: 200, Digest: digest[:]})
}

func TestKeyRefusals(t *testing.T) {
	f := newFakeService()
	a, now := openLedger(t, f, "a"), time.Now()
	used := keyAt(now, 1)
	mustGrant(t, a, used)
	for _, c := range []struct {
		key    Key
		body   string
		reason contract.Reason
		ran    contract.ExecutionStatus
	}{
		{Key{Team: "ilala"}, "body", contract.ReasonKeyMissing, contract.NotRun},
		{Key{ID: "order-1"}, "body", contract.ReasonKeyInvalid, contract.NotRun},
		{Key{ID: uuid.NewString()}, "body", contract.ReasonKeyInvalid, contract.NotRun},
		{keyAt(now.Add(time.Hour), 1), "body", contract.ReasonKeyInvalid, contract.NotRun},
		{keyAt(now.Add(-2*DefaultWindow), 1), "body", contract.ReasonKeyTooOld, contract.MayHaveRun},
		{used, "other", contract.ReasonKeyReused, contract.NotRun},
	} {
		_, err := a.Claim(t.Context(), c.key, sha256.Sum256([]byte(c.body)))
		r := RefusalOf(err)
		assert.Equal(t, r.Reason, c.reason)
		assert.Equal(t, r.Ran, c.ran)
	}
}

// TestClaimDuringOutage checks that a claim refused because of a fault is released:
// another instance can claim the key once the fault has ended.
func TestClaimDuringOutage(t *testing.T) {
	for _, injected := range []fault{faultNotSent, faultAnswerLost, faultWrittenLater, faultRequestLost, faultWrittenAtTimeout} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeService()
			a := openLedger(t, f, "a")
			k := keyAt(time.Now(), 1)
			f.setFault(injected)
			_, err := a.Claim(t.Context(), k, bodyDigest)
			var notRecorded *ClaimNotRecordedError
			assert.Assert(t, errors.As(err, &notRecorded), "%v", err)
			assert.Equal(t, RefusalOf(err).Ran, contract.NotRun)

			f.setFault(faultNone)
			assert.NilError(t, a.Drain(t.Context()))
			time.Sleep(lateAppendDelay)
			mustGrant(t, openLedger(t, f, "b"), k)
			a.Close()
		})
	}
}

// TestFinishOutlivesCallerAndOutage checks that an answer is stored even if the caller
// disconnects and the platform is down for half an hour.
func TestFinishOutlivesCallerAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService()
		a := openLedger(t, f, "a")
		k := keyAt(time.Now(), 1)
		c := mustGrant(t, a, k)
		f.setFault(faultNotSent)
		callerCtx, disconnect := context.WithCancel(t.Context())
		disconnect()
		err := a.Finish(callerCtx, c, Answer{Status: 200})
		var notDurable *NotDurableError
		assert.Assert(t, errors.As(err, &notDurable))
		time.Sleep(time.Hour / 2)
		f.setFault(faultNone)
		assert.NilError(t, a.Drain(t.Context()))
		o, err := openLedger(t, f, "b").Claim(t.Context(), k, bodyDigest)
		assert.NilError(t, err)
		assert.DeepEqual(t, o, StoredAnswer{Answer: Answer{Status: 200}})
	})
}
