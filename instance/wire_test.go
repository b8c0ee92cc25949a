package instance

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/wire"
)

// connMeter counts the bytes read and written, and the writes, on connections
// opened with its dial method.
type connMeter struct{ bytes, writes atomic.Int64 }

// meteredConn is a connection whose traffic a connMeter counts.
type meteredConn struct {
	net.Conn
	meter *connMeter
}

func (c meteredConn) Write(b []byte) (int, error) {
	c.meter.bytes.Add(int64(len(b)))
	c.meter.writes.Add(1)
	return c.Conn.Write(b)
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (m *connMeter) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	return meteredConn{Conn: conn, meter: m}, err
}

// startOverTCP runs count members of one data centre that are connected over TCP.
func startOverTCP(t *testing.T, count int, m *connMeter) []*Membership {
	var all []*Membership
	var seed string
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		if i == 0 {
			seed = l.Addr().String()
		}
		self := Member{ID: fmt.Sprint("w", i), Incarnation: 1, DataCentre: "ilala", Addr: l.Addr().String()}
		membership, err := New(Config{Self: self, Seeds: []string{seed}, Key: []byte("k"), Dial: m.dial})
		assert.NilError(t, err)
		s := wire.NewServer([]byte("k"))
		membership.Register(s)
		go s.Serve(t.Context(), l)
		go membership.Run(t.Context())
		all = append(all, membership)
	}
	return all
}

func TestInstancesFindEachOtherOverTCP(t *testing.T) {
	all := startOverTCP(t, 3, &connMeter{})
	for {
		found := 0
		for _, m := range all {
			if len(m.Members()) == len(all) {
				found++
			}
		}
		if found == len(all) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestMeasureWire logs the traffic and CPU time that the heartbeats of an instance
// take over TCP.
func TestMeasureWire(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, count := range []int{8, 32} {
		m := &connMeter{}
		startOverTCP(t, count, m)
		time.Sleep(40 * time.Second)
		b, w, cpu := m.bytes.Load(), m.writes.Load(), cpuTime()
		const seconds = 30
		time.Sleep(seconds * time.Second)
		instanceSeconds := float64(count * seconds)
		t.Logf("%d instances, for each: %.0f bytes/s in both directions of dialled connections, %.1f writes/s by the dialling side, %.0f us/s CPU",
			count, float64(m.bytes.Load()-b)/instanceSeconds, float64(m.writes.Load()-w)/instanceSeconds, float64((cpuTime()-cpu).Microseconds())/instanceSeconds)
	}
}
