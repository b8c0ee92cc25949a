package fleetworker

import (
	"bytes"
	"context"
	"time"

	"redwingknot/metastore"
)

const (
	// heartbeatInterval is the time between keepalives of the lease. Each of
	// them also checks whether the entry has changed.
	heartbeatInterval = 300 * time.Millisecond
	// leaseTTL is the time without keepalives after which the entry is removed;
	// grantLease raises it to at least one second.
	leaseTTL = 3 * heartbeatInterval
	// purpose is the label of the calls to the metadata store.
	purpose metastore.Purpose = "endpoint"
)

// Register maintains the endpoint's entry in the metadata store, under a lease,
// until ctx is done.
func (s *Server) Register(ctx context.Context, kv metastore.KV, address, zone string) {
	key := "servers/" + s.options.ID
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var lease metastore.LeaseID
	var revision int64
	var written []byte
	for {
		if lease == 0 {
			lease, written = s.grantLease(ctx, kv), nil
		} else if _, err := kv.KeepAlive(ctx, purpose, lease); metastore.IsCause(err, metastore.CauseLeaseExpired) {
			lease = 0
		}
		// The sequence is always 0, so that the entry is rewritten only when
		// its other values change.
		if entry := s.Entry(address, zone, 0); lease != 0 && !bytes.Equal(entry, written) {
			if newRevision, err := putEntry(ctx, kv, key, entry, revision, lease); err == nil {
				revision, written = newRevision, entry
			} else {
				revision = 0 // the next heartbeat reads the current revision
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// grantLease returns a new lease, or 0 if the store doesn't grant one.
func (s *Server) grantLease(ctx context.Context, kv metastore.KV) metastore.LeaseID {
	lease, err := kv.Grant(ctx, purpose, max(leaseTTL, time.Second))
	if err != nil {
		return 0 // the next heartbeat retries
	}
	return lease
}

// putEntry writes an entry over the given revision and returns the new one. If
// revision is 0, it overwrites the current entry or creates it.
func putEntry(ctx context.Context, kv metastore.KV, key string, value []byte, revision int64, lease metastore.LeaseID) (int64, error) {
	if revision == 0 {
		if e, err := kv.Get(ctx, purpose, key); err == nil {
			revision = e.ModRevision
		}
	}
	if revision == 0 {
		return kv.Create(ctx, purpose, key, value, lease)
	}
	return kv.Swap(ctx, purpose, key, value, revision, lease)
}
