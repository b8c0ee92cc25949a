package team

import (
	"sync"
	"time"

	"redwingknot/note"
	"redwingknot/team/teampb"
)

// spread is the part of a retry-after that is drawn at random on top.
const spread = 0.5

// Message is an exchange between two instances.
type Message = teampb.Message

// Limiter admits the requests of teams at one instance. It is safe for
// concurrent use.
type Limiter struct {
	cfg Config

	start time.Time

	mu      sync.Mutex
	views   views
	buckets map[teamID]*bucket
	pools   map[teamID]*pool
}

// NewLimiter returns a limiter. It counts as a change of the member list: as a
// home it lends nothing before Hold has passed.
func NewLimiter(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg.withDefaults(), buckets: map[teamID]*bucket{}, pools: map[teamID]*pool{}}
	l.views.hold = l.cfg.HomeDelay
	now := l.cfg.Now()
	l.start = now
	l.views.update(nil, now)
	l.views.update(cfg.Members(), now)
	return l
}

// Allow takes one request of a team. If it is refused, retryAfter says when the
// caller should come back; the times of several callers are spread.
func (l *Limiter) Allow(team string, limit note.Team) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	floor := l.floor()
	b := l.bucket(idOf(team), limit, floor, now)
	b.refill(floor, now)
	b.arrivals++
	b.used = now
	if b.take() {
		return true, 0
	}
	b.refused++
	wait := b.nextSlot(b.portion(floor, now), now, l.cfg.MaxRetryAfter)
	return false, wait + time.Duration(l.cfg.Rand()*spread*float64(wait))
}

// sinceStart returns the time of a message in milliseconds, never 0. It comes
// from the monotonic clock, which no correction of the time of day moves.
func (l *Limiter) sinceStart(now time.Time) int64 { return now.Sub(l.start).Milliseconds() + 1 }

// floor returns this instance's part of every limit that needs no lease.
func (l *Limiter) floor() float64 { return l.cfg.Floor / float64(l.views.size()) }

// bucket returns a team's bucket under the limit in force.
func (l *Limiter) bucket(id teamID, limit note.Team, floor float64, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		b = &bucket{at: now, burst: limit.Burst}
		b.tokens = b.capacity(floor)
		l.buckets[id] = b
	}
	if b.rate != limit.Rate || b.burst != limit.Burst {
		b.refill(floor, now)
		b.rate, b.burst = limit.Rate, limit.Burst
	}
	return b
}

// Tick ends an interval and returns the asks to the homes of the teams that
// need more than their floor here. A message to this instance
// itself is to be handed to Receive like any other.
func (l *Limiter) Tick(now time.Time) []*Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.views.update(l.cfg.Members(), now)
	floor := l.floor()
	asks := map[string]*Message{}
	for id, b := range l.buckets {
		b.refill(floor, now)
		b.settle(floor, l.cfg.Interval, now)
		if l.isIdle(b, floor, now) {
			delete(l.buckets, id)
			continue
		}
		if ask := b.ask(id, floor, l.cfg.Interval, l.sinceStart(now), now); ask != nil {
			m := l.address(asks, id, now)
			m.Asks = append(m.Asks, ask)
		}
	}
	l.forgetPools(now)
	return values(asks)
}

// isIdle reports whether forgetting a bucket changes nothing: a new one starts
// with as many tokens.
func (l *Limiter) isIdle(b *bucket, floor float64, now time.Time) bool {
	return now.Sub(b.used) > l.cfg.IdleTimeout && !now.Before(b.until) && b.tokens >= b.capacity(floor)
}

// ask returns what to tell the home, nil for nothing. A share that is no longer
// needed is not returned but left to lapse, which saves a message.
func (b *bucket) ask(id teamID, floor float64, interval time.Duration, sent int64, now time.Time) *teampb.Ask {
	if b.rate <= 0 || b.arrived == 0 {
		return nil
	}
	holds := now.Before(b.until)
	need := b.need(interval)
	satisfied := b.tokens >= max(1, b.demand*interval.Seconds()) && !holds
	if max(need, b.surge) <= floor || satisfied {
		return nil
	}
	ask := &teampb.Ask{Team: uint64(id), Demand: float32(need), Surge: float32(b.surge)}
	if holds {
		ask.HeldMs = uint32(sent - b.sent)
	}
	return ask
}

// address returns the message to the team's home.
func (l *Limiter) address(asks map[string]*Message, id teamID, now time.Time) *Message {
	home := l.views.home(id)
	m := asks[home]
	if m == nil {
		m = &Message{From: l.cfg.Self, To: home, SentMs: l.sinceStart(now)}
		asks[home] = m
	}
	return m
}

// forgetPools drops the pools without loans.
func (l *Limiter) forgetPools(now time.Time) {
	for id, p := range l.pools {
		p.expire(now)
		if len(p.loans) == 0 {
			delete(l.pools, id)
		}
	}
}

// Receive takes a message in and returns the reply to asks, nil for none.
func (l *Limiter) Receive(now time.Time, m *Message) *Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range m.Grants {
		l.take(g, m.SentMs, now)
	}
	if len(m.Asks) == 0 {
		return nil
	}
	l.views.update(l.cfg.Members(), now)
	reply := &Message{From: l.cfg.Self, To: m.From, SentMs: m.SentMs}
	for _, a := range m.Asks {
		if g := l.lend(m, a, now); g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

// lend answers an ask. An instance that may not be the only one to hold itself
// for the team's home lends nothing.
func (l *Limiter) lend(m *Message, a *teampb.Ask, now time.Time) *teampb.Grant {
	id := teamID(a.Team)
	if !l.views.sole(id, l.cfg.Self) {
		return nil
	}
	p := l.pools[id]
	if p == nil {
		p = &pool{size: 1 - l.cfg.Floor, loans: map[string]*loan{}}
		l.pools[id] = p
	}
	share := float32(p.lend(m, a, now, l.cfg.Lease))
	return &teampb.Grant{Team: a.Team, Share: share}
}

// take puts a granted share in force. The lease counts from the ask, so that it
// ends before the home gives the share to another.
func (l *Limiter) take(g *teampb.Grant, sent int64, now time.Time) {
	b := l.buckets[teamID(g.Team)]
	until := l.start.Add(time.Duration(sent)*time.Millisecond + l.cfg.Lease)
	if b == nil || sent <= b.sent || !now.Before(until) {
		return
	}
	b.refill(l.floor(), now)
	b.share, b.sent, b.until = float64(g.Share), sent, until
	b.refill(l.floor(), now)
}

func values(asks map[string]*Message) []*Message {
	list := make([]*Message, 0, len(asks))
	for _, m := range asks {
		list = append(list, m)
	}
	return list
}
