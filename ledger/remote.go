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
	// failureNotWritten means that the operation is not in the log and will not
	// be appended later.
	failureNotWritten wire.Failure = "not-written"
	// failureUnresolved means that the operation may be in the log already or may
	// be appended later.
	failureUnresolved wire.Failure = "unresolved"
)

// Register registers the handler on s through which other instances submit
// operations to l.
func (l *Ledger) Register(s *wire.Server) {
	wire.Handle(s, methodSubmit, l.serveSubmit)
}

// serveSubmit handles an operation submitted by another instance.
func (l *Ledger) serveSubmit(ctx context.Context, req *ledgerpb.SubmitRequest) (*ledgerpb.SubmitResponse, error) {
	if len(req.GetOp().GetKey()) != idBytes || len(req.GetOp().GetClaim()) != idBytes {
		return nil, wire.Fail(failureNotWritten, "malformed operation")
	}
	resp, err := l.Submit(ctx, int(req.Shard), req.Op)
	switch {
	case err == nil:
		return resp, nil
	case notWritten(err):
		return nil, wire.Fail(failureNotWritten, err.Error())
	}
	return nil, wire.Fail(failureUnresolved, err.Error())
}

// WireRemote is a Remote that calls the owners over connections between instances.
type WireRemote struct {
	// Client returns the client for calls to an instance, or nil if the address
	// of the instance is not known.
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
	if callDidNotWrite(err) {
		return nil, &NotWrittenError{Shard: shard, Err: err}
	}
	return nil, &UnresolvedError{Shard: shard, Err: err}
}

// callDidNotWrite reports whether a call that failed with err did not append the
// operation and will not append it later.
func callDidNotWrite(err error) bool {
	var transportErr *wire.TransportError
	if errors.As(err, &transportErr) {
		return !transportErr.Sent
	}
	var callErr *wire.CallError
	return errors.As(err, &callErr) && (callErr.Failure == failureNotWritten || callErr.Failure == wire.FailureUnknownMethod)
}

// RendezvousOwner returns the owner of a shard by rendezvous hashing: the live instance
// with the highest hash for the shard, or "" if live is empty. All instances with
// the same list choose the same owner, and a change of the list moves only shards
// of the instances that were added or removed.
func RendezvousOwner(shard int, live []string) string {
	var owner string
	var best uint64
	for _, name := range live {
		if h := rendezvousHash(shard, name); owner == "" || h > best || h == best && name < owner {
			owner, best = name, h
		}
	}
	return owner
}

// rendezvousHash returns the hash of an instance name for a shard.
func rendezvousHash(shard int, name string) uint64 {
	return xxhash.Sum64(binary.AppendUvarint([]byte(name), uint64(shard)))
}
