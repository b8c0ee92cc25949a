package team

import (
	"sync"
	"time"

	"redwingknot/note"
	"redwingknot/team/teampb"
)

// retryJitter is the maximum random addition to a retry delay, as a fraction of it.
const retryJitter = 0.5

// Message is a message between two instances. It carries asks to a team's home, or
// the home's grants in reply.
type Message = teampb.Message

// Limiter decides at one instance whether a team's request is admitted. It is safe
// for concurrent use.
type Limiter struct {
	cfg Config

	startedAt time.Time

	mu          sync.Mutex
	memberLists memberLists
	buckets     map[teamID]*bucket
	pools       map[teamID]*pool // of the teams whose home is this instance
}

// NewLimiter returns a new limiter. Its start counts as a change of the member list:
// as a home it grants nothing until Config.HomeDelay has passed.
func NewLimiter(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg.withDefaults(), buckets: map[teamID]*bucket{}, pools: map[teamID]*pool{}}
	l.memberLists.retention = l.cfg.HomeDelay
	now := l.cfg.Now()
	l.startedAt = now
	l.memberLists.update(nil, now)
	l.memberLists.update(cfg.Members(), now)
	return l
}

// Allow decides whether one request of a team is admitted under the team's limit. If
// it is refused, retryAfter is the delay after which the caller should retry. The
// delays of several callers are spread out.
func (l *Limiter) Allow(team string, limit note.Team) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	ownFloor := l.floorFraction()
	b := l.bucketOf(hashTeamName(team), limit, ownFloor, now)
	b.refill(ownFloor, now)
	b.arrivals++
	b.lastUsed = now
	if b.takeToken() {
		return true, 0
	}
	b.refused++
	wait := b.nextRetryDelay(b.limitFraction(ownFloor, now), now, l.cfg.MaxRetryAfter)
	return false, wait + time.Duration(l.cfg.Rand()*retryJitter*float64(wait))
}

// msSinceStart returns the time since the limiter's start in milliseconds plus 1, so
// that it is never 0. Messages carry it as their time. It is taken from the monotonic
// clock, which is not affected by corrections of the wall clock.
func (l *Limiter) msSinceStart(now time.Time) int64 { return now.Sub(l.startedAt).Milliseconds() + 1 }

// floorFraction returns the fraction of every limit that this instance may use
// without a lease.
func (l *Limiter) floorFraction() float64 { return l.cfg.Floor / float64(l.memberLists.maxSize()) }

// bucketOf returns a team's bucket, which it creates if there is none. If the limit
// has changed, it refills the bucket at the old rate first.
func (l *Limiter) bucketOf(id teamID, limit note.Team, ownFloor float64, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		b = &bucket{updatedAt: now, burst: limit.Burst}
		b.tokens = b.capacity(ownFloor)
		l.buckets[id] = b
	}
	if b.rate != limit.Rate || b.burst != limit.Burst {
		b.refill(ownFloor, now)
		b.rate, b.burst = limit.Rate, limit.Burst
	}
	return b
}

// Tick ends an interval. It returns the messages to send: one to each home of a
// team that needs more at this instance than the instance's part of the floor. A
// message to this instance itself must be passed to Receive like any other.
func (l *Limiter) Tick(now time.Time) []*Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memberLists.update(l.cfg.Members(), now)
	ownFloor := l.floorFraction()
	asks := map[string]*Message{}
	for id, b := range l.buckets {
		b.refill(ownFloor, now)
		b.endInterval(ownFloor, l.cfg.Interval, now)
		if l.isIdle(b, ownFloor, now) {
			delete(l.buckets, id)
			continue
		}
		if ask := b.buildAsk(id, ownFloor, l.cfg.Interval, l.msSinceStart(now), now); ask != nil {
			m := l.messageToHome(asks, id, now)
			m.Asks = append(m.Asks, ask)
		}
	}
	l.removeEmptyPools(now)
	return messageList(asks)
}

