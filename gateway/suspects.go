package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

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
	// maxSavedSuspects bounds the calls of the metadata store for refused requests.
	maxSavedSuspects = 256
)

// suspectRange returns the range of the keys of refused requests.
func suspectRange() (from, to string) {
	return suspectPrefix, "redwingknot/suspects0" // '0' follows '/'
}

// suspectStore keeps the refused requests in the metadata store, so that they are known
// after all instances have been killed. Instances otherwise learn of suspects from each
// other.
type suspectStore struct {
	kv       metastore.KV
	replica  *suspect.Replica
	now      func() time.Time
	isLeader func() bool
	saved    map[suspect.Fingerprint]bool
}

// run reads the refused requests once and, while this instance is the leader, saves new
// ones, until ctx ends.
func (s *suspectStore) run(ctx context.Context) error {
	for s.load(ctx) != nil && ctx.Err() == nil {
		timer.Sleep(ctx, retryDelay+rand.N(retryDelay))
	}
	return timer.Every(ctx, suspectSaveInterval, func() {
		if s.isLeader() {
			s.saveNew(ctx)
		}
	})
}

// load reads the refused requests that were saved.
func (s *suspectStore) load(ctx context.Context) error {
	from, to := suspectRange()
	entries, _, err := s.kv.Range(ctx, purposeSuspects, from, to, 0)
	if err != nil {
		metric.Counter("suspect_store_failures_total").Inc(1)
		return err
	}
	var records []suspect.Record
	for _, e := range entries {
		rec, err := decodeSuspect(e.Value, s.now())
		if err != nil {
			metric.Counter("suspect_store_invalid_total").Inc(1)
			continue
		}
		s.saved[rec.Fingerprint] = true
		records = append(records, rec)
	}
	s.replica.Merge(records)
	return nil
}

// decodeSuspect decodes the value of a key.
func decodeSuspect(value []byte, now time.Time) (suspect.Record, error) {
	var m suspectpb.Record
	if err := proto.Unmarshal(value, &m); err != nil {
		return suspect.Record{}, err
	}
	return suspect.DecodeRecord(&m, now)
}

// saveNew saves the refused requests that this instance does not know to be saved. One that
// could not be saved is tried again at the next check.
func (s *suspectStore) saveNew(ctx context.Context) {
	refused := s.replica.Refused()
	stillRefused := map[suspect.Fingerprint]bool{}
	for _, rec := range refused {
		stillRefused[rec.Fingerprint] = true
		if s.saved[rec.Fingerprint] || len(s.saved) >= maxSavedSuspects {
			continue
		}
		if err := s.save(ctx, rec); err != nil {
			metric.Counter("suspect_store_failures_total").Inc(1)
			return
		}
		s.saved[rec.Fingerprint] = true
	}
	for f := range s.saved {
		if !stillRefused[f] {
			delete(s.saved, f)
		}
	}
}

// save writes one refused request under a lease of its own. A key that exists was written
// by the leader before.
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
