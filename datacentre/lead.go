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

// PurposeLeader labels the key-value service calls made for the leader's lease.
const PurposeLeader metastore.Purpose = "lead"

const leaderKeyPrefix = "lead/"

// Timing of the leader's lease.
const (
	// DefaultLeaseTTL is the default time after which the key-value service ends a
	// lease that is not renewed.
	DefaultLeaseTTL = 6 * time.Second
	// renewalsPerTTL is the number of renewals attempted in one TTL; with 3, two
	// can fail before the lease ends.
	renewalsPerTTL = 3
	// marginDivisor sets the safety margin: the leader stops acting as such
	// TTL/marginDivisor before its lease ends.
	marginDivisor          = 12
	candidacyCheckInterval = 2 * time.Second  // between checks whether this instance is a candidate
	pollInterval           = 10 * time.Second // minimum time between reads of a watched key; a random part of it is added
)

// The delay limit doubles with each failed attempt from minRetryDelay to
// maxRetryDelay, or to the lease's TTL if that is shorter. Each candidate waits
// a random part of it, so that they don't all call a recovering service at once.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

// LeaderElectorConfig configures a Lead. TTL, Now, Rand and Logger are optional.
type LeaderElectorConfig struct {
	KV         metastore.KV
	DataCentre string
	InstanceID string // identifier of this instance, stored as the value of the leader key
	// TTL is the time after which a lease that is not renewed ends; zero means
	// DefaultLeaseTTL.
	TTL time.Duration
	// IsCandidate reports whether this instance should take part in the election.
	// Few instances of a data centre should, so that the number of calls to the
	// platform doesn't grow with the number of instances.
	IsCandidate func() bool
	Now         func() time.Time
	Rand        *rand.Rand
	Logger      *slog.Logger
}

// LeaderElector takes part in the election of a data centre's leader and, once elected,
// keeps the leadership by renewing a lease. Held, Lease and Changed are safe for
// concurrent use.
//
// At any moment Held returns true in at most one instance of a data centre,
// provided that clocks run at the same rate within one part in 50. A process
// that is paused after calling Held may act once its lease has ended; the
// fencing token tells its orders from those of a later leader.
type LeaderElector struct {
	cfg LeaderElectorConfig

	mu              sync.Mutex
	term            *term
	maxFencingToken int64 // highest fencing token of this instance's terms
	changed         chan struct{}
}

// NewLeaderElector returns a Lead, which does nothing until Run is called.
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

// FencingToken returns the fencing token of the current term and whether this instance
// is the leader now; the token is 0 if it is not.
func (l *LeaderElector) FencingToken() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.term.validAt(l.cfg.Now()) {
		return 0, false
	}
	return l.term.fencingToken, true
}

// LeaderLease returns the leader's lease and true while this instance is the leader.
// Keys attached to that lease are removed when it ends.
func (l *LeaderElector) LeaderLease() (metastore.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.term.validAt(l.cfg.Now()) {
		return 0, false
	}
	return l.term.leaseID, true
}

// Changed returns a channel that is closed when this instance next gains or
// gives up the leadership.
func (l *LeaderElector) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// setTerm replaces the current term, nil for none, and closes the channel that
// Changed returned.
func (l *LeaderElector) setTerm(t *term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = t
	close(l.changed)
	l.changed = make(chan struct{})
}

// callTimeout returns the timeout of one call to the key-value service.
func (l *LeaderElector) callTimeout() time.Duration { return l.cfg.TTL / renewalsPerTTL }

// safetyMargin returns how long before the end of its lease this instance stops
// acting as the leader.
func (l *LeaderElector) safetyMargin() time.Duration { return l.cfg.TTL / marginDivisor }

// leaderKey returns the key whose holder is the leader of the data centre.
func (l *LeaderElector) leaderKey() string { return leaderKeyPrefix + l.cfg.DataCentre }

