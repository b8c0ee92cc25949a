package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"redwingknot/fleet"
	"redwingknot/tunnel/tunnelpb"
	"redwingknot/wire"
)

// RefusedError reports that another instance opened no connection to an endpoint.
type RefusedError struct{ Result tunnelpb.Result }

// Error implements error.
func (e *RefusedError) Error() string {
	return "another instance opened no connection: " + e.Result.String()
}

// Unwrap returns the error of a connection that an endpoint refuses, nil if it is not known to
// have refused it.
func (e *RefusedError) Unwrap() error {
	if e.Result == tunnelpb.Result_RESULT_REFUSED {
		return syscall.ECONNREFUSED
	}
	return nil
}

// RefusedByLeaving reports whether err says that the instance which was asked for a connection
// shuts down.
func RefusedByLeaving(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Result == tunnelpb.Result_RESULT_LEAVING
}

// BrokenError reports that a tunnel broke. What was sent may have reached the endpoint, and
// the endpoint may still run.
type BrokenError struct{ Err error }

// Error implements error.
func (e *BrokenError) Error() string {
	if e.Err == nil {
		return "the connection was lost behind the tunnel"
	}
	return "the tunnel broke: " + e.Err.Error()
}

// Conn is a connection to an endpoint through another instance. It implements net.Conn. Reads
// and deadlines of reads are those of a pipe, into which a goroutine writes what arrives;
// writes go to the stream and have no deadlines.
type Conn struct {
	net.Conn // the reading end of the pipe
	stream   *wire.Stream
	arrived  atomic.Bool // bytes that were not read, or the end, have arrived
	leaving  atomic.Bool // the other instance shuts down

	mu  sync.Mutex
	end error // returned by reads after the last byte, nil before the end
}

// Dial opens a connection to an incarnation of an endpoint through the instance of a client.
// The error is a *RefusedError, or one of client.
func Dial(ctx context.Context, client *wire.Client, key fleet.EndpointKey) (*Conn, error) {
	var response tunnelpb.OpenResponse
	request := &tunnelpb.OpenRequest{EndpointId: key.ID, StartMillis: key.StartMillis}
	stream, err := client.OpenStream(ctx, methodOpen, request, &response)
	if err != nil {
		return nil, err
	}
	if response.Result != tunnelpb.Result_RESULT_OPEN {
		stream.Close()
		return nil, &RefusedError{Result: response.Result}
	}
	reading, writing := net.Pipe()
	c := &Conn{Conn: reading, stream: stream}
	go c.receive(writing)
	return c, nil
}

// receive writes what arrives into the pipe until the connection has ended.
func (c *Conn) receive(pipe net.Conn) {
	defer pipe.Close()
	for {
		var chunk tunnelpb.Chunk
		err := c.stream.Receive(&chunk)
		c.arrived.Store(true)
		if err != nil {
			c.setEnd(&BrokenError{Err: err})
			return
		}
		if chunk.Leaving {
			c.leaving.Store(true)
		}
		if len(chunk.Data) > 0 {
			if _, err := pipe.Write(chunk.Data); err != nil {
				return // this side has closed the connection
			}
		}
		if chunk.End != tunnelpb.End_END_NONE {
			c.setEnd(endError(chunk.End))
			return
		}
		c.arrived.Store(false)
	}
}

// endError returns the error of reads after a connection has ended.
func endError(end tunnelpb.End) error {
	switch end {
	case tunnelpb.End_END_CLOSED:
		return io.EOF
	case tunnelpb.End_END_RESET:
		return syscall.ECONNRESET
	}
	return &BrokenError{}
}

func (c *Conn) setEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != nil {
		err = c.end
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.stream.Send(&tunnelpb.Chunk{Data: p}); err != nil {
		return 0, &BrokenError{Err: err}
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.Conn.Close()
	return c.stream.Close()
}

// Usable reports whether the idle connection may carry a request: it has neither ended nor
// received bytes that no request asked for, and the other instance does not shut down.
func (c *Conn) Usable() bool { return !c.arrived.Load() && !c.leaving.Load() }

// Leaving reports whether the other instance shuts down, so that what runs on the connection may
// go on, but nothing more should be sent.
func (c *Conn) Leaving() bool { return c.leaving.Load() }
