package note

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"redwingknot/contract"
)

// section is what all kinds of object have in common.
type section interface {
	kind() Kind
	spec() reflect.Type
	// decodes reports whether the fields have the right types.
	decodes(n *yaml.Node) error
	// edit applies a change to the table of s, which belongs to the caller.
	edit(s *State, i Item) (reason string)
	// clone gives s a table of its own.
	clone(s *State)
	// check returns the faults of one object, or of all, in s.
	check(s *State, name string) []string
	checkAll(s *State, report func(name, reason string))
}

// reference names an object that another needs.
type reference struct {
	kind Kind
	name string
}

// sectionOf is the section of objects T that are written as S in a note.
type sectionOf[T, S any] struct {
	name  Kind
	table func(*State) *map[string]T
	write func(T) S
	read  func(S) T
	valid func(*faultList, T)
	needs func(*State, *faultList, T) []reference
}

func (d *sectionOf[T, S]) kind() Kind         { return d.name }
func (d *sectionOf[T, S]) spec() reflect.Type { return reflect.TypeFor[S]() }
func (d *sectionOf[T, S]) clone(s *State)     { t := d.table(s); *t = maps.Clone(*t) }

func (d *sectionOf[T, S]) decodes(n *yaml.Node) error {
	var spec S
	return n.Decode(&spec)
}

func (d *sectionOf[T, S]) edit(s *State, i Item) string {
	table := *d.table(s)
	old, exists := table[i.Name]
	if i.Verb == Add && exists {
		return fmt.Sprintf("%s %q exists already", i.Kind, i.Name)
	}
	if i.Verb != Add && !exists {
		return fmt.Sprintf("%s %q does not exist", i.Kind, i.Name)
	}
	if i.Verb == Withdraw {
		delete(table, i.Name)
		return ""
	}
	spec := d.write(old) // fields that a change does not give stay as they were
	if err := i.node.Decode(&spec); err != nil {
		return err.Error()
	}
	table[i.Name] = d.read(spec)
	return ""
}

func (d *sectionOf[T, S]) check(s *State, name string) []string {
	v, ok := (*d.table(s))[name]
	if !ok {
		return nil
	}
	var faults faultList
	d.valid(&faults, v)
	for _, r := range d.needs(s, &faults, v) {
		if !s.has(r) {
			faults.addf("%s %q needs %s %q, which does not exist", d.name, name, r.kind, r.name)
		}
	}
	return faults
}

func (d *sectionOf[T, S]) checkAll(s *State, report func(name, reason string)) {
	for name := range *d.table(s) {
		for _, reason := range d.check(s, name) {
			report(name, reason)
		}
	}
}

// faultList collects reasons.
type faultList []string

func (l *faultList) addf(format string, args ...any) {
	*l = append(*l, fmt.Sprintf(format, args...))
}

func (l *faultList) inRange(what string, v, low, high float64) {
	if !(v >= low && v <= high) { // NaN is out of range
		l.addf("%s must be from %g to %g, not %g", what, low, high, v)
	}
}

func (l *faultList) word(what, v string) {
	if !namePattern.MatchString(v) {
		l.addf("%s %q is no valid name", what, v)
	}
}

func (l *faultList) address(v string) {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		l.addf("url %q is no http address", v)
	}
}

func (l *faultList) unique(what string, values []string) {
	for i, v := range values {
		if slices.Contains(values[:i], v) {
			l.addf("%s %q is listed twice", what, v)
		}
	}
}

// has reports whether the object exists.
func (s *State) has(r reference) bool {
	var ok bool
	switch r.kind {
	case Models:
		_, ok = s.Models[r.name]
	case Adapters:
		_, ok = s.Adapters[r.name]
	case Classes:
		_, ok = s.Classes[r.name]
	case Services:
		_, ok = s.Services[r.name]
	}
	return ok
}

func references(k Kind, names ...string) []reference {
	refs := make([]reference, len(names))
	for i, n := range names {
		refs[i] = reference{k, n}
	}
	return refs
}

func same[T any](v T) T { return v }

// The bounds of the numbers in a note.
const (
	maxPieceBytes  = 1 << 20
	maxBlockBytes  = 16 << 30
	maxWorth       = 1e6
	maxDeadline    = 24 * time.Hour
	maxLoadsAtOnce = 1000
	maxRate        = 1e6
	maxSlots       = 1 << 16
	maxStoreBytes  = 1 << 50
	maxLinkRate    = 1 << 40
	maxLinkDelay   = 10 * time.Second
	tokenHashBytes = 32
)

