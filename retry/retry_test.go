package retry

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestFuzzRetriesAreBounded checks that, whatever fails, no more retries are granted
// than the initial ones and those earned by successes, that no request exceeds
// its attempts, and that no retry is granted that would miss its deadline.
func TestFuzzRetriesAreBounded(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		c := BudgetConfig{Ratio: 0.1, Max: 5, Initial: 4}
		b, rng, now := NewBudget(c), rand.New(rand.NewPCG(1, 1)), epoch
		successes, granted := 0, 0
		run := NewRetrier(Policy{Attempts: 3}, b, now.Add(time.Second))
		deadline, attemptsMade := now.Add(time.Second), 1
		t.Repeat(map[string]func(*rapid.T){
			"succeed": func(*rapid.T) { b.RecordSuccess(); successes++ },
			"request": func(t *rapid.T) {
				left := time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond
				deadline, attemptsMade = now.Add(left), 1
				run = NewRetrier(Policy{Attempts: 3}, b, deadline)
			},
			"fail": func(t *rapid.T) {
				needed := time.Duration(rapid.IntRange(0, 500).Draw(t, "needed")) * time.Millisecond
				wait, err := run.Next(Crash, needed, now, rng)
				if err != nil {
					return
				}
				granted++
				attemptsMade++
				if !now.Add(wait + needed).Before(deadline) {
					t.Fatalf("retry after %s needs %s, the deadline is in %s", wait, needed, deadline.Sub(now))
				}
				if attemptsMade > 3 {
					t.Fatalf("%d attempts", attemptsMade)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if limit := c.Initial + c.Ratio*float64(successes); float64(granted) > limit+1e-9 {
					t.Fatalf("%d retries granted, %.1f earned", granted, limit)
				}
			},
		})
	})
}

// TestFuzzHeaderNeverExtendsDeadline checks that no budget header makes a deadline
// later, and that a deadline that has passed is an error.
func TestFuzzHeaderNeverExtendsDeadline(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		limit := epoch.Add(time.Duration(rapid.IntRange(-5, 5000).Draw(t, "limit")) * time.Millisecond)
		h := http.Header{}
		ms := rapid.Int64().Draw(t, "ms")
		h.Set(TimeBudgetHeader, strconv.FormatInt(ms, 10))
		got, err := Deadline(h, limit, epoch)
		if got.After(limit) {
			t.Fatalf("a budget of %d ms moved the deadline from %s to %s", ms, limit, got)
		}
		var expired *ExpiredError
		if spent := !got.After(epoch); spent != errors.As(err, &expired) {
			t.Fatalf("deadline %s returned with error %v", got, err)
		}
	})
}

func TestDeadlineAndAttemptsHeaders(t *testing.T) {
	h := http.Header{}
	SetTimeBudget(h, epoch.Add(1500*time.Millisecond), epoch)
	assert.Equal(t, h.Get(TimeBudgetHeader), "1500")
	h.Set(TimeBudgetHeader, "soon")
	_, err := Deadline(h, epoch.Add(time.Second), epoch)
	var headerErr *HeaderError
	assert.Assert(t, errors.As(err, &headerErr))

	n, err := Attempts(http.Header{}, 3)
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	SetSingleAttempt(h)
	n, err = Attempts(h, 3)
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	h.Set(AttemptsHeader, "99")
	n, _ = Attempts(h, 3)
	assert.Equal(t, n, 3)
	h.Set(AttemptsHeader, "0")
	_, err = Attempts(h, 3)
	assert.Assert(t, errors.As(err, &headerErr))
}
