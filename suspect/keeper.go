package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/event"
	"redwingknot/suspect/suspectpb"
	"redwingknot/wire"
)

// The methods of a Keeper.
const (
	methodAsk     = "suspect.ask"
	methodReport  = "suspect.report"
	methodClean   = "suspect.clean"
	methodAcquire = "suspect.acquire"
	methodRelease = "suspect.release"
)

// Server holds the fingerprints and slots whose home this instance is and
// answers the other instances about them. It is safe for concurrent use.
type Server struct {
	now func() time.Time
	log *slog.Logger

	mu       sync.Mutex
	registry *Registry
	slots    *Slots
}

// NewServer returns a keeper without suspects. A nil now is the wall clock.
func NewServer(c Config, now func() time.Time) *Server {
	if now == nil {
		now = time.Now
	}
	r := NewRegistry(c)
	return &Server{now: now, log: r.config.Log, registry: r, slots: NewSlots()}
}

// Register adds the keeper's methods to s.
func (k *Server) Register(s *wire.Server) {
	wire.Handle(s, methodAsk, k.ask)
	wire.Handle(s, methodReport, k.report)
	wire.Handle(s, methodClean, k.clean)
	wire.Handle(s, methodAcquire, k.acquire)
	wire.Handle(s, methodRelease, k.release)
}

func (k *Server) ask(_ context.Context, q *suspectpb.AskRequest) (*suspectpb.Answer, error) {
	f, err := parseFingerprint(q.Fingerprint)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.registry.Lookup(f, k.now())
	return &suspectpb.Answer{Verdict: suspectpb.Answer_Verdict(a.Verdict), Crashed: a.Crashed}, nil
}

func (k *Server) report(_ context.Context, q *suspectpb.ReportRequest) (*suspectpb.ReportResponse, error) {
	f, err := parseFingerprint(q.Fingerprint)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.registry.Lookup(f, k.now())
	after := k.registry.RecordCrash(f, Crash{Endpoint: q.Endpoint, Epoch: q.Epoch}, q.Alone, k.now())
	k.logChange(f, before.Verdict, after.Verdict)
	return &suspectpb.ReportResponse{}, nil
}

func (k *Server) clean(_ context.Context, q *suspectpb.CleanRequest) (*suspectpb.CleanResponse, error) {
	f, err := parseFingerprint(q.Fingerprint)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.registry.Lookup(f, k.now())
	k.registry.RecordCleanRun(f, k.now())
	k.logChange(f, before.Verdict, k.registry.Lookup(f, k.now()).Verdict)
	return &suspectpb.CleanResponse{}, nil
}

var changeEvents = map[Verdict]event.Event{
	Clear:    event.SuspectCleared,
	RunAlone: event.SuspectRaised,
	Refused:  event.SuspectRefused,
}

func (k *Server) logChange(f Fingerprint, before, after Verdict) {
	if before != after {
		changeEvents[after].Log(k.log, slog.String("fingerprint", f.String()))
	}
}

func (k *Server) acquire(_ context.Context, q *suspectpb.AcquireRequest) (*suspectpb.AcquireResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ttl := time.Duration(q.TtlMs) * time.Millisecond
	ok, free := k.slots.Acquire(q.DataCentre, q.Run, ttl, k.now())
	return &suspectpb.AcquireResponse{Acquired: ok, FreeMs: free.Milliseconds()}, nil
}

func (k *Server) release(_ context.Context, q *suspectpb.ReleaseRequest) (*suspectpb.ReleaseResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slots.Release(q.DataCentre, q.Run)
	return &suspectpb.ReleaseResponse{}, nil
}

func parseFingerprint(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintBytes {
		return Fingerprint{}, wire.Fail(wire.FailureMalformed, "a fingerprint has 16 bytes")
	}
	return Fingerprint(b), nil
}

// serve answers a call of this instance itself.
func (k *Server) serve(ctx context.Context, method string, req, resp proto.Message) error {
	answer, err := k.handle(ctx, method, req)
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}

func (k *Server) handle(ctx context.Context, method string, req proto.Message) (proto.Message, error) {
	switch q := req.(type) {
	case *suspectpb.AskRequest:
		return k.ask(ctx, q)
	case *suspectpb.ReportRequest:
		return k.report(ctx, q)
	case *suspectpb.CleanRequest:
		return k.clean(ctx, q)
	case *suspectpb.AcquireRequest:
		return k.acquire(ctx, q)
	case *suspectpb.ReleaseRequest:
		return k.release(ctx, q)
	}
	return nil, wire.Fail(wire.FailureUnknownMethod, method)
}
