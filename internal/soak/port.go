package soak

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// reservedPort is a loopback port that no other process gets, whether somebody listens at it
// or not.
type reservedPort struct {
	fd   int
	port int
}

// reservePort reserves a free port.
func reservePort() (*reservedPort, error) {
	fd, err := newReusedSocket(&unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err != nil {
		return nil, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	return &reservedPort{fd: fd, port: bound.(*unix.SockaddrInet4).Port}, nil
}

// newReusedSocket returns a socket that is bound to an address which others may be bound to,
// too.
func newReusedSocket(addr *unix.SockaddrInet4) (fd int, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, addr)
	}
	if err != nil {
		unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

func (p *reservedPort) address() string { return fmt.Sprintf("127.0.0.1:%d", p.port) }

func (p *reservedPort) release() { unix.Close(p.fd) }

// listenReused listens at an address whose port is reserved.
func listenReused(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		if err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
			return err
		}
		return optErr
	}}
	return config.Listen(context.Background(), "tcp4", address)
}

// fullBacklog listens at an address and accepts nothing, with its backlog full, so that the
// kernel answers no further attempt to connect, as if the network dropped it.
type fullBacklog struct {
	fd    int
	conns []net.Conn // that fill the backlog
}

// backlogFillTime is how long an attempt to connect takes that is not answered.
const backlogFillTime = 50 * time.Millisecond

// maxBacklog is above the number of connections that fill the smallest backlog.
const maxBacklog = 8

// newFullBacklog listens at an address whose port is reserved.
func newFullBacklog(address string) (*fullBacklog, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := newReusedSocket(&unix.SockaddrInet4{Port: resolved.Port, Addr: [4]byte{127, 0, 0, 1}})
	if err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, 0); err != nil {
		unix.Close(fd)
		return nil, err
	}
	b := &fullBacklog{fd: fd}
	for range maxBacklog {
		c, err := net.DialTimeout("tcp4", address, backlogFillTime)
		if err != nil {
			break // it is full
		}
		b.conns = append(b.conns, c)
	}
	return b, nil
}

func (b *fullBacklog) close() {
	for _, c := range b.conns {
		c.Close()
	}
	unix.Close(b.fd)
}
