package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/ledger/ledgerpb"
)

const testMinute = int64(60_000)

// opOf returns an operation on the one key of these tests by claim n.
func opOf(kind ledgerpb.Kind, n byte) *ledgerpb.Op {
	return &ledgerpb.Op{
		Kind: kind, Key: make([]byte, idBytes), Claim: append(make([]byte, idBytes-1), n), MintedMs: testMinute,
		Instance: fmt.Sprint("entry-", n), Answer: &ledgerpb.Answer{Status: 200 + int32(n)},
	}
}

func TestFold(t *testing.T) {
	const (
		claim   = ledgerpb.Kind_KIND_CLAIM
		finish  = ledgerpb.Kind_KIND_FINISH
		release = ledgerpb.Kind_KIND_RELEASE
		doubt   = ledgerpb.Kind_KIND_DOUBT
		window  = 60
	)
	type op struct {
		kind   ledgerpb.Kind
		claim  byte
		minute int64 // time of the entry, 0 for none
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
		{"first claim wins", []op{{claim, 1, 0}, {claim, 2, 0}}, claimed, 1},
		{"copy of a claim", []op{{claim, 1, 0}, {finish, 1, 0}, {claim, 1, 0}}, finished, 1},
		{"finish of another claim", []op{{claim, 1, 0}, {finish, 2, 0}}, claimed, 1},
		{"doubt of another claim", []op{{claim, 1, 0}, {doubt, 2, 0}}, claimed, 1},
		{"release of another claim", []op{{claim, 1, 0}, {release, 2, 0}}, claimed, 1},
		{"released key is free", []op{{claim, 1, 0}, {release, 1, 0}, {claim, 2, 0}}, claimed, 2},
		{"released claim lands again", []op{{claim, 1, 0}, {release, 1, 0}, {claim, 1, 0}}, none, 0},
		{"claim lands after its release", []op{{release, 1, 0}, {claim, 1, 0}}, none, 0},
		{"finished call is not released", []op{{claim, 1, 0}, {finish, 1, 0}, {release, 1, 0}, {claim, 2, 0}}, finished, 1},
		{"doubtful call is not released", []op{{claim, 1, 0}, {doubt, 1, 0}, {release, 1, 0}, {claim, 2, 0}}, doubtful, 1},
		{"late answer ends the doubt", []op{{claim, 1, 0}, {doubt, 1, 0}, {finish, 1, 0}}, finished, 1},
		{"doubt after the answer", []op{{claim, 1, 0}, {finish, 1, 0}, {doubt, 1, 0}}, finished, 1},
		{"lost claim lands after the release", []op{{claim, 1, 0}, {claim, 2, 0}, {release, 1, 0}, {claim, 2, 0}}, none, 0},
		{"old claim", []op{{claim, 1, window + 2}}, none, 0},
		{"forgotten key is not claimed", []op{{claim, 1, 1}, {release, 9, window + 5}, {claim, 2, 1}}, none, 0},
	} {
		for restart := range c.ops {
			t.Run(fmt.Sprintf("%s/restored at %d", c.name, restart), func(t *testing.T) {
				s := newState(window * time.Minute)
				for i, o := range c.ops {
					if i == restart {
						fresh := newState(window * time.Minute)
						assert.NilError(t, fresh.restore(s.snapshot()))
						s = fresh
					}
					s.apply(&ledgerpb.Entry{TimeMs: o.minute * testMinute, Ops: []*ledgerpb.Op{opOf(o.kind, o.claim)}})
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

func TestForgetBoundsMemory(t *testing.T) {
	s := newState(time.Hour)
	for minute := int64(1); minute < 1000; minute++ {
		e := &ledgerpb.Entry{TimeMs: minute * testMinute}
		for n := range byte(20) {
			o := opOf(ledgerpb.Kind_KIND_CLAIM, n)
			o.Key = []byte(fmt.Sprintf("%010d-%05d", minute, n))
			o.MintedMs = e.TimeMs
			e.Ops = append(e.Ops, o)
		}
		e.Ops = append(e.Ops, opOf(ledgerpb.Kind_KIND_RELEASE, 21))
		e.Ops[20].MintedMs = e.TimeMs
		e.Ops[20].Claim = []byte(fmt.Sprintf("%016d", minute))
		s.apply(e)
		assert.Assert(t, len(s.records) <= 62*20)
		assert.Assert(t, len(s.voids) <= 62)
		assert.Assert(t, len(s.buckets) <= 62)
	}
}

func TestSnapshotParts(t *testing.T) {
	s := newState(time.Hour)
	e := &ledgerpb.Entry{TimeMs: testMinute}
	for n := range 100 {
		key := []byte(fmt.Sprintf("%016d", n))
		claim, finish := opOf(ledgerpb.Kind_KIND_CLAIM, 0), opOf(ledgerpb.Kind_KIND_FINISH, 0)
		claim.Key, claim.Claim = key, key
		finish.Key, finish.Claim = key, key
		finish.Answer.Body = make([]byte, DefaultMaxBodyBytes)
		e.Ops = append(e.Ops, claim, finish)
	}
	s.apply(e)
	parts := s.snapshot()
	for _, p := range parts {
		assert.Assert(t, len(p) < partBytes+DefaultMaxBodyBytes)
	}
	fresh := newState(time.Hour)
	assert.NilError(t, fresh.restore(parts))
	assert.Equal(t, len(fresh.records), 100)

	err := fresh.restore([][]byte{[]byte("not a part")})
	assert.ErrorType(t, err, &SnapshotError{})
	assert.Equal(t, len(fresh.records), 100)
}
