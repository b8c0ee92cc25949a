package fleetworker

import (
	"bytes"
	"context"
	"time"

	"redwingknot/metastore"
)

const (
	// heartbeat is the time between looks whether the entry has changed.
	heartbeat = 300 * time.Millisecond
	// lapse is the silence after which the entry is gone.
	lapse = 3 * heartbeat
	// purpose labels the calls to the store.
	purpose metastore.Purpose = "endpoint"
)

// Register keeps the endpoint's entry in the metadata store until ctx ends.
func (s *Server) Register(ctx context.Context, kv metastore.KV, address, zone string) {
	key := "servers/" + s.o.ID
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	var lease metastore.LeaseID
	var revision int64
	var written []byte
	for {
		if lease == 0 {
			lease, written = s.grant(ctx, kv), nil
		} else if _, err := kv.KeepAlive(ctx, purpose, lease); metastore.IsCause(err, metastore.CauseLeaseExpired) {
			lease = 0
		}
		// The count of heartbeats stays out: entries change with what they say.
		if entry := s.Entry(address, zone, 0); lease != 0 && !bytes.Equal(entry, written) {
			if r, err := put(ctx, kv, key, entry, revision, lease); err == nil {
				revision, written = r, entry
			} else {
				revision = 0 // read at the next heartbeat
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// grant returns a new lease, 0 if the store gives none now.
func (s *Server) grant(ctx context.Context, kv metastore.KV) metastore.LeaseID {
	lease, err := kv.Grant(ctx, purpose, max(lapse, time.Second))
	if err != nil {
		return 0 // tried again at the next heartbeat
	}
	return lease
}

// put writes an entry over the revision known, or whatever is there.
func put(ctx context.Context, kv metastore.KV, key string, value []byte, revision int64, lease metastore.LeaseID) (int64, error) {
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
