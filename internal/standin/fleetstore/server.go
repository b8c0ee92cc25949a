// Package fleetstore implements a fake of the metadata store of the users'
// platform, following the platform's protocol documentation. It simulates the
// failures of that store: outages, slow answers, lost answers, writes that take
// effect late, and a compacted history.
package fleetstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// Fault describes the failures injected into calls. The zero value injects none.
type Fault struct {
	Unavailable      bool          // calls get status 503 and have no effect
	NoAnswer         bool          // calls get no answer and have no effect
	Delay            time.Duration // time before each call is carried out or refused
	LoseWriteAnswers bool          // transactions take effect, but their answer is lost
	WriteDelay       time.Duration // time before a transaction under LoseWriteAnswers takes effect
}

// Server serves the HTTP API of the metadata store. It implements http.Handler
// and is safe for concurrent use.
type Server struct {
	store *metastoretest.Store
	mux   *http.ServeMux

	mu          sync.Mutex
	fault       Fault
	era         int64 // number of restores
	callsByPath map[string]int
}

// New returns a server whose data is in store.
func New(store *metastoretest.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux(), callsByPath: map[string]int{}}
	s.mux.HandleFunc("GET /redwingknot/kv-key", s.serveGet)
	s.mux.HandleFunc("GET /redwingknot/kv-range", s.serveList)
	s.mux.HandleFunc("GET /redwingknot/kv-watch", s.serveWatch)
	s.mux.HandleFunc("POST /redwingknot/kv-txn", s.serveTxn)
	s.mux.HandleFunc("POST /redwingknot/kv-lease", s.serveGrant)
	s.mux.HandleFunc("POST /redwingknot/kv-keep/{id}", s.serveKeepAlive)
	s.mux.HandleFunc("DELETE /redwingknot/kv-lease-end/{id}", s.serveRevoke)
	return s
}

// SetFault replaces the fault that applies to the calls from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Restore brings the store back from an older copy of its content, in the next era.
func (s *Server) Restore(c metastoretest.Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Restore(c)
	s.era++
}

// eraWriter writes an answer with the era that is present when the answer begins.
type eraWriter struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.server.mu.Lock()
	era := w.server.era
	w.server.mu.Unlock()
	if era > 0 && !w.begun {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Calls returns the number of calls received by URL path, including those that
// a fault hit.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for path, n := range s.callsByPath {
		calls[path] = n
	}
	return calls
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(plain http.ResponseWriter, r *http.Request) {
	w := &eraWriter{ResponseWriter: plain, server: s}
	s.mu.Lock()
	f := s.fault
	s.callsByPath[r.URL.Path]++
	s.mu.Unlock()
	if f.NoAnswer {
		// net/http notices that the client has disconnected only after the body
		// is read.
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
		s.mux.ServeHTTP(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Rewrite returns the value of an entry as a client sees it.
type Rewrite func(key string, value []byte) []byte

// rewriteKey is the key of a Rewrite in the context of a call.
type rewriteKey struct{}

// Handler returns a handler that serves the same content as s, with the values of entries
// rewritten.
func (s *Server) Handler(rewrite Rewrite) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), rewriteKey{}, rewrite)))
	})
}

// discardWriter is the http.ResponseWriter of an answer that is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// wireEntry is an entry, or its removal, as JSON.
type wireEntry struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
	StoreRevision  int64  `json:"store_revision,omitempty"`
}

// newWireEntry returns an entry as the client of r sees it.
func newWireEntry(r *http.Request, e metastore.Entry) wireEntry {
	value := e.Value
	if rewrite, ok := r.Context().Value(rewriteKey{}).(Rewrite); ok && len(value) > 0 {
		value = rewrite(e.Key, value)
	}
	return wireEntry{Key: e.Key, Value: value, Revision: e.ModRevision, CreateRevision: e.CreateRevision, Lease: int64(e.Lease)}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	e, err := s.store.Get(r.URL.Query().Get("key"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, wireEntry{StoreRevision: s.store.Revision()})
		return
	}
	item := newWireEntry(r, e)
	item.StoreRevision = s.store.Revision()
	writeJSON(w, http.StatusOK, item)
}

