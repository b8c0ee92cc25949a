package suspect

import (
	"bytes"
	"cmp"
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

const (
	// partRefusalTime is how long a part of prompts is refused at first. A sound part that
	// is refused by mistake concerns many callers, so its trial comes sooner.
	partRefusalTime = 15 * time.Second
	// partRefusalGrowth is the factor by which each trial that ends with a crash makes the
	// refusal of a part longer, up to CompanyRefusalTime.
	partRefusalGrowth = 8
)

// trialDelay is the time from the last crash of one round until a request gets a trial.
// Its runs that are still under way at other endpoints may clear it before.
const trialDelay = time.Second

// minRefusalRounds is the number of rounds of crashes before a request that never ran alone
// is refused. Copies of a request that run on several endpoints of a rack that fails are
// lost in one round.
const minRefusalRounds = 2

const (
	// maxCrashesPerEntry bounds the memory of an entry.
	maxCrashesPerEntry = 16
	// maxDisprovedPerEntry bounds the size of the records of parts that many requests
	// share: these are in flight at most crashes, and cleared again and again. So many
	// crashes are not disproved between two reports to another instance.
	maxDisprovedPerEntry = 8
	// evictedShare is the share of the entries that are deleted at once if the registry is
	// full, as a divisor.
	evictedShare = 16
)

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
	// Round is the number of rounds of crashes of the subject that were known when the run
	// began, plus one. Runs that began without knowing of each other's crashes are of one
	// round; 0 counts as 1.
	Round     int
	Disproved bool // a run of the subject has ended well since the crash was known
	OnTrial   bool // the run was a trial
}

// key returns what is the same in all reports of a crash.
func (c Crash) key() crashKey { return crashKey{c.Endpoint, c.Epoch} }

// crashKey identifies the end of an endpoint's process.
type crashKey struct{ endpoint, epoch string }

// Answer says how a request may run and which endpoints have crashed while it was
// in flight.
type Answer struct {
	Verdict    Verdict
	Crashed    []string      // names of the endpoints
	Rounds     int           // rounds of crashes that are known
	RefusedFor time.Duration // how long the request is refused; valid if Verdict is Refused
	TrialFor   time.Duration // how long it has been on trial; valid if Verdict is Trial
}

// Registry is the state of the subjects that this instance owns. It has no
// clock and does no I/O; the time is an argument of each call. It is not safe for
// concurrent use.
//
// A subject has an entry only after a crash. It is refused permanently once crashes of
// Config.CrashedEndpointLimit different endpoints are known and it ran alone in at least one
// crash. If it never ran alone, any of the subjects in flight may be the cause of a crash.
// Once Config.CompanyCrashLimit crashes are known that no later run has disproved and that
// no other subject explains, it is charged with them: it is refused for a time if they are
// of minRefusalRounds rounds or more, and after that, or if they are of one round, it is on
// trial.
//
// A crash has one cause. Of the subjects in flight at the same crashes, the one that is
// charged first explains them for the others: one that no run has ever cleared before one
// that was cleared, then the one with the most crashes, then the deepest. So a part that
// crashes endpoints explains the crashes of the sound parts and requests that come with it.
//
// The crashes of an entry and what disproves them only grow, apart from old ones that are
// forgotten, so that the registries of several instances that exchange Records reach the
// same state in any order.
type Registry struct {
	config  Config
	entries map[Fingerprint]*entry
	changes uint64 // number of changes of entries so far

	reached map[Fingerprint]*entry // entries with CompanyCrashLimit or more standing crashes
	charged map[Fingerprint]bool   // those of them that are charged; nil if it has to be found out again
}

// entry is the state of one subject.
type entry struct {
	depth        int // see Subject
	crashes      []Crash
	rounds       int  // number of rounds of crashes that are known
	cleared      bool // a run has disproved a crash
	crashedAlone bool // the request ran alone in at least one of the crashes
	refused      bool // permanently
	lastReported time.Time
	changed      uint64 // number of the last change, of Registry.changes
}

// NewRegistry returns an empty Registry.
func NewRegistry(c Config) *Registry {
	return &Registry{config: c.withDefaults(), entries: map[Fingerprint]*entry{}, reached: map[Fingerprint]*entry{}}
}

// Lookup returns how the subject with fingerprint f may run at now.
func (r *Registry) Lookup(f Fingerprint, now time.Time) Answer {
	e := r.liveEntry(f, now)
	if e == nil {
		return Answer{}
	}
	a := Answer{Crashed: e.crashedEndpoints(), Rounds: e.rounds}
	switch {
	case e.refused:
		a.Verdict, a.RefusedFor = Refused, r.ttl(e)-now.Sub(e.lastReported)
	case len(a.Crashed) == 0:
	case r.reached[f] != nil && r.chargedSubjects()[f]:
		e.judgeInCompany(&a, now)
	default:
		a.Verdict = RunAlone
	}
	return a
}

