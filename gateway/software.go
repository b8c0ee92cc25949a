package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
	"redwingknot/origin"
	"redwingknot/relay"
)

const (
	purposeSoftware metastore.Purpose = "software"
	// softwarePrefix is the prefix of the keys that hold the software versions of services.
	softwarePrefix = "redwingknot/software/"
	// softwareReadInterval is the time between reads of the keys, which are otherwise watched.
	softwareReadInterval = time.Minute
	// registerInterval is the time between checks of what should be registered.
	registerInterval = 100 * time.Millisecond
	// followerRegisterDelay is how long an instance that is not the leader waits for the
	// leader to register a version, and registerStep the delay from one such instance to the
	// next, up to maxRegisterDelay.
	followerRegisterDelay = 200 * time.Millisecond
	registerStep          = 20 * time.Millisecond
	maxRegisterDelay      = 1500 * time.Millisecond
	// softwareReadTimeout bounds the read for a stream of which there is no record. A store
	// that works 60 times slower than usual takes less.
	softwareReadTimeout = 300 * time.Millisecond
	// softwareReadGap is the time between two such reads of a service: 380 instances that
	// have all just started cause up to 1,900 reads a second.
	softwareReadGap = 200 * time.Millisecond
)

// softwareRange returns the range of the keys of software versions.
func softwareRange() (from, to string) {
	return softwarePrefix, "redwingknot/software0" // '0' follows '/'
}

// softwareStore keeps the software versions of services registered in the metadata store.
// It is safe for concurrent use.
type softwareStore struct {
	kv         metastore.KV
	era        func() int64 // of the store
	registered *origin.Registered
	history    *origin.History
	config     func() *fleet.Config
	now        func() time.Time
	delay      func() time.Duration // for which others may register a version first
	onChange   func()               // called when what is registered has changed
	log        *slog.Logger
	firstStart bool // the whole system starts for the first time

	timeouts     atomic.Pointer[resumableTimeouts]
	mu           sync.Mutex
	inTouchSince time.Time // with the store, without a break
	contactEra   int64     // of the store to which inTouchSince applies
	wantedSince  map[string]time.Time
	unregistered map[string]bool       // services whose streams begin at unregistered versions
	pending      map[string]*freshRead // reads that are not sent, by service
	lastRead     map[string]time.Time
}

// freshRead is a read of a service's key. Its result is valid once done is closed.
type freshRead struct {
	done  chan struct{}
	set   origin.Set
	era   int64
	known bool
}

func newSoftwareStore(g *Gateway) *softwareStore {
	return &softwareStore{
		kv: g.kv, registered: origin.NewRegistered(), history: g.origins.History, now: g.opts.Relay.Now, log: g.log,
		era: func() int64 {
			if o, ok := g.opts.KV.(metastore.EraObserver); ok {
				return o.Era()
			}
			return 0
		},
		config:     func() *fleet.Config { return g.view.Snapshot().Config },
		firstStart: g.opts.FirstStart,
		delay:      g.registerDelay, onChange: func() { g.relay.Endpoints().SyncRegistered() },
		inTouchSince: g.started, wantedSince: map[string]time.Time{}, unregistered: map[string]bool{},
		pending: map[string]*freshRead{}, lastRead: map[string]time.Time{},
	}
}

// registerDelay returns how long this instance leaves it to others to register a version.
// While the instances register themselves, their ranks say little.
func (g *Gateway) registerDelay() time.Duration {
	switch {
	case g.leads():
		return 0
	case g.memberCount.Load() == 0:
		return rand.N(followerRegisterDelay)
	}
	return min(followerRegisterDelay+time.Duration(g.rank.Load())*registerStep, maxRegisterDelay)
}

// restartContact records that this instance has not been in touch with the store until now,
// or not with the present one, so that endpoints may have come and gone unseen.
func (s *softwareStore) restartContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inTouchSince = s.now()
}

