package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
)

// memberPrefix holds a key for each live instance, bound to its lease.
const memberPrefix = "redwingknot/instances/"

// memberRange returns the range of the instances' keys.
func memberRange() (from, to string) {
	return memberPrefix, "redwingknot/instances0" // '0' follows '/'
}

const (
	// memberTTL is how long a lost instance's share stays unused.
	memberTTL = 5 * time.Second
	// memberRenewals lets two renewals fail before the lease ends.
	memberRenewals = 3
)

// members keeps this instance's key in the metadata store.
type members struct {
	kv      metastore.KV
	self    string
	address string // for other instances
	ttl     time.Duration
}

// run registers the instance again whenever its lease has ended.
func (m *members) run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := m.register(ctx)
		if err != nil {
			metric.Counter("member_failures_total").Inc(1)
			timer.Sleep(ctx, failedPause+rand.N(failedPause))
			continue
		}
		m.keep(ctx, lease)
	}
	return nil
}

func (m *members) register(ctx context.Context) (metastore.LeaseID, error) {
	lease, err := m.kv.Grant(ctx, purposeMembers, m.ttl)
	if err != nil {
		return 0, err
	}
	_, err = m.kv.Create(ctx, purposeMembers, memberPrefix+m.self, []byte(m.address), lease)
	if metastore.IsCause(err, metastore.CauseExists) {
		// A key of this instance's earlier process ends with that one's lease.
		timer.Sleep(ctx, m.ttl/memberRenewals)
	}
	return lease, err
}

// keep renews the lease until it has ended.
func (m *members) keep(ctx context.Context, lease metastore.LeaseID) {
	for ctx.Err() == nil {
		timer.Sleep(ctx, m.ttl/memberRenewals)
		_, err := m.kv.KeepAlive(ctx, purposeMembers, lease)
		if metastore.IsCause(err, metastore.CauseLeaseExpired) {
			return
		}
		if err != nil {
			metric.Counter("member_failures_total").Inc(1)
		}
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := m.kv.Revoke(end, purposeMembers, lease); err != nil {
		metric.Counter("member_failures_total").Inc(1)
	}
}
