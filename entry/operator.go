package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"redwingknot/event"
	"redwingknot/instance"
	"redwingknot/metric"
	"redwingknot/note"
	"redwingknot/operator"
)

// noteTimeout bounds the submission of a note.
const noteTimeout = 10 * time.Second

// routes are the paths of callers, operators and the platform's checks.
func (e *Entry) routes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", metric.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.serveReady)
	o := r.PathPrefix("/operator").Subrouter()
	o.Use(e.serve.RequireOperator)
	o.HandleFunc("/notes", e.submitNote).Methods(http.MethodPost)
	o.HandleFunc("/notes/{number}", e.showNote).Methods(http.MethodGet)
	o.HandleFunc("/status", e.serveStatus).Methods(http.MethodGet)
	o.HandleFunc("/explain/request/{id}", e.serve.ServeTrace).Methods(http.MethodGet)
	o.HandleFunc("/explain/endpoint/{name}", e.explainEndpoint).Methods(http.MethodGet)
	e.serve.Routes(r)
	return r
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() || e.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Entry) submitNote(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, operator.NoteAnswer{Error: "base is no number"})
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, note.MaxBytes+1))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, operator.NoteAnswer{Error: "the note is larger than the limit"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), noteTimeout)
	defer cancel()
	head, err := e.book.Submit(ctx, base, raw)
	if err != nil {
		event.NoteRefused.Log(e.log, slog.Any("error", err))
		status, answer := noteRefusal(err)
		writeJSON(w, status, answer)
		return
	}
	event.NoteSubmitted.Log(e.log, slog.Uint64("head", head))
	writeJSON(w, http.StatusCreated, operator.NoteAnswer{Head: head})
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	_, lead := e.lead.FencingToken()
	s := operator.Status{
		Instance: e.o.ID, DataCentre: e.o.DataCentre, Head: e.book.Head(), Behind: e.spread.Lag(),
		Lead: lead, Ready: e.ready.Load(), DataCentres: e.dataCentres(r),
	}
	for _, m := range e.members.Members() {
		s.Instances = append(s.Instances, instanceStatus(m))
	}
	writeJSON(w, http.StatusOK, s)
}

func instanceStatus(m instance.Member) operator.InstanceStatus {
	return operator.InstanceStatus{ID: m.ID, DataCentre: m.DataCentre, Addr: m.Addr, Ready: m.Ready, Leaving: m.Leaving}
}

func (e *Entry) explainEndpoint(w http.ResponseWriter, r *http.Request) {
	state := e.book.State()
	name := mux.Vars(r)["name"]
	if state == nil {
		http.NotFound(w, r)
		return
	}
	ep, ok := state.Endpoints[name]
	if !ok {
		http.NotFound(w, r)
		return
	}
	report, reported := e.view.Report(name)
	writeJSON(w, http.StatusOK, operator.EndpointStatus{
		Endpoint: ep, Usable: e.view.Usable(name), Leaving: e.view.Leaving(name), Reported: reported, Report: report,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