// isIdle reports whether a bucket can be removed without effect, because a new one
// would start with the same number of tokens.
func (l *Limiter) isIdle(b *bucket, ownFloor float64, now time.Time) bool {
	return now.Sub(b.lastUsed) > l.cfg.IdleTimeout && !now.Before(b.leaseEnd) && b.tokens >= b.capacity(ownFloor)
}

// buildAsk returns the ask to send to the team's home, or nil if no share is needed.
// A share that is no longer needed is not given back: its lease is left to expire,
// which saves a message.
func (b *bucket) buildAsk(id teamID, ownFloor float64, interval time.Duration, nowMs int64, now time.Time) *teampb.Ask {
	if b.rate <= 0 || b.lastArrivals == 0 {
		return nil
	}
	leased := now.Before(b.leaseEnd)
	needed := b.neededFraction(interval)
	satisfied := b.tokens >= max(1, b.demand*interval.Seconds()) && !leased
	if max(needed, b.surge) <= ownFloor || satisfied {
		return nil
	}
	ask := &teampb.Ask{Team: uint64(id), Demand: float32(needed), Surge: float32(b.surge)}
	if leased {
		ask.HeldMs = uint32(nowMs - b.grantedAskMs)
	}
	return ask
}

// messageToHome returns the message to the team's home, which it adds to asks if
// there is none.
func (l *Limiter) messageToHome(asks map[string]*Message, id teamID, now time.Time) *Message {
	home := l.memberLists.home(id)
	m := asks[home]
	if m == nil {
		m = &Message{From: l.cfg.Self, To: home, SentMs: l.msSinceStart(now)}
		asks[home] = m
	}
	return m
}

// removeEmptyPools removes the pools without leases.
func (l *Limiter) removeEmptyPools(now time.Time) {
	for id, p := range l.pools {
		p.removeExpired(now)
		if len(p.leases) == 0 {
			delete(l.pools, id)
		}
	}
}

// Receive handles a message from another instance or from this one. It returns the
// reply to the asks in it, or nil if there are none.
func (l *Limiter) Receive(now time.Time, m *Message) *Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range m.Grants {
		l.applyGrant(g, m.SentMs, now)
	}
	if len(m.Asks) == 0 {
		return nil
	}
	l.memberLists.update(l.cfg.Members(), now)
	reply := &Message{From: l.cfg.Self, To: m.From, SentMs: m.SentMs}
	for _, a := range m.Asks {
		if g := l.answerAsk(m, a, now); g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

// answerAsk returns the grant for an ask. It returns nil if another instance might
// consider itself the team's home as well.
func (l *Limiter) answerAsk(m *Message, a *teampb.Ask, now time.Time) *teampb.Grant {
	id := teamID(a.Team)
	if !l.memberLists.isSoleHome(id, l.cfg.Self) {
		return nil
	}
	p := l.pools[id]
	if p == nil {
		p = &pool{size: 1 - l.cfg.Floor, leases: map[string]*memberLease{}}
		l.pools[id] = p
	}
	share := float32(p.grantShare(m, a, now, l.cfg.Lease))
	return &teampb.Grant{Team: a.Team, Share: share}
}

// applyGrant puts a granted share in force. The lease is counted from the time of the
// ask, so that it ends before the home can grant the share to another member. A
// grant is ignored if one for a later ask is already in force, or if its lease has
// ended.
func (l *Limiter) applyGrant(g *teampb.Grant, askMs int64, now time.Time) {
	b := l.buckets[teamID(g.Team)]
	until := l.startedAt.Add(time.Duration(askMs)*time.Millisecond + l.cfg.Lease)
	if b == nil || askMs <= b.grantedAskMs || !now.Before(until) {
		return
	}
	b.refill(l.floorFraction(), now)
	b.leasedShare, b.grantedAskMs, b.leaseEnd = float64(g.Share), askMs, until
	b.refill(l.floorFraction(), now) // discards any tokens above the new capacity
}

// messageList returns the values of the map.
func messageList(asks map[string]*Message) []*Message {
	list := make([]*Message, 0, len(asks))
	for _, m := range asks {
		list = append(list, m)
	}
	return list
}
