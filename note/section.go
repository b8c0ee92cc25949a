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

// kindHandler decodes, applies and validates the objects of one kind. The table of a
// kind is its map in State.
type kindHandler interface {
	kind() Kind
	// specType returns the struct type that an object is decoded to.
	specType() reflect.Type
	// tryDecode decodes an object and returns the error if a field has the wrong type.
	tryDecode(n *yaml.Node) error
	// applyChange applies a change to the kind's table in s, which must not be shared
	// with another state; the head of s is the number of the note. It returns the reason if
	// the change can't be applied.
	applyChange(s *State, change ObjectChange) (reason string)
	// cloneTable replaces the kind's table in s by a copy.
	cloneTable(s *State)
	// checkObject validates one object in s and returns the reasons of its faults.
	// An object that does not exist has none.
	checkObject(s *State, name string) []string
	// checkAll validates all objects of the kind in s and reports each fault.
	checkAll(s *State, report func(name, reason string))
}

// reference names an object that another object requires.
type reference struct {
	kind Kind
	name string
}

// kindHandlerOf implements kindHandler for objects of type T, whose form in a note
// is the type S.
type kindHandlerOf[T, S any] struct {
	objectKind Kind
	table      func(*State) *map[string]T
	toSpec     func(T) S
	fromSpec   func(S) T
	onSet      func(object *T, old T, number uint64) // called before the note with the number sets an object; nil if nothing is recorded
	validate   func(*faultList, T)
	references func(*State, *faultList, T) []reference
}

func (h *kindHandlerOf[T, S]) kind() Kind             { return h.objectKind }
func (h *kindHandlerOf[T, S]) specType() reflect.Type { return reflect.TypeFor[S]() }
func (h *kindHandlerOf[T, S]) cloneTable(s *State)    { t := h.table(s); *t = maps.Clone(*t) }

func (h *kindHandlerOf[T, S]) tryDecode(n *yaml.Node) error {
	var spec S
	return n.Decode(&spec)
}

func (h *kindHandlerOf[T, S]) applyChange(s *State, change ObjectChange) string {
	table := *h.table(s)
	old, exists := table[change.Name]
	if change.Verb == Add && exists {
		return fmt.Sprintf("%s %q exists already", change.Kind, change.Name)
	}
	if change.Verb != Add && !exists {
		return fmt.Sprintf("%s %q does not exist", change.Kind, change.Name)
	}
	if change.Verb == Withdraw {
		delete(table, change.Name)
		return ""
	}
	spec := h.toSpec(old) // a change keeps the values of the fields that it does not give
	if err := change.node.Decode(&spec); err != nil {
		return err.Error()
	}
	object := h.fromSpec(spec)
	if h.onSet != nil {
		h.onSet(&object, old, s.Head)
	}
	table[change.Name] = object
	return ""
}

func (h *kindHandlerOf[T, S]) checkObject(s *State, name string) []string {
	object, ok := (*h.table(s))[name]
	if !ok {
		return nil
	}
	var faults faultList
	h.validate(&faults, object)
	for _, r := range h.references(s, &faults, object) {
		if !s.has(r) {
			faults.addf("%s %q needs %s %q, which does not exist", h.objectKind, name, r.kind, r.name)
		}
	}
	return faults
}

func (h *kindHandlerOf[T, S]) checkAll(s *State, report func(name, reason string)) {
	for name := range *h.table(s) {
		for _, reason := range h.checkObject(s, name) {
			report(name, reason)
		}
	}
}

// faultList collects the reasons of faults in one object.
type faultList []string

// addf adds a formatted reason.
func (l *faultList) addf(format string, args ...any) {
	*l = append(*l, fmt.Sprintf(format, args...))
}

// checkRange adds a fault if v is not from low to high.
func (l *faultList) checkRange(field string, v, low, high float64) {
	if !(v >= low && v <= high) { // this form rejects NaN, too
		l.addf("%s must be from %g to %g, not %g", field, low, high, v)
	}
}

