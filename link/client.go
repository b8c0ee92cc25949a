package link

import (
	"context"
	"sync"
	"time"

	"redwingknot/link/linkpb"
	"redwingknot/metric"
)

// grantTimeout bounds the exchange with a link's home: a request waits for it.
const grantTimeout = 100 * time.Millisecond

// Link describes a link to a client.
type Link struct {
	Rate       int64 // bytes a second
	Delay      time.Duration
	LocalShare LocalShare // of this instance while the home is out of reach
}

// Forecast is what a transfer that begins now is expected to meet.
type Forecast struct {
	Rate  float64 // bytes a second
	Delay time.Duration
	Wait  time.Duration // before it may begin
}

// TransferTime returns how long a transfer of so many bytes is expected to take.
func (f Forecast) TransferTime(bytes int64) time.Duration {
	return f.Wait + f.Delay + time.Duration(float64(bytes)/max(f.Rate, 1)*float64(time.Second))
}

// ClientOptions are what a client needs to know of its surroundings.
type ClientOptions struct {
	Now      func() time.Time
	Describe func(link string) (Link, bool)
	Home     func(link string) Caller // nil if the link has no home in reach
}

// Client gets leases from the homes of links and estimates what links carry. It
// is safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	links map[string]*clientLink
}

type clientLink struct {
	holder    *LeaseHolder
	estimate  *Estimate
	observed  bool
	busyUntil time.Time // start of the latest lease
	granted   int64     // bytes a second of the latest lease
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	return &Client{opts: o, links: map[string]*clientLink{}}
}

// Acquire returns the permit for one transfer, which a bring-back may have to
// begin as late as within from now. It asks the home only if the leases held
// don't cover the transfer.
func (c *Client) Acquire(ctx context.Context, link string, class Class, bytes int64, within time.Duration) (Permit, error) {
	refused := &BudgetError{Link: link, Class: class, Bytes: bytes}
	if p, ok := c.take(link, class, bytes); ok {
		return c.inTime(p, within, refused)
	}
	c.ask(ctx, link, class, bytes, within)
	if p, ok := c.take(link, class, bytes); ok {
		return c.inTime(p, within, refused)
	}
	metric.Counter("link_refused_total", "class", class.String()).Inc(1)
	return Permit{}, refused
}

func (c *Client) inTime(p Permit, within time.Duration, refused *BudgetError) (Permit, error) {
	if p.StartIn > within {
		return Permit{}, refused
	}
	metric.Counter("link_bytes_total", "class", refused.Class.String()).Inc(refused.Bytes)
	return p, nil
}

func (c *Client) take(link string, class Class, bytes int64) (Permit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.link(link)
	if l == nil {
		return Permit{}, false
	}
	return l.holder.Take(c.opts.Now(), class, bytes)
}

// ask gets a lease from the link's home and adds it to the holder.
func (c *Client) ask(ctx context.Context, link string, class Class, bytes int64, within time.Duration) {
	req := c.grantRequest(link, class, bytes, within)
	if req == nil {
		return
	}
	home := c.opts.Home(link)
	var answer linkpb.GrantResponse
	if home == nil || !called(ctx, home, req, &answer) {
		c.cut(link)
		return
	}
	metric.Counter("link_leases_total", "class", class.String()).Inc(1)
	c.add(link, class, &answer)
}

func called(ctx context.Context, home Caller, req *linkpb.GrantRequest, answer *linkpb.GrantResponse) bool {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return home.Call(ctx, methodGrant, req, answer) == nil
}

func (c *Client) grantRequest(link string, class Class, bytes int64, within time.Duration) *linkpb.GrantRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.link(link)
	if l == nil {
		return nil
	}
	now := c.opts.Now()
	req := &linkpb.GrantRequest{Link: link, Class: int32(class), Bytes: l.holder.BytesToRequest(now, class, bytes), WithinMs: within.Milliseconds()}
	if l.observed {
		req.SeenRate = int64(l.estimate.Rate(now))
		l.observed = false
	}
	return req
}

func (c *Client) cut(link string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link(link).holder.MarkHomeUnreachable()
}

func (c *Client) add(link string, class Class, a *linkpb.GrantResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	start := time.Duration(a.StartInMs) * time.Millisecond
	l := c.link(link)
	if class == BringBack {
		l.busyUntil = now.Add(start)
		l.granted = a.Rate
	}
	l.holder.Add(now, Lease{
		ID: a.Id, Class: class, Bytes: a.Bytes, Rate: a.Rate, StartIn: start,
		Expires: now.Add(time.Duration(a.ExpiresInMs) * time.Millisecond),
	})
}

// Observe records a transfer that has ended, at the granted rate or 0.
func (c *Client) Observe(link string, bytes int64, took time.Duration, granted int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.link(link); l != nil {
		l.estimate.Observe(c.opts.Now(), bytes, took, granted)
		l.observed = true
	}
}

// Forecast returns what a bring-back over the link is expected to meet.
func (c *Client) Forecast(link string) (Forecast, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.link(link)
	if l == nil {
		return Forecast{}, false
	}
	now := c.opts.Now()
	rate := l.estimate.Rate(now)
	if l.granted > 0 {
		rate = min(rate, float64(l.granted))
	}
	return Forecast{Rate: rate, Delay: l.estimate.Delay(), Wait: max(l.busyUntil.Sub(now), 0)}, true
}

func (c *Client) link(name string) *clientLink {
	if l := c.links[name]; l != nil {
		return l
	}
	d, ok := c.opts.Describe(name)
	if !ok {
		return nil
	}
	now := c.opts.Now()
	l := &clientLink{holder: NewLeaseHolder(now, d.LocalShare), estimate: NewEstimate(now, d.Rate, d.Delay)}
	c.links[name] = l
	return l
}
