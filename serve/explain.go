package serve

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"redwingknot/contract"
	"redwingknot/route"
)

// maxTraces is the number of ended requests whose traces an instance keeps.
const maxTraces = 1024

// Trace records what an instance did for one request and why.
type Trace struct {
	Request  string
	Team     string
	Service  string
	Class    string
	Started  time.Time
	Elapsed  time.Duration
	Attempts []AttemptTrace
	Refusal  *contract.Refusal `json:",omitempty"`
}

// AttemptTrace records one attempt of a request.
type AttemptTrace struct {
	Endpoint     string
	Expected     time.Duration     // expected time to first token
	Queue        time.Duration     // part of Expected spent queued
	CachedPieces int               // pieces of the prompt that the router took for cached
	Pieces       int               // full pieces of the prompt
	BringBack    bool              // the router chose to import blocks before sending
	FirstToken   time.Duration     // time to first token; zero if there was none
	Outcome      string            // "whole" if the answer is complete, otherwise the failure
	Considered   []route.Candidate `json:",omitempty"` // empty unless HeaderExplain was set
}

// traceStore keeps the traces of the last maxTraces requests. It is safe for
// concurrent use.
type traceStore struct {
	mu   sync.Mutex
	byID map[string]*Trace
	ring [maxTraces]string // identifiers of the requests in the order in which these ended
	next int               // index in ring that is overwritten next
}

func newTraceStore() *traceStore { return &traceStore{byID: map[string]*Trace{}} }

func (t *traceStore) add(tr *Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.ring[t.next])
	t.ring[t.next] = tr.Request
	t.byID[tr.Request] = tr
	t.next = (t.next + 1) % maxTraces
}

func (t *traceStore) find(requestID string) (*Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr, ok := t.byID[requestID]
	return tr, ok
}

// RequireOperator returns a handler that calls next for requests with the operators'
// token and refuses all others.
func (s *Server) RequireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.auth.checkOperator(r); err != nil {
			writeRefusal(w, asRefusal(err), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeTrace responds with the trace of the request whose identifier is the path
// variable id. The status is 404 if this instance does not have the trace.
func (s *Server) ServeTrace(w http.ResponseWriter, r *http.Request) {
	tr, ok := s.traces.find(mux.Vars(r)["id"])
	if !ok {
		http.Error(w, "this instance does not remember the request", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(tr)
}
