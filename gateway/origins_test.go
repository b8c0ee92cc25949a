package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
	"redwingknot/origin"
)

// originInstance is what one instance knows of the origins of streams of the service s, with
// its own connection to the metadata store.
type originInstance struct {
	origin.Local
	kv       *metastoretest.KV
	software *softwareStore
	batches  *originBatches
	end      func()
}

const testRouteTimeout = 4 * time.Second

// startOriginInstance starts an instance that reads the store and sees endpoints of versions.
func startOriginInstance(t *testing.T, content *metastoretest.Store, name string, versions ...origin.Version) *originInstance {
	i := &originInstance{Local: origin.NewLocal(time.Now), kv: content.Client(name)}
	config := fleet.NewConfig(1, []*fleet.Route{{
		Host: "h", Kind: fleet.KindStream, Resumable: true, Timeout: testRouteTimeout, Shares: []fleet.Share{{Service: "s", Weight: 1}},
	}})
	log := slog.New(slog.DiscardHandler)
	i.software = &softwareStore{
		kv: i.kv, era: func() int64 { return 0 }, registered: origin.NewRegistered(), history: i.History, now: time.Now, log: log,
		config: func() *fleet.Config { return config }, delay: func() time.Duration { return 0 }, onChange: func() {}, inTouchSince: time.Now(),
		wantedSince: map[string]time.Time{}, unregistered: map[string]bool{}, pending: map[string]*freshRead{}, lastRead: map[string]time.Time{},
	}
	i.batches = &originBatches{
		kv: i.kv, registry: i.Registry, registered: i.software.registered, instance: name, isWriter: func() bool { return true },
		rows: func() int { return 1 }, now: time.Now, log: log, read: make(chan struct{}), process: 7,
	}
	i.software.apply(entriesOf(t, i.kv, softwareRange))
	i.batches.apply(entriesOf(t, i.kv, originsRange))
	ctx, cancel := context.WithCancel(t.Context())
	i.end = cancel
	go i.software.run(ctx, func() { i.Observe("s", versions, time.Now()) })
	go i.batches.run(ctx)
	return i
}

// entriesOf returns what a watcher that has just started reads.
func entriesOf(t *testing.T, kv metastore.KV, keys func() (from, to string)) fleet.Delta {
	from, to := keys()
	entries, _, err := kv.Range(t.Context(), "test", from, to, 0)
	assert.NilError(t, err)
	return fleet.Delta{Changed: entries}
}

func (i *originInstance) begin(s origin.Stream, v origin.Version) {
	i.Begin(origin.Record{Stream: s, Version: v, Expires: time.Now().Add(testRouteTimeout)})
}

// TestOriginsOutliveAllInstances guards against the loss of records that wait for a store
// that is away or loses its answers, of those that began before the second version appeared,
// and against writes while there is one version. All instances then end.
func TestOriginsOutliveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		a := startOriginInstance(t, content, "a", 1)
		time.Sleep(2*testRouteTimeout + time.Second)
		a.begin(1, 1)
		time.Sleep(time.Second)
		assert.Equal(t, len(content.Keys()), 1, "records are written while there is one version")

		b := startOriginInstance(t, content, "b", 1, 2)
		time.Sleep(registerInterval + time.Millisecond)
		b.software.apply(entriesOf(t, b.kv, softwareRange))
		a.software.apply(entriesOf(t, a.kv, softwareRange))
		a.kv.SetDisconnected(true)
		a.begin(2, 2)
		time.Sleep(time.Second)
		a.kv.SetDisconnected(false)
		a.kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
			a.kv.SetHook(nil)
			return metastoretest.LostResponse
		})
		time.Sleep(2 * batchRetryDelay)

		a.end()
		b.end()
		restarted := startOriginInstance(t, content, "a", 2)
		for s, want := range map[origin.Stream]origin.Version{1: 1, 2: 2} {
			v, known := restarted.Version(s)
			assert.Check(t, known && v == want, "stream %d", s)
		}
		_, known := restarted.software.sole(t.Context(), "s")
		assert.Check(t, !known, "endpoints of the other version may have left a moment ago")
		time.Sleep(4*testRouteTimeout + time.Second)
		v, known := restarted.software.sole(t.Context(), "s")
		assert.Check(t, known && v == 2, "the streams of the version that left have ended")
	})
}