// Run takes part in the election until ctx ends. If this instance is the leader
// then, it hands over: it first stops acting as the leader and then removes the
// leader key. Run always returns nil.
func (l *LeaderElector) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if !l.cfg.IsCandidate() {
			l.sleep(ctx, candidacyCheckInterval)
			continue
		}
		err := l.campaign(ctx)
		if err == nil {
			retryDelay = minRetryDelay
			continue
		}
		metric.Counter("lead_attempt_failures_total").Inc(1)
		l.sleep(ctx, l.jitter(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay, l.cfg.TTL)
	}
	return nil
}

// jitter returns a random duration from 0 up to, but not including, limit.
func (l *LeaderElector) jitter(limit time.Duration) time.Duration {
	return time.Duration(l.cfg.Rand.Int64N(int64(limit)))
}

// sleep waits for d or until ctx ends.
func (l *LeaderElector) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// campaign makes one attempt to become the leader. While another instance holds
// the leader key, it waits for the removal of that key; if the key is absent, it
// creates the key and maintains the lease for as long as it can.
func (l *LeaderElector) campaign(ctx context.Context) error {
	rev, free, err := l.readLeaderKey(ctx)
	if err != nil {
		return err
	}
	if !free {
		return l.awaitRelease(ctx, rev)
	}
	t, err := l.acquire(ctx)
	if err != nil {
		return err
	}
	l.maintainLease(ctx, t)
	return nil
}

// readLeaderKey reports whether the leader key is absent, and returns the revision
// of the read, from which to watch the key.
func (l *LeaderElector) readLeaderKey(ctx context.Context) (rev int64, free bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	entries, rev, err := l.cfg.KV.Range(ctx, PurposeLeader, l.leaderKey(), l.leaderKey()+"\x00", 1)
	if err != nil {
		return 0, false, errors.Wrap(err, "read leader key")
	}
	return rev, len(entries) == 0, nil
}

// awaitRelease waits until the leader key is removed and returns nil. It also
// returns nil when ctx ends and after one to two times pollInterval, so that the
// key is read again even if the watch no longer delivers changes. It returns an
// error if the watch can't be started or breaks.
func (l *LeaderElector) awaitRelease(ctx context.Context, rev int64) error {
	ctx, cancel := context.WithTimeout(ctx, pollInterval+l.jitter(pollInterval))
	defer cancel()
	changes, err := l.cfg.KV.Watch(ctx, PurposeLeader, l.leaderKey(), l.leaderKey()+"\x00", rev)
	if err != nil {
		return errors.Wrap(err, "watch leader key")
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case change, ok := <-changes:
			if !ok && ctx.Err() == nil {
				return &metastore.UnknownOutcomeError{Op: "watch", Key: l.leaderKey(), Err: context.Canceled}
			}
			if !ok || change.Deleted {
				return nil
			}
		}
	}
}

// acquire obtains a lease and creates the leader key with it. The term is counted
// from the time before the lease was requested.
func (l *LeaderElector) acquire(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	sentAt := l.cfg.Now()
	leaseID, err := l.cfg.KV.Grant(ctx, PurposeLeader, l.cfg.TTL)
	if err != nil {
		return nil, errors.Wrap(err, "grant leader lease")
	}
	fencingToken, err := l.createLeaderKey(ctx, leaseID)
	if err != nil {
		l.revokeLease(ctx, leaseID)
		return nil, err
	}
	t := &term{leaseID: leaseID, fencingToken: fencingToken, ttl: l.cfg.TTL}
	t.extend(sentAt, l.cfg.TTL, l.safetyMargin())
	return t, nil
}

// createLeaderKey creates the leader key and returns its create revision, which
// is the fencing token. If the outcome of the call is unknown, it reads the key
// back: the call succeeded if the key is attached to leaseID.
func (l *LeaderElector) createLeaderKey(ctx context.Context, leaseID metastore.LeaseID) (int64, error) {
	fencingToken, err := l.cfg.KV.Create(ctx, PurposeLeader, l.leaderKey(), []byte(l.cfg.InstanceID), leaseID)
	var unknown *metastore.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return fencingToken, errors.Wrap(err, "create leader key")
	}
	entry, readErr := l.cfg.KV.Get(ctx, PurposeLeader, l.leaderKey())
	if readErr != nil || entry.Lease != leaseID {
		return 0, errors.Wrap(err, "create leader key")
	}
	return entry.CreateRevision, nil
}

