// Package fleetstore is a stand-in of the metadata store on the users'
// machines, written from their protocol pages, with its failures: outages,
// slowness, answers that are lost, writes that take effect late, and a history
// that is dropped.
package fleetstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// Fault is how calls fare. The zero value is a healthy store.
type Fault struct {
	Unavailable      bool          // calls are answered 503 and do nothing
	NoAnswer         bool          // calls get no answer and do nothing
	Delay            time.Duration // before every answer
	LoseWriteAnswers bool          // writes are done and not answered
	WriteDelay       time.Duration // lost writes take effect only after it
}

// Server implements http.Handler.
type Server struct {
	store *metastoretest.Store
	mux   *http.ServeMux

	mu    sync.Mutex
	fault Fault
	calls map[string]int
}

// New returns a server of store.
func New(store *metastoretest.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux(), calls: map[string]int{}}
	s.mux.HandleFunc("GET /redwingknot/kv-key", s.get)
	s.mux.HandleFunc("GET /redwingknot/kv-range", s.list)
	s.mux.HandleFunc("GET /redwingknot/kv-watch", s.watch)
	s.mux.HandleFunc("POST /redwingknot/kv-txn", s.txn)
	s.mux.HandleFunc("POST /redwingknot/kv-lease", s.grant)
	s.mux.HandleFunc("POST /redwingknot/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /redwingknot/kv-lease-end/{id}", s.end)
	return s
}

// SetFault replaces the fault in force.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls by path.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.fault
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	if f.NoAnswer {
		// The caller's end is seen only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Delay)
	if f.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.LoseWriteAnswers && r.URL.Path == "/redwingknot/kv-txn" {
		time.Sleep(f.WriteDelay)
		s.mux.ServeHTTP(discard{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// discard is where a lost answer goes.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
	StoreRevision  int64  `json:"store_revision,omitempty"`
}

func encode(e metastore.Entry) item {
	return item{Key: e.Key, Value: e.Value, Revision: e.ModRevision, CreateRevision: e.CreateRevision, Lease: int64(e.Lease)}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	e, err := s.store.Get(r.URL.Query().Get("key"))
	if err != nil {
		reply(w, http.StatusNotFound, item{StoreRevision: s.store.Revision()})
		return
	}
	it := encode(e)
	it.StoreRevision = s.store.Revision()
	reply(w, http.StatusOK, it)
}

// page is the most items of one answer, small so that tests cross pages.
const page = 3

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	from := max(prefix, r.URL.Query().Get("after")+"\x00")
	entries, total, revision := s.store.Range(from, prefix+"\xff", page)
	items := []item{}
	for _, e := range entries {
		items = append(items, encode(e))
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": total > len(items), "store_revision": revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	prefix := q.Get("path_prefix")
	changes, err := s.store.Watch(ctx, prefix, prefix+"\xff", after)
	if err != nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []item{}
	c, ok := <-changes
	if !ok && ctx.Err() == nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	revision := after
	if ok {
		it := encode(c.Entry)
		it.Removed = c.Deleted
		events = append(events, it)
		revision = it.Revision
	}
	reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Writes []item   `json:"writes"`
	Remove []string `json:"remove"`
}

// txn carries out transactions of one key.
func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Writes)+len(t.Remove) != 1 || len(t.Expected) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, err := s.apply(t)
	switch {
	case metastore.IsCause(err, metastore.CauseLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
	default:
		reply(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

func (s *Server) apply(t txn) (int64, error) {
	expected := int64(0)
	if len(t.Expected) == 1 {
		expected = t.Expected[0].Revision
	}
	if len(t.Remove) == 1 {
		return s.store.Revision(), s.store.Delete(t.Remove[0], expected)
	}
	write := t.Writes[0]
	if expected == 0 {
		return s.store.Create(write.Key, write.Value, metastore.LeaseID(write.Lease))
	}
	return s.store.Swap(write.Key, write.Value, expected, metastore.LeaseID(write.Lease))
}

type lease struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttl_ms,omitempty"`
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var l lease
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.store.Grant(time.Duration(l.TTLMs) * time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply(w, http.StatusOK, lease{Lease: int64(id), TTLMs: l.TTLMs})
}

func (s *Server) keep(w http.ResponseWriter, r *http.Request) {
	ttl, err := s.store.KeepAlive(leaseID(r))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, lease{TTLMs: ttl.Milliseconds()})
}

func (s *Server) end(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Revoke(leaseID(r)); err != nil {
		w.WriteHeader(http.StatusNotFound)
	}
}

// leaseID returns the lease that a call names, 0 for what names none.
func leaseID(r *http.Request) metastore.LeaseID {
	id, err := strconv.ParseInt(strings.TrimSpace(r.PathValue("id")), 10, 64)
	if err != nil {
		return 0
	}
	return metastore.LeaseID(id)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone can't be told.
	_ = json.NewEncoder(w).Encode(body)
}
