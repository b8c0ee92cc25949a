package drainlistener

import (
	"time"

	"golang.org/x/sys/unix"

	"redwingknot/metric"
)

// connShare is the fraction of a process's descriptors that callers' connections may use. The
// others are for endpoints, other instances and the metadata store.
const connShare = 0.75

// MaxConns returns the number of connections that callers may have at a process with the given
// number of descriptors.
func MaxConns(descriptors int) int { return max(int(connShare*float64(descriptors)), 1) }

// Descriptors returns the number of descriptors that this process may have open.
func Descriptors() int {
	const usual = 1024 // the soft limit of most systems
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return usual
	}
	return int(min(limit.Cur, 1<<20))
}

// AwaitBody records whether the request that is in progress waits for more of its body, so that
// nothing has been done for it.
func (c *conn) AwaitBody(waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsBody = waits
}

// admit adds a connection, and closes another one if there are too many. It reports false if there
// is none that may be closed, because whole requests are in progress on all of them.
//
// Load pattern: callers open connections without end and keep them, so that the process runs out
// of descriptors, and ordinary callers find none.
func (l *Listener) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.MaxConns > 0 && len(l.conns) >= l.limits.MaxConns && !l.evict() {
		metric.Counter("caller_connections_refused_total").Inc(1)
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// evict closes the connection that has waited longest for a request, and reports whether there was
// one. One of which a part of a request has been read goes only if there is no other: the rest may
// just have arrived. The caller holds mu.
func (l *Listener) evict() bool {
	victim := l.longestWaiting(false)
	if victim == nil {
		victim = l.longestWaiting(true)
	}
	if victim == nil {
		return false
	}
	delete(l.conns, victim)
	victim.Close()
	metric.Counter("caller_connections_evicted_total").Inc(1)
	return true
}

// longestWaiting returns the connection that has waited longest for a request, or for the rest of
// its head or body if begun is true; nil if there is none. The caller holds mu.
func (l *Listener) longestWaiting(begun bool) *conn {
	var longest *conn
	var since time.Time
	for c := range l.conns {
		at, waits := c.waitsSince()
		if !waits || c.hasRead.Load() != begun || longest != nil && !at.Before(since) {
			continue
		}
		if begun || !c.hasUnread() {
			longest, since = c, at
		}
	}
	return longest
}

// waitsSince returns since when the connection has waited for a request, and whether it does.
func (c *conn) waitsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.awaitsRequest() || c.awaitsBody
}
