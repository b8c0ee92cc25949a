package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long data sent to another instance or to a service of the platform may
// stay unacknowledged before the kernel closes the connection. It spans two
// retransmissions; the kernel makes the first one after 200 ms.
const unackedTimeout = 600 * time.Millisecond

// endpointUnackedTimeout is the same for endpoints, which may fall silent for a second or so
// and go on. It also decides when the kernel gives up on keep-alive probes: at the first one
// that is due after this time without a sign of the peer. A silence of two intervals of the
// probes leaves one of them to be answered.
const endpointUnackedTimeout = 3500 * time.Millisecond

// KeepAliveConfig is a TCP keep-alive configuration that detects an unresponsive peer
// within about two seconds, and an endpoint within about four.
var KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// SetSocketOptions sets TCP_USER_TIMEOUT to unackedTimeout, which bounds how long
// sent data may stay unacknowledged. It is meant as a net.Dialer's Control
// function.
func SetSocketOptions(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c, unackedTimeout)
}

// setEndpointSocketOptions is like SetSocketOptions, for endpoints.
func setEndpointSocketOptions(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c, endpointUnackedTimeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// connUsable reports whether an idle connection is open and has no unread data.
// It returns true for a connection that gives no access to its socket and does not say so
// itself.
func connUsable(c net.Conn) bool {
	if u, ok := c.(interface{ Usable() bool }); ok {
		return u.Usable()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// isLeaving reports whether a connection leads through an instance that shuts down.
func isLeaving(c net.Conn) bool {
	l, ok := c.(interface{ Leaving() bool })
	return ok && l.Leaving()
}
