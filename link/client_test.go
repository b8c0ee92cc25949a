package link

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"redwingknot/link/linkpb"
)

// directCaller calls a home without a connection and counts the exchanges.
type directCaller struct {
	home  *Home
	calls int
	bytes int
}

func (c *directCaller) Call(ctx context.Context, _ string, req, resp proto.Message) error {
	answer, err := c.home.grant(ctx, req.(*linkpb.GrantRequest))
	if err != nil {
		return err
	}
	c.calls++
	c.bytes += proto.Size(req) + proto.Size(answer)
	proto.Merge(resp, answer)
	return nil
}

// linkSite is a client and its home on one clock; the home can be taken away.
type linkSite struct {
	now    time.Time
	caller *directCaller
	cut    bool
	client *Client
}

func newLinkSite(rate int64, local int64) *linkSite {
	s := &linkSite{now: time.Unix(1000, 0)}
	clock := func() time.Time { return s.now }
	s.caller = &directCaller{home: NewHome(clock, func(link string) (BudgetOptions, bool) {
		return BudgetOptions{Rate: rate}, link == "l"
	})}
	s.client = NewClient(ClientOptions{
		Now: clock,
		Describe: func(link string) (Link, bool) {
			return Link{Rate: rate, LocalShare: LocalShare{Rate: local}}, link == "l"
		},
		Home: func(string) Caller {
			if s.cut {
				return nil
			}
			return s.caller
		},
	})
	return s
}

// TestOneExchangeCoversManyTransfers makes a hundred small transfers a second.
func TestOneExchangeCoversManyTransfers(t *testing.T) {
	s := newLinkSite(1_000_000, 0)
	served := 0
	for range 1000 {
		s.now = s.now.Add(10 * time.Millisecond)
		if _, err := s.client.Acquire(t.Context(), "l", BringBack, 1000, time.Second); err == nil {
			served++
		}
	}
	assert.Equal(t, served, 1000)
	assert.Assert(t, s.caller.calls <= 50, "%d exchanges", s.caller.calls)
	t.Logf("%d exchanges and %d bytes for %d transfers", s.caller.calls, s.caller.bytes, served)
}

// TestCutFromHome leaves bring-back its part of the local share and exports none.
func TestCutFromHome(t *testing.T) {
	s := newLinkSite(1_000_000, 2000)
	s.cut = true
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
	s.cut = false
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
	s := newLinkSite(1_000_000, 0)
	_, err := s.client.Acquire(t.Context(), "other", BringBack, 1, time.Second)
	assert.ErrorType(t, err, &BudgetError{})
	_, ok := s.client.Forecast("other")
	assert.Assert(t, !ok)
}

// TestSlowLinkLowersTheBudget has a client see a tenth of what it was granted.
func TestSlowLinkLowersTheBudget(t *testing.T) {
	s := newLinkSite(1_000_000_000, 0)
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

// BenchmarkGrant measures the home's side of an exchange.
func BenchmarkGrant(b *testing.B) {
	s := newLinkSite(1_000_000_000, 0)
	req := &linkpb.GrantRequest{Link: "l", Bytes: 1000, WithinMs: 100}
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(time.Millisecond)
		if _, err := s.caller.home.grant(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}
