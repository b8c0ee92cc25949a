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

// PurposeLeader labels the key-value service calls made for the leader lease.
const PurposeLeader metastore.Purpose = "lead"

const leaderKeyPrefix = "lead/"

// Timing of the leader lease.
const (
	// DefaultLeaseTTL is the default time after which a leader lease that is
	// not renewed expires at the key-value service.
	DefaultLeaseTTL = 6 * time.Second
	// renewalsPerTTL is the number of renewals attempted in one TTL; with 3, two
	// can fail before the lease expires.
	renewalsPerTTL = 3
	// marginDivisor sets the safety margin: the leader stops acting as such
	// TTL/marginDivisor before its lease expires.
	marginDivisor          = 12
	candidacyCheckInterval = 2 * time.Second  // between checks whether this instance is a candidate
	pollInterval           = 10 * time.Second // minimum time between reads of a watched key; a random part of it is added
	standbyPollFactor      = 3                // multiplies pollInterval for an instance with a StandbyDelay
)

// After a failed attempt to become the leader, a candidate waits for a random time,
// so that not all candidates call a recovering service at once. The upper limit of
// that time doubles with each failed attempt from minRetryDelay to maxRetryDelay, or
// to the leader lease's TTL if that is shorter.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

// LeaderElectorConfig configures a LeaderElector. TTL, StandbyDelay, Now, Rand
// and Logger are optional.
type LeaderElectorConfig struct {
	KV         metastore.KV
	DataCentre string
	InstanceID string // identifier of this instance, stored as the value of the leader key
	// TTL is the time after which a leader lease that is not renewed expires; zero means
	// DefaultLeaseTTL.
	TTL time.Duration
	// IsCandidate reports whether this instance should take part in the election.
	// Few instances of a data centre should, so that the number of calls to the
	// key-value service doesn't grow with the number of instances.
	IsCandidate func() bool
	// MustResign reports whether this instance, which leads, can't act as the leader and should
	// hand over; nil if that never happens.
	MustResign func() bool
	// StandbyDelay returns how long this instance leaves a free leader key to other
	// candidates before it creates the key itself. If it is nil, or returns 0, the
	// instance campaigns at once.
	StandbyDelay func() time.Duration
	Now          func() time.Time
	Rand         *rand.Rand
	Logger       *slog.Logger
}

// LeaderElector takes part in the election of a data centre's leader and, once elected,
// stays the leader by renewing the leader lease. FencingToken, LeaderLease and Changed are
// safe for concurrent use.
//
// At any moment FencingToken returns true in at most one instance of a data centre,
// provided that clocks run at the same rate within one part in 50. A process that
// is paused after calling FencingToken may act once its lease has expired; the
// fencing token tells its orders to endpoints from those of a later leader.
type LeaderElector struct {
	cfg LeaderElectorConfig

	mu              sync.Mutex
	term            *term
	maxFencingToken int64 // highest fencing token of this instance's terms
	changed         chan struct{}
}

// NewLeaderElector returns a LeaderElector, which does nothing until Run is called.
func NewLeaderElector(cfg LeaderElectorConfig) *LeaderElector {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultLeaseTTL
	}
	if cfg.StandbyDelay == nil {
		cfg.StandbyDelay = func() time.Duration { return 0 }
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
func (e *LeaderElector) FencingToken() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.term.validAt(e.cfg.Now()) {
		return 0, false
	}
	return e.term.fencingToken, true
}

// LeaderLease returns the leader lease and true while this instance is the leader.
// Keys attached to that lease are removed when it expires or is revoked.
func (e *LeaderElector) LeaderLease() (metastore.LeaseID, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.term.validAt(e.cfg.Now()) {
		return 0, false
	}
	return e.term.leaseID, true
}

// Changed returns a channel that is closed when this instance next becomes or
// stops being the leader.
func (e *LeaderElector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// setTerm replaces the current term, nil for none, and closes the channel that
// Changed returned.
func (e *LeaderElector) setTerm(t *term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term = t
	close(e.changed)
	e.changed = make(chan struct{})
}

// callTimeout returns the timeout of one call to the key-value service.
func (e *LeaderElector) callTimeout() time.Duration { return e.cfg.TTL / renewalsPerTTL }

// safetyMargin returns how long before the end of its lease this instance stops
// acting as the leader.
func (e *LeaderElector) safetyMargin() time.Duration { return e.cfg.TTL / marginDivisor }

// leaderKey returns the key whose holder is the leader of the data centre.
func (e *LeaderElector) leaderKey() string { return leaderKeyPrefix + e.cfg.DataCentre }

// Run takes part in the election until ctx ends. If this instance is the leader
// then, it hands over: it first stops acting as the leader and then removes the
// leader key. Run always returns nil.
func (e *LeaderElector) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if !e.cfg.IsCandidate() {
			e.sleep(ctx, candidacyCheckInterval)
			continue
		}
		err := e.campaign(ctx)
		if err == nil {
			retryDelay = minRetryDelay
			continue
		}
		metric.Counter("lead_attempt_failures_total").Inc(1)
		e.sleep(ctx, e.jitter(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay, e.cfg.TTL)
	}
	return nil
}

