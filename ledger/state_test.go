package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/ledger/ledgerpb"
)

const minuteMs = int64(60_000)

// newOp returns an operation of claim n on the key with an all-zero ID.
func newOp(kind ledgerpb.Kind, n byte) *ledgerpb.Op {
	return &ledgerpb.Op{
		Kind: kind, Key: make([]byte, idBytes), Claim: append(make([]byte, idBytes-1), n), MintedMs: minuteMs,
		Instance: fmt.Sprint("entry-", n), Answer: &ledgerpb.Answer{Status: 200 + int32(n)},
	}
}

// TestStateApply applies sequences of operations and checks the resulting record. Each
// sequence is repeated with a snapshot and restore before each of its operations.
func TestStateApply(t *testing.T) {
	const (
		claim   = ledgerpb.Kind_KIND_CLAIM
		finish  = ledgerpb.Kind_KIND_FINISH
		release = ledgerpb.Kind_KIND_RELEASE
		doubt   = ledgerpb.Kind_KIND_DOUBT
		window  = 60 // minutes
	)
	type op struct {
		kind   ledgerpb.Kind
		claim  byte
		minute int64 // time of the entry in minutes, 0 for none
	}
	const (
		none     = ledgerpb.State_STATE_UNSPECIFIED
		claimed  = ledgerpb.State_STATE_CLAIMED
		doubtful = ledgerpb.State_STATE_DOUBTFUL
		finished = ledgerpb.State_STATE_FINISHED
	)
	for _, c := range []struct {
		name   string
		ops    []op
		state  ledgerpb.State
		holder byte
	}{
		{"first claim creates the record", []op{{claim, 1, 0}, {claim, 2, 0}}, claimed, 1},
		{"second copy of a claim is ignored", []op{{claim, 1, 0}, {finish, 1, 0}, {claim, 1, 0}}, finished, 1},
		{"finish of another claim is ignored", []op{{claim, 1, 0}, {finish, 2, 0}}, claimed, 1},
		{"doubt of another claim is ignored", []op{{claim, 1, 0}, {doubt, 2, 0}}, claimed, 1},
		{"release of another claim is ignored", []op{{claim, 1, 0}, {release, 2, 0}}, claimed, 1},
		{"released key can be claimed", []op{{claim, 1, 0}, {release, 1, 0}, {claim, 2, 0}}, claimed, 2},
		{"second copy of a released claim is ignored", []op{{claim, 1, 0}, {release, 1, 0}, {claim, 1, 0}}, none, 0},
		{"claim after its own release is ignored", []op{{release, 1, 0}, {claim, 1, 0}}, none, 0},
		{"finished call is not released", []op{{claim, 1, 0}, {finish, 1, 0}, {release, 1, 0}, {claim, 2, 0}}, finished, 1},
		{"doubtful call is not released", []op{{claim, 1, 0}, {doubt, 1, 0}, {release, 1, 0}, {claim, 2, 0}}, doubtful, 1},
		{"answer replaces the doubtful state", []op{{claim, 1, 0}, {doubt, 1, 0}, {finish, 1, 0}}, finished, 1},
		{"doubt after the answer is ignored", []op{{claim, 1, 0}, {finish, 1, 0}, {doubt, 1, 0}}, finished, 1},
		{"second copy of a losing claim is ignored after the release", []op{{claim, 1, 0}, {claim, 2, 0}, {release, 1, 0}, {claim, 2, 0}}, none, 0},
		{"claim of an expired key is ignored", []op{{claim, 1, window + 2}}, none, 0},
		{"expired key that was removed is not claimed", []op{{claim, 1, 1}, {release, 9, window + 5}, {claim, 2, 1}}, none, 0},
	} {
		for restoreAt := range c.ops {
			t.Run(fmt.Sprintf("%s/restored at %d", c.name, restoreAt), func(t *testing.T) {
				s := newState(window * time.Minute)
				for i, o := range c.ops {
					if i == restoreAt {
						fresh := newState(window * time.Minute)
						assert.NilError(t, fresh.restore(s.snapshot()))
						s = fresh
					}
					s.apply(&ledgerpb.Entry{TimeMs: o.minute * minuteMs, Ops: []*ledgerpb.Op{newOp(o.kind, o.claim)}})
				}
				r := s.records[keyID{}]
				if c.state == none {
					assert.Assert(t, r == nil)
					return
				}
				assert.Equal(t, r.state, c.state)
				assert.Equal(t, r.claim[idBytes-1], c.holder)
				if c.state == finished {
					assert.Equal(t, r.answer.Status, 200+int32(c.holder))
				}
			})
		}
	}
}

// TestForgetBoundsMemory checks that records, voided claims and buckets older than the
// window are removed.
func TestForgetBoundsMemory(t *testing.T) {
	s := newState(time.Hour)
	for minute := int64(1); minute < 1000; minute++ {
		e := &ledgerpb.Entry{TimeMs: minute * minuteMs}
		for n := range byte(20) {
			o := newOp(ledgerpb.Kind_KIND_CLAIM, n)
			o.Key = []byte(fmt.Sprintf("%010d-%05d", minute, n))
			o.MintedMs = e.TimeMs
			e.Ops = append(e.Ops, o)
		}
		e.Ops = append(e.Ops, newOp(ledgerpb.Kind_KIND_RELEASE, 21))
		e.Ops[20].MintedMs = e.TimeMs
		e.Ops[20].Claim = []byte(fmt.Sprintf("%016d", minute))
		s.apply(e)
		// A window of 60 minutes touches 61 buckets; the limit allows one more.
		assert.Assert(t, len(s.records) <= 62*20)
		assert.Assert(t, len(s.voidedClaims) <= 62)
		assert.Assert(t, len(s.buckets) <= 62)
	}
}

// TestSnapshotParts checks the size of snapshot parts and that a failed restore leaves
// the state unchanged.
func TestSnapshotParts(t *testing.T) {
	s := newState(time.Hour)
	e := &ledgerpb.Entry{TimeMs: minuteMs}
	for n := range 100 {
		key := []byte(fmt.Sprintf("%016d", n))
		claim, finish := newOp(ledgerpb.Kind_KIND_CLAIM, 0), newOp(ledgerpb.Kind_KIND_FINISH, 0)
		claim.Key, claim.Claim = key, key
		finish.Key, finish.Claim = key, key
		finish.Answer.Body = make([]byte, DefaultMaxBodyBytes)
		e.Ops = append(e.Ops, claim, finish)
	}
	s.apply(e)
	parts := s.snapshot()
	for _, p := range parts {
		assert.Assert(t, len(p) < maxPartBytes+DefaultMaxBodyBytes)
	}
	fresh := newState(time.Hour)
	assert.NilError(t, fresh.restore(parts))
	assert.Equal(t, len(fresh.records), 100)

	err := fresh.restore([][]byte{[]byte("not a part")})
	assert.ErrorType(t, err, &SnapshotError{})
	assert.Equal(t, len(fresh.records), 100)
}