// TestVersionFollowsFromSetAfterRestart guards against refusals for two route timeouts after
// the restart of all instances of a service that has had one version, and against an answer
// from a set that was read before another instance registered a version.
func TestVersionFollowsFromSetAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		first := startOriginInstance(t, content, "a", 1)
		time.Sleep(2*testRouteTimeout + time.Second)
		first.end()
		restarted := startOriginInstance(t, content, "a", 1)
		v, known := restarted.software.sole(t.Context(), "s")
		assert.Check(t, known && v == 1)
		startOriginInstance(t, content, "b", 1, 2)
		time.Sleep(registerInterval + time.Millisecond)
		_, known = restarted.software.sole(t.Context(), "s")
		assert.Check(t, !known, "its copy of the set has one version, the store's has two")
		restarted.kv.SetDisconnected(true)
		_, known = restarted.software.sole(t.Context(), "s")
		assert.Check(t, !known, "the store does not answer")
	})
}

// TestVersionDoesNotFollowWhileAnotherIsRegistered guards against streams that are joined with
// a run of the only version that an instance has seen, because it hears of another one's
// endpoints later than the instance at which they began.
func TestVersionDoesNotFollowWhileAnotherIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		a := startOriginInstance(t, content, "a", 1)
		known := &origins{Local: a.Local, gateway: &Gateway{view: fleet.NewView(), software: a.software}}
		time.Sleep(2*testRouteTimeout + time.Second)
		assert.Check(t, known.follows(t.Context()), "one version for long enough")
		b := startOriginInstance(t, content, "b", 1, 2)
		time.Sleep(registerInterval + time.Millisecond)
		assert.Check(t, !known.follows(t.Context()), "the store names a version that this instance has not seen")
		b.end()
		for range 5 * testRouteTimeout / time.Second {
			time.Sleep(time.Second)
			a.software.apply(entriesOf(t, a.kv, softwareRange))
		}
		assert.Check(t, known.follows(t.Context()), "the streams of the other version have ended")
	})
}

// follows reports whether an instance concludes the version of a stream of which it has no
// record, when the request for it has just arrived.
func (o *origins) follows(ctx context.Context) bool {
	_, known := o.Sole(ctx, "s", time.Now().Add(-2*testRouteTimeout))
	return known
}

// TestVersionDoesNotFollowFromStaleHistory guards against streams that are joined with a run of
// the only version that an instance knows, because its history ends before another one's
// endpoints have joined. In step it knows the version while there is only one.
func TestVersionDoesNotFollowFromStaleHistory(t *testing.T) {
	for _, c := range []struct {
		name        string
		paused      bool // until the request arrives
		unreachable bool // the instance has noticed that the store does not answer
	}{
		{"the store has just gone silent", false, false},
		{"the store is known to be silent, all peers are in reach", false, true},
		{"paused, and the store is silent", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				content := metastoretest.NewStore(time.Now)
				a := startOriginInstance(t, content, "a", 1)
				g := &Gateway{view: fleet.NewView(), software: a.software}
				known := &origins{Local: a.Local, gateway: g}
				time.Sleep(2*testRouteTimeout + time.Second)
				assert.Check(t, known.follows(t.Context()), "in step, one version")

				if c.paused {
					a.end()
				}
				a.kv.SetDisconnected(true)
				if c.unreachable {
					g.view.MarkStoreUnreachable()
				}
				startOriginInstance(t, content, "b", 1, 2)
				time.Sleep(registerInterval + time.Millisecond)
				assert.Check(t, !known.follows(t.Context()), "its history does not reach up to the request")

				a.kv.SetDisconnected(false)
				g.view.MarkStoreReachable(time.Now())
				assert.Check(t, !known.follows(t.Context()), "two versions are registered")
			})
		})
	}
}

// oldGetKV answers reads of single keys from an older state.
type oldGetKV struct {
	metastore.KV
	old metastore.Entry
}

// Get implements metastore.KV.
func (k oldGetKV) Get(context.Context, metastore.Purpose, string) (metastore.Entry, error) {
	return k.old, nil
}

