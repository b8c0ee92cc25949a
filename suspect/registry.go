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

// CompanyRefusalTime is how long a request is refused after its last crash if it never ran
// alone. It may be innocent, so it gets a trial after that.
const CompanyRefusalTime = 10 * time.Minute

// trialDelay is the time from the last crash of one round until a request gets a trial.
// Its runs that are still under way at other endpoints may clear it before.
const trialDelay = time.Second

// minRefusalRounds is the number of rounds of crashes before a request that never ran alone
// is refused. Copies of a request that run on several endpoints of a rack that fails are
// lost in one round.
const minRefusalRounds = 2

// maxCrashesPerEntry bounds the memory of an entry.
const maxCrashesPerEntry = 16

// Config configures a Registry. Fields that are zero take their default values.
type Config struct {
	CrashedEndpointLimit int           // number of different crashed endpoints after which a request is refused that ran alone in a crash
	CompanyCrashLimit    int           // number of crashes after which a request is refused that never ran alone, 0 for no limit
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
	RunAlone                // a suspect: behind a Client it needs the data centre's slot and an endpoint that runs nothing else
	Refused                 // the request is not run again
	Trial                   // in a Replica: the request runs once at a time, at few instances
)

var verdictNames = [...]string{"clear", "run-alone", "refused", "trial"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Crash identifies one end of an endpoint's process. Several instances
// may report the same crash, each for the requests that it had in flight there.
type Crash struct {
	Endpoint string
	Epoch    string // epoch of the process that ended
	// Round is the number of rounds of crashes of the request that were known when the run
	// began, plus one. Runs that began without knowing of each other's crashes are of one
	// round; 0 counts as 1.
	Round int
}

// isOf reports whether other is the same end of a process.
func (c Crash) isOf(other Crash) bool { return c.Endpoint == other.Endpoint && c.Epoch == other.Epoch }

// Answer says how a request may run and which endpoints have crashed while it was
// in flight.
type Answer struct {
	Verdict    Verdict
	Crashed    []string      // names of the endpoints
	Rounds     int           // rounds of crashes that are known
	RefusedFor time.Duration // how long the request is refused; valid if Verdict is Refused
	TrialFor   time.Duration // how long it has been on trial; valid if Verdict is Trial
}

// Registry is the state of the fingerprints that this instance owns. It has no
// clock and does no I/O; the time is an argument of each call. It is not safe for
// concurrent use.
//
// A fingerprint has an entry only after a crash. It is refused permanently once crashes of
// Config.CrashedEndpointLimit different endpoints are known and the request ran alone
// in at least one crash. If it never ran alone, any of the requests in flight may be the
// cause of a crash. It is then refused for CompanyRefusalTime, after
// Config.CompanyCrashLimit crashes of at least minRefusalRounds rounds, unless a run that
// began after the last of them was known has ended without a crash. After that, and after
// as many crashes of one round, it is on trial.
//
// The crashes of an entry and its clean round only grow, so that the registries of
// several instances that exchange Records reach the same state in any order.
type Registry struct {
	config  Config
	entries map[Fingerprint]*entry
	changes uint64 // number of changes of entries so far
}

// entry is the state of one fingerprint.
type entry struct {
	crashes      []Crash
	cleanRound   int  // crashes up to this round are disproved by a run without a crash
	crashedAlone bool // the request ran alone in at least one of the crashes
	refused      bool // permanently
	lastReported time.Time
	changed      uint64 // number of the last change, of Registry.changes
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
	a := Answer{Crashed: e.crashedEndpoints(), Rounds: e.rounds()}
	switch {
	case e.refused:
		a.Verdict, a.RefusedFor = Refused, r.ttl(e)-now.Sub(e.lastReported)
	case len(a.Crashed) == 0:
	case r.reachedCompanyLimit(e):
		e.judgeInCompany(&a, now)
	default:
		a.Verdict = RunAlone
	}
	return a
}

// reachedCompanyLimit reports whether a request that never ran alone was in flight in so
// many crashes that it does not run freely any more.
func (r *Registry) reachedCompanyLimit(e *entry) bool {
	return r.config.CompanyCrashLimit > 0 && len(e.standingCrashes()) >= r.config.CompanyCrashLimit
}

// judgeInCompany sets the verdict on a request that has reached the limit of crashes in
// company. Crashes of one round may be those of a rack that failed under copies of an
// innocent request. So do copies of a crashing request that come at once; the next wave of
// these must not go out whole.
func (e *entry) judgeInCompany(a *Answer, now time.Time) {
	sinceLast := now.Sub(e.lastReported)
	several := e.standingRounds() >= minRefusalRounds
	switch {
	case several && sinceLast < CompanyRefusalTime:
		a.Verdict, a.RefusedFor = Refused, CompanyRefusalTime-sinceLast
	case several:
		a.Verdict, a.TrialFor = Trial, sinceLast-CompanyRefusalTime
	case sinceLast < trialDelay:
		a.Verdict = RunAlone
	default:
		a.Verdict, a.TrialFor = Trial, sinceLast-trialDelay
	}
}

// standingRounds returns the number of different rounds of the standing crashes.
func (e *entry) standingRounds() int {
	rounds := map[int]bool{}
	for _, c := range e.standingCrashes() {
		rounds[c.Round] = true
	}
	return len(rounds)
}

// RecordCrash records that f was in flight during a crash and whether it ran alone. It
// returns how the request may run from now on.
func (r *Registry) RecordCrash(f Fingerprint, crash Crash, alone bool, now time.Time) Answer {
	e := r.ensureEntry(f, now)
	e.addCrash(crash)
	e.crashedAlone = e.crashedAlone || alone
	e.refused = e.refused || e.crashedAlone && len(e.crashedEndpoints()) >= r.config.CrashedEndpointLimit
	e.lastReported = now
	r.markChanged(e)
	return r.Lookup(f, now)
}

// RecordCleanRun records that a run of f ended without a crash, or got well past its first
// token, which began when the given number of rounds of crashes was known. A fingerprint
// that is refused permanently stays refused.
func (r *Registry) RecordCleanRun(f Fingerprint, rounds int, now time.Time) {
	e := r.liveEntry(f, now)
	if e == nil || e.refused || rounds <= e.cleanRound {
		return
	}
	e.cleanRound = rounds
	e.crashedAlone = e.crashedAlone && len(e.standingCrashes()) > 0
	r.markChanged(e)
}

// Len returns the number of fingerprints stored.
func (r *Registry) Len() int { return len(r.entries) }

// ensureEntry returns the entry of f, which it creates if there is none.
func (r *Registry) ensureEntry(f Fingerprint, now time.Time) *entry {
	if e := r.liveEntry(f, now); e != nil {
		return e
	}
	r.evictIfFull(now)
	e := &entry{}
	r.entries[f] = e
	return e
}

func (r *Registry) markChanged(e *entry) {
	r.changes++
	e.changed = r.changes
}

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
	if e.refused || r.reachedCompanyLimit(e) {
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

// addCrash adds a crash and reports whether the entry has changed. Of two reports of the
// same crash the one with the later round counts.
func (e *entry) addCrash(crash Crash) bool {
	crash.Round = max(crash.Round, 1)
	for i, known := range e.crashes {
		if known.isOf(crash) {
			e.crashes[i].Round = max(known.Round, crash.Round)
			return crash.Round > known.Round
		}
	}
	if len(e.crashes) >= maxCrashesPerEntry {
		return false
	}
	e.crashes = append(e.crashes, crash)
	return true
}

// standingCrashes returns the crashes that no clean run has disproved.
func (e *entry) standingCrashes() []Crash {
	var standing []Crash
	for _, c := range e.crashes {
		if c.Round > e.cleanRound {
			standing = append(standing, c)
		}
	}
	return standing
}

// rounds returns the number of rounds of crashes that are known.
func (e *entry) rounds() int {
	rounds := e.cleanRound
	for _, c := range e.crashes {
		rounds = max(rounds, c.Round)
	}
	return rounds
}

// crashedEndpoints returns the names of the endpoints of standing crashes, each once.
func (e *entry) crashedEndpoints() []string {
	var names []string
	for _, c := range e.standingCrashes() {
		if !slices.Contains(names, c.Endpoint) {
			names = append(names, c.Endpoint)
		}
	}
	return names
}
