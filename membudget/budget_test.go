package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSenderLeavesRoomForOthers guards against one sender that takes all memory.
func TestSenderLeavesRoomForOthers(t *testing.T) {
	b := New(100 << 10)
	faulty, sound := b.NewAccount(), b.NewAccount()
	var exceeded *ExceededError
	messages := 0
	for ; exceeded == nil; messages++ {
		h := faulty.Hold()
		err := h.Resize(FreeBytes + 10<<10)
		assert.Check(t, err == nil || errors.As(err, &exceeded), "%v", err)
	}
	assert.Equal(t, messages, 6)
	h := sound.Hold()
	assert.NilError(t, h.Resize(FreeBytes+20<<10))
	assert.Equal(t, b.Used(), int64(70<<10))
	h.Release()
	assert.Equal(t, b.Used(), int64(50<<10))
}

// TestUsualMessageAlwaysHasRoom guards against a small message that is broken off because of
// large ones.
func TestUsualMessageAlwaysHasRoom(t *testing.T) {
	h := New(0).NewAccount().Hold()
	assert.NilError(t, h.Resize(FreeBytes))
	assert.ErrorType(t, h.Resize(FreeBytes+1), &ExceededError{})
	assert.NilError(t, h.Resize(FreeBytes))
	var unlimited Hold
	assert.NilError(t, unlimited.Resize(1<<40))
}

// TestBudgetIsNeverExceeded checks the invariants over random messages of several senders.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64 << 10
		b := New(limit)
		accounts := []*Account{b.NewAccount(), b.NewAccount(), b.NewAccount()}
		holds := make([]Hold, 12)
		for i := range holds {
			holds[i] = accounts[i%len(accounts)].Hold()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holds)-1).Draw(t, "message")
			before := holds[i].counted
			if err := holds[i].Resize(rapid.Int64Range(0, limit).Draw(t, "bytes")); err != nil {
				assert.Equal(t, holds[i].counted, before)
			}
			total := int64(0)
			for _, h := range holds {
				total += h.counted
			}
			assert.Equal(t, b.Used(), total)
			assert.Check(t, total <= limit)
		}
		for i := range holds {
			holds[i].Release()
		}
		assert.Equal(t, b.Used(), int64(0))
	})
}

// TestReadAllCountsBeforeItReads guards against bytes that are counted only once they are in
// memory.
func TestReadAllCountsBeforeItReads(t *testing.T) {
	b := New(1 << 20)
	h := b.NewAccount().Hold()
	text := strings.Repeat("x", 40<<10)
	got, err := h.ReadAll(iotest.HalfReader(strings.NewReader(text)), 1<<20)
	assert.NilError(t, err)
	assert.Check(t, string(got) == text && int64(cap(got)) == h.counted+FreeBytes)
	h.Release()

	got, err = h.ReadAll(strings.NewReader(text), 10<<10)
	assert.NilError(t, err)
	assert.Check(t, len(got) == 10<<10 && cap(got) == 10<<10)
	h.Release()

	endless := &endlessReader{}
	_, err = h.ReadAll(endless, 1<<30)
	assert.ErrorType(t, err, &ExceededError{})
	assert.Check(t, endless.read <= 1<<20, "%d", endless.read)
	h.Release()
	assert.Equal(t, b.Used(), int64(0))

	_, err = h.ReadAll(io.MultiReader(bytes.NewReader([]byte("x")), iotest.ErrReader(io.ErrClosedPipe)), 100)
	assert.ErrorIs(t, err, io.ErrClosedPipe)
}

// endlessReader is a reader without an end.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return len(p), nil
}
