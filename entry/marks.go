package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/note"
	"redwingknot/wire"
)

const (
	// methodHead is the name of the call that returns the head that an instance has in
	// force: the number of the last note that it has applied.
	methodHead = "entry.head"
	// headTimeout bounds the calls of methodHead to all instances of a data centre.
	headTimeout = time.Second
)

// registerHead registers the call with which the leader of the data centre asks which
// head this instance has in force.
func (e *Entry) registerHead() {
	wire.Handle(e.wire, methodHead, func(context.Context, *emptypb.Empty) (*wrapperspb.UInt64Value, error) {
		return wrapperspb.UInt64(e.appliedHead.Load()), nil
	})
}

// markInForce writes the in-force mark of the data centre while this instance is its
// leader. The mark is the highest head that all live instances of the data centre have
// in force.
func (e *Entry) markInForce(ctx context.Context) error {
	var markedHead uint64
	return timer.Every(ctx, markInterval, func() {
		_, isLeader := e.elector.FencingToken()
		head := e.book.Head()
		if !isLeader || head <= markedHead {
			return
		}
		if inForce := min(e.lowestAppliedHead(ctx), head); inForce > markedHead && e.writeMark(ctx, inForce) {
			markedHead = inForce
		}
	})
}

// writeMark writes the in-force mark and reports whether that succeeded.
func (e *Entry) writeMark(ctx context.Context, head uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	if err := note.SetMark(ctx, e.kv, e.opts.DataCentre, head); err != nil {
		event.InForceMarkFailed.Log(e.log, slog.Any("error", err))
		return false
	}
	return true
}

// lowestAppliedHead asks the live instances of the data centre which head they have in
// force and returns the lowest. An instance that does not answer counts as zero until the
// membership declares it failed.
func (e *Entry) lowestAppliedHead(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	members := e.peers.local()
	heads := make([]uint64, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() {
			var head wrapperspb.UInt64Value
			if e.peers.callerAt(m.Addr).Call(ctx, methodHead, &emptypb.Empty{}, &head) == nil {
				heads[i] = head.Value
			}
		})
	}
	calls.Wait()
	if len(heads) == 0 {
		return 0
	}
	return slices.Min(heads)
}
