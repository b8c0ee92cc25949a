package datacentre

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/metastore"
	"redwingknot/metric"
)

// PurposeLeader labels the platform calls of the lead's lease.
const PurposeLeader metastore.Purpose = "lead"

const leadPrefix = "lead/"

// Timing of the lease.
const (
	// DefaultLeaseTTL is the default time after which the service ends a lease not
	// renewed.
	DefaultLeaseTTL = 6 * time.Second
	// renewalsPerTTL lets two renewals fail before the lease ends.
	renewalsPerTTL = 3
	// marginPerTTL is the part of a lease at whose end the holder no longer acts.
	marginPerTTL = 12
	idleInterval = 2 * time.Second  // between checks whether to stand as a candidate
	pollInterval = 10 * time.Second // between reads of a watched key
)

// The delay between attempts doubles from retryMin to retryMax; each attempt
// waits a random part of it, so that a service that comes back is not asked by
// all at once.
const (
	retryMin = 500 * time.Millisecond
	retryMax = 8 * time.Second
)

// LeaderElectorConfig is what a Lead needs. Now, Rand and Logger may be left out.
type LeaderElectorConfig struct {
	KV         metastore.KV
	DataCentre string
	InstanceID string // identifier of this instance
	// TTL is the time after which a lease not renewed ends, DefaultLeaseTTL if zero.
	TTL time.Duration
	// IsCandidate reports whether this instance should stand. Few instances of a
	// data centre do, so that the platform's calls don't grow with instances.
	IsCandidate func() bool
	Now         func() time.Time
	Rand        *rand.Rand
	Logger      *slog.Logger
}

// LeaderElector stands for the lead of a data centre and holds it by a lease. Held is
// safe for concurrent use.
//
// At most one instance of a data centre finds Held true at any moment, if
// clocks run at the same rate within one part in 50. A paused process may act
// after its check; the fencing number tells its orders from later ones.
type LeaderElector struct {
	cfg LeaderElectorConfig

	mu      sync.Mutex
	tenure  *tenure
	fence   int64 // highest fencing number seen
	changed chan struct{}
}

// NewLeaderElector returns a Lead that does nothing before Run.
func NewLeaderElector(cfg LeaderElectorConfig) *LeaderElector {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultLeaseTTL
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &LeaderElector{cfg: cfg, changed: make(chan struct{})}
}

// FencingToken returns the fencing number of the lead, and whether this instance holds
// it now.
func (l *LeaderElector) FencingToken() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tenure.heldAt(l.cfg.Now()) {
		return 0, false
	}
	return l.tenure.fence, true
}

// LeaderLease returns the lease of the lead while this instance holds it, for keys
// that are to end with it.
func (l *LeaderElector) LeaderLease() (metastore.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tenure.heldAt(l.cfg.Now()) {
		return 0, false
	}
	return l.tenure.lease, true
}

// Changed returns a channel that is closed when the lead is taken or given up.
func (l *LeaderElector) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// set replaces the tenure and wakes those who wait for a change.
func (l *LeaderElector) set(t *tenure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenure = t
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *LeaderElector) callTimeout() time.Duration { return l.cfg.TTL / renewalsPerTTL }

func (l *LeaderElector) margin() time.Duration { return l.cfg.TTL / marginPerTTL }

func (l *LeaderElector) key() string { return leadPrefix + l.cfg.DataCentre }

// Run stands for the lead until ctx ends, and then hands it over: it stops
// acting first and removes the key afterwards.
func (l *LeaderElector) Run(ctx context.Context) error {
	retry := retryMin
	for ctx.Err() == nil {
		if !l.cfg.IsCandidate() {
			l.sleep(ctx, idleInterval)
			continue
		}
		err := l.stand(ctx)
		if err == nil {
			retry = retryMin
			continue
		}
		metric.Counter("lead_attempt_failures_total").Inc(1)
		l.sleep(ctx, l.jitter(retry))
		retry = min(2*retry, retryMax, l.cfg.TTL)
	}
	return nil
}

func (l *LeaderElector) jitter(d time.Duration) time.Duration {
	return time.Duration(l.cfg.Rand.Int64N(int64(d)))
}

// sleep waits for d or the end of ctx.
func (l *LeaderElector) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// stand makes one attempt: it waits while another leads, takes a free key and
// holds it as long as it can.
func (l *LeaderElector) stand(ctx context.Context) error {
	rev, free, err := l.look(ctx)
	if err != nil {
		return err
	}
	if !free {
		return l.await(ctx, rev)
	}
	t, err := l.take(ctx)
	if err != nil {
		return err
	}
	l.hold(ctx, t)
	return nil
}

// look reads the key. It returns the revision to watch from.
func (l *LeaderElector) look(ctx context.Context) (rev int64, free bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	entries, rev, err := l.cfg.KV.Range(ctx, PurposeLeader, l.key(), l.key()+"\x00", 1)
	if err != nil {
		return 0, false, errors.Wrap(err, "read lead")
	}
	return rev, len(entries) == 0, nil
}

