package suspect

import (
	"log/slog"
	"slices"
	"time"

	"redwingknot/internal/options"
)

// Defaults of Config.
const (
	defaultCrashedEndpointLimit = 2
	defaultSuspicionTTL         = 10 * time.Minute
	defaultRefusalTTL           = 24 * time.Hour
	defaultMaxEntries           = 4096
)

// Config configures a Registry. Fields that are zero take their default values.
type Config struct {
	CrashedEndpointLimit int           // number of different crashed endpoints after which a request is refused
	SuspicionTTL         time.Duration // how long a request stays a suspect after its last crash
	RefusalTTL           time.Duration // how long a refused request stays refused after its last crash
	MaxEntries           int           // maximum number of fingerprints stored
	Log                  *slog.Logger  // the default discards everything
}

func (c Config) withDefaults() Config {
	options.Default(&c.CrashedEndpointLimit, defaultCrashedEndpointLimit)
	options.Default(&c.SuspicionTTL, defaultSuspicionTTL)
	options.Default(&c.RefusalTTL, defaultRefusalTTL)
	options.Default(&c.MaxEntries, defaultMaxEntries)
	options.Default(&c.Log, slog.New(slog.DiscardHandler))
	return c
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts on a fingerprint.
const (
	Clear    Verdict = iota // the request runs like any other
	RunAlone                // the request needs the data centre's slot and an endpoint that runs nothing else
	Refused                 // the request is not run again
)

var verdictNames = [...]string{"clear", "run-alone", "refused"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Crash identifies one end of an endpoint's process. Several instances
// may report the same crash, each for the requests that it had in flight there.
type Crash struct {
	Endpoint string
	Epoch    string // epoch of the process that ended
}

// Answer says how a request may run and which endpoints have crashed while it was
// in flight.
type Answer struct {
	Verdict Verdict
	Crashed []string // names of the endpoints
}

// Registry is the state of the fingerprints that this instance owns. It has no
// clock and does no I/O; the time is an argument of each call. It is not safe for
// concurrent use.
//
// A fingerprint has an entry only after a crash. It is refused once crashes of
// Config.CrashedEndpointLimit different endpoints are known and the request ran alone
// in at least one crash. It is never refused for crashes during which other requests
// ran on the endpoint as well, since any of the requests in flight may be the cause.
type Registry struct {
	config  Config
	entries map[Fingerprint]*entry
}

// entry is the state of one fingerprint.
type entry struct {
	crashes      []Crash
	crashedAlone bool // the request ran alone in at least one of the crashes
	refused      bool
	lastReported time.Time // time of the last report of a crash
}

// NewRegistry returns an empty Registry.
func NewRegistry(c Config) *Registry {
	return &Registry{config: c.withDefaults(), entries: map[Fingerprint]*entry{}}
}

// Lookup returns how the request with fingerprint f may run at now.
func (r *Registry) Lookup(f Fingerprint, now time.Time) Answer {
	e := r.liveEntry(f, now)
	if e == nil {
		return Answer{}
	}
	a := Answer{Verdict: RunAlone, Crashed: e.crashedEndpoints()}
	if e.refused {
		a.Verdict = Refused
	}
	return a
}

// RecordCrash records that f was in flight during a crash and whether it ran alone. It
// returns how the request may run from now on.
func (r *Registry) RecordCrash(f Fingerprint, crash Crash, alone bool, now time.Time) Answer {
	e := r.liveEntry(f, now)
	if e == nil {
		r.evictIfFull(now)
		e = &entry{}
		r.entries[f] = e
	}
	e.addCrash(crash)
	e.crashedAlone = e.crashedAlone || alone
	e.refused = e.refused || e.crashedAlone && len(e.crashedEndpoints()) >= r.config.CrashedEndpointLimit
	e.lastReported = now
	return r.Lookup(f, now)
}

// RecordCleanRun clears f after it ran alone to its end, or well past its first token,
// without a crash. It must not be called after a run alongside other requests,
// which proves nothing about a suspect. A refused fingerprint stays refused.
func (r *Registry) RecordCleanRun(f Fingerprint, now time.Time) {
	if e := r.liveEntry(f, now); e != nil && !e.refused {
		delete(r.entries, f)
	}
}

// Len returns the number of fingerprints stored.
func (r *Registry) Len() int { return len(r.entries) }

// liveEntry returns the entry of f, or nil if there is none. An expired entry is
// deleted.
func (r *Registry) liveEntry(f Fingerprint, now time.Time) *entry {
	e, ok := r.entries[f]
	if !ok {
		return nil
	}
	if now.Sub(e.lastReported) > r.ttl(e) {
		delete(r.entries, f)
		return nil
	}
	return e
}

// ttl returns how long e is stored after the last report of a crash.
func (r *Registry) ttl(e *entry) time.Duration {
	if e.refused {
		return r.config.RefusalTTL
	}
	return r.config.SuspicionTTL
}

// evictIfFull makes room for another entry if the registry is full. It deletes the
// expired entries and, if there are none, the entry whose last report of a crash is
// the oldest. Suspects are deleted before refused fingerprints.
func (r *Registry) evictIfFull(now time.Time) {
	if len(r.entries) < r.config.MaxEntries {
		return
	}
	var victim Fingerprint
	var victimEntry *entry
	for f, e := range r.entries {
		if now.Sub(e.lastReported) > r.ttl(e) {
			delete(r.entries, f)
			continue
		}
		if victimEntry == nil || e.evictBefore(victimEntry) {
			victim, victimEntry = f, e
		}
	}
	if len(r.entries) >= r.config.MaxEntries {
		delete(r.entries, victim)
	}
}

// evictBefore reports whether e is to be evicted before other.
func (e *entry) evictBefore(other *entry) bool {
	if e.refused != other.refused {
		return other.refused
	}
	return e.lastReported.Before(other.lastReported)
}

// addCrash adds a crash unless it is already known.
func (e *entry) addCrash(crash Crash) {
	for _, other := range e.crashes {
		if other == crash {
			return
		}
	}
	e.crashes = append(e.crashes, crash)
}

// crashedEndpoints returns the names of the endpoints that crashed, each once.
func (e *entry) crashedEndpoints() []string {
	var names []string
	for _, c := range e.crashes {
		if !slices.Contains(names, c.Endpoint) {
			names = append(names, c.Endpoint)
		}
	}
	return names
}
