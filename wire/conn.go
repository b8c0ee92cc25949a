package wire

import (
	"net"

	"github.com/rcrowley/go-metrics"

	"redwingknot/metric"
)

// countedConn is a connection that counts the bytes read and written in the
// metric wire_bytes_total.
type countedConn struct {
	net.Conn
	bytesRead, bytesWritten metrics.Counter
}

// newCountedConn returns c with its bytes counted.
func newCountedConn(c net.Conn) net.Conn {
	return &countedConn{
		Conn:         c,
		bytesRead:    metric.Counter("wire_bytes_total", "direction", "in"),
		bytesWritten: metric.Counter("wire_bytes_total", "direction", "out"),
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Inc(int64(n))
	return n, err
}
