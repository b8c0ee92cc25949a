// Package instancetest provides tests with an in-memory network between instances
// in one process. It can delay and drop messages, and so simulate partitions,
// paused processes and lost answers, and it counts calls and bytes.
//
// It transports calls rather than connections because yamux, the stream library
// of package wire, keeps process-wide pools, which would be shared between the
// synctest bubbles that the tests run in.
package instancetest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/wire"
)

// UnreachableError reports a message to an address at which no process serves the
// method.
type UnreachableError struct{ From, To string }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%s can't reach %s", e.From, e.To) }

// handler serves one method at one address. It takes and returns encoded messages.
type handler func(ctx context.Context, payload []byte) ([]byte, error)

// Network carries calls between simulated processes, which it identifies by their
// addresses. It is safe for concurrent use, but Delay must be set before the first
// call.
type Network struct {
	// Delay is the time that a message takes in one direction.
	Delay time.Duration

	mu       sync.Mutex
	handlers map[string]map[string]handler // by address and method
	isLost   func(from, to string) bool    // nil if no message is dropped

	Calls atomic.Int64 // calls that reached a handler
	Bytes atomic.Int64 // encoded bytes of the requests and answers of these calls
}

// NewNetwork returns an empty network.
func NewNetwork() *Network { return &Network{handlers: map[string]map[string]handler{}} }

// Handle serves method at addr with h, as wire.Handle does on a server.
func Handle[Q, P proto.Message](n *Network, addr, method string, h func(context.Context, Q) (P, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[addr] == nil {
		n.handlers[addr] = map[string]handler{}
	}
	n.handlers[addr][method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		var zero Q
		req := zero.ProtoReflect().New().Interface().(Q)
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, wire.Fail(wire.FailureMalformed, err.Error())
		}
		resp, err := h(ctx, req)
		if err != nil {
			return nil, err
		}
		return proto.Marshal(resp)
	}
}

// Stop removes all handlers at addr, as if the process there had ended.
func (n *Network) Stop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, addr)
}

// DropMessages makes the network drop each message, request or answer, for which lost
// returns true. With nil it drops none.
func (n *Network) DropMessages(lost func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isLost = lost
}

// Caller returns a Caller for calls of the process at from.
func (n *Network) Caller(from string) *Caller { return &Caller{network: n, from: from} }

// Caller makes the calls of one process.
type Caller struct {
	network *Network
	from    string
}

// Call calls method at addr. If the request or the answer is dropped, it blocks
// until ctx ends. Failures of the network are *wire.TransportError; Sent is set if the
// handler was called.
func (c *Caller) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	n := c.network
	payload, err := proto.Marshal(req)
	if err != nil {
		return &wire.TransportError{Addr: addr, Err: err}
	}
	h, err := n.deliver(ctx, c.from, addr, method)
	if err != nil {
		return &wire.TransportError{Addr: addr, Err: err}
	}
	n.Calls.Add(1)
	n.Bytes.Add(int64(len(payload)))
	answer, err := h(ctx, payload)
	if err != nil {
		return err
	}
	n.Bytes.Add(int64(len(answer)))
	if _, err := n.deliver(ctx, addr, c.from, method); err != nil {
		return &wire.TransportError{Addr: addr, Sent: true, Err: err}
	}
	if err := proto.Unmarshal(answer, resp); err != nil {
		return &wire.TransportError{Addr: addr, Sent: true, Err: err}
	}
	return nil
}

// deliver carries a request or an answer and returns the handler of method at to,
// which is not used for an answer. If there is none, it fails with an
// *UnreachableError. That holds for answers too, so an answer is lost if the calling
// process has ended.
func (n *Network) deliver(ctx context.Context, from, to, method string) (handler, error) {
	n.mu.Lock()
	lost := n.isLost != nil && n.isLost(from, to)
	h := n.handlers[to][method]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if h == nil {
		return nil, &UnreachableError{From: from, To: to}
	}
	if n.Delay > 0 {
		time.Sleep(n.Delay)
	}
	return h, ctx.Err()
}
