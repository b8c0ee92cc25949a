// Package instancetest gives tests a network in memory between instances of one
// process, with delays, cuts, pauses, lost answers and counts of what was sent.
//
// It carries calls and not connections: the pools of the stream library reach
// across the time bubbles that the tests run in.
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

// UnreachableError reports a call to an address that nobody serves, or that is
// separated or silent.
type UnreachableError struct{ From, To string }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%s can't reach %s", e.From, e.To) }

type handler func(ctx context.Context, payload []byte) ([]byte, error)

// Network carries calls between processes by address. It is safe for
// concurrent use.
type Network struct {
	// Delay is the time that a message takes one way.
	Delay time.Duration

	mu    sync.Mutex
	hosts map[string]map[string]handler
	lost  func(from, to string) bool

	Calls atomic.Int64 // calls that reached their callee
	Bytes atomic.Int64 // payload bytes of requests and answers
}

// NewNetwork returns an empty network.
func NewNetwork() *Network { return &Network{hosts: map[string]map[string]handler{}} }

// Handle serves method at addr, as wire.Handle does at a server.
func Handle[Q, P proto.Message](n *Network, addr, method string, h func(context.Context, Q) (P, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts[addr] == nil {
		n.hosts[addr] = map[string]handler{}
	}
	n.hosts[addr][method] = func(ctx context.Context, payload []byte) ([]byte, error) {
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

// Stop ends the process at addr.
func (n *Network) Stop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, addr)
}

// DropMessages drops every message for which lost holds; nil drops none.
func (n *Network) DropMessages(lost func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = lost
}

// Caller returns the network as the process at from calls it.
func (n *Network) Caller(from string) *Caller { return &Caller{network: n, from: from} }

// Caller makes the calls of one process.
type Caller struct {
	network *Network
	from    string
}

// Call calls method at addr; a lost message is silence until ctx ends.
func (c *Caller) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	n := c.network
	payload, err := proto.Marshal(req)
	if err != nil {
		return &wire.LinkError{Addr: addr, Err: err}
	}
	h, err := n.deliver(ctx, c.from, addr, method)
	if err != nil {
		return &wire.LinkError{Addr: addr, Err: err}
	}
	n.Calls.Add(1)
	n.Bytes.Add(int64(len(payload)))
	answer, err := h(ctx, payload)
	if err != nil {
		return err
	}
	n.Bytes.Add(int64(len(answer)))
	if _, err := n.deliver(ctx, addr, c.from, method); err != nil {
		return &wire.LinkError{Addr: addr, Sent: true, Err: err}
	}
	if err := proto.Unmarshal(answer, resp); err != nil {
		return &wire.LinkError{Addr: addr, Sent: true, Err: err}
	}
	return nil
}

// deliver takes a message one way. The callee's handler is nil if it serves
// no such method; that matters for requests only.
func (n *Network) deliver(ctx context.Context, from, to, method string) (handler, error) {
	n.mu.Lock()
	lost := n.lost != nil && n.lost(from, to)
	h := n.hosts[to][method]
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
