package ledger

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"redwingknot/ledger/ledgerpb"
	"redwingknot/wire"
)

const (
	methodSubmit = "ledger.submit"
	// failureNotWritten reports an operation that surely never reaches the log.
	failureNotWritten wire.Failure = "not-written"
	// failureUnresolved reports one that may.
	failureUnresolved wire.Failure = "unresolved"
)

// Register lets the server's callers submit operations to l.
func (l *Ledger) Register(s *wire.Server) {
	wire.Handle(s, methodSubmit, l.serveSubmit)
}

func (l *Ledger) serveSubmit(ctx context.Context, q *ledgerpb.SubmitRequest) (*ledgerpb.SubmitResponse, error) {
	if len(q.GetOp().GetKey()) != idBytes || len(q.GetOp().GetClaim()) != idBytes {
		return nil, wire.Fail(failureNotWritten, "malformed operation")
	}
	resp, err := l.Submit(ctx, int(q.Shard), q.Op)
	switch {
	case err == nil:
		return resp, nil
	case notWritten(err):
		return nil, wire.Fail(failureNotWritten, err.Error())
	}
	return nil, wire.Fail(failureUnresolved, err.Error())
}

// WireRemote is a Remote over connections between instances.
type WireRemote struct {
	// Client returns the client of an instance, nil if it is not known.
	Client func(instance string) wire.Caller
}

// Submit implements Remote.
func (r WireRemote) Submit(ctx context.Context, owner string, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	c := r.Client(owner)
	if c == nil {
		return nil, &NotWrittenError{Shard: shard, Err: &OwnerUnknownError{Owner: owner}}
	}
	resp := &ledgerpb.SubmitResponse{}
	err := c.Call(ctx, methodSubmit, &ledgerpb.SubmitRequest{Shard: uint32(shard), Op: op}, resp)
	if err == nil {
		return resp, nil
	}
	if neverReached(err) {
		return nil, &NotWrittenError{Shard: shard, Err: err}
	}
	return nil, &UnresolvedError{Shard: shard, Err: err}
}

// neverReached reports whether a failed call left no operation behind.
func neverReached(err error) bool {
	var link *wire.TransportError
	if errors.As(err, &link) {
		return !link.Sent
	}
	var call *wire.CallError
	return errors.As(err, &call) && (call.Failure == failureNotWritten || call.Failure == wire.FailureUnknownMethod)
}

// RendezvousOwner returns the live instance with the highest hash for a shard. All
// instances with the same list agree, and a change moves only the shards of the
// instances that came or went.
func RendezvousOwner(shard int, live []string) string {
	var owner string
	var best uint64
	for _, name := range live {
		if h := weight(shard, name); owner == "" || h > best || h == best && name < owner {
			owner, best = name, h
		}
	}
	return owner
}

func weight(shard int, name string) uint64 {
	return xxhash.Sum64(binary.AppendUvarint([]byte(name), uint64(shard)))
}
