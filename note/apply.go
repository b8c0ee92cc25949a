package note

import "slices"

// NewState returns the configuration before the first note.
func NewState() *State {
	return &State{}
}

// Check returns the *InvalidError that applying n to s would give.
func Check(s *State, n *Note) error {
	_, err := s.Apply(n)
	return err
}

// Apply returns the state after n, which becomes number s.Head+1. The state s
// stays as it is; tables that n does not touch are shared. The error is an
// *InvalidError with all faults.
func (s *State) Apply(n *Note) (*State, error) {
	next := *s
	next.Head++
	e := editor{state: &next, cloned: map[Kind]bool{}}
	for _, i := range n.Changes {
		e.apply(i)
	}
	if len(e.faults) == 0 {
		e.check(n)
	}
	if len(e.faults) > 0 {
		return nil, invalid(e.faults...)
	}
	return &next, nil
}

// editor changes a state that nobody else sees yet.
type editor struct {
	state  *State
	cloned map[Kind]bool
	faults []Fault
}

func (e *editor) apply(i Item) {
	s := sections[i.Kind]
	if !e.cloned[i.Kind] {
		e.state.ensure(i.Kind)
		s.clone(e.state)
		e.cloned[i.Kind] = true
	}
	if reason := s.edit(e.state, i); reason != "" {
		e.faults = append(e.faults, Fault{Line: i.Line, Reason: reason})
	}
}

// check looks at the objects that the note names and, if others may refer to
// what it changed or withdrew, at all of them.
func (e *editor) check(n *Note) {
	line := map[objectID]int{}
	referred := 0
	for _, i := range n.Changes {
		line[objectID{i.Kind, i.Name}] = i.Line
		if i.Verb != Add && slices.Contains([]Kind{Models, Adapters, Classes, Services}, i.Kind) {
			referred = max(referred, i.Line)
		}
	}
	for _, i := range n.Changes {
		for _, reason := range sections[i.Kind].check(e.state, i.Name) {
			e.faults = append(e.faults, Fault{Line: i.Line, Reason: reason})
		}
	}
	if referred == 0 {
		return
	}
	for _, s := range sections {
		s.checkAll(e.state, func(name, reason string) {
			if _, named := line[objectID{s.kind(), name}]; !named {
				e.faults = append(e.faults, Fault{Line: referred, Reason: reason})
			}
		})
	}
}

// ensure gives the table of a kind its map.
func (s *State) ensure(k Kind) {
	switch k {
	case Models:
		ensure(&s.Models)
	case Adapters:
		ensure(&s.Adapters)
	case Classes:
		ensure(&s.Classes)
	case Services:
		ensure(&s.Services)
	case Teams:
		ensure(&s.Teams)
	case Endpoints:
		ensure(&s.Endpoints)
	case Stores:
		ensure(&s.Stores)
	}
}

func ensure[T any](m *map[string]T) {
	if *m == nil {
		*m = map[string]T{}
	}
}
