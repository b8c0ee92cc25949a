package gateway

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
	"redwingknot/suspect"
	"redwingknot/suspect/suspectpb"
)

const (
	purposeSuspects metastore.Purpose = "suspects"
	// suspectPrefix is the prefix of the keys of refused requests. Each key is bound to a
	// lease that ends when the refusal may.
	suspectPrefix = "redwingknot/suspects/"
	// suspectSaveInterval is the time between checks for refused requests to save.
	suspectSaveInterval = 500 * time.Millisecond
	// suspectReadInterval is the time between reads of the keys, which are otherwise watched.
	suspectReadInterval = time.Minute
	// maxSavedSuspects bounds the calls of the metadata store for refused requests.
	maxSavedSuspects = 256
	// followerSaveDelay is how long an instance that is not the leader waits for the leader
	// to save a refused request, which the leader may not know of.
	followerSaveDelay = time.Second
)

// suspectRange returns the range of the keys of refused requests.
func suspectRange() (from, to string) {
	return suspectPrefix, "redwingknot/suspects0" // '0' follows '/'
}

// suspectStore keeps the refused requests in the metadata store, and takes over those that
// other instances have saved there. So they are known after all instances have been killed,
// and where instances do not reach each other. Instances otherwise learn of suspects from
// each other, which is quicker. It is safe for concurrent use.
type suspectStore struct {
	kv       metastore.KV
	replica  *suspect.Replica
	now      func() time.Time
	isLeader func() bool
	log      *slog.Logger

	mu    sync.Mutex
	saved map[suspect.Fingerprint]bool      // known to be in the metadata store
	known map[suspect.Fingerprint]time.Time // refused ones: since when this instance has known that
}

// newSuspectStore returns a suspectStore that saves what replica refuses.
func newSuspectStore(kv metastore.KV, replica *suspect.Replica, now func() time.Time, isLeader func() bool, log *slog.Logger) *suspectStore {
	return &suspectStore{
		kv: kv, replica: replica, now: now, isLeader: isLeader, log: log,
		saved: map[suspect.Fingerprint]bool{}, known: map[suspect.Fingerprint]time.Time{},
	}
}

// run saves refused requests until ctx ends.
func (s *suspectStore) run(ctx context.Context) error {
	return timer.Every(ctx, suspectSaveInterval, func() { s.saveNew(ctx) })
}

// apply takes over what has changed in the metadata store.
func (s *suspectStore) apply(d fleet.Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []suspect.Record
	for _, e := range d.Changed {
		rec, err := decodeSuspect(e.Value, s.now())
		if err != nil {
			metric.Counter("suspect_store_invalid_total").Inc(1)
			event.StoreEntryInvalid.Log(s.log, slog.String("key", e.Key), slog.String("error", err.Error()))
			continue
		}
		s.saved[rec.Fingerprint] = true
		records = append(records, rec)
	}
	for _, key := range d.Removed {
		// A key of another form was not written by this program.
		if f, err := suspect.FingerprintFromString(strings.TrimPrefix(key, suspectPrefix)); err == nil {
			delete(s.saved, f)
		}
	}
	s.replica.Merge(records)
}

// decodeSuspect decodes the value of a key.
func decodeSuspect(value []byte, now time.Time) (suspect.Record, error) {
	var m suspectpb.Record
	if err := proto.Unmarshal(value, &m); err != nil {
		return suspect.Record{}, err
	}
	return suspect.DecodeRecord(&m, now)
}

// saveNew saves the refused requests that are not known to be saved. One that could not be
// saved is tried again at the next check.
func (s *suspectStore) saveNew(ctx context.Context) {
	for _, rec := range s.unsaved() {
		if err := s.save(ctx, rec); err != nil {
			metric.Counter("suspect_store_failures_total").Inc(1)
			return
		}
		s.mu.Lock()
		s.saved[rec.Fingerprint] = true
		s.mu.Unlock()
	}
}

// unsaved returns the refused requests that this instance is to save now: the leader all,
// another one those that the leader has not saved within followerSaveDelay.
func (s *suspectStore) unsaved() []suspect.Record {
	refused := s.replica.Refused()
	s.mu.Lock()
	defer s.mu.Unlock()
	now, known := s.now(), map[suspect.Fingerprint]time.Time{}
	var list []suspect.Record
	for _, rec := range refused {
		since, ok := s.known[rec.Fingerprint]
		if !ok {
			since = now
		}
		known[rec.Fingerprint] = since
		due := s.isLeader() || now.Sub(since) >= followerSaveDelay
		if due && !s.saved[rec.Fingerprint] && len(s.saved) < maxSavedSuspects {
			list = append(list, rec)
		}
	}
	s.known = known
	for f := range s.saved {
		if _, still := known[f]; !still {
			delete(s.saved, f)
		}
	}
	return list
}

// save writes one refused request under a lease of its own. A key that exists was written
// by another instance before.
func (s *suspectStore) save(ctx context.Context, rec suspect.Record) error {
	value, err := proto.Marshal(suspect.EncodeRecord(rec, s.now()))
	if err != nil {
		return err
	}
	lease, err := s.kv.Grant(ctx, purposeSuspects, suspect.CompanyRefusalTime)
	if err != nil {
		return err
	}
	_, err = s.kv.Create(ctx, purposeSuspects, suspectPrefix+rec.Fingerprint.String(), value, lease)
	if metastore.IsCause(err, metastore.CauseExists) {
		return nil
	}
	return err
}
