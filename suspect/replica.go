package suspect

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Merge adds what another instance knows about a fingerprint. It reports whether that
// changed anything.
func (r *Registry) Merge(rec Record, now time.Time) bool {
	if now.Sub(rec.LastReported) > r.config.RefusalTTL || len(rec.Crashes) == 0 {
		return false
	}
	e := r.ensureEntry(rec.Fingerprint, now)
	changed := rec.CleanRound > e.cleanRound
	e.cleanRound = max(e.cleanRound, rec.CleanRound)
	for _, c := range rec.Crashes {
		changed = e.addCrash(c) || changed
	}
	if rec.LastReported.After(e.lastReported) {
		e.lastReported = rec.LastReported
	}
	if changed {
		r.markChanged(e)
	}
	return changed
}

// Changes returns the entries that have changed after the given number of changes, the
// least recent first and at most limit of them, and the number of changes that is
// complete with them.
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
	if len(changed) > limit {
		changed = changed[:limit]
		through = r.entries[changed[limit-1]].changed
	}
	for _, f := range changed {
		records = append(records, r.entries[f].record(f))
	}
	return records, through
}

// Refused returns the records of the requests that are refused at now.
func (r *Registry) Refused(now time.Time) []Record {
	var records []Record
	for f, e := range r.entries {
		if r.Lookup(f, now).Verdict == Refused {
			records = append(records, e.record(f))
		}
	}
	return records
}

// record returns what the entry of f holds.
func (e *entry) record(f Fingerprint) Record {
	return Record{Fingerprint: f, Crashes: slices.Clone(e.crashes), CleanRound: e.cleanRound, LastReported: e.lastReported}
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
	trials   map[Fingerprint]bool // requests on trial that this instance is running
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

// Lookup returns how the request with fingerprint f may run.
func (r *Replica) Lookup(f Fingerprint) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateSize()
	return r.registry.Lookup(f, r.now())
}

// RecordCrash records that f was in flight during a crash, among other requests.
func (r *Replica) RecordCrash(f Fingerprint, crash Crash) {
	r.update(f, func(now time.Time) { r.registry.RecordCrash(f, crash, false, now) })
}

// RecordCleanRun records that a run of f ended without a crash, which began when the given
// number of rounds of crashes was known.
func (r *Replica) RecordCleanRun(f Fingerprint, rounds int) {
	r.update(f, func(now time.Time) { r.registry.RecordCleanRun(f, rounds, now) })
}

// Merge adds what other instances know.
func (r *Replica) Merge(records []Record) {
	for _, rec := range records {
		r.update(rec.Fingerprint, func(now time.Time) { r.registry.Merge(rec, now) })
	}
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

// update calls change and logs an event if the verdict on f has changed by it.
func (r *Replica) update(f Fingerprint, change func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateSize()
	now := r.now()
	before := r.registry.Lookup(f, now).Verdict
	change(now)
	logVerdictChange(r.log, f, before, r.registry.Lookup(f, now).Verdict)
}

func (r *Replica) updateSize() { r.size.Store(int64(r.registry.Len())) }