// jitter returns a random duration from 0 up to, but not including, limit.
func (e *LeaderElector) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.cfg.Rand.Int64N(int64(limit)))
}

// sleep waits for d or until ctx ends.
func (e *LeaderElector) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// campaign makes one attempt to become the leader. It waits until this instance may
// create the leader key, creates it and maintains the lease for as long as it can.
func (e *LeaderElector) campaign(ctx context.Context) error {
	rev, free, err := e.readLeaderKey(ctx)
	if err != nil {
		return err
	}
	if standbyDelay := e.cfg.StandbyDelay(); !free || standbyDelay > 0 {
		if free, err = e.awaitTurn(ctx, rev, free, standbyDelay); err != nil || !free {
			return err
		}
	}
	if !e.cfg.IsCandidate() {
		return nil // it may have ceased to be one while it waited
	}
	t, err := e.acquire(ctx)
	if err != nil {
		return err
	}
	e.maintainLease(ctx, t)
	return nil
}

// readLeaderKey reports whether the leader key is absent, and returns the revision
// of the read, from which to watch the key.
func (e *LeaderElector) readLeaderKey(ctx context.Context) (rev int64, free bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	entries, rev, err := e.cfg.KV.Range(ctx, PurposeLeader, e.leaderKey(), e.leaderKey()+"\x00", 1)
	if err != nil {
		return 0, false, errors.Wrap(err, "read leader key")
	}
	return rev, len(entries) == 0, nil
}

// awaitTurn waits until the leader key, which was free or not at revision rev, has been
// free for standbyDelay, and then returns true. It returns false when ctx ends, and after
// one to two times pollInterval, or standbyPollFactor times that for a standby, so that
// the key is read again even if the watch no longer delivers changes. It returns an error
// if the watch can't be started or breaks.
//
// Load pattern: hundreds of instances start together, or their leader is lost. If all of
// them campaigned at once, each would make four calls to the service, of which one
// instance's succeed.
func (e *LeaderElector) awaitTurn(ctx context.Context, rev int64, free bool, standbyDelay time.Duration) (bool, error) {
	pollTime := pollInterval + e.jitter(pollInterval)
	if standbyDelay > 0 {
		pollTime *= standbyPollFactor
	}
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	changes, err := e.cfg.KV.Watch(ctx, PurposeLeader, e.leaderKey(), e.leaderKey()+"\x00", rev)
	if err != nil {
		return false, errors.Wrap(err, "watch leader key")
	}
	var turn <-chan time.Time // nil while the key is held
	if free {
		turn = time.After(standbyDelay)
	}
	for {
		select {
		case <-ctx.Done():
			return false, nil
		case <-turn:
			return true, nil
		case change, ok := <-changes:
			switch {
			case !ok && ctx.Err() == nil:
				return false, &metastore.UnknownOutcomeError{Op: "watch", Key: e.leaderKey(), Err: context.Canceled}
			case !ok:
				return false, nil
			case change.Deleted:
				turn = time.After(standbyDelay)
			default:
				turn = nil
			}
		}
	}
}

// acquire obtains a leader lease and creates the leader key with it. The term is counted
// from the time before the lease was requested.
func (e *LeaderElector) acquire(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	sentAt := e.cfg.Now()
	leaseID, err := e.cfg.KV.Grant(ctx, PurposeLeader, e.cfg.TTL)
	if err != nil {
		return nil, errors.Wrap(err, "grant leader lease")
	}
	fencingToken, err := e.createLeaderKey(ctx, leaseID)
	if err != nil {
		e.revokeLease(ctx, leaseID)
		return nil, err
	}
	t := &term{leaseID: leaseID, fencingToken: fencingToken, ttl: e.cfg.TTL}
	t.extend(sentAt, e.cfg.TTL, e.safetyMargin())
	return t, nil
}