// reachedCompanyLimit reports whether a subject that never ran alone has enough standing
// crashes to be charged with them.
func (r *Registry) reachedCompanyLimit(e *entry) bool {
	return r.config.CompanyCrashLimit > 0 && e.standing() >= r.config.CompanyCrashLimit
}

// chargedSubjects returns the subjects that are charged with crashes. The map is not
// changed later.
func (r *Registry) chargedSubjects() map[Fingerprint]bool {
	if r.charged != nil {
		return r.charged
	}
	order := make([]candidate, 0, len(r.reached))
	for f, e := range r.reached {
		order = append(order, candidate{f, e, e.standing()})
	}
	slices.SortFunc(order, candidate.compare)
	r.charged = map[Fingerprint]bool{}
	explained := map[crashKey]bool{}
	for _, c := range order {
		if c.entry.unexplained(explained) < r.config.CompanyCrashLimit {
			continue
		}
		r.charged[c.fingerprint] = true
		for _, crash := range c.entry.crashes {
			if !crash.Disproved {
				explained[crash.key()] = true
			}
		}
	}
	return r.charged
}

// candidate is a subject that may be charged with its standing crashes.
type candidate struct {
	fingerprint Fingerprint
	entry       *entry
	standing    int
}

// compare returns a negative number if c is to be charged with crashes before other, and a
// positive one if other is.
func (c candidate) compare(other candidate) int {
	if c.entry.cleared != other.entry.cleared {
		if c.entry.cleared {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(other.standing, c.standing), cmp.Compare(other.entry.depth, c.entry.depth),
		bytes.Compare(c.fingerprint[:], other.fingerprint[:]),
	)
}

// unexplained returns the number of standing crashes that are not explained.
func (e *entry) unexplained(explained map[crashKey]bool) int {
	n := 0
	for _, c := range e.crashes {
		if !c.Disproved && !explained[c.key()] {
			n++
		}
	}
	return n
}

// judgeInCompany sets the verdict on a subject that is charged with crashes. Those of one
// round don't tell a rack that failed under copies of an innocent request from copies of a
// crashing one that came at once; the next wave of the latter must not go out whole.
func (e *entry) judgeInCompany(a *Answer, now time.Time) {
	sinceLast, refusal := now.Sub(e.lastReported), e.refusalTime()
	several := e.standingRounds() >= minRefusalRounds
	switch {
	case several && sinceLast < refusal:
		a.Verdict, a.RefusedFor = Refused, refusal-sinceLast
	case several:
		a.Verdict, a.TrialFor = Trial, sinceLast-refusal
	case sinceLast < trialDelay:
		a.Verdict = RunAlone
	default:
		a.Verdict, a.TrialFor = Trial, sinceLast-trialDelay
	}
}

// refusalTime returns how long a subject is refused after its last crash.
func (e *entry) refusalTime() time.Duration {
	if e.depth == WholeRequest {
		return CompanyRefusalTime
	}
	refusal := partRefusalTime
	for _, c := range e.crashes {
		if c.OnTrial && !c.Disproved {
			refusal = min(refusal*partRefusalGrowth, CompanyRefusalTime)
		}
	}
	return refusal
}

// standingRounds returns the number of different rounds of the standing crashes.
func (e *entry) standingRounds() int {
	rounds := map[int]bool{}
	for _, c := range e.crashes {
		if !c.Disproved {
			rounds[c.Round] = true
		}
	}
	return len(rounds)
}

// RecordCrash records that s was in flight during a crash and whether it ran alone. It
// returns how the request may run from now on.
func (r *Registry) RecordCrash(s Subject, crash Crash, alone bool, now time.Time) Answer {
	r.recordCrash(s, crash, alone, now)
	return r.Lookup(s.Fingerprint, now)
}

func (r *Registry) recordCrash(s Subject, crash Crash, alone bool, now time.Time) {
	e := r.ensureEntry(s, now)
	e.addCrash(crash)
	e.crashedAlone = e.crashedAlone || alone
	e.refused = e.refused || e.crashedAlone && len(e.crashedEndpoints()) >= r.config.CrashedEndpointLimit
	e.lastReported = now
	r.markChanged(s.Fingerprint, e)
}

// RecordCleanRun records that a run of the subject ended without a crash, or got well past
// its first token. It disproves all crashes that are known. A subject that is refused
// permanently stays refused.
func (r *Registry) RecordCleanRun(f Fingerprint, now time.Time) {
	e := r.liveEntry(f, now)
	if e == nil || e.refused || e.standing() == 0 {
		return
	}
	for i := range e.crashes {
		e.crashes[i].Disproved = true
	}
	e.cleared, e.crashedAlone = true, false
	e.forgetDisproved()
	r.markChanged(f, e)
}

// isPart reports whether f is known to be a part of prompts.
func (r *Registry) isPart(f Fingerprint) bool {
	e := r.entries[f]
	return e != nil && e.depth != WholeRequest
}

// Len returns the number of subjects stored.
func (r *Registry) Len() int { return len(r.entries) }

// ensureEntry returns the entry of s, which it creates if there is none.
func (r *Registry) ensureEntry(s Subject, now time.Time) *entry {
	e := r.liveEntry(s.Fingerprint, now)
	if e == nil {
		r.evictIfFull(now)
		e = &entry{}
		r.entries[s.Fingerprint] = e
	}
	e.depth = max(e.depth, s.Depth)
	return e
}

// markChanged must be called after each change of an entry.
func (r *Registry) markChanged(f Fingerprint, e *entry) {
	r.changes++
	e.changed = r.changes
	if r.reachedCompanyLimit(e) {
		r.reached[f] = e
		r.charged = nil
		return
	}
	r.forgetReached(f)
}

func (r *Registry) forgetReached(f Fingerprint) {
	if r.reached[f] != nil {
		delete(r.reached, f)
		r.charged = nil
	}
}

func (r *Registry) delete(f Fingerprint) {
	delete(r.entries, f)
	r.forgetReached(f)
}

// liveEntry returns the entry of f, or nil if there is none. An expired entry is
// deleted.
func (r *Registry) liveEntry(f Fingerprint, now time.Time) *entry {
	e, ok := r.entries[f]
	if !ok {
		return nil
	}
	if now.Sub(e.lastReported) > r.ttl(e) {
		r.delete(f)
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

// evictIfFull makes room for other entries if the registry is full. It deletes the expired
// entries and, if there are none, a share of all: those without a standing crash before
// suspects, those before subjects with many crashes and these before permanently refused
// ones; in each group, those whose last report of a crash is the oldest.
func (r *Registry) evictIfFull(now time.Time) {
	if len(r.entries) < r.config.MaxEntries {
		return
	}
	order := make([]Fingerprint, 0, len(r.entries))
	for f, e := range r.entries {
		if now.Sub(e.lastReported) > r.ttl(e) {
			r.delete(f)
			continue
		}
		order = append(order, f)
	}
	if len(order) < r.config.MaxEntries {
		return
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		ea, eb := r.entries[a], r.entries[b]
		return cmp.Or(cmp.Compare(r.evictionRank(ea), r.evictionRank(eb)), ea.lastReported.Compare(eb.lastReported))
	})
	for _, f := range order[:max(len(order)/evictedShare, 1)] {
		r.delete(f)
	}
}

// evictionRank returns the group of an entry for evictIfFull, the first one to be evicted
// being 0.
func (r *Registry) evictionRank(e *entry) int {
	switch {
	case e.refused:
		return 3
	case r.reachedCompanyLimit(e):
		return 2
	case e.standing() > 0:
		return 1
	}
	return 0
}

// addCrash adds what a report says of a crash, and reports whether the entry has changed. Of
// two reports of the same crash the one with the later round counts.
func (e *entry) addCrash(crash Crash) bool {
	crash.Round = max(crash.Round, 1)
	e.rounds = max(e.rounds, crash.Round)
	e.cleared = e.cleared || crash.Disproved
	for i, known := range e.crashes {
		if known.key() == crash.key() {
			e.crashes[i].merge(crash)
			return e.crashes[i] != known
		}
	}
	if len(e.crashes) < maxCrashesPerEntry {
		e.crashes = append(e.crashes, crash)
		return true
	}
	// The length of a refusal depends on the trials, so that these are kept.
	other := slices.IndexFunc(e.crashes, func(c Crash) bool { return !c.OnTrial })
	if !crash.OnTrial || other < 0 {
		return false
	}
	e.crashes[other] = crash
	return true
}

// merge adds what another report of the same crash says.
func (c *Crash) merge(other Crash) {
	c.Round = max(c.Round, other.Round)
	c.Disproved = c.Disproved || other.Disproved
	c.OnTrial = c.OnTrial || other.OnTrial
}

// forgetDisproved forgets the oldest disproved crashes if there are many.
func (e *entry) forgetDisproved() {
	excess := len(e.crashes) - e.standing() - maxDisprovedPerEntry
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool {
		if !c.Disproved || excess <= 0 {
			return false
		}
		excess--
		return true
	})
}

// standing returns the number of crashes that no clean run has disproved.
func (e *entry) standing() int {
	n := 0
	for _, c := range e.crashes {
		if !c.Disproved {
			n++
		}
	}
	return n
}

// crashedEndpoints returns the names of the endpoints of standing crashes, each once.
func (e *entry) crashedEndpoints() []string {
	var names []string
	for _, c := range e.crashes {
		if !c.Disproved && !slices.Contains(names, c.Endpoint) {
			names = append(names, c.Endpoint)
		}
	}
	return names
}
