package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/note"
	"redwingknot/operator"
)

const (
	claimLog = "claims-"
	// markInterval is the time between two checks whether the whole data centre
	// has the head in force.
	markInterval = 200 * time.Millisecond
	// statusTimeout bounds the look at the marks of all data centres.
	statusTimeout = 2 * time.Second
)

// purposeClaims labels the calls to the platform for claims.
const purposeClaims metastore.Purpose = "claims"

// followNotes reads the log of notes while this instance is a follower; all
// other instances hear of notes from their peers.
func (e *Entry) followNotes(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.follows() {
			timer.Sleep(ctx, time.Second)
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
	go timer.Every(ctx, time.Second, func() {
		if !e.follows() {
			cancel()
		}
	})
	err := e.book.Follow(ctx)
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
		a.Other = conflict.Number
		return http.StatusConflict, a
	case metastore.IsUnknownOutcome(err):
		a.Unknown = true
		return http.StatusGatewayTimeout, a
	}
	return http.StatusServiceUnavailable, a
}

func (e *Entry) showNote(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["number"], 10, 64)
	raw, ok := e.book.NoteText(number)
	if err != nil || !ok {
		http.Error(w, "this instance does not keep the text of that note", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(raw)
}

// dataCentres returns what the marks say of every data centre. Without the
// platform nothing is claimed.
func (e *Entry) dataCentres(r *http.Request) []operator.DataCentreStatus {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	marks, err := note.Marks(ctx, e.kv)
	heads := map[string]uint64{}
	for _, m := range marks {
		heads[m.DataCentre] = m.Head
	}
	var list []operator.DataCentreStatus
	for _, name := range dataCentreNames(e.book.State()) {
		list = append(list, operator.DataCentreStatus{
			Name: name, Known: err == nil, InForce: heads[name], Reachable: e.members.IsReachable(name),
		})
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