var sections = map[Kind]section{
	Models: &sectionOf[Model, Model]{
		name: Models, table: func(s *State) *map[string]Model { return &s.Models },
		write: same[Model], read: same[Model], valid: validModel,
		needs: func(*State, *faultList, Model) []reference { return nil },
	},
	Adapters: &sectionOf[Adapter, Adapter]{
		name: Adapters, table: func(s *State) *map[string]Adapter { return &s.Adapters },
		write: same[Adapter], read: same[Adapter],
		valid: func(l *faultList, a Adapter) { l.word("version", a.Version) },
		needs: func(_ *State, _ *faultList, a Adapter) []reference { return references(Models, a.Model) },
	},
	Classes: &sectionOf[contract.Class, classSpec]{
		name: Classes, table: func(s *State) *map[string]contract.Class { return &s.Classes },
		write: func(c contract.Class) classSpec { return classSpec(c) },
		read:  func(c classSpec) contract.Class { return contract.Class(c) },
		valid: validClass,
		needs: func(*State, *faultList, contract.Class) []reference { return nil },
	},
	Services: &sectionOf[Service, serviceSpec]{
		name: Services, table: func(s *State) *map[string]Service { return &s.Services },
		write: writeService, read: readService, valid: validService, needs: needsOfService,
	},
	Teams: &sectionOf[Team, Team]{
		name: Teams, table: func(s *State) *map[string]Team { return &s.Teams },
		write: same[Team], read: same[Team], valid: validTeam,
		needs: func(_ *State, _ *faultList, t Team) []reference {
			return append(references(Services, t.Services...), references(Classes, t.Classes...)...)
		},
	},
	Endpoints: &sectionOf[Endpoint, Endpoint]{
		name: Endpoints, table: func(s *State) *map[string]Endpoint { return &s.Endpoints },
		write: same[Endpoint], read: same[Endpoint], valid: validEndpoint,
		needs: func(_ *State, _ *faultList, e Endpoint) []reference { return references(Services, e.Service) },
	},
	Stores: &sectionOf[Store, Store]{
		name: Stores, table: func(s *State) *map[string]Store { return &s.Stores },
		write: same[Store], read: same[Store], valid: validStore,
		needs: func(*State, *faultList, Store) []reference { return nil },
	},
}

// classSpec is a contract.Class as a note writes it.
type classSpec struct {
	Name     string        `yaml:"name"`
	Worth    float64       `yaml:"worth"`
	FirstIn  time.Duration `yaml:"firstIn"`
	Deadline time.Duration `yaml:"deadline"`
}

// serviceSpec is a Service as a note writes it.
type serviceSpec struct {
	Name        string      `yaml:"name"`
	Kind        ServiceKind `yaml:"kind"`
	Model       string      `yaml:"model"`
	Adapters    []string    `yaml:"adapters"`
	LoadsAtOnce int         `yaml:"loadsAtOnce"`
	Calls       []callSpec  `yaml:"calls"`
}

// callSpec is a Call as a note writes it. Idempotency has no default: the
// wrong one would repeat work.
type callSpec struct {
	Method      string `yaml:"method"`
	Path        string `yaml:"path"`
	Class       string `yaml:"class"`
	Idempotency string `yaml:"idempotency"`
}

const (
	wordIdempotent    = "idempotent"
	wordNonIdempotent = "non-idempotent"
)

func writeService(s Service) serviceSpec {
	spec := serviceSpec{Name: s.Name, Kind: s.Kind, Model: s.Model, Adapters: s.Adapters, LoadsAtOnce: s.LoadsAtOnce}
	for _, c := range s.Calls {
		word := wordIdempotent
		if c.Idempotency == contract.NonIdempotent {
			word = wordNonIdempotent
		}
		spec.Calls = append(spec.Calls, callSpec{c.Method, c.Path, c.Class, word})
	}
	return spec
}

// invalidIdempotency marks a call whose word was unknown until it is checked.
const invalidIdempotency contract.Idempotency = -1

