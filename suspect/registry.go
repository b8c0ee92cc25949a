package suspect

import (
	"log/slog"
	"slices"
	"time"

	"redwingknot/internal/options"
)

// Defaults of Config.
const (
	defaultEndpointsToRefuse = 2
	defaultSuspectFor        = 10 * time.Minute
	defaultRefuseFor         = 24 * time.Hour
	defaultMaxEntries        = 4096
)

// Config sets up a Registry. Zero fields take defaults.
type Config struct {
	CrashedEndpointLimit int           // different endpoints crashed before the final refusal
	SuspicionTTL         time.Duration // a suspicion without a new crash ends after it
	RefusalTTL           time.Duration // a final refusal is remembered for it
	MaxEntries           int           // fingerprints kept
	Log                  *slog.Logger
}

func (c Config) withDefaults() Config {
	options.Default(&c.CrashedEndpointLimit, defaultEndpointsToRefuse)
	options.Default(&c.SuspicionTTL, defaultSuspectFor)
	options.Default(&c.RefusalTTL, defaultRefuseFor)
	options.Default(&c.MaxEntries, defaultMaxEntries)
	options.Default(&c.Log, slog.New(slog.DiscardHandler))
	return c
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts on a fingerprint.
const (
	Clear    Verdict = iota // as any other request
	RunAlone                // only with the data centre's slot, on an endpoint that runs nothing else
	Refused                 // never again
)

var verdictNames = [...]string{"clear", "run-alone", "refused"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Crash is one end of an endpoint's process. Several instances report the same
// crash, each with the requests that it had in flight there.
type Crash struct {
	Endpoint string
	Epoch    string // of the process that ended
}

// Answer tells how a request may run and which endpoints it has crashed.
type Answer struct {
	Verdict Verdict
	Crashed []string
}

// Registry is the state of the fingerprints whose home this instance is. It is
// pure: time comes in with each call. Not safe for concurrent use.
//
// An entry exists only after a crash. It is refused once crashes of
// CrashedEndpointLimit different endpoints are known, one of them while the
// request ran alone; crashes in company alone never refuse, since any request
// in flight there may be the cause.
type Registry struct {
	config  Config
	entries map[Fingerprint]*entry
}

type entry struct {
	crashes []Crash
	alone   bool // one of the crashes happened while it ran alone
	refused bool
	changed time.Time
}

// NewRegistry returns a registry without suspects.
func NewRegistry(c Config) *Registry {
	return &Registry{config: c.withDefaults(), entries: map[Fingerprint]*entry{}}
}

// Lookup returns how a request may run at now.
func (r *Registry) Lookup(f Fingerprint, now time.Time) Answer {
	e := r.live(f, now)
	if e == nil {
		return Answer{}
	}
	a := Answer{Verdict: RunAlone, Crashed: e.endpoints()}
	if e.refused {
		a.Verdict = Refused
	}
	return a
}

// RecordCrash records that f was in flight at a crash, alone or not.
func (r *Registry) RecordCrash(f Fingerprint, c Crash, alone bool, now time.Time) Answer {
	e := r.live(f, now)
	if e == nil {
		r.makeRoom(now)
		e = &entry{}
		r.entries[f] = e
	}
	e.add(c)
	e.alone = e.alone || alone
	e.refused = e.refused || e.alone && len(e.endpoints()) >= r.config.CrashedEndpointLimit
	e.changed = now
	return r.Lookup(f, now)
}

// RecordCleanRun records that f ran alone to its end, or well past its first token, and
// clears it. A run in company proves nothing of a suspect, and a final refusal
// stays.
func (r *Registry) RecordCleanRun(f Fingerprint, now time.Time) {
	if e := r.live(f, now); e != nil && !e.refused {
		delete(r.entries, f)
	}
}

// Len returns the number of fingerprints kept.
func (r *Registry) Len() int { return len(r.entries) }

func (r *Registry) live(f Fingerprint, now time.Time) *entry {
	e, ok := r.entries[f]
	if !ok {
		return nil
	}
	if now.Sub(e.changed) > r.lifetime(e) {
		delete(r.entries, f)
		return nil
	}
	return e
}

func (r *Registry) lifetime(e *entry) time.Duration {
	if e.refused {
		return r.config.RefusalTTL
	}
	return r.config.SuspicionTTL
}

// makeRoom drops what has ended and, if that frees nothing, the entry that
// changed first; suspects go before refusals.
func (r *Registry) makeRoom(now time.Time) {
	if len(r.entries) < r.config.MaxEntries {
		return
	}
	var oldest Fingerprint
	var found *entry
	for f, e := range r.entries {
		if now.Sub(e.changed) > r.lifetime(e) {
			delete(r.entries, f)
			continue
		}
		if found == nil || e.before(found) {
			oldest, found = f, e
		}
	}
	if len(r.entries) >= r.config.MaxEntries {
		delete(r.entries, oldest)
	}
}

func (e *entry) before(other *entry) bool {
	if e.refused != other.refused {
		return other.refused
	}
	return e.changed.Before(other.changed)
}

func (e *entry) add(c Crash) {
	for _, known := range e.crashes {
		if known == c {
			return
		}
	}
	e.crashes = append(e.crashes, c)
}

// endpoints returns the different endpoints that crashed.
func (e *entry) endpoints() []string {
	var names []string
	for _, c := range e.crashes {
		if !slices.Contains(names, c.Endpoint) {
			names = append(names, c.Endpoint)
		}
	}
	return names
}
