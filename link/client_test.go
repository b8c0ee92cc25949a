package link

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"redwingknot/link/linkpb"
)

// directCaller calls a home without a connection and counts the calls and their
// bytes.
type directCaller struct {
	home      *Home
	callCount int
	byteCount int
}

func (c *directCaller) Call(ctx context.Context, _ string, req, resp proto.Message) error {
	answer, err := c.home.grant(ctx, req.(*linkpb.GrantRequest))
	if err != nil {
		return err
	}
	c.callCount++
	c.byteCount += proto.Size(req) + proto.Size(answer)
	proto.Merge(resp, answer)
	return nil
}

// testLink is a client and its link's home on one clock. Setting homeUnreachable
// hides the home from the client.
type testLink struct {
	now             time.Time
	caller          *directCaller
	homeUnreachable bool
	client          *Client
}

func newTestLink(rate int64, local int64) *testLink {
	s := &testLink{now: time.Unix(1000, 0)}
	clock := func() time.Time { return s.now }
	s.caller = &directCaller{home: NewHome(clock, func(link string) (BudgetOptions, bool) {
		return BudgetOptions{Rate: rate}, link == "l"
	})}
	s.client = NewClient(ClientOptions{
		Now: clock,
		Describe: func(link string) (Link, bool) {
			return Link{Rate: rate, InstanceShare: InstanceShare{Rate: local}}, link == "l"
		},
		Home: func(string) Caller {
			if s.homeUnreachable {
				return nil
			}
			return s.caller
		},
	})
	return s
}

// TestOneGrantCallCoversManyTransfers makes 100 small transfers per second and checks
// that most of them need no call to the home.
func TestOneGrantCallCoversManyTransfers(t *testing.T) {
	s := newTestLink(1_000_000, 0)
	served := 0
	for range 1000 {
		s.now = s.now.Add(10 * time.Millisecond)
		if _, err := s.client.Acquire(t.Context(), "l", BringBack, 1000, time.Second); err == nil {
			served++
		}
	}
	assert.Equal(t, served, 1000)
	assert.Assert(t, s.caller.callCount <= 50, "%d calls", s.caller.callCount)
	t.Logf("%d calls and %d bytes for %d transfers", s.caller.callCount, s.caller.byteCount, served)
}

// TestLocalShareWhileHomeIsUnreachable checks that without the home, bring-backs get
// the local share and exports get nothing, and that exports work again once the home
// is reachable.
func TestLocalShareWhileHomeIsUnreachable(t *testing.T) {
	s := newTestLink(1_000_000, 2000)
	s.homeUnreachable = true
	brought := 0
	for range 100 {
		s.now = s.now.Add(100 * time.Millisecond)
		_, err := s.client.Acquire(t.Context(), "l", Export, 100, 0)
		assert.ErrorType(t, err, &BudgetError{})
		if _, err := s.client.Acquire(t.Context(), "l", BringBack, 1000, time.Second); err == nil {
			brought++
		}
	}
	assert.Assert(t, brought >= 18 && brought <= 22, "%d", brought)
	s.homeUnreachable = false
	_, err := s.client.Acquire(t.Context(), "l", Export, 100, 0)
	for range 10 {
		if err == nil {
			break
		}
		s.now = s.now.Add(100 * time.Millisecond)
		_, err = s.client.Acquire(t.Context(), "l", Export, 100, 0)
	}
	assert.NilError(t, err)
}

func TestUnknownLinkIsRefused(t *testing.T) {
	s := newTestLink(1_000_000, 0)
	_, err := s.client.Acquire(t.Context(), "other", BringBack, 1, time.Second)
	assert.ErrorType(t, err, &BudgetError{})
	_, ok := s.client.Forecast("other")
	assert.Assert(t, !ok)
}

// TestSlowLinkReducesBudget observes transfers at a tenth of the granted rate; the
// client's forecast and the home's budget must follow.
func TestSlowLinkReducesBudget(t *testing.T) {
	s := newTestLink(1_000_000_000, 0)
	for range 8 {
		s.now = s.now.Add(time.Second)
		p, err := s.client.Acquire(t.Context(), "l", BringBack, 100_000_000, time.Minute)
		assert.NilError(t, err)
		s.client.Observe("l", 100_000_000, time.Second, p.Rate)
	}
	f, ok := s.client.Forecast("l")
	assert.Assert(t, ok)
	assert.Assert(t, f.Rate < 150_000_000, "%g", f.Rate)
	assert.Assert(t, s.caller.home.links["l"].budget.Rate() < 350_000_000, "%d", s.caller.home.links["l"].budget.Rate())
}

// BenchmarkGrant measures how the home handles a request for a lease.
func BenchmarkGrant(b *testing.B) {
	s := newTestLink(1_000_000_000, 0)
	req := &linkpb.GrantRequest{Link: "l", Bytes: 1000, WithinMs: 100}
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(time.Millisecond)
		if _, err := s.caller.home.grant(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}
