package wire

import (
	"encoding/binary"
	"net"
)

// Layout of the header that yamux puts before the data of a stream.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// maxJoined is the longest data that is copied to be written with its header. Longer data makes
// several packets anyway.
const maxJoined = 4 << 10

// joiningConn is a connection that writes the header of yamux's data together with the data.
// yamux writes one after the other, from one goroutine, which for messages of some tens of bytes
// makes twice as many system calls and packets.
type joiningConn struct {
	net.Conn
	held []byte // a header whose data has not been written, empty for none
}

// Write implements net.Conn.
func (c *joiningConn) Write(b []byte) (int, error) {
	if len(c.held) == 0 {
		if announcesData(b) {
			c.held = append(c.held, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	header := len(c.held)
	held := c.held
	c.held = held[:0]
	if len(b) > maxJoined {
		if _, err := c.Conn.Write(held); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	c.held = append(held, b...)
	n, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	return max(n-header, 0), err
}

// announcesData reports whether b is a header that data follows.
func announcesData(b []byte) bool {
	return len(b) == yamuxHeaderBytes && b[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
