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

// The names of the wire methods that a Keeper serves.
const (
	methodAsk     = "suspect.ask"
	methodReport  = "suspect.report"
	methodClean   = "suspect.clean"
	methodAcquire = "suspect.acquire"
	methodRelease = "suspect.release"
)

// Server stores the state of the fingerprints and slots that this instance owns
// and serves the calls of other instances for them. It is safe for concurrent use.
type Server struct {
	now func() time.Time
	log *slog.Logger

	mu       sync.Mutex
	registry *Registry
	slots    *Slots
}

// NewServer returns a Keeper that has no suspects and whose slots are free. now
// returns the current time; if nil, it is time.Now.
func NewServer(c Config, now func() time.Time) *Server {
	if now == nil {
		now = time.Now
	}
	r := NewRegistry(c)
	return &Server{now: now, log: r.config.Log, registry: r, slots: NewSlots()}
}

// Register registers the keeper's methods with s.
func (k *Server) Register(s *wire.Server) {
	wire.Handle(s, methodAsk, k.ask)
	wire.Handle(s, methodReport, k.report)
	wire.Handle(s, methodClean, k.clean)
	wire.Handle(s, methodAcquire, k.acquire)
	wire.Handle(s, methodRelease, k.release)
}

func (k *Server) ask(_ context.Context, req *suspectpb.AskRequest) (*suspectpb.Answer, error) {
	f, err := parseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.registry.Lookup(f, k.now())
	return &suspectpb.Answer{Verdict: suspectpb.Answer_Verdict(a.Verdict), Crashed: a.Crashed}, nil
}

func (k *Server) report(_ context.Context, req *suspectpb.ReportRequest) (*suspectpb.ReportResponse, error) {
	f, err := parseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.registry.Lookup(f, k.now())
	after := k.registry.RecordCrash(f, Crash{Endpoint: req.Endpoint, Epoch: req.Epoch}, req.Alone, k.now())
	k.logVerdictChange(f, before.Verdict, after.Verdict)
	return &suspectpb.ReportResponse{}, nil
}

func (k *Server) clean(_ context.Context, req *suspectpb.CleanRequest) (*suspectpb.CleanResponse, error) {
	f, err := parseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.registry.Lookup(f, k.now())
	k.registry.RecordCleanRun(f, k.now())
	k.logVerdictChange(f, before.Verdict, k.registry.Lookup(f, k.now()).Verdict)
	return &suspectpb.CleanResponse{}, nil
}

// verdictEvents maps each verdict to the event logged when a fingerprint gets it.
var verdictEvents = map[Verdict]event.Event{
	Clear:    event.SuspectCleared,
	RunAlone: event.SuspectRaised,
	Refused:  event.SuspectRefused,
}

// logVerdictChange logs an event if the verdict on f has changed.
func (k *Server) logVerdictChange(f Fingerprint, before, after Verdict) {
	if before != after {
		verdictEvents[after].Log(k.log, slog.String("fingerprint", f.String()))
	}
}

func (k *Server) acquire(_ context.Context, req *suspectpb.AcquireRequest) (*suspectpb.AcquireResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ttl := time.Duration(req.TtlMs) * time.Millisecond
	acquired, freeIn := k.slots.Acquire(req.DataCentre, req.Run, ttl, k.now())
	return &suspectpb.AcquireResponse{Acquired: acquired, FreeMs: freeIn.Milliseconds()}, nil
}

func (k *Server) release(_ context.Context, req *suspectpb.ReleaseRequest) (*suspectpb.ReleaseResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slots.Release(req.DataCentre, req.Run)
	return &suspectpb.ReleaseResponse{}, nil
}

// parseFingerprint converts bytes from a wire message to a fingerprint. It returns
// a wire error if their number is wrong.
func parseFingerprint(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintBytes {
		return Fingerprint{}, wire.Fail(wire.FailureMalformed, "a fingerprint has 16 bytes")
	}
	return Fingerprint(b), nil
}

// callLocal handles a call of this instance to its own keeper and merges the
// answer into resp.
func (k *Server) callLocal(ctx context.Context, method string, req, resp proto.Message) error {
	answer, err := k.dispatch(ctx, method, req)
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}

// dispatch calls the handler for the type of req.
func (k *Server) dispatch(ctx context.Context, method string, req proto.Message) (proto.Message, error) {
	switch typed := req.(type) {
	case *suspectpb.AskRequest:
		return k.ask(ctx, typed)
	case *suspectpb.ReportRequest:
		return k.report(ctx, typed)
	case *suspectpb.CleanRequest:
		return k.clean(ctx, typed)
	case *suspectpb.AcquireRequest:
		return k.acquire(ctx, typed)
	case *suspectpb.ReleaseRequest:
		return k.release(ctx, typed)
	}
	return nil, wire.Fail(wire.FailureUnknownMethod, method)
}