// createLeaderKey creates the leader key and returns its create revision, which
// is the fencing token. If the outcome of the call is unknown, it reads the key
// back: the call succeeded if the key is attached to leaseID.
func (e *LeaderElector) createLeaderKey(ctx context.Context, leaseID metastore.LeaseID) (int64, error) {
	fencingToken, err := e.cfg.KV.Create(ctx, PurposeLeader, e.leaderKey(), []byte(e.cfg.InstanceID), leaseID)
	var unknown *metastore.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return fencingToken, errors.Wrap(err, "create leader key")
	}
	entry, readErr := e.cfg.KV.Get(ctx, PurposeLeader, e.leaderKey())
	if readErr != nil || entry.Lease != leaseID {
		return 0, errors.Wrap(err, "create leader key")
	}
	return entry.CreateRevision, nil
}

// revokeLease revokes a lease that is no longer needed, also after ctx has ended. A
// failure is only counted: the lease then expires after its TTL.
func (e *LeaderElector) revokeLease(ctx context.Context, leaseID metastore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.callTimeout())
	defer cancel()
	if err := e.cfg.KV.Revoke(ctx, PurposeLeader, leaseID); err != nil {
		metric.Counter("lead_revoke_failures_total").Inc(1)
	}
}

// maintainLease renews the leader lease until it can't be renewed in time or ctx ends.
// The leader stays even if other instances now rank above it as candidates,
// because a change of leader interrupts the orders to the data centre's endpoints.
func (e *LeaderElector) maintainLease(ctx context.Context, t *term) {
	e.beginTerm(t)
	for e.canRenew(ctx, t) {
		e.sleep(ctx, e.cfg.TTL/renewalsPerTTL)
		if ctx.Err() != nil || e.cfg.MustResign != nil && e.cfg.MustResign() {
			break
		}
		if !e.renewLease(ctx, t) {
			e.setTerm(nil)
			event.LeadLost.Log(e.cfg.Logger, slog.Int64("fence", t.fencingToken))
			return
		}
	}
	e.resign(ctx, t)
}

// beginTerm makes t the current term. It logs a fencing token that is not above
// the tokens of earlier terms.
func (e *LeaderElector) beginTerm(t *term) {
	e.mu.Lock()
	regressed := t.fencingToken <= e.maxFencingToken
	e.maxFencingToken = max(e.maxFencingToken, t.fencingToken)
	e.mu.Unlock()
	if regressed {
		event.LeadFencingTokenReverted.Log(e.cfg.Logger, slog.Int64("fence", t.fencingToken))
	}
	e.setTerm(t)
	event.LeadTaken.Log(e.cfg.Logger, slog.Int64("fence", t.fencingToken))
}

// canRenew reports whether ctx has not ended and t is still valid.
func (e *LeaderElector) canRenew(ctx context.Context, t *term) bool {
	return ctx.Err() == nil && t.validAt(e.cfg.Now())
}

// renewLease retries the keep-alive call until it succeeds, ctx ends or the term is
// over. It returns false only if the term is over.
func (e *LeaderElector) renewLease(ctx context.Context, t *term) bool {
	for e.canRenew(ctx, t) {
		sentAt := e.cfg.Now()
		remaining, err := e.sendKeepAlive(ctx, t.leaseID)
		if err == nil {
			e.extendTerm(t, sentAt, remaining)
			return true
		}
		var refused *metastore.RefusedError
		if errors.As(err, &refused) && refused.Cause == metastore.CauseLeaseExpired {
			return false
		}
		e.sleep(ctx, minRetryDelay/2+e.jitter(minRetryDelay/2))
	}
	return ctx.Err() != nil
}

// sendKeepAlive renews the leader lease once and returns its remaining time.
func (e *LeaderElector) sendKeepAlive(ctx context.Context, leaseID metastore.LeaseID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	return e.cfg.KV.KeepAlive(ctx, PurposeLeader, leaseID)
}

// extendTerm extends t under the lock.
func (e *LeaderElector) extendTerm(t *term, sentAt time.Time, remaining time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.extend(sentAt, remaining, e.safetyMargin())
}

// resign stops acting as the leader and then revokes the leader lease, which removes the
// leader key so that another instance can be elected.
func (e *LeaderElector) resign(ctx context.Context, t *term) {
	e.setTerm(nil)
	e.revokeLease(ctx, t.leaseID)
	event.LeadGivenUp.Log(e.cfg.Logger, slog.Int64("fence", t.fencingToken))
}
