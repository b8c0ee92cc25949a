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

// keptTraces is how many ended requests an instance can explain.
const keptTraces = 1024

// Trace is what an instance did for one request and why.
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

// AttemptTrace is one attempt of a request.
type AttemptTrace struct {
	Endpoint     string
	Expected     time.Duration // to first token
	Queue        time.Duration
	CachedPieces int
	Pieces       int
	BringBack    bool
	FirstToken   time.Duration // zero if none came
	Outcome      string
	Considered   []route.Candidate `json:",omitempty"`
}

// traces keeps the last requests of an instance. It is safe for concurrent use.
type traces struct {
	mu   sync.Mutex
	byID map[string]*Trace
	ring [keptTraces]string
	next int
}

func newTraces() *traces { return &traces{byID: map[string]*Trace{}} }

func (t *traces) add(tr *Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.ring[t.next])
	t.ring[t.next] = tr.Request
	t.byID[tr.Request] = tr
	t.next = (t.next + 1) % keptTraces
}

func (t *traces) find(request string) (*Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr, ok := t.byID[request]
	return tr, ok
}

// RequireOperator lets only requests with the operators' token through.
func (s *Server) RequireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.auth.operator(r); err != nil {
			writeRefusal(w, asRefusal(err), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeTrace answers an operator with the trace of a request.
func (s *Server) ServeTrace(w http.ResponseWriter, r *http.Request) {
	tr, ok := s.traces.find(mux.Vars(r)["id"])
	if !ok {
		http.Error(w, "this instance does not remember the request", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(tr)
}
