package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
	"redwingknot/origin"
)

const (
	purposeOrigins metastore.Purpose = "origins"
	// originsPrefix is the prefix of the keys that hold origins of streams. Each key is bound
	// to a lease that outlasts the streams.
	originsPrefix = "redwingknot/origins/"
	// originsReadInterval is the time between reads of the keys, which are otherwise watched.
	// A read takes 140 KB while 300 streams a second begin.
	originsReadInterval = 5 * time.Minute
	// batchLeaseReuse is how long batches are bound to the same lease, and how long a key
	// outlasts its records at least. Meanwhile the key gets another batch: a key that expires
	// would be a second change that all instances are told of.
	batchLeaseReuse = 5 * time.Second
	// batchRetryDelay is the time after a batch that the store did not take.
	batchRetryDelay = time.Second
	// maxOriginsWait bounds how long requests wait for the first read of an instance that has
	// just started, from the first such request on. Requests go to it only when it has read
	// the endpoints, so that the other reads have begun.
	maxOriginsWait = time.Second
)

// originsRange returns the range of the keys of origins.
func originsRange() (from, to string) {
	return originsPrefix, "redwingknot/origins0" // '0' follows '/'
}

// originBatches saves the origins of the streams that begin in a row of the exchange in the
// metadata store, while their versions do not follow from the registered ones, and takes over what is
// saved there. So they are known after all instances have ended. The fields after plan are
// used only by run.
type originBatches struct {
	kv         metastore.KV
	registry   *origin.Registry
	registered *origin.Registered
	instance   string
	isWriter   func() bool
	rows       func() int
	now        func() time.Time
	log        *slog.Logger

	readOnce sync.Once
	read     chan struct{} // closed when the keys have been read once
	waitOnce sync.Once
	waitEnds time.Time // no request waits for the first read any longer; set by waitOnce

	plan      origin.BatchPlan
	process   uint32 // distinguishes the keys of this process from those of earlier ones
	number    int
	used      []batchKey        // keys that hold batches of this process, the oldest first
	lease     metastore.LeaseID // 0 for none
	leaseEnds time.Time
	saving    bool // the last check found services whose streams have to be saved
}

// batchKey is a key that holds a batch.
type batchKey struct {
	name     string
	position int64     // at which the batch was written, 0 if the key is new
	expires  time.Time // when the last of its records expires
	removed  time.Time // when its lease ends
}

func newOriginBatches(g *Gateway) *originBatches {
	return &originBatches{
		kv: g.kv, registry: g.origins.Registry, registered: g.software.registered, instance: g.opts.Instance, isWriter: g.exchange.IsRowWriter,
		rows: g.exchange.Rows, now: g.opts.Relay.Now, log: g.log, read: make(chan struct{}), process: rand.Uint32(),
	}
}

// apply takes over what has changed in the metadata store.
func (b *originBatches) apply(d fleet.Delta) {
	for _, e := range d.Changed {
		records, err := origin.DecodeBatch(e.Value, b.now())
		if err != nil {
			metric.Counter("origin_batches_invalid_total").Inc(1)
			event.StoreEntryInvalid.Log(b.log, slog.String("key", e.Key), slog.String("error", err.Error()))
			continue
		}
		b.registry.Merge(records)
	}
}

// markRead records that the keys have been read.
func (b *originBatches) markRead() { b.readOnce.Do(func() { close(b.read) }) }

// waitUntilRead waits until the keys have been read once, or until maxOriginsWait is
// over.
func (b *originBatches) waitUntilRead(ctx context.Context) {
	select {
	case <-b.read:
		return
	default:
	}
	b.waitOnce.Do(func() { b.waitEnds = b.now().Add(maxOriginsWait) })
	metric.Counter("origin_waits_total").Inc(1)
	if wait := b.waitEnds.Sub(b.now()); wait > 0 {
		timer.Wait(ctx, b.read, wait)
	}
}

// run saves records until ctx ends.
func (b *originBatches) run(ctx context.Context) error {
	for timer.Sleep(ctx, b.plan.Interval(b.rows())) {
		if err := b.save(ctx); err != nil {
			metric.Counter("origin_batch_failures_total").Inc(1)
			b.lease, b.used = 0, nil
			timer.Sleep(ctx, batchRetryDelay)
		}
	}
	return nil
}

// save writes a batch of the records that are not saved, if it is up to this instance. A
// batch whose outcome is unknown is written again under another key.
func (b *originBatches) save(ctx context.Context) error {
	versions := b.registered.Ambiguous()
	if saving := len(versions) > 0; saving != b.saving {
		b.saving = saving
		event.OriginsSaved.Log(b.log, slog.Bool("saving", saving))
	}
	if !b.saving || !b.isWriter() {
		return nil
	}
	now := b.now()
	records := b.registry.Unsaved(versions, b.plan.Size(b.rows(), now))
	if len(records) == 0 {
		return nil
	}
	value, err := origin.EncodeBatch(records, now)
	if err != nil {
		return err
	}
	last := slices.MaxFunc(records, func(x, y origin.Record) int { return x.Expires.Compare(y.Expires) }).Expires
	if err := b.ensureLease(ctx, last, now); err != nil {
		return err
	}
	if err := b.write(ctx, b.nextKey(now), value, last); err != nil {
		return err
	}
	b.plan.Saved(len(records))
	b.registry.MarkSaved(records)
	metric.Counter("origin_batches_total").Inc(1)
	metric.Counter("origin_batch_records_total").Inc(int64(len(records)))
	return nil
}

// nextKey returns the key for the next batch: the oldest one if its records have expired, or
// a new one.
func (b *originBatches) nextKey(now time.Time) batchKey {
	for len(b.used) > 0 && b.used[0].expires.Before(now) {
		key := b.used[0]
		b.used = b.used[1:]
		if now.Add(batchRetryDelay).Before(key.removed) {
			return key
		}
	}
	b.number++
	return batchKey{name: fmt.Sprintf("%s%s/%08x-%d", originsPrefix, b.instance, b.process, b.number)}
}

// write writes a batch whose last record expires at the given time.
func (b *originBatches) write(ctx context.Context, key batchKey, value []byte, expires time.Time) (err error) {
	if key.position == 0 {
		key.position, err = b.kv.Create(ctx, purposeOrigins, key.name, value, b.lease)
	} else {
		key.position, err = b.kv.Swap(ctx, purposeOrigins, key.name, value, key.position, b.lease)
	}
	if err != nil {
		return err
	}
	key.expires, key.removed = expires, b.leaseEnds
	b.used = append(b.used, key)
	return nil
}

// ensureLease makes sure that the present lease outlasts records that expire until last.
func (b *originBatches) ensureLease(ctx context.Context, last, now time.Time) error {
	if b.lease != 0 && !b.leaseEnds.Before(last.Add(batchLeaseReuse)) {
		return nil
	}
	ttl := min(last.Sub(now), origin.MaxRecordLife) + 2*batchLeaseReuse
	lease, err := b.kv.Grant(ctx, purposeOrigins, ttl)
	if err != nil {
		return err
	}
	b.lease, b.leaseEnds = lease, now.Add(ttl)
	return nil
}