// resumableTimeouts holds the result of ResumableTimeouts of a configuration, which may have
// many thousands of routes.
type resumableTimeouts struct {
	config    *fleet.Config
	byService map[string]time.Duration
}

// resumable returns the services whose streams callers may take up, with their timeouts.
func (s *softwareStore) resumable() map[string]time.Duration {
	c, t := s.config(), s.timeouts.Load()
	if c == nil {
		return nil
	}
	if t == nil || t.config != c {
		t = &resumableTimeouts{config: c, byService: c.ResumableTimeouts()}
		s.timeouts.Store(t)
	}
	return t.byService
}

// lifetime returns the time after which no caller takes up a stream of a service any more,
// and whether callers may take up its streams at all.
func (s *softwareStore) lifetime(service string) (time.Duration, bool) {
	timeout, ok := s.resumable()[service]
	return relay.StreamLifetimes * timeout, ok
}

// apply takes over what has changed in the metadata store.
func (s *softwareStore) apply(d fleet.Delta) {
	for _, e := range d.Changed {
		s.put(e)
	}
	for _, key := range d.Removed {
		s.registered.Remove(strings.TrimPrefix(key, softwarePrefix))
	}
	s.onChange()
}

// put takes over an entry of the store. It returns the set that the entry holds, and whether
// it holds one.
func (s *softwareStore) put(e metastore.Entry) (origin.Set, bool) {
	service := strings.TrimPrefix(e.Key, softwarePrefix)
	set, err := origin.DecodeSet(e.Value)
	if err != nil {
		metric.Counter("software_sets_invalid_total").Inc(1)
		event.StoreEntryInvalid.Log(s.log, slog.String("key", e.Key), slog.String("error", err.Error()))
		s.registered.PutInvalid(service, e.ModRevision)
		return origin.Set{}, false
	}
	known := set
	if era, _ := metastore.SplitPosition(e.ModRevision); era != set.Era {
		known.Complete = false
	}
	s.registered.Put(service, known, e.ModRevision, s.now())
	metric.Gauge("software_versions_registered", "service", service).Update(int64(len(set.All())))
	return set, true
}

