package upstream

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silenceTime is how long a peer has acknowledged nothing of a request when it counts as
	// silent. It is above the time to another region and back, and the kernel has sent the
	// data once more by then.
	silenceTime = 300 * time.Millisecond
	// abandonTime is the same from when on a request that may be repeated is given up.
	abandonTime = 600 * time.Millisecond
)

// SilentError reports that a request was given up because the endpoint acknowledged nothing of
// it. The endpoint may still run it.
type SilentError struct{}

// Error implements error.
func (*SilentError) Error() string { return "the endpoint acknowledges nothing" }

// unacknowledged returns how many segments the peer of a connection has not acknowledged, and
// how many bytes it has. ok is false if the connection does not tell.
func unacknowledged(c net.Conn) (segments uint32, acknowledged uint64, ok bool) {
	info := tcpInfo(c)
	if info == nil {
		return 0, 0, false
	}
	return info.Unacked, info.Bytes_acked, true
}

// awaitsProbe reports whether the peer of an idle connection has left a keep-alive probe
// unanswered.
func awaitsProbe(c net.Conn) bool {
	info := tcpInfo(c)
	return info != nil && info.Probes > 0
}

// tcpInfo returns the kernel's state of a connection, nil if it gives none.
func tcpInfo(c net.Conn) *unix.TCPInfo {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = i
		}
	})
	if err != nil {
		return nil
	}
	return info
}

// silenceWatch watches whether an endpoint acknowledges a request that was written.
//
// Load pattern: a sound endpoint falls silent for a second and goes on. What was sent to it
// then arrives late and must not be lost, and new requests should go elsewhere at once.
type silenceWatch struct {
	conn         *conn
	repeatable   bool
	acknowledged uint64 // bytes that the endpoint had acknowledged when the request was written

	mu       sync.Mutex
	timer    *time.Timer // nil after the end
	gaveUp   bool
	reported bool
}

// watchSilence begins to watch a connection on which a request has just been written. It
// returns nil if the connection tells nothing.
func watchSilence(c *conn, repeatable bool) *silenceWatch {
	_, acknowledged, ok := unacknowledged(c.Conn)
	if !ok {
		return nil
	}
	w := &silenceWatch{conn: c, repeatable: repeatable, acknowledged: acknowledged}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTime, w.check)
	return w
}

// check looks for acknowledgements, once after silenceTime and once after abandonTime.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	segments, acknowledged, ok := unacknowledged(w.conn.Conn)
	if w.timer == nil || !ok || segments == 0 || acknowledged != w.acknowledged {
		return
	}
	switch {
	case !w.reported:
		w.reported = true
		if w.conn.pool.onSilent != nil {
			go w.conn.pool.onSilent()
		}
		w.timer.Reset(abandonTime - silenceTime)
	case w.repeatable:
		w.gaveUp = true
		w.conn.Conn.Close()
	}
}

// end ends the watch and reports whether it has given the request up. The watch may be nil.
func (w *silenceWatch) end() (gaveUp bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	return w.gaveUp
}
