package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/instance"
	"redwingknot/metric"
	"redwingknot/note"
	"redwingknot/operator"
)

// noteTimeout bounds the submission of a note.
const noteTimeout = 10 * time.Second

// routes returns the handler for the requests of callers and operators, for the platform's
// health and readiness checks, and for metrics.
func (e *Entry) routes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", metric.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.serveReady)
	operators := r.PathPrefix("/operator").Subrouter()
	operators.Use(e.server.RequireOperator)
	operators.HandleFunc("/notes", e.submitNote).Methods(http.MethodPost)
	operators.HandleFunc("/notes/{number}", e.serveNote).Methods(http.MethodGet)
	operators.HandleFunc("/status", e.serveStatus).Methods(http.MethodGet)
	operators.HandleFunc("/explain/request/{id}", e.server.ServeTrace).Methods(http.MethodGet)
	operators.HandleFunc("/explain/endpoint/{name}", e.explainEndpoint).Methods(http.MethodGet)
	e.server.RegisterRoutes(r)
	return r
}

// serveReady answers with status 503 until the instance is ready, and again while it
// drains.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() || e.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// submitNote handles the submission of a release note by an operator.
func (e *Entry) submitNote(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, operator.NoteAnswer{Error: "base is no number"})
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, note.MaxBytes+1))
	if err != nil {
		w.Header().Set("Connection", "close")
		writeJSON(w, http.StatusRequestEntityTooLarge, operator.NoteAnswer{Error: "the note is larger than the limit"})
		return
	}
	var refusal *contract.Refusal
	if err := e.server.CheckEnd(time.Now().Add(noteTimeout)); errors.As(err, &refusal) {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
		writeJSON(w, http.StatusServiceUnavailable, operator.NoteAnswer{Error: refusal.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), noteTimeout)
	defer cancel()
	head, err := e.book.Submit(ctx, base, raw)
	if err != nil {
		event.NoteRefused.Log(e.log, slog.Any("error", err))
		status, answer := noteErrorAnswer(err)
		writeJSON(w, status, answer)
		return
	}
	event.NoteSubmitted.Log(e.log, slog.Uint64("head", head))
	writeJSON(w, http.StatusCreated, operator.NoteAnswer{Head: head})
}

// serveStatus answers with the operator.Status of the deployment.
func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	_, isLeader := e.elector.FencingToken()
	status := operator.Status{
		Instance: e.opts.ID, DataCentre: e.opts.DataCentre, Head: e.book.Head(), Behind: e.replicator.Lag(),
		Lead: isLeader, Ready: e.ready.Load(), DataCentres: e.dataCentreStatuses(r),
	}
	for _, m := range e.members.Members() {
		status.Instances = append(status.Instances, instanceStatus(m))
	}
	writeJSON(w, http.StatusOK, status)
}

// instanceStatus converts a member of the membership.
func instanceStatus(m instance.Member) operator.InstanceStatus {
	return operator.InstanceStatus{ID: m.ID, DataCentre: m.DataCentre, Addr: m.Addr, Ready: m.Ready, Leaving: m.Leaving}
}

// explainEndpoint answers with the operator.EndpointStatus of the endpoint named in the
// path.
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
	report, reported := e.endpointView.Report(name)
	writeJSON(w, http.StatusOK, operator.EndpointStatus{
		Endpoint: ep, Usable: e.endpointView.Usable(name), Leaving: e.endpointView.Leaving(name), Reported: reported, Report: report,
	})
}

// writeJSON writes a response with v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