// mayBegin returns those of the listed versions at which resumable streams may begin.
func (s *softwareStore) mayBegin(service string, listed []origin.Version) []origin.Version {
	if _, ok := s.lifetime(service); !ok {
		return listed
	}
	allowed, unregistered := s.registered.MayBegin(service, listed, s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if unregistered && !s.unregistered[service] {
		metric.Counter("software_unregistered_use_total", "service", service).Inc(1)
		event.SoftwareUnregistered.Log(s.log, slog.String("service", service))
	}
	s.unregistered[service] = unregistered
	return allowed
}

// run registers versions until ctx ends.
func (s *softwareStore) run(ctx context.Context, observe func()) error {
	return timer.Every(ctx, registerInterval, func() {
		observe()
		for service, timeout := range s.resumable() {
			s.register(ctx, service, relay.StreamLifetimes*timeout)
		}
		if s.registered.Lacking() {
			s.onChange()
		}
	})
}

// register writes the set of a service if it should be another one.
func (s *softwareStore) register(ctx context.Context, service string, lifetime time.Duration) {
	old, position := s.registered.Set(service)
	next, due := s.plan(service, old, position, lifetime)
	if !due {
		return
	}
	value, err := origin.EncodeSet(next)
	if err != nil {
		return // cannot happen: the message has no fields that can be invalid
	}
	if position == 0 {
		position, err = s.kv.Create(ctx, purposeSoftware, softwarePrefix+service, value, 0)
	} else {
		position, err = s.kv.Swap(ctx, purposeSoftware, softwarePrefix+service, value, position, 0)
	}
	if err != nil {
		s.handleFailedWrite(ctx, service, err)
		return
	}
	metric.Counter("software_sets_written_total").Inc(1)
	event.SoftwareRegistered.Log(s.log, slog.String("service", service), slog.Int("versions", len(next.Versions)), slog.Int("retired", len(next.Retired)), slog.Bool("complete", next.Complete))
	s.registered.Put(service, next, position, s.now())
	s.onChange()
}

// plan returns the set that this instance should write for a service whose set is old, written
// at a position, and whether that is due: others did not write it within the delay. The first
// set of a system that starts for the first time is complete, because no stream is in progress.
func (s *softwareStore) plan(service string, old origin.Set, position int64, lifetime time.Duration) (origin.Set, bool) {
	rec, known := s.history.Service(service)
	if !known {
		return origin.Set{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, since, era := s.now(), rec.Since, s.era()
	if era != s.contactEra {
		s.inTouchSince, s.contactEra = now, era
	}
	if since.Before(s.inTouchSince) {
		since = s.inTouchSince
	}
	o := origin.Observation{Seen: rec.Seen, Registered: s.registered.Since(service), KnownSince: since, Lifetime: lifetime}
	next, changed := origin.NextSet(old, era, o, now)
	next.Complete = next.Complete || s.firstStart && position == 0
	if !changed {
		delete(s.wantedSince, service)
		return origin.Set{}, false
	}
	if s.wantedSince[service].IsZero() {
		s.wantedSince[service] = now
	}
	return next, now.Sub(s.wantedSince[service]) >= s.delay()
}

// handleFailedWrite puts off the next write of a service's set. If another instance has
// written it, the set is read.
func (s *softwareStore) handleFailedWrite(ctx context.Context, service string, err error) {
	s.mu.Lock()
	s.wantedSince[service] = s.now().Add(rand.N(retryDelay))
	s.mu.Unlock()
	if !metastore.IsCause(err, metastore.CauseConflict) && !metastore.IsCause(err, metastore.CauseExists) {
		metric.Counter("software_set_failures_total").Inc(1)
		return
	}
	if e, err := s.kv.Get(ctx, purposeSoftware, softwarePrefix+service); err == nil {
		s.put(e)
		s.onChange()
	}
}

// read returns the set that the store holds after the call began, and the era of the store. A
// set that is older than the one that was known before is not known. Calls at the same time
// share a read that is not yet sent.
func (s *softwareStore) read(ctx context.Context, service string) (set origin.Set, era int64, known bool) {
	s.mu.Lock()
	r := s.pending[service]
	if r == nil {
		r = &freshRead{done: make(chan struct{})}
		s.pending[service] = r
		wait := softwareReadGap - s.now().Sub(s.lastRead[service])
		go s.sendRead(context.WithoutCancel(ctx), service, r, wait)
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.set, r.era, r.known
	case <-ctx.Done():
		return origin.Set{}, 0, false
	}
}

// sendRead sends a read after a wait.
func (s *softwareStore) sendRead(ctx context.Context, service string, r *freshRead, wait time.Duration) {
	defer close(r.done)
	timer.Sleep(ctx, wait)
	s.mu.Lock()
	delete(s.pending, service)
	s.lastRead[service] = s.now()
	s.mu.Unlock()
	_, latest := s.registered.Set(service)
	ctx, cancel := context.WithTimeout(ctx, softwareReadTimeout)
	defer cancel()
	metric.Counter("software_set_reads_total").Inc(1)
	e, err := s.kv.Get(ctx, purposeSoftware, softwarePrefix+service)
	if err != nil || e.ModRevision < latest {
		return
	}
	r.era, _ = metastore.SplitPosition(e.ModRevision)
	r.set, r.known = s.put(e)
}

// sole returns the version at which all resumable streams of a service have begun that are
// in progress, and whether that is known.
func (s *softwareStore) sole(ctx context.Context, service string) (origin.Version, bool) {
	lifetime, ok := s.lifetime(service)
	if !ok {
		return 0, false
	}
	set, era, known := s.read(ctx, service)
	if !known {
		return 0, false
	}
	return set.Sole(era, s.history.SeenSince(service, s.now().Add(-lifetime)))
}
