package wire_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/wire"
)

// busyListener fails to accept some connections for want of descriptors.
type busyListener struct {
	net.Listener
	failures atomic.Int64 // that are left
}

// Accept implements net.Listener.
func (l *busyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesLackOfDescriptors guards against a process that ends because it can't accept a
// connection at a time when callers hold all descriptors.
func TestServerOutlivesLackOfDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &busyListener{Listener: inner}
	l.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- wire.NewServer(nil).Serve(ctx, l) }()
	client := wire.NewClient(inner.Addr().String(), nil, nil)
	t.Cleanup(client.Close)
	err = client.Call(t.Context(), "unknown", nil, nil)
	var failed *wire.CallError
	assert.Check(t, err != nil)
	assert.ErrorType(t, err, failed)
	cancel()
	assert.NilError(t, <-ended)
}