// TestVersionDoesNotFollowFromOldRead guards against streams that are joined because the store
// answers a read from an older state, in which another version was not registered yet.
func TestVersionDoesNotFollowFromOldRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		a := startOriginInstance(t, content, "a", 1)
		time.Sleep(2*testRouteTimeout + time.Second)
		old, err := content.Get(softwarePrefix + "s")
		assert.NilError(t, err)
		startOriginInstance(t, content, "b", 1, 2)
		time.Sleep(registerInterval + time.Millisecond)
		a.software.apply(entriesOf(t, a.kv, softwareRange))
		a.end()
		synctest.Wait()
		a.software.kv = oldGetKV{a.kv, old}
		_, known := a.software.sole(t.Context(), "s")
		assert.Check(t, !known, "a later set is known")
	})
}

// TestSetIsNotCompleteAtOnceInANewEra guards against a set that an instance declares complete
// after the store has come back from an older copy, because it plans the set before it reads
// the operator's keys: endpoints may have come while it was paused.
func TestSetIsNotCompleteAtOnceInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startOriginInstance(t, metastoretest.NewStore(time.Now), "a", 1)
		time.Sleep(2*testRouteTimeout + time.Second)
		a.end()
		synctest.Wait()
		era := int64(1)
		a.software.era = func() int64 { return era }
		plan := func() origin.Set {
			a.Observe("s", []origin.Version{1}, time.Now())
			old, position := a.software.registered.Set("s")
			next, _ := a.software.plan("s", old, position, 2*testRouteTimeout)
			return next
		}
		assert.Check(t, !plan().Complete)
		time.Sleep(2 * testRouteTimeout)
		assert.Check(t, plan().Complete, "in touch for as long as streams last")
	})
}

// TestOriginsOutliveTheSecondEndOfAllInstances guards against the loss of records while the
// set is not complete: all instances end soon after they have started for the first time.
func TestOriginsOutliveTheSecondEndOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		a := startOriginInstance(t, content, "a", 1)
		time.Sleep(time.Second)
		a.begin(1, 1)
		time.Sleep(time.Second)
		a.end()
		v, known := startOriginInstance(t, content, "a", 1).Version(1)
		assert.Check(t, known && v == 1)
	})
}

// TestInvalidValuesChangeNothing guards against values that another program has written.
func TestInvalidValuesChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		a := startOriginInstance(t, content, "a", 1)
		time.Sleep(2*testRouteTimeout + time.Second)
		invalid := []byte("\xff\xff")
		a.batches.apply(fleet.Delta{Changed: []metastore.Entry{{Key: originsPrefix + "b/1", Value: invalid}}})
		e, err := content.Get(softwarePrefix + "s")
		assert.NilError(t, err)
		_, err = a.kv.Swap(t.Context(), "test", e.Key, invalid, e.ModRevision, 0)
		assert.NilError(t, err)
		_, known := a.software.sole(t.Context(), "s")
		assert.Check(t, !known)
		assert.DeepEqual(t, a.software.mayBegin("s", []origin.Version{1, 2}), []origin.Version{1})
		time.Sleep(time.Second)
		v, known := a.software.sole(t.Context(), "s")
		assert.Check(t, known && v == 1, "the set is not written again")
	})
}

// TestBatchesUseTheirKeysAgain guards against keys that pile up or expire one by one while
// two versions serve for long: each change is delivered to all instances.
func TestBatchesUseTheirKeysAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		content := metastoretest.NewStore(time.Now)
		a := startOriginInstance(t, content, "a", 1, 2)
		for n := range 240 {
			time.Sleep(250 * time.Millisecond)
			a.begin(origin.Stream(n+1), 1)
		}
		keys := len(content.Keys())
		assert.Check(t, keys > 10 && keys < 22, "%d keys", keys)
		time.Sleep(time.Second)
		later := startOriginInstance(t, content, "b", 1, 2)
		for n := 240 - 8; n < 240; n++ {
			_, known := later.Version(origin.Stream(n + 1))
			assert.Check(t, known, "stream %d", n+1)
		}
	})
}
