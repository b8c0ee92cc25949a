package retry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers that carry a request's limits from layer to layer. The time budget, which
// has nothing to do with the retry budget of Budget, is a duration rather than a
// point in time, so that clocks need not be synchronized.
const (
	TimeBudgetHeader = "X-Request-Budget-Ms" // time left until the deadline, in milliseconds
	AttemptsHeader   = "X-Request-Attempts"  // number of attempts that the receiver may make
)

// maxTimeBudget is the longest time budget that a header can set; larger values are
// reduced to it.
const maxTimeBudget = 24 * time.Hour

// HeaderError reports a header with a malformed value.
type HeaderError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q is not valid", e.Header, e.Value)
}

// ExpiredError reports that a deadline has passed, or that less time is left than
// an attempt needs.
type ExpiredError struct {
	Left   time.Duration // time left until the deadline; not positive if it has passed
	Needed time.Duration // time that the attempt needs; zero if the deadline has passed already
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("%s left until the deadline, %s needed", e.Left, e.Needed)
}

// Deadline returns the earlier of limit and the end of the caller's time budget,
// which starts at now. A caller can shorten its deadline but never extend it. The
// error is a *HeaderError if the budget header is malformed, and an *ExpiredError if
// the deadline has passed.
func Deadline(h http.Header, limit, now time.Time) (time.Time, error) {
	if v := h.Get(TimeBudgetHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return limit, &HeaderError{Header: TimeBudgetHeader, Value: v}
		}
		limit = EarlierDeadline(limit, now.Add(clampTimeBudget(ms)))
	}
	if left := limit.Sub(now); left <= 0 {
		return limit, &ExpiredError{Left: left}
	}
	return limit, nil
}

// clampTimeBudget returns a time budget in milliseconds as a duration from zero to
// maxTimeBudget.
func clampTimeBudget(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxTimeBudget.Milliseconds())) * time.Millisecond
}

// EarlierDeadline returns the earlier of two deadlines.
func EarlierDeadline(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// SetTimeBudget sets TimeBudgetHeader, the time budget of the next layer, to the time left
// until the deadline. If the deadline has passed, the time budget is zero, and the
// next layer refuses the request.
func SetTimeBudget(h http.Header, deadline, now time.Time) {
	left := max(deadline.Sub(now).Milliseconds(), 0)
	h.Set(TimeBudgetHeader, strconv.FormatInt(left, 10))
}

// Attempts returns the smaller of limit and the number of attempts that the caller
// allows, or limit if the header is absent. The error is a *HeaderError if the
// header is not a number or less than one.
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

// SetSingleAttempt tells the next layer not to retry. Only the layer that counts
// a request's attempts retries, so that retries in several layers do not multiply.
func SetSingleAttempt(h http.Header) { h.Set(AttemptsHeader, "1") }