// checkName adds a fault if v is not a valid name.
func (l *faultList) checkName(field, v string) {
	if !namePattern.MatchString(v) {
		l.addf("%s %q is no valid name", field, v)
	}
}

// checkURL adds a fault if v is not an http or https URL with a host.
func (l *faultList) checkURL(v string) {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		l.addf("url %q is no http address", v)
	}
}

// checkUnique adds a fault for each value that occurs earlier in the list.
func (l *faultList) checkUnique(label string, values []string) {
	for i, v := range values {
		if slices.Contains(values[:i], v) {
			l.addf("%s %q is listed twice", label, v)
		}
	}
}

// has reports whether the referenced object exists. Only models, adapters,
// classes and services can be referenced.
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

// referencesTo returns references to the named objects of kind k.
func referencesTo(k Kind, names ...string) []reference {
	refs := make([]reference, len(names))
	for i, n := range names {
		refs[i] = reference{k, n}
	}
	return refs
}

// identity returns v. It is the conversion for objects whose form in a note is their
// own type.
func identity[T any](v T) T { return v }

// The maximum values of the numbers in a note, and the length of a token hash.
const (
	maxPieceBytes  = 1 << 20
	maxBlockBytes  = 16 << 30
	maxWorth       = 1e6
	maxDeadline    = 24 * time.Hour
	maxLoadsAtOnce = 1000
	maxRate        = 1e6 // requests per second; also requests in a burst
	maxSlots       = 1 << 16
	maxStoreBytes  = 1 << 50
	maxLinkRate    = 1 << 40 // bytes per second
	maxLinkDelay   = 10 * time.Second
	tokenHashBytes = 32
)

// kindHandlers holds the handler of each kind.
var kindHandlers = map[Kind]kindHandler{
	Models: &kindHandlerOf[Model, Model]{
		objectKind: Models, table: func(s *State) *map[string]Model { return &s.Models },
		toSpec: identity[Model], fromSpec: identity[Model], onSet: recordModelVersion, validate: validateModel,
		references: func(*State, *faultList, Model) []reference { return nil },
	},
	Adapters: &kindHandlerOf[Adapter, Adapter]{
		objectKind: Adapters, table: func(s *State) *map[string]Adapter { return &s.Adapters },
		toSpec: identity[Adapter], fromSpec: identity[Adapter], onSet: recordAdapterVersion,
		validate:   func(l *faultList, a Adapter) { l.checkName("version", a.Version) },
		references: func(_ *State, _ *faultList, a Adapter) []reference { return referencesTo(Models, a.Model) },
	},
	Classes: &kindHandlerOf[contract.Class, classSpec]{
		objectKind: Classes, table: func(s *State) *map[string]contract.Class { return &s.Classes },
		toSpec:     func(c contract.Class) classSpec { return classSpec(c) },
		fromSpec:   func(c classSpec) contract.Class { return contract.Class(c) },
		validate:   validateClass,
		references: func(*State, *faultList, contract.Class) []reference { return nil },
	},
	Services: &kindHandlerOf[Service, serviceSpec]{
		objectKind: Services, table: func(s *State) *map[string]Service { return &s.Services },
		toSpec: serviceToSpec, fromSpec: serviceFromSpec, onSet: recordServiceModel, validate: validateService, references: serviceReferences,
	},
	Teams: &kindHandlerOf[Team, Team]{
		objectKind: Teams, table: func(s *State) *map[string]Team { return &s.Teams },
		toSpec: identity[Team], fromSpec: identity[Team], validate: validateTeam,
		references: func(_ *State, _ *faultList, t Team) []reference {
			return append(referencesTo(Services, t.Services...), referencesTo(Classes, t.Classes...)...)
		},
	},
	Endpoints: &kindHandlerOf[Endpoint, Endpoint]{
		objectKind: Endpoints, table: func(s *State) *map[string]Endpoint { return &s.Endpoints },
		toSpec: identity[Endpoint], fromSpec: identity[Endpoint], validate: validateEndpoint,
		references: func(_ *State, _ *faultList, e Endpoint) []reference { return referencesTo(Services, e.Service) },
	},
	Stores: &kindHandlerOf[Store, Store]{
		objectKind: Stores, table: func(s *State) *map[string]Store { return &s.Stores },
		toSpec: identity[Store], fromSpec: identity[Store], validate: validateStore,
		references: func(*State, *faultList, Store) []reference { return nil },
	},
}

