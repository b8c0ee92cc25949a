package note

import "slices"

// NewState returns the empty configuration that precedes the first note.
func NewState() *State {
	return &State{}
}

// Check returns the *InvalidError that applying n to s would return, or nil if
// n can be applied.
func Check(s *State, n *Note) error {
	_, err := s.Apply(n)
	return err
}

// Apply returns the state that results from applying n to s, with the head
// s.Head+1. It does not modify s; the maps of kinds that n does not change are
// shared. The error is an *InvalidError with all faults.
func (s *State) Apply(n *Note) (*State, error) {
	next := *s
	next.Head++
	e := stateEditor{state: &next, clonedTables: map[Kind]bool{}}
	for _, change := range n.Changes {
		e.applyChange(change)
	}
	if len(e.faults) == 0 {
		e.checkObjects(n)
	}
	if len(e.faults) > 0 {
		return nil, newInvalidError(e.faults...)
	}
	return &next, nil
}

// stateEditor applies the changes of a note to a state that is not published yet.
type stateEditor struct {
	state        *State
	clonedTables map[Kind]bool // kinds whose table is no longer shared with the old state
	faults       []Fault
}

// applyChange applies one change and records the fault if it can't be applied.
func (e *stateEditor) applyChange(change ObjectChange) {
	h := kindHandlers[change.Kind]
	if !e.clonedTables[change.Kind] {
		e.state.ensureTable(change.Kind)
		h.cloneTable(e.state)
		e.clonedTables[change.Kind] = true
	}
	if reason := h.applyChange(e.state, change); reason != "" {
		e.faults = append(e.faults, Fault{Line: change.Line, Reason: reason})
	}
}

// checkObjects validates the objects that the note names. If the note changes or
// withdraws an object of a kind that other objects may refer to, it validates all
// objects; faults of objects that the note does not name are reported at the line
// of the last such change.
func (e *stateEditor) checkObjects(n *Note) {
	changedLines := map[objectID]int{}
	lastReferableLine := 0 // line of the last change or withdrawal of an object that others may refer to
	for _, change := range n.Changes {
		changedLines[objectID{change.Kind, change.Name}] = change.Line
		if change.Verb != Add && slices.Contains([]Kind{Models, Adapters, Classes, Services}, change.Kind) {
			lastReferableLine = max(lastReferableLine, change.Line)
		}
	}
	for _, change := range n.Changes {
		for _, reason := range kindHandlers[change.Kind].checkObject(e.state, change.Name) {
			e.faults = append(e.faults, Fault{Line: change.Line, Reason: reason})
		}
	}
	if lastReferableLine == 0 {
		return
	}
	for _, h := range kindHandlers {
		h.checkAll(e.state, func(name, reason string) {
			if _, changed := changedLines[objectID{h.kind(), name}]; !changed {
				e.faults = append(e.faults, Fault{Line: lastReferableLine, Reason: reason})
			}
		})
	}
}

// ensureTable allocates the table of a kind, which is its map in State, if it is nil.
func (s *State) ensureTable(k Kind) {
	switch k {
	case Models:
		ensureMap(&s.Models)
	case Adapters:
		ensureMap(&s.Adapters)
	case Classes:
		ensureMap(&s.Classes)
	case Services:
		ensureMap(&s.Services)
	case Teams:
		ensureMap(&s.Teams)
	case Endpoints:
		ensureMap(&s.Endpoints)
	case Stores:
		ensureMap(&s.Stores)
	}
}

// ensureMap allocates the map if it is nil.
func ensureMap[T any](m *map[string]T) {
	if *m == nil {
		*m = map[string]T{}
	}
}