func readService(spec serviceSpec) Service {
	s := Service{Name: spec.Name, Kind: spec.Kind, Model: spec.Model, Adapters: spec.Adapters, LoadsAtOnce: spec.LoadsAtOnce}
	for _, c := range spec.Calls {
		idempotency := invalidIdempotency
		switch c.Idempotency {
		case wordIdempotent:
			idempotency = contract.Idempotent
		case wordNonIdempotent:
			idempotency = contract.NonIdempotent
		}
		s.Calls = append(s.Calls, Call{c.Method, c.Path, c.Class, idempotency})
	}
	return s
}

func validModel(l *faultList, m Model) {
	l.word("version", m.Version)
	l.inRange("pieceBytes", float64(m.PieceBytes), 1, maxPieceBytes)
	l.inRange("blockBytes", float64(m.BlockBytes), 1, maxBlockBytes)
}

func validClass(l *faultList, c contract.Class) {
	l.inRange("worth", c.Worth, math.SmallestNonzeroFloat64, maxWorth)
	l.inRange("firstIn in seconds", c.FirstIn.Seconds(), time.Millisecond.Seconds(), maxDeadline.Seconds())
	l.inRange("deadline in seconds", c.Deadline.Seconds(), time.Millisecond.Seconds(), maxDeadline.Seconds())
	if c.Deadline < c.FirstIn {
		l.addf("the deadline %v is before firstIn %v", c.Deadline, c.FirstIn)
	}
}

func validService(l *faultList, s Service) {
	switch s.Kind {
	case KindModel:
		l.inRange("loadsAtOnce", float64(s.LoadsAtOnce), 1, maxLoadsAtOnce)
		if len(s.Calls) > 0 {
			l.addf("a service of a model has no calls")
		}
	case KindPlain:
		if s.Model != "" || len(s.Adapters) > 0 || s.LoadsAtOnce != 0 {
			l.addf("a plain service has no model, adapters or loadsAtOnce")
		}
		if len(s.Calls) == 0 {
			l.addf("a plain service needs calls")
		}
	default:
		l.addf("kind must be %q or %q, not %q", KindModel, KindPlain, s.Kind)
	}
	l.unique("adapter", s.Adapters)
	var calls []string
	for _, c := range s.Calls {
		validCall(l, c)
		calls = append(calls, c.Method+" "+c.Path)
	}
	l.unique("call", calls)
}

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func validCall(l *faultList, c Call) {
	if !slices.Contains(methods, c.Method) {
		l.addf("method %q is not one of %s", c.Method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(c.Path, "/") {
		l.addf("path %q must start with /", c.Path)
	}
	if c.Idempotency == invalidIdempotency {
		l.addf("idempotency of %s %s must be %q or %q", c.Method, c.Path, wordIdempotent, wordNonIdempotent)
	}
}

func needsOfService(s *State, l *faultList, v Service) []reference {
	var refs []reference
	if v.Kind == KindModel {
		refs = append(references(Models, v.Model), references(Adapters, v.Adapters...)...)
	}
	for _, name := range v.Adapters {
		if a, ok := s.Adapters[name]; ok && a.Model != v.Model {
			l.addf("services %q lists adapter %q, which is for model %q", v.Name, name, a.Model)
		}
	}
	for _, c := range v.Calls {
		refs = append(refs, reference{Classes, c.Class})
	}
	return refs
}

func validTeam(l *faultList, t Team) {
	if raw, err := hex.DecodeString(t.TokenHash); err != nil || len(raw) != tokenHashBytes {
		l.addf("tokenHash must be %d bytes in hex", tokenHashBytes)
	}
	l.inRange("rate", t.Rate, math.SmallestNonzeroFloat64, maxRate)
	l.inRange("burst", t.Burst, 1, maxRate)
	l.unique("service", t.Services)
	l.unique("class", t.Classes)
}

func validEndpoint(l *faultList, e Endpoint) {
	l.word("dataCentre", e.DataCentre)
	l.address(e.URL)
	l.inRange("slots", float64(e.Slots), 1, maxSlots)
}

func validStore(l *faultList, s Store) {
	l.word("dataCentre", s.DataCentre)
	l.address(s.URL)
	l.inRange("memoryBytes", float64(s.MemoryBytes), 0, maxStoreBytes)
	l.inRange("diskBytes", float64(s.DiskBytes), 0, maxStoreBytes)
	l.inRange("linkRate", float64(s.LinkRate), 1, maxLinkRate)
	l.inRange("linkDelay in seconds", s.LinkDelay.Seconds(), 0, maxLinkDelay.Seconds())
}
