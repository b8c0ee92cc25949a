package link

import (
	"context"
	"sync"
	"time"

	"redwingknot/link/linkpb"
	"redwingknot/metric"
)

// grantTimeout limits the call to a link's home, because a request waits for it.
const grantTimeout = 100 * time.Millisecond

// Link describes a link for a Client.
type Link struct {
	Rate          int64         // nominal rate in bytes per second
	Delay         time.Duration // time until the first byte of a transfer
	InstanceShare InstanceShare // this instance's part of the local share, used while the home is unreachable
}

// Forecast is the expected rate, delay and wait of a transfer that is requested now.
type Forecast struct {
	Rate  float64       // bytes per second
	Delay time.Duration // time until the first byte
	Wait  time.Duration // time until the transfer may start
}

// TransferTime returns the expected duration of a transfer of the given size, wait and delay
// included.
func (f Forecast) TransferTime(bytes int64) time.Duration {
	return f.Wait + f.Delay + time.Duration(float64(bytes)/max(f.Rate, 1)*float64(time.Second))
}

// ClientOptions are the dependencies of a Client.
type ClientOptions struct {
	Now      func() time.Time
	Describe func(link string) (Link, bool) // false for an unknown link
	Home     func(link string) Caller       // returns nil if the link has no reachable home
}

// Client gets leases from the home instances of links and estimates the rates of
// links. It is safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	links map[string]*clientLink
}

// clientLink is what a client knows of one link.
type clientLink struct {
	holder               *LeaseHolder
	estimate             *Estimate
	observedSinceRequest bool      // a transfer was observed since the last request for a lease
	busyUntil            time.Time // start of the latest bring-back lease; a new one starts no earlier
	grantedRate          int64     // rate of the latest bring-back lease in bytes per second
}

// NewClient returns a client that holds no leases.
func NewClient(o ClientOptions) *Client {
	return &Client{opts: o, links: map[string]*clientLink{}}
}

// Acquire returns a permit for one transfer that has to wait at most maxWait.
// It asks the link's home only if the leases held don't cover the transfer. It
// returns a *BudgetError if there is no such permit.
func (c *Client) Acquire(ctx context.Context, link string, class Class, bytes int64, maxWait time.Duration) (Permit, error) {
	refused := &BudgetError{Link: link, Class: class, Bytes: bytes}
	if p, ok := c.takeFromHolder(link, class, bytes); ok {
		return c.checkStart(p, maxWait, refused)
	}
	c.requestLease(ctx, link, class, bytes, maxWait)
	if p, ok := c.takeFromHolder(link, class, bytes); ok {
		return c.checkStart(p, maxWait, refused)
	}
	metric.Counter("link_refused_total", "class", class.String()).Inc(1)
	return Permit{}, refused
}

// checkStart returns the permit and counts its bytes if it starts within maxWait, and
// the error refused otherwise.
func (c *Client) checkStart(p Permit, maxWait time.Duration, refused *BudgetError) (Permit, error) {
	if p.StartIn > maxWait {
		return Permit{}, refused
	}
	metric.Counter("link_bytes_total", "class", refused.Class.String()).Inc(refused.Bytes)
	return p, nil
}

// takeFromHolder takes the bytes from what the holder of the link has, without
// asking the home.
func (c *Client) takeFromHolder(link string, class Class, bytes int64) (Permit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.linkState(link)
	if l == nil {
		return Permit{}, false
	}
	return l.holder.Take(c.opts.Now(), class, bytes)
}

// requestLease asks the link's home for a lease and adds it to the holder. If the
// home doesn't answer, it marks the home as unreachable.
func (c *Client) requestLease(ctx context.Context, link string, class Class, bytes int64, maxWait time.Duration) {
	req := c.grantRequest(link, class, bytes, maxWait)
	if req == nil {
		return
	}
	home := c.opts.Home(link)
	var answer linkpb.GrantResponse
	if home == nil || !callHome(ctx, home, req, &answer) {
		c.markHomeUnreachable(link)
		return
	}
	metric.Counter("link_leases_total", "class", class.String()).Inc(1)
	c.addLease(link, class, &answer)
}

// callHome calls the home within grantTimeout and reports whether it succeeded.
func callHome(ctx context.Context, home Caller, req *linkpb.GrantRequest, answer *linkpb.GrantResponse) bool {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return home.Call(ctx, methodGrant, req, answer) == nil
}

// grantRequest returns the request for a lease, nil for an unknown link. It carries
// the estimated rate if a transfer was observed since the last request.
func (c *Client) grantRequest(link string, class Class, bytes int64, maxWait time.Duration) *linkpb.GrantRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.linkState(link)
	if l == nil {
		return nil
	}
	now := c.opts.Now()
	req := &linkpb.GrantRequest{Link: link, Class: int32(class), Bytes: l.holder.BytesToRequest(now, class, bytes), WithinMs: maxWait.Milliseconds()}
	if l.observedSinceRequest {
		req.SeenRate = int64(l.estimate.Rate(now))
		l.observedSinceRequest = false
	}
	return req
}

func (c *Client) markHomeUnreachable(link string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linkState(link).holder.MarkHomeUnreachable()
}

// addLease adds a granted lease to the holder of the link.
func (c *Client) addLease(link string, class Class, a *linkpb.GrantResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	start := time.Duration(a.StartInMs) * time.Millisecond
	l := c.linkState(link)
	if class == BringBack {
		l.busyUntil = now.Add(start)
		l.grantedRate = a.Rate
	}
	l.holder.Add(now, Lease{
		ID: a.Id, Class: class, Bytes: a.Bytes, Rate: a.Rate, StartIn: start,
		Expires: now.Add(time.Duration(a.ExpiresInMs) * time.Millisecond),
	})
}

// Observe records that a transfer of the given size took the given time. granted is
// its granted rate in bytes per second, 0 for no limit.
func (c *Client) Observe(link string, bytes int64, took time.Duration, granted int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.linkState(link); l != nil {
		l.estimate.Observe(c.opts.Now(), bytes, took, granted)
		l.observedSinceRequest = true
	}
}

// Forecast returns the forecast for a bring-back over the link, and false for an
// unknown link.
func (c *Client) Forecast(link string) (Forecast, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.linkState(link)
	if l == nil {
		return Forecast{}, false
	}
	now := c.opts.Now()
	rate := l.estimate.Rate(now)
	if l.grantedRate > 0 {
		rate = min(rate, float64(l.grantedRate))
	}
	return Forecast{Rate: rate, Delay: l.estimate.Delay(), Wait: max(l.busyUntil.Sub(now), 0)}, true
}

// linkState returns the state of a link and creates it at the first use. It returns
// nil for an unknown link. The caller holds mu.
func (c *Client) linkState(name string) *clientLink {
	if l := c.links[name]; l != nil {
		return l
	}
	d, ok := c.opts.Describe(name)
	if !ok {
		return nil
	}
	now := c.opts.Now()
	l := &clientLink{holder: NewLeaseHolder(now, d.InstanceShare), estimate: NewEstimate(now, d.Rate, d.Delay)}
	c.links[name] = l
	return l
}