// revokeLease ends a lease that is no longer needed, also after ctx has ended. A
// failure is only counted: the lease then ends after its TTL.
func (l *LeaderElector) revokeLease(ctx context.Context, leaseID metastore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.callTimeout())
	defer cancel()
	if err := l.cfg.KV.Revoke(ctx, PurposeLeader, leaseID); err != nil {
		metric.Counter("lead_revoke_failures_total").Inc(1)
	}
}

// maintainLease renews the lease until it can't be renewed in time or ctx ends.
// The leader stays even if other instances now rank above it as candidates,
// because a change of leader interrupts orders in the data centre.
func (l *LeaderElector) maintainLease(ctx context.Context, t *term) {
	l.beginTerm(t)
	for l.canRenew(ctx, t) {
		l.sleep(ctx, l.cfg.TTL/renewalsPerTTL)
		if ctx.Err() != nil {
			break
		}
		if !l.renewLease(ctx, t) {
			l.setTerm(nil)
			event.LeadLost.Log(l.cfg.Logger, slog.Int64("fence", t.fencingToken))
			return
		}
	}
	l.resign(ctx, t)
}

// beginTerm makes t the current term. It logs a fencing token that is not above
// the tokens of earlier terms.
func (l *LeaderElector) beginTerm(t *term) {
	l.mu.Lock()
	regressed := t.fencingToken <= l.maxFencingToken
	l.maxFencingToken = max(l.maxFencingToken, t.fencingToken)
	l.mu.Unlock()
	if regressed {
		event.LeadFencingTokenReverted.Log(l.cfg.Logger, slog.Int64("fence", t.fencingToken))
	}
	l.setTerm(t)
	event.LeadTaken.Log(l.cfg.Logger, slog.Int64("fence", t.fencingToken))
}

// canRenew reports whether ctx has not ended and t is still valid.
func (l *LeaderElector) canRenew(ctx context.Context, t *term) bool {
	return ctx.Err() == nil && t.validAt(l.cfg.Now())
}

// renewLease repeats the keep-alive call until it succeeds, ctx ends or the term is
// over. It returns false only if the term is over.
func (l *LeaderElector) renewLease(ctx context.Context, t *term) bool {
	for l.canRenew(ctx, t) {
		sentAt := l.cfg.Now()
		remaining, err := l.sendKeepAlive(ctx, t.leaseID)
		if err == nil {
			l.extendTerm(t, sentAt, remaining)
			return true
		}
		var refused *metastore.RefusedError
		if errors.As(err, &refused) && refused.Cause == metastore.CauseLeaseExpired {
			return false
		}
		l.sleep(ctx, minRetryDelay/2+l.jitter(minRetryDelay/2))
	}
	return ctx.Err() != nil
}

// sendKeepAlive renews the lease once and returns its remaining time.
func (l *LeaderElector) sendKeepAlive(ctx context.Context, leaseID metastore.LeaseID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	return l.cfg.KV.KeepAlive(ctx, PurposeLeader, leaseID)
}

// extendTerm extends t under the lock.
func (l *LeaderElector) extendTerm(t *term, sentAt time.Time, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.extend(sentAt, remaining, l.safetyMargin())
}

// resign stops acting as the leader and then revokes the lease, which removes the
// leader key so that another instance can be elected.
func (l *LeaderElector) resign(ctx context.Context, t *term) {
	l.setTerm(nil)
	l.revokeLease(ctx, t.leaseID)
	event.LeadGivenUp.Log(l.cfg.Logger, slog.Int64("fence", t.fencingToken))
}
