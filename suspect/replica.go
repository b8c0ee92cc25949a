package suspect

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Merge adds what another instance knows about a subject. It reports whether that changed
// anything.
func (r *Registry) Merge(rec Record, now time.Time) bool {
	if now.Sub(rec.LastReported) > r.config.RefusalTTL || len(rec.Crashes) == 0 {
		return false
	}
	e := r.ensureEntry(rec.Subject, now)
	changed := rec.Rounds > e.rounds
	e.rounds = max(e.rounds, rec.Rounds)
	for _, c := range rec.Crashes {
		changed = e.addCrash(c) || changed
	}
	e.forgetDisproved()
	if rec.LastReported.After(e.lastReported) {
		e.lastReported = rec.LastReported
	}
	if changed {
		r.markChanged(rec.Fingerprint, e)
	}
	return changed
}

// Changes returns the entries that have changed after the given number of changes, the
// least recent first and at most limit of them, and the number of changes that is
// complete with them. Behind these come the later changes of subjects with many crashes, at
// most limit of them, too: in a storm of crashes the entry of their cause changes with each
// of them, and must not wait behind those of all that was in flight.
func (r *Registry) Changes(after uint64, limit int) (records []Record, through uint64) {
	if r.changes == after {
		return nil, after
	}
	var changed []Fingerprint
	for f, e := range r.entries {
		if e.changed > after {
			changed = append(changed, f)
		}
	}
	slices.SortFunc(changed, func(a, b Fingerprint) int { return cmp.Compare(r.entries[a].changed, r.entries[b].changed) })
	through = r.changes
	var later []Fingerprint
	if len(changed) > limit {
		changed, later = changed[:limit], changed[limit:]
		through = r.entries[changed[limit-1]].changed
	}
	for _, f := range changed {
		records = append(records, r.entries[f].record(f))
	}
	for _, f := range later {
		if r.reached[f] != nil && len(records) < 2*limit {
			records = append(records, r.entries[f].record(f))
		}
	}
	return records, through
}

// Refused returns the records of the subjects that are refused at now.
func (r *Registry) Refused(now time.Time) []Record {
	var records []Record
	for f := range r.chargedSubjects() {
		if r.Lookup(f, now).Verdict == Refused {
			records = append(records, r.entries[f].record(f))
		}
	}
	return records
}

// record returns what the entry of f holds.
func (e *entry) record(f Fingerprint) Record {
	return Record{Subject: Subject{Fingerprint: f, Depth: e.depth}, Crashes: slices.Clone(e.crashes), Rounds: e.rounds, LastReported: e.lastReported}
}

// Replica is a Registry of which every instance has a copy. Each records what it sees
// itself, and merges the changes that the others tell it. Suspects that are neither refused
// nor on trial run like other requests. It is safe for concurrent use.
//
// Load pattern: a request that crashes endpoints returns at any instance. Suspects are so
// rare that every instance can know all of them, and no request waits for an answer from
// another instance.
type Replica struct {
	now func() time.Time
	log *slog.Logger

	size     atomic.Int64 // number of entries
	mu       sync.Mutex
	registry *Registry
	self     string               // name of this instance, empty before it is known
	members  []Member             // live instances
	trials   map[Fingerprint]bool // subjects on trial that this instance is running
}

// NewReplica returns a Replica without suspects.
func NewReplica(c Config, now func() time.Time) *Replica {
	r := NewRegistry(c)
	return &Replica{now: now, log: r.config.Log, registry: r, trials: map[Fingerprint]bool{}}
}

// SetInstances sets the names of the live instances, of which self is this one.
func (r *Replica) SetInstances(self string, names []string) {
	members := make([]Member, len(names))
	for i, name := range names {
		members[i].Instance = name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self, r.members = self, members
}

// Empty reports whether there are no suspects. Then no request needs a fingerprint.
func (r *Replica) Empty() bool { return r.size.Load() == 0 }

// Lookup returns how the subject with fingerprint f may run.
func (r *Replica) Lookup(f Fingerprint) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateSize()
	return r.registry.Lookup(f, r.now())
}

// RecordCrash records that s was in flight during a crash, among others.
func (r *Replica) RecordCrash(s Subject, crash Crash) {
	r.recordCrashes([]Subject{s}, []Crash{crash})
}

// recordCrashes records a crash for each of some subjects.
func (r *Replica) recordCrashes(subjects []Subject, crashes []Crash) {
	r.update(fingerprintsOf(subjects), func(now time.Time) {
		for i, s := range subjects {
			r.registry.recordCrash(s, crashes[i], false, now)
		}
	})
}

// recordCleanRuns records that a run of each subject ended without a crash, or got well past
// its first token.
func (r *Replica) recordCleanRuns(subjects []Subject) {
	r.update(fingerprintsOf(subjects), func(now time.Time) {
		for _, s := range subjects {
			r.registry.RecordCleanRun(s.Fingerprint, now)
		}
	})
}

// Merge adds what other instances know.
func (r *Replica) Merge(records []Record) {
	subjects := make([]Subject, len(records))
	for i, rec := range records {
		subjects[i] = rec.Subject
	}
	r.update(fingerprintsOf(subjects), func(now time.Time) {
		for _, rec := range records {
			r.registry.Merge(rec, now)
		}
	})
}

func fingerprintsOf(subjects []Subject) []Fingerprint {
	list := make([]Fingerprint, len(subjects))
	for i, s := range subjects {
		list[i] = s.Fingerprint
	}
	return list
}

// Changes returns what has changed since an earlier call returned through as after, at
// most limit records of it.
func (r *Replica) Changes(after uint64, limit int) (records []Record, through uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Changes(after, limit)
}

// Refused returns the records of the requests that are refused.
func (r *Replica) Refused() []Record {
	if r.Empty() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateSize()
	return r.registry.Refused(r.now())
}

// update calls change, which changes the state of the subjects with the given fingerprints,
// and logs an event for each verdict that has changed by it: theirs, and those on others
// whose crashes they explain.
func (r *Replica) update(changing []Fingerprint, change func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateSize()
	now := r.now()
	before := map[Fingerprint]Verdict{}
	for _, f := range changing {
		before[f] = r.registry.Lookup(f, now).Verdict
	}
	chargedBefore := r.registry.chargedSubjects()
	change(now)
	for f := range r.registry.chargedSubjects() {
		if _, known := before[f]; !known && !chargedBefore[f] {
			before[f] = RunAlone
		}
	}
	for f := range chargedBefore {
		if _, known := before[f]; !known && !r.registry.chargedSubjects()[f] {
			before[f] = Refused
		}
	}
	for f, verdict := range before {
		r.logVerdictChange(f, verdict, now)
	}
}

// logVerdictChange logs an event if the verdict on f at now is another one than before, and
// whether f is a part of prompts. The caller holds mu.
func (r *Replica) logVerdictChange(f Fingerprint, before Verdict, now time.Time) {
	part := slog.Bool("part", r.registry.isPart(f))
	logVerdictChange(r.log, f, before, r.registry.Lookup(f, now).Verdict, part)
}

func (r *Replica) updateSize() { r.size.Store(int64(r.registry.Len())) }
