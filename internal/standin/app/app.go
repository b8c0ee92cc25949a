// Package appstandin implements a fake of the application behind a plain service.
// Calls that create certificates and signatures must run at most once per
// idempotency key; the application doesn't enforce this, but records each run for
// tests. Its roster lookup is idempotent.
package appstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// maxBodyBytes is the number of bytes of a request body that are read.
const maxBodyBytes = 1 << 20

// Run is one execution of a call that is not idempotent.
type Run struct {
	Key  string // value of the Idempotency-Key header
	Path string
	Body string
}

// Server is a fake application. It implements http.Handler.
type Server struct {
	router *mux.Router
	delay  time.Duration

	mu   sync.Mutex
	runs []Run
}

// New returns an application that waits delay before it answers a certificate,
// signature or roster call.
func New(delay time.Duration) *Server {
	s := &Server{delay: delay, router: mux.NewRouter()}
	s.router.HandleFunc("/certificates", s.serveCreate).Methods(http.MethodPost)
	s.router.HandleFunc("/signatures", s.serveCreate).Methods(http.MethodPost)
	s.router.HandleFunc("/roster/{name}", s.serveRoster).Methods(http.MethodGet)
	s.router.HandleFunc("/runs", s.serveRuns).Methods(http.MethodGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Runs returns the executions so far, in order of arrival.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// serveCreate handles a call that is not idempotent. It records the run and
// answers with the number of runs so far.
func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Key: r.Header.Get("Idempotency-Key"), Path: r.URL.Path, Body: string(body)})
	number := len(s.runs)
	s.mu.Unlock()
	time.Sleep(s.delay)
	writeJSON(w, http.StatusCreated, map[string]int{"number": number})
}

func (s *Server) serveRoster(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	writeJSON(w, http.StatusOK, map[string]string{"name": mux.Vars(r)["name"]})
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
