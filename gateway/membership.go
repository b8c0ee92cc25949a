package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
)

// memberPrefix is the prefix of the live instances' keys. Each key is bound to a
// lease of its instance.
const memberPrefix = "redwingknot/instances/"

// memberRange returns the range of the instances' keys.
func memberRange() (from, to string) {
	return memberPrefix, "redwingknot/instances0" // '0' follows '/'
}

const (
	// memberTTL is the time after which the key of a lost instance is removed. That
	// instance's share of connections and retries stays unused until then.
	memberTTL = 5 * time.Second
	// renewalsPerTTL is the number of renewals in the time of a lease: two may fail
	// before the lease expires.
	renewalsPerTTL = 3
)

// registration keeps the key of this instance in the metadata store while it runs.
type registration struct {
	kv       metastore.KV
	instance string
	address  string // at which other instances reach this one
	ttl      time.Duration
	// revokeTime bounds the call by which the key is removed when the instance ends.
	revokeTime time.Duration
	// coordinates is set if this instance has the processor time to coordinate others.
	coordinates bool
}

const (
	// coordinatorPrefix is the prefix of the keys of the instances that coordinate others by
	// preference. Each key is bound to the lease of its instance.
	coordinatorPrefix = "redwingknot/coordinators/"
	// minCoordinatorCores is the processor time of such an instance. A coordinator of 1,000
	// calls a second, the most that it takes, uses a fifth of it.
	minCoordinatorCores = 0.5
	// coordinatorReadInterval is the time between reads of the keys, which are otherwise
	// watched.
	coordinatorReadInterval = time.Minute
)

// coordinatorRange returns the range of the keys of instances that coordinate others.
func coordinatorRange() (from, to string) {
	return coordinatorPrefix, "redwingknot/coordinators0" // '0' follows '/'
}

// run registers the instance, and again whenever its lease has expired, until ctx
// ends.
func (r *registration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			metric.Counter("member_failures_total").Inc(1)
			timer.Sleep(ctx, retryDelay+rand.N(retryDelay))
			continue
		}
		r.renewUntilExpired(ctx, lease)
	}
	return nil
}

func (r *registration) register(ctx context.Context) (metastore.LeaseID, error) {
	lease, err := r.kv.Grant(ctx, purposeMembers, r.ttl)
	if err != nil {
		return 0, err
	}
	_, err = r.kv.Create(ctx, purposeMembers, memberPrefix+r.instance, []byte(r.address), lease)
	if metastore.IsCause(err, metastore.CauseExists) {
		err = r.takeOver(ctx, memberPrefix+r.instance, lease)
	}
	if err == nil && r.coordinates {
		r.registerCoordinator(ctx, lease)
	}
	return lease, err
}

// registerCoordinator registers the instance as one that coordinates others. If that fails,
// others do.
func (r *registration) registerCoordinator(ctx context.Context, lease metastore.LeaseID) {
	_, err := r.kv.Create(ctx, purposeMembers, coordinatorPrefix+r.instance, []byte(r.address), lease)
	if metastore.IsCause(err, metastore.CauseExists) {
		err = r.takeOver(ctx, coordinatorPrefix+r.instance, lease)
	}
	if err != nil {
		metric.Counter("member_failures_total").Inc(1)
	}
}

// takeOver binds a key of an earlier process of this instance to the lease.
//
// Load pattern: all instances end at once and start again. If each waited until the lease of
// its earlier process has ended, it would be missing for a time, and the others would take
// larger shares of what all have in common.
func (r *registration) takeOver(ctx context.Context, key string, lease metastore.LeaseID) error {
	e, err := r.kv.Get(ctx, purposeMembers, key)
	if err != nil {
		return err
	}
	_, err = r.kv.Swap(ctx, purposeMembers, e.Key, []byte(r.address), e.ModRevision, lease)
	return err
}

// renewUntilExpired renews the lease until it has expired. If ctx ends first, it
// revokes the lease.
func (r *registration) renewUntilExpired(ctx context.Context, lease metastore.LeaseID) {
	for ctx.Err() == nil {
		timer.Sleep(ctx, r.ttl/renewalsPerTTL)
		_, err := r.kv.KeepAlive(ctx, purposeMembers, lease)
		if metastore.IsCause(err, metastore.CauseLeaseExpired) {
			return
		}
		if err != nil {
			metric.Counter("member_failures_total").Inc(1)
		}
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.revokeTime)
	defer cancel()
	if err := r.kv.Revoke(revokeCtx, purposeMembers, lease); err != nil {
		metric.Counter("member_failures_total").Inc(1)
	}
}
