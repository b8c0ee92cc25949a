package wire

import (
	"net"

	"github.com/rcrowley/go-metrics"

	"redwingknot/metric"
)

// countedConn counts the bytes of a connection between instances.
type countedConn struct {
	net.Conn
	read, written metrics.Counter
}

func counted(c net.Conn) net.Conn {
	return &countedConn{
		Conn:    c,
		read:    metric.Counter("wire_bytes_total", "direction", "in"),
		written: metric.Counter("wire_bytes_total", "direction", "out"),
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Inc(int64(n))
	return n, err
}