// await returns when the key is removed, when the watch breaks, or after
// pollInterval, which bounds the harm of a watch that fell silent.
func (l *LeaderElector) await(ctx context.Context, rev int64) error {
	ctx, cancel := context.WithTimeout(ctx, pollInterval+l.jitter(pollInterval))
	defer cancel()
	changes, err := l.cfg.KV.Watch(ctx, PurposeLeader, l.key(), l.key()+"\x00", rev)
	if err != nil {
		return errors.Wrap(err, "watch lead")
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case c, ok := <-changes:
			if !ok && ctx.Err() == nil {
				return &metastore.UnknownOutcomeError{Op: "watch", Key: l.key(), Err: context.Canceled}
			}
			if !ok || c.Deleted {
				return nil
			}
		}
	}
}

// take grants a lease and creates the key with it. The lease is counted from
// before its request was sent.
func (l *LeaderElector) take(ctx context.Context) (*tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	sent := l.cfg.Now()
	id, err := l.cfg.KV.Grant(ctx, PurposeLeader, l.cfg.TTL)
	if err != nil {
		return nil, errors.Wrap(err, "grant lease")
	}
	fence, err := l.create(ctx, id)
	if err != nil {
		l.revoke(ctx, id)
		return nil, err
	}
	t := &tenure{lease: id, fence: fence, ttl: l.cfg.TTL}
	t.extend(sent, l.cfg.TTL, l.margin())
	return t, nil
}

// create writes the key and returns its create revision. After a lost answer
// the key is read back: it is ours if it hangs on our lease.
func (l *LeaderElector) create(ctx context.Context, id metastore.LeaseID) (int64, error) {
	fence, err := l.cfg.KV.Create(ctx, PurposeLeader, l.key(), []byte(l.cfg.InstanceID), id)
	var unknown *metastore.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return fence, errors.Wrap(err, "create lead")
	}
	entry, readErr := l.cfg.KV.Get(ctx, PurposeLeader, l.key())
	if readErr != nil || entry.Lease != id {
		return 0, errors.Wrap(err, "create lead")
	}
	return entry.CreateRevision, nil
}

// revoke ends a lease that is of no use, as well as it can.
func (l *LeaderElector) revoke(ctx context.Context, id metastore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.callTimeout())
	defer cancel()
	if err := l.cfg.KV.Revoke(ctx, PurposeLeader, id); err != nil {
		metric.Counter("lead_revoke_failures_total").Inc(1)
	}
}

// hold keeps the lease until it can't be renewed in time or ctx ends. A holder
// stays when others rank above it as candidates: a change of lead costs the
// data centre a pause in orders.
func (l *LeaderElector) hold(ctx context.Context, t *tenure) {
	l.begin(t)
	for l.renewable(ctx, t) {
		l.sleep(ctx, l.cfg.TTL/renewalsPerTTL)
		if ctx.Err() != nil {
			break
		}
		if !l.renew(ctx, t) {
			l.set(nil)
			event.LeadLost.Log(l.cfg.Logger, slog.Int64("fence", t.fence))
			return
		}
	}
	l.end(ctx, t)
}

func (l *LeaderElector) begin(t *tenure) {
	l.mu.Lock()
	behind := t.fence <= l.fence
	l.fence = max(l.fence, t.fence)
	l.mu.Unlock()
	if behind {
		event.LeadFenceBack.Log(l.cfg.Logger, slog.Int64("fence", t.fence))
	}
	l.set(t)
	event.LeadTaken.Log(l.cfg.Logger, slog.Int64("fence", t.fence))
}

func (l *LeaderElector) renewable(ctx context.Context, t *tenure) bool {
	return ctx.Err() == nil && t.heldAt(l.cfg.Now())
}

// renew repeats the keep-alive until it succeeds or the tenure is over.
func (l *LeaderElector) renew(ctx context.Context, t *tenure) bool {
	for l.renewable(ctx, t) {
		sent := l.cfg.Now()
		remaining, err := l.keepAlive(ctx, t.lease)
		if err == nil {
			l.extend(t, sent, remaining)
			return true
		}
		var refused *metastore.RefusedError
		if errors.As(err, &refused) && refused.Cause == metastore.CauseLeaseExpired {
			return false
		}
		l.sleep(ctx, retryMin/2+l.jitter(retryMin/2))
	}
	return ctx.Err() != nil
}

func (l *LeaderElector) keepAlive(ctx context.Context, id metastore.LeaseID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	return l.cfg.KV.KeepAlive(ctx, PurposeLeader, id)
}

func (l *LeaderElector) extend(t *tenure, sent time.Time, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.extend(sent, remaining, l.margin())
}

// end stops acting as the lead and frees the key for the next.
func (l *LeaderElector) end(ctx context.Context, t *tenure) {
	l.set(nil)
	l.revoke(ctx, t.lease)
	event.LeadHandedOn.Log(l.cfg.Logger, slog.Int64("fence", t.fence))
}