// classSpec is the form of a contract.Class in a note.
type classSpec struct {
	Name     string        `yaml:"name"`
	Worth    float64       `yaml:"worth"`
	FirstIn  time.Duration `yaml:"firstIn"`
	Deadline time.Duration `yaml:"deadline"`
}

// serviceSpec is the form of a Service in a note.
type serviceSpec struct {
	Name        string      `yaml:"name"`
	Kind        ServiceKind `yaml:"kind"`
	Model       string      `yaml:"model"`
	Adapters    []string    `yaml:"adapters"`
	LoadsAtOnce int         `yaml:"loadsAtOnce"`
	Calls       []callSpec  `yaml:"calls"`
}

// callSpec is the form of a Call in a note. Idempotency has no default, because a
// call wrongly taken as idempotent would be executed repeatedly.
type callSpec struct {
	Method      string `yaml:"method"`
	Path        string `yaml:"path"`
	Class       string `yaml:"class"`
	Idempotency string `yaml:"idempotency"`
}

// The values of callSpec.Idempotency.
const (
	specIdempotent    = "idempotent"
	specNonIdempotent = "non-idempotent"
)

// serviceToSpec returns the form of a service in a note.
func serviceToSpec(s Service) serviceSpec {
	spec := serviceSpec{Name: s.Name, Kind: s.Kind, Model: s.Model, Adapters: s.Adapters, LoadsAtOnce: s.LoadsAtOnce}
	for _, c := range s.Calls {
		idempotency := specIdempotent
		if c.Idempotency == contract.NonIdempotent {
			idempotency = specNonIdempotent
		}
		spec.Calls = append(spec.Calls, callSpec{c.Method, c.Path, c.Class, idempotency})
	}
	return spec
}

// invalidIdempotency marks a call with an unknown idempotency value until
// validateCall reports it.
const invalidIdempotency contract.Idempotency = -1

// serviceFromSpec returns the service that a note describes.
func serviceFromSpec(spec serviceSpec) Service {
	s := Service{Name: spec.Name, Kind: spec.Kind, Model: spec.Model, Adapters: spec.Adapters, LoadsAtOnce: spec.LoadsAtOnce}
	for _, c := range spec.Calls {
		idempotency := invalidIdempotency
		switch c.Idempotency {
		case specIdempotent:
			idempotency = contract.Idempotent
		case specNonIdempotent:
			idempotency = contract.NonIdempotent
		}
		s.Calls = append(s.Calls, Call{c.Method, c.Path, c.Class, idempotency})
	}
	return s
}

// recordModelVersion records which note set the model's version, if this one does.
func recordModelVersion(m *Model, old Model, number uint64) {
	if m.Version != old.Version {
		m.VersionSetBy = number
	}
}

// recordAdapterVersion is recordModelVersion for an adapter.
func recordAdapterVersion(a *Adapter, old Adapter, number uint64) {
	if a.Version != old.Version {
		a.VersionSetBy = number
	}
}

// recordServiceModel records which note set the service's model, if this one does, and else
// which one did.
func recordServiceModel(s *Service, old Service, number uint64) {
	s.ModelSetBy = old.ModelSetBy
	if s.Model != old.Model {
		s.ModelSetBy = number
	}
}

