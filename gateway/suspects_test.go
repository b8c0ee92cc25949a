package gateway

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/metastore/metastoretest"
	"redwingknot/suspect"
)

// refuse records crashes at a replica until it refuses a request.
func refuse(r *suspect.Replica, f suspect.Fingerprint) {
	for _, endpoint := range []string{"e1", "e2", "e3"} {
		r.RecordCrash(suspect.Subject{Fingerprint: f, Depth: suspect.WholeRequest}, suspect.Crash{Endpoint: endpoint, Round: r.Lookup(f).Rounds + 1})
	}
}

// savedSuspects returns all refused requests in the metadata store, as a watcher that has
// just started does.
func savedSuspects(t *testing.T, content *metastoretest.Store) fleet.Delta {
	from, to := suspectRange()
	entries, _, err := content.Client("test").Range(t.Context(), purposeSuspects, from, to, 0)
	assert.NilError(t, err)
	return fleet.Delta{Changed: entries}
}

// TestRefusedRequestsOutliveInstances has a leader save a refused request while the
// metadata store is away at first. An instance that starts later must refuse it, until the
// refusal ends.
func TestRefusedRequestsOutliveInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		newStore := func(leads bool) *suspectStore {
			replica := suspect.NewReplica(suspect.Config{CompanyCrashLimit: maxCrashesInCompany}, time.Now)
			return newSuspectStore(content.Client("test"), replica, time.Now, func() bool { return leads }, slog.New(slog.DiscardHandler))
		}
		f, harmless := suspect.FingerprintOf(suspect.RequestIdentity{Target: "x"}), suspect.FingerprintOf(suspect.RequestIdentity{Target: "y"})
		leader, follower := newStore(true), newStore(false)
		for _, s := range []*suspectStore{leader, follower} {
			go s.run(t.Context())
			refuse(s.replica, f)
			s.replica.RecordCrash(suspect.Subject{Fingerprint: harmless, Depth: suspect.WholeRequest}, suspect.Crash{Endpoint: "e1", Round: 1})
		}
		content.SetDown(true)
		time.Sleep(5 * suspectSaveInterval)
		assert.Equal(t, len(content.Keys()), 0)
		content.SetDown(false)
		time.Sleep(2 * suspectSaveInterval)
		assert.Equal(t, len(content.Keys()), 1)
		later := newStore(false)
		later.apply(savedSuspects(t, content))
		assert.Equal(t, later.replica.Lookup(f).Verdict, suspect.Refused)
		assert.Equal(t, later.replica.Lookup(harmless).Verdict, suspect.Clear)
		time.Sleep(suspect.CompanyRefusalTime + 5*suspectSaveInterval)
		content.ExpireLeases()
		assert.Equal(t, len(content.Keys()), 0)
		assert.Equal(t, later.replica.Lookup(f).Verdict, suspect.Trial)
	})
}

// TestRefusalIsSavedWithoutLeader has an instance that is not the leader refuse a request
// that the leader does not know of: it must save the refusal, also after the metadata store
// has lost it.
func TestRefusalIsSavedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		replica := suspect.NewReplica(suspect.Config{CompanyCrashLimit: maxCrashesInCompany}, time.Now)
		s := newSuspectStore(content.Client("test"), replica, time.Now, func() bool { return false }, slog.New(slog.DiscardHandler))
		go s.run(t.Context())
		f := suspect.FingerprintOf(suspect.RequestIdentity{Target: "x"})
		refuse(s.replica, f)
		time.Sleep(followerSaveDelay + 2*suspectSaveInterval)
		assert.Equal(t, len(content.Keys()), 1)
		content.ExpireLeases()
		s.apply(fleet.Delta{Removed: []string{suspectPrefix + f.String()}})
		time.Sleep(2 * suspectSaveInterval)
		assert.Equal(t, len(content.Keys()), 1)
	})
}
