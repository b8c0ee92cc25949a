package retry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// The headers that carry a request's limits from layer to layer. The budget is
// a duration rather than an instant, so that clocks need not agree.
const (
	BudgetHeader   = "X-Request-Budget-Ms" // time left in milliseconds
	AttemptsHeader = "X-Request-Attempts"  // attempts that the receiver may make
)

const maxBudget = 24 * time.Hour

// HeaderError reports a malformed header.
type HeaderError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q is not valid", e.Header, e.Value)
}

// ExpiredError reports that a deadline has passed or will before Needed.
type ExpiredError struct {
	Left   time.Duration
	Needed time.Duration
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("%s left of the deadline, %s needed", e.Left, e.Needed)
}

// Deadline returns the earlier of limit and the caller's budget from now. A
// caller can shorten its deadline, never extend it; a budget already spent is
// an *ExpiredError.
func Deadline(h http.Header, limit, now time.Time) (time.Time, error) {
	if v := h.Get(BudgetHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return limit, &HeaderError{Header: BudgetHeader, Value: v}
		}
		limit = EarlierDeadline(limit, now.Add(clampBudget(ms)))
	}
	if left := limit.Sub(now); left <= 0 {
		return limit, &ExpiredError{Left: left}
	}
	return limit, nil
}

func clampBudget(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxBudget.Milliseconds())) * time.Millisecond
}

// EarlierDeadline returns the earlier of two deadlines.
func EarlierDeadline(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// SetBudget writes the time left for the next layer. A spent deadline is
// written as zero and refused there.
func SetBudget(h http.Header, deadline, now time.Time) {
	left := max(deadline.Sub(now).Milliseconds(), 0)
	h.Set(BudgetHeader, strconv.FormatInt(left, 10))
}

// Attempts returns the lesser of limit and the attempts that the caller allows,
// at least one.
func Attempts(h http.Header, limit int) (int, error) {
	v := h.Get(AttemptsHeader)
	if v == "" {
		return limit, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 {
		return limit, &HeaderError{Header: AttemptsHeader, Value: v}
	}
	return min(n, limit), nil
}

// SetSingleAttempt tells the next layer not to retry: only the layer that holds
// the attempts does, so that retries don't multiply.
func SetSingleAttempt(h http.Header) { h.Set(AttemptsHeader, "1") }
