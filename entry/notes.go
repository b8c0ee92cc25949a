package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"redwingknot/event"
	"redwingknot/note"
	"redwingknot/operator"
	"redwingknot/platform"
)

const (
	noteLog  = "notes"
	claimLog = "claims-"
	// markInterval is the time between two checks whether the whole data centre
	// has the head in force.
	markInterval = 200 * time.Millisecond
	// statusTimeout bounds the look at the marks of all data centres.
	statusTimeout = 2 * time.Second
)

// Purposes of the calls to the platform.
const (
	purposeNotes  platform.Purpose = "notes"
	purposeClaims platform.Purpose = "claims"
	purposeMarks  platform.Purpose = "marks"
)

// followNotes reads the log of notes while this instance is a follower; all
// other instances hear of notes from their peers.
func (e *Entry) followNotes(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.follows() {
			sleep(ctx, time.Second)
			continue
		}
		if err := e.followWhile(ctx); err != nil {
			return err
		}
	}
	return nil
}

// followWhile follows the log until ctx ends or this instance is no follower.
func (e *Entry) followWhile(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go every(ctx, time.Second, func() {
		if !e.follows() {
			cancel()
		}
	})
	err := e.notes.Follow(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// applyConfig brings the routers to each new configuration. The instance is
// ready with the first.
func (e *Entry) applyConfig(ctx context.Context) error {
	for {
		changed := e.book.Changed()
		if state := e.book.State(); state != nil && state.Head > 0 {
			e.services.Apply(state)
			e.applied.Store(state.Head)
			event.ConfigApplied.Log(e.log, slog.Uint64("head", state.Head))
			e.becomeReady()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (e *Entry) becomeReady() {
	if e.ready.CompareAndSwap(false, true) {
		e.members.SetReady(true)
		event.InstanceReady.Log(e.log)
	}
}

// noteRefusal returns the status and the answer for a note not accepted.
func noteRefusal(err error) (int, operator.NoteAnswer) {
	a := operator.NoteAnswer{Error: err.Error()}
	var invalid *note.InvalidError
	var conflict *note.ConflictError
	switch {
	case errors.As(err, &invalid):
		a.Faults = invalid.Faults
		return http.StatusUnprocessableEntity, a
	case errors.As(err, &conflict):
		a.Other = conflict.Head
		return http.StatusConflict, a
	case platform.IsUnknown(err):
		a.Unknown = true
		return http.StatusGatewayTimeout, a
	}
	return http.StatusServiceUnavailable, a
}

func (e *Entry) showNote(w http.ResponseWriter, r *http.Request) {
	raw, err := e.readNote(r.Context(), mux.Vars(r)["number"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(raw)
}

// dataCentres returns what the marks say of every data centre in the
// configuration. Without the platform only this instance's own is known.
func (e *Entry) dataCentres(r *http.Request) []operator.DataCentreStatus {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	var list []operator.DataCentreStatus
	for _, name := range dataCentreNames(e.book.State()) {
		s := operator.DataCentreStatus{Name: name, Reachable: e.members.Reachable(name)}
		mark, err := note.InForce(ctx, e.kv, name)
		if err == nil {
			s.Known, s.InForce, s.Since = true, mark.Head, mark.At
		}
		list = append(list, s)
	}
	return list
}

func dataCentreNames(state *note.State) []string {
	if state == nil {
		return nil
	}
	seen := map[string]bool{}
	var names []string
	for _, ep := range state.Endpoints {
		if !seen[ep.DataCentre] {
			seen[ep.DataCentre] = true
			names = append(names, ep.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// contextWithTimeout bounds a request's own context.
func contextWithTimeout(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}