// pageSize is the maximum number of items of one answer. It is small so that
// tests read more than one page.
const pageSize = 3

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	from := max(prefix, r.URL.Query().Get("after")+"\x00")
	entries, total, revision := s.store.Range(from, prefix+"\xff", pageSize)
	items := []wireEntry{}
	for _, e := range entries {
		items = append(items, newWireEntry(r, e))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": total > len(items), "store_revision": revision})
}

// serveWatch waits up to wait_ms for the first change after a revision and
// answers with it, or with no events if there is none. It answers 410 Gone if the
// watch can't start at that revision or the store ends it.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
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
	events := []wireEntry{}
	change, ok := <-changes
	if !ok && ctx.Err() == nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	revision := after
	if ok {
		item := newWireEntry(r, change.Entry)
		item.Removed = change.Deleted
		events = append(events, item)
		revision = item.Revision
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
}

// txnRequest is a transaction whose writes and removals take effect if the
// expected revisions are current.
type txnRequest struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Writes []wireEntry `json:"writes"`
	Remove []string    `json:"remove"`
}

const (
	// maxTxnEntries is the number of entries that a transaction may have.
	maxTxnEntries = 32
	// maxKeyBytes is the length of the longest key.
	maxKeyBytes = 200
)

// hasLongKey reports whether one of the keys of a transaction is too long.
func (t *txnRequest) hasLongKey() bool {
	keys := slices.Clone(t.Remove)
	for _, e := range t.Expected {
		keys = append(keys, e.Key)
	}
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
	}
	return slices.ContainsFunc(keys, func(key string) bool { return len(key) > maxKeyBytes })
}

// serveTxn carries out a transaction with exactly one write or removal and at
// most one expected revision, or with expected revisions only. It refuses others
// with 400 Bad Request.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	err := json.NewDecoder(r.Body).Decode(&req)
	changes := len(req.Writes) + len(req.Remove)
	switch {
	case err != nil || changes > 1 || changes+len(req.Expected) > maxTxnEntries || req.hasLongKey():
		w.WriteHeader(http.StatusBadRequest)
		return
	case changes == 0:
		s.serveCheck(w, req)
		return
	case len(req.Expected) > 1:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, err := s.applyTxn(req)
	switch {
	case metastore.IsCause(err, metastore.CauseLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []wireEntry{}})
	default:
		writeJSON(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

// serveCheck answers a transaction that writes nothing.
func (s *Server) serveCheck(w http.ResponseWriter, req txnRequest) {
	revisions := map[string]int64{}
	for _, e := range req.Expected {
		revisions[e.Key] = e.Revision
	}
	if !s.store.CheckRevisions(revisions) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []wireEntry{}})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.store.Revision()})
}

// applyTxn carries out a transaction. It returns the revision of a write, or the
// store's revision before a removal.
func (s *Server) applyTxn(req txnRequest) (int64, error) {
	expected := int64(0)
	if len(req.Expected) == 1 {
		expected = req.Expected[0].Revision
	}
	if len(req.Remove) == 1 {
		return s.store.Revision(), s.store.Delete(req.Remove[0], expected)
	}
	write := req.Writes[0]
	if expected == 0 {
		return s.store.Create(write.Key, write.Value, metastore.LeaseID(write.Lease))
	}
	return s.store.Swap(write.Key, write.Value, expected, metastore.LeaseID(write.Lease))
}

// leaseMessage is the request and the answer of the lease calls.
type leaseMessage struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttl_ms,omitempty"`
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.store.Grant(time.Duration(req.TTLMs) * time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, leaseMessage{Lease: int64(id), TTLMs: req.TTLMs})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	ttl, err := s.store.KeepAlive(pathLeaseID(r))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, leaseMessage{TTLMs: ttl.Milliseconds()})
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Revoke(pathLeaseID(r)); err != nil {
		w.WriteHeader(http.StatusNotFound)
	}
}

// pathLeaseID returns the lease ID in the URL path, or 0 if it isn't a number.
func pathLeaseID(r *http.Request) metastore.LeaseID {
	id, err := strconv.ParseInt(strings.TrimSpace(r.PathValue("id")), 10, 64)
	if err != nil {
		return 0
	}
	return metastore.LeaseID(id)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected and can't be told.
	_ = json.NewEncoder(w).Encode(body)
}