func validateModel(l *faultList, m Model) {
	l.checkName("version", m.Version)
	l.checkRange("pieceBytes", float64(m.PieceBytes), 1, maxPieceBytes)
	l.checkRange("blockBytes", float64(m.BlockBytes), 1, maxBlockBytes)
}

func validateClass(l *faultList, c contract.Class) {
	l.checkRange("worth", c.Worth, math.SmallestNonzeroFloat64, maxWorth)
	l.checkRange("firstIn in seconds", c.FirstIn.Seconds(), time.Millisecond.Seconds(), maxDeadline.Seconds())
	l.checkRange("deadline in seconds", c.Deadline.Seconds(), time.Millisecond.Seconds(), maxDeadline.Seconds())
	if c.Deadline < c.FirstIn {
		l.addf("the deadline %v is before firstIn %v", c.Deadline, c.FirstIn)
	}
}

func validateService(l *faultList, s Service) {
	switch s.Kind {
	case KindModel:
		l.checkRange("loadsAtOnce", float64(s.LoadsAtOnce), 1, maxLoadsAtOnce)
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
	l.checkUnique("adapter", s.Adapters)
	var calls []string
	for _, c := range s.Calls {
		validateCall(l, c)
		calls = append(calls, c.Method+" "+c.Path)
	}
	l.checkUnique("call", calls)
}

// allowedMethods lists the HTTP methods that a call may have.
var allowedMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func validateCall(l *faultList, c Call) {
	if !slices.Contains(allowedMethods, c.Method) {
		l.addf("method %q is not one of %s", c.Method, strings.Join(allowedMethods, ", "))
	}
	if !strings.HasPrefix(c.Path, "/") {
		l.addf("path %q must start with /", c.Path)
	}
	if c.Idempotency == invalidIdempotency {
		l.addf("idempotency of %s %s must be %q or %q", c.Method, c.Path, specIdempotent, specNonIdempotent)
	}
}

// serviceReferences returns the objects that a service requires, and adds a fault
// for each adapter that belongs to another model.
func serviceReferences(s *State, l *faultList, service Service) []reference {
	var refs []reference
	if service.Kind == KindModel {
		refs = append(referencesTo(Models, service.Model), referencesTo(Adapters, service.Adapters...)...)
	}
	for _, name := range service.Adapters {
		if a, ok := s.Adapters[name]; ok && a.Model != service.Model {
			l.addf("services %q lists adapter %q, which is for model %q", service.Name, name, a.Model)
		}
	}
	for _, c := range service.Calls {
		refs = append(refs, reference{Classes, c.Class})
	}
	return refs
}

func validateTeam(l *faultList, t Team) {
	if raw, err := hex.DecodeString(t.TokenHash); err != nil || len(raw) != tokenHashBytes {
		l.addf("tokenHash must be %d bytes in hex", tokenHashBytes)
	}
	l.checkRange("rate", t.Rate, math.SmallestNonzeroFloat64, maxRate)
	l.checkRange("burst", t.Burst, 1, maxRate)
	l.checkUnique("service", t.Services)
	l.checkUnique("class", t.Classes)
}

func validateEndpoint(l *faultList, e Endpoint) {
	l.checkName("dataCentre", e.DataCentre)
	l.checkURL(e.URL)
	l.checkRange("slots", float64(e.Slots), 1, maxSlots)
}

func validateStore(l *faultList, s Store) {
	l.checkName("dataCentre", s.DataCentre)
	l.checkURL(s.URL)
	l.checkRange("memoryBytes", float64(s.MemoryBytes), 0, maxStoreBytes)
	l.checkRange("diskBytes", float64(s.DiskBytes), 0, maxStoreBytes)
	l.checkRange("linkRate", float64(s.LinkRate), 1, maxLinkRate)
	l.checkRange("linkDelay in seconds", s.LinkDelay.Seconds(), 0, maxLinkDelay.Seconds())
}
