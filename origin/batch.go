package origin

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/origin/originpb"
)

// Bounds of a batch of records in the metadata store.
const (
	// MaxBatchRecords bounds a batch to some 14 KB, which takes 11 ms on a link of
	// 10 Mbit/s.
	MaxBatchRecords = 1024
	// MaxRecordLife is the longest time for which a record is kept. It is above the
	// timeouts of all routes.
	MaxRecordLife = 10 * time.Minute
)

// EncodeBatch returns the value that holds records, which expire after now.
func EncodeBatch(records []Record, now time.Time) ([]byte, error) {
	m := &originpb.Batch{}
	for _, rec := range records {
		index := slices.Index(m.Versions, uint64(rec.Version))
		if index < 0 {
			index = len(m.Versions)
			m.Versions = append(m.Versions, uint64(rec.Version))
		}
		m.Streams = append(m.Streams, uint64(rec.Stream))
		m.VersionIndexes = append(m.VersionIndexes, uint32(index))
		m.ExpireMs = append(m.ExpireMs, uint32(min(max(rec.Expires.Sub(now), 0), MaxRecordLife).Milliseconds()))
	}
	return proto.Marshal(m)
}

// DecodeBatch returns the records that a value holds. How long ago it was written is not
// known, because the clocks of instances can't be compared; a record that is kept too long
// does no harm.
func DecodeBatch(value []byte, now time.Time) ([]Record, error) {
	var m originpb.Batch
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, &InvalidError{Detail: err.Error()}
	}
	n := len(m.Streams)
	if n > MaxBatchRecords || len(m.VersionIndexes) != n || len(m.ExpireMs) != n {
		return nil, &InvalidError{Detail: fmt.Sprintf("lists of %d, %d and %d entries", n, len(m.VersionIndexes), len(m.ExpireMs))}
	}
	records := make([]Record, n)
	for i := range n {
		index, life := int(m.VersionIndexes[i]), time.Duration(m.ExpireMs[i])*time.Millisecond
		if index >= len(m.Versions) || m.Versions[index] == 0 || life > MaxRecordLife {
			return nil, &InvalidError{Detail: fmt.Sprintf("record %d", i)}
		}
		records[i] = Record{Stream: Stream(m.Streams[i]), Version: Version(m.Versions[index]), Expires: now.Add(life), Saved: true}
	}
	return records, nil
}

// Unsaved returns the latest records of the given versions that are not known to be in the
// metadata store, at most limit. If not all can be saved, the latest streams go on longest.
func (r *Registry) Unsaved(versions map[Version]bool, limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var list []Record
	for i := len(r.order) - 1; i >= 0 && len(list) < limit; i-- {
		if rec := r.records[r.order[i]]; !rec.Saved && versions[rec.Version] && now.Before(rec.Expires) {
			list = append(list, rec)
		}
	}
	return list
}

// MarkSaved records that records are in the metadata store.
func (r *Registry) MarkSaved(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if known, ok := r.records[rec.Stream]; ok && known.Version == rec.Version {
			known.Saved = true
			r.records[rec.Stream] = known
		}
	}
}

// Timing and volume of batches.
const (
	// batchInterval is the time between the batches of a row, in which records are known
	// only to processes that may all end.
	batchInterval = 250 * time.Millisecond
	// fullRateRows is the number of rows up to which each writes its batches at
	// batchInterval. Each batch is delivered to all instances, with about 170 B of its own
	// in the store's encoding; 16 a second are 2.7 KB/s.
	fullRateRows = 4
	// savedPerSecond bounds the records that all rows save, of 16 B each in the store's
	// encoding, so that batches take no more than the 8 KB/s that an instance has for
	// control. In the deployments that are known, at most 329 streams a second begin that
	// callers may take up.
	savedPerSecond = 330
	// savedBurst is the number of records that a row saves beyond that, so that its first
	// batches hold all records.
	savedBurst = 4096
)

// BatchPlan decides when a row saves its records, and how many. The zero value may save
// savedBurst. It must be used by one goroutine.
type BatchPlan struct {
	used  float64 // of savedBurst
	until time.Time
}

// Interval returns the time between the batches of each of rows.
func (BatchPlan) Interval(rows int) time.Duration {
	return batchInterval * time.Duration(max(rows, fullRateRows)) / fullRateRows
}

// Size returns the largest number of records that one of rows may save at now.
//
// Load pattern: services with several software versions while thousands of streams begin
// each second. All instances watch all keys, so that a record costs each of them 16 B.
func (p *BatchPlan) Size(rows int, now time.Time) int {
	if !p.until.IsZero() {
		p.used = max(p.used-now.Sub(p.until).Seconds()*savedPerSecond/float64(max(rows, 1)), 0)
	}
	p.until = now
	return min(int(savedBurst-p.used), MaxBatchRecords)
}

// Saved records that a batch of n records was written.
func (p *BatchPlan) Saved(n int) { p.used += float64(n) }
