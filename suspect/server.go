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

// The names of the wire methods that a Server serves.
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

// NewServer returns a Server that has no suspects and whose slots are free. now
// returns the current time; if nil, it is time.Now.
func NewServer(c Config, now func() time.Time) *Server {
	if now == nil {
		now = time.Now
	}
	r := NewRegistry(c)
	return &Server{now: now, log: r.config.Log, registry: r, slots: NewSlots()}
}

// Register registers the methods of s with wireServer.
func (s *Server) Register(wireServer *wire.Server) {
	wire.Handle(wireServer, methodAsk, s.ask)
	wire.Handle(wireServer, methodReport, s.report)
	wire.Handle(wireServer, methodClean, s.clean)
	wire.Handle(wireServer, methodAcquire, s.acquire)
	wire.Handle(wireServer, methodRelease, s.release)
}

func (s *Server) ask(_ context.Context, req *suspectpb.AskRequest) (*suspectpb.Answer, error) {
	f, err := parseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.registry.Lookup(f, s.now())
	return &suspectpb.Answer{Verdict: suspectpb.Answer_Verdict(a.Verdict), Crashed: a.Crashed}, nil
}

func (s *Server) report(_ context.Context, req *suspectpb.ReportRequest) (*suspectpb.ReportResponse, error) {
	f, err := parseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.registry.Lookup(f, s.now())
	crash := Crash{Endpoint: req.Endpoint, Epoch: req.Epoch, Round: before.Rounds + 1}
	after := s.registry.RecordCrash(Subject{Fingerprint: f, Depth: WholeRequest}, crash, req.Alone, s.now())
	logVerdictChange(s.log, f, before.Verdict, after.Verdict)
	return &suspectpb.ReportResponse{}, nil
}

func (s *Server) clean(_ context.Context, req *suspectpb.CleanRequest) (*suspectpb.CleanResponse, error) {
	f, err := parseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.registry.Lookup(f, s.now())
	s.registry.RecordCleanRun(f, s.now())
	logVerdictChange(s.log, f, before.Verdict, s.registry.Lookup(f, s.now()).Verdict)
	return &suspectpb.CleanResponse{}, nil
}

// verdictEvents maps each verdict to the event logged when a fingerprint gets it.
var verdictEvents = map[Verdict]event.Event{
	Clear:    event.SuspectCleared,
	RunAlone: event.SuspectRaised,
	Refused:  event.SuspectRefused,
	Trial:    event.SuspectOnTrial,
}

// logVerdictChange logs an event if the verdict on f has changed.
func logVerdictChange(log *slog.Logger, f Fingerprint, before, after Verdict, attrs ...slog.Attr) {
	if before != after {
		verdictEvents[after].Log(log, append(attrs, slog.String("fingerprint", f.String()))...)
	}
}

func (s *Server) acquire(_ context.Context, req *suspectpb.AcquireRequest) (*suspectpb.AcquireResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(req.TtlMs) * time.Millisecond
	acquired, freeIn := s.slots.Acquire(req.DataCentre, req.Run, ttl, s.now())
	return &suspectpb.AcquireResponse{Acquired: acquired, FreeMs: freeIn.Milliseconds()}, nil
}

func (s *Server) release(_ context.Context, req *suspectpb.ReleaseRequest) (*suspectpb.ReleaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.Release(req.DataCentre, req.Run)
	return &suspectpb.ReleaseResponse{}, nil
}

// parseFingerprint converts bytes from a wire message to a fingerprint. It returns
// a wire error if their number is wrong.
func parseFingerprint(b []byte) (Fingerprint, error) {
	f, err := ParseFingerprint(b)
	if err != nil {
		return f, wire.Fail(wire.FailureMalformed, err.Error())
	}
	return f, nil
}

// callLocal handles a call of this instance to its own Server and merges the
// answer into resp.
func (s *Server) callLocal(ctx context.Context, method string, req, resp proto.Message) error {
	answer, err := s.dispatch(ctx, method, req)
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}

// dispatch calls the handler for the type of req.
func (s *Server) dispatch(ctx context.Context, method string, req proto.Message) (proto.Message, error) {
	switch typed := req.(type) {
	case *suspectpb.AskRequest:
		return s.ask(ctx, typed)
	case *suspectpb.ReportRequest:
		return s.report(ctx, typed)
	case *suspectpb.CleanRequest:
		return s.clean(ctx, typed)
	case *suspectpb.AcquireRequest:
		return s.acquire(ctx, typed)
	case *suspectpb.ReleaseRequest:
		return s.release(ctx, typed)
	}
	return nil, wire.Fail(wire.FailureUnknownMethod, method)
}
