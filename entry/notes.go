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
	// claimLogPrefix, followed by a shard's number, is the name of its log of claims.
	claimLogPrefix = "claims-"
	// markInterval is the time between two checks of whether all instances of the data
	// centre have the head in force.
	markInterval = 200 * time.Millisecond
	// marksTimeout bounds a read of the in-force marks of all data centres and a write
	// of this one's.
	marksTimeout = 2 * time.Second
)

// purposeClaims labels the calls to the platform for the logs of claims.
const purposeClaims metastore.Purpose = "claims"

// followNotes reads the log of notes from the platform while this instance is one of the
// followers of its data centre. All other instances get the notes from their peers.
func (e *Entry) followNotes(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.isNoteFollower() {
			timer.Sleep(ctx, time.Second)
			continue
		}
		if err := e.followLog(ctx); err != nil {
			return err
		}
	}
	return nil
}

// followLog reads the log of notes until ctx ends or this instance is no longer a
// follower. In both cases it returns nil.
func (e *Entry) followLog(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go timer.Every(ctx, time.Second, func() {
		if !e.isNoteFollower() {
			cancel()
		}
	})
	err := e.book.Follow(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// applyConfig applies each new configuration to the services and their routers. With the
// first one, the instance becomes ready.
func (e *Entry) applyConfig(ctx context.Context) error {
	for {
		changed := e.book.Changed()
		if state := e.book.State(); state != nil && state.Head > 0 {
			e.services.Apply(state)
			e.appliedHead.Store(state.Head)
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

// becomeReady marks the instance as ready unless it is already.
func (e *Entry) becomeReady() {
	if e.ready.CompareAndSwap(false, true) {
		e.members.SetReady(true)
		event.InstanceReady.Log(e.log)
	}
}

// noteErrorAnswer returns the HTTP status and the answer for a note whose submission
// returned err.
func noteErrorAnswer(err error) (int, operator.NoteAnswer) {
	answer := operator.NoteAnswer{Error: err.Error()}
	var invalid *note.InvalidError
	var conflict *note.ConflictError
	switch {
	case errors.As(err, &invalid):
		answer.Faults = invalid.Faults
		return http.StatusUnprocessableEntity, answer
	case errors.As(err, &conflict):
		answer.Other = conflict.Number
		return http.StatusConflict, answer
	case metastore.IsUnknownOutcome(err):
		answer.Unknown = true
		return http.StatusGatewayTimeout, answer
	}
	return http.StatusServiceUnavailable, answer
}

// serveNote answers with the text of the accepted note with the number in the path.
func (e *Entry) serveNote(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["number"], 10, 64)
	raw, ok := e.book.NoteText(number)
	if err != nil || !ok {
		http.Error(w, "this instance does not keep the text of that note", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(raw)
}

// dataCentreStatuses returns the status of every data centre that has endpoints, from the
// in-force marks. If the marks can't be read, no status is marked as known.
func (e *Entry) dataCentreStatuses(r *http.Request) []operator.DataCentreStatus {
	ctx, cancel := context.WithTimeout(r.Context(), marksTimeout)
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

// dataCentreNames returns the sorted names of the data centres that have endpoints in the
// configuration.
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
