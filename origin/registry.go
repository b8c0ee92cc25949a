package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream identifies a stream by who reads it and the attempt that brought its first event.
type Stream uint64

// Version identifies a software version of a service's endpoints, 0 if it is not known.
type Version uint64

// NewStream returns the identifier of the stream whose first event came with an attempt of a
// team, which is empty on public routes.
func NewStream(team, attempt string) Stream {
	return Stream(xxhash.Sum64String(team + "\x00" + attempt))
}

// NewVersion returns the identifier of a software version of a service. It is never 0.
func NewVersion(service, software string) Version {
	return Version(max(xxhash.Sum64String(service+"\x00"+software), 1))
}

// Record says which version began a stream.
type Record struct {
	Stream  Stream
	Version Version
	// Expires is when the caller has stopped waiting for the stream.
	Expires time.Time
	// Saved says that the record is known to be in the metadata store.
	Saved bool
}

// maxRecords bounds the memory for records to some 2 MB. An instance begins some tens of
// streams a second and keeps those of its row of the grid for their callers' time limits.
const maxRecords = 1 << 15

// Registry holds the records of streams that began at this instance, and those that others
// have sent. It is safe for concurrent use.
//
// Invariants: order holds the keys of records, without repetition, in the order of their
// arrival; own holds those that began here, the last of which is number ownCount.
type Registry struct {
	now func() time.Time

	mu       sync.Mutex
	records  map[Stream]Record
	order    []Stream
	own      []Record
	ownCount uint64
}

// NewRegistry returns an empty Registry.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, records: map[Stream]Record{}}
}

// Begin records a stream that begins at this instance.
func (r *Registry) Begin(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.add(rec, now)
	for len(r.own) > 0 && (len(r.own) >= maxRecords || !now.Before(r.own[0].Expires)) {
		r.own = r.own[1:]
	}
	r.own = append(r.own, rec)
	r.ownCount++
}

// Merge records streams that began at other instances.
func (r *Registry) Merge(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, rec := range records {
		r.add(rec, now)
	}
}

// add adds a record, for which it removes old ones. The caller holds mu.
func (r *Registry) add(rec Record, now time.Time) {
	if !now.Before(rec.Expires) {
		return
	}
	old, known := r.records[rec.Stream]
	if !known {
		r.order = append(r.order, rec.Stream)
	}
	rec.Saved = rec.Saved || old.Saved && old.Version == rec.Version
	r.records[rec.Stream] = rec
	for len(r.order) > maxRecords || !now.Before(r.records[r.order[0]].Expires) {
		delete(r.records, r.order[0])
		r.order = r.order[1:]
	}
}

// Version returns the version that began a stream, and whether it is known.
func (r *Registry) Version(s Stream) (Version, bool) {
	rec, known := r.Record(s)
	return rec.Version, known
}

// Record returns the record of a stream, and whether there is one.
func (r *Registry) Record(s Stream) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, known := r.records[s]
	if !known || !r.now().Before(rec.Expires) {
		return Record{}, false
	}
	return rec, true
}

// Own returns the records of streams that began at this instance after the given number of
// them, at most limit, and how many there had been up to the last one.
func (r *Registry) Own(after uint64, limit int) (records []Record, through uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.ownCount - uint64(len(r.own))
	after = min(max(after, first), r.ownCount)
	records = r.own[after-first:]
	if len(records) > limit {
		records = records[:limit]
	}
	return append([]Record(nil), records...), after + uint64(len(records))
}

// OwnCount returns the number of streams that have begun at this instance.
func (r *Registry) OwnCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownCount
}

// All returns the latest records, at most limit.
func (r *Registry) All(limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var list []Record
	for i := len(r.order) - 1; i >= 0 && len(list) < limit; i-- {
		if rec := r.records[r.order[i]]; now.Before(rec.Expires) {
			list = append(list, rec)
		}
	}
	return list
}
