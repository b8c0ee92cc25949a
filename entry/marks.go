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
	methodHead  = "entry.head"
	headTimeout = time.Second
)

// registerHead lets the lead ask which head this instance has in force.
func (e *Entry) registerHead() {
	wire.Handle(e.wire, methodHead, func(context.Context, *emptypb.Empty) (*wrapperspb.UInt64Value, error) {
		return wrapperspb.UInt64(e.applied.Load()), nil
	})
}

// markInForce writes, while this instance leads its data centre, which head all
// the live instances there have in force.
func (e *Entry) markInForce(ctx context.Context) error {
	var marked uint64
	return timer.Every(ctx, markInterval, func() {
		_, leads := e.lead.FencingToken()
		head := e.book.Head()
		if !leads || head <= marked {
			return
		}
		if everywhere := min(e.lowestHead(ctx), head); everywhere > marked && e.writeMark(ctx, everywhere) {
			marked = everywhere
		}
	})
}

func (e *Entry) writeMark(ctx context.Context, head uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if err := note.SetMark(ctx, e.kv, e.o.DataCentre, head); err != nil {
		event.InForceMarkFailed.Log(e.log, slog.Any("error", err))
		return false
	}
	return true
}

// lowestHead asks the live instances of the data centre for their heads. One
// that does not answer counts as zero until the membership has it as failed.
func (e *Entry) lowestHead(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	members := e.peers.local()
	heads := make([]uint64, len(members))
	var asks sync.WaitGroup
	for i, m := range members {
		asks.Go(func() {
			var head wrapperspb.UInt64Value
			if e.peers.at(m.Addr).Call(ctx, methodHead, &emptypb.Empty{}, &head) == nil {
				heads[i] = head.Value
			}
		})
	}
	asks.Wait()
	if len(heads) == 0 {
		return 0
	}
	return slices.Min(heads)
}
