package wire

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"
)

type message = wrapperspb.StringValue

func startServer(t *testing.T, key string) string {
	t.Helper()
	s := NewServer([]byte(key))
	Handle(s, "echo", func(_ context.Context, q *message) (*message, error) { return q, nil })
	Handle(s, "fail", func(context.Context, *message) (*message, error) { return nil, Fail("busy", "later") })
	Handle(s, "hang", func(ctx context.Context, _ *message) (*message, error) { <-ctx.Done(); return nil, ctx.Err() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(t.Context(), l)
	return l.Addr().String()
}

func TestCall(t *testing.T) {
	c := NewClient(startServer(t, "k"), []byte("k"), nil)
	defer c.Close()
	var got message
	assert.NilError(t, c.Call(t.Context(), "echo", wrapperspb.String("x"), &got))
	assert.Equal(t, got.Value, "x")

	var call *CallError
	err := c.Call(t.Context(), "fail", wrapperspb.String("x"), &got)
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Failure, Failure("busy"))

	err = c.Call(t.Context(), "none", wrapperspb.String("x"), &got)
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Failure, FailureUnknownMethod)
}

func TestCallEndsWhenContextIsCancelled(t *testing.T) {
	c := NewClient(startServer(t, "k"), []byte("k"), nil)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Call(ctx, "hang", wrapperspb.String(""), &message{}) }()
	cancel()
	err := <-done
	assert.Assert(t, errors.Is(err, context.Canceled))
}

func TestWrongKeyIsRejected(t *testing.T) {
	c := NewClient(startServer(t, "k"), []byte("other"), nil)
	err := c.Call(t.Context(), "echo", wrapperspb.String("x"), &message{})
	var auth *AuthError
	assert.Assert(t, errors.As(err, &auth))
	var transportErr *TransportError
	assert.Assert(t, errors.As(err, &transportErr))
	assert.Assert(t, !transportErr.Sent)
}
