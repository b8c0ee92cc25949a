package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// LapseGracePeriod is the time after the metadata store becomes reachable again
// in which an entry that lapsed during the outage may be written again.
// Endpoints write their entries within 2 s of the store's return; the remaining
// 200 ms are for the change to reach this instance.
const LapseGracePeriod = 2200 * time.Millisecond

// assumedInstances is used as the number of instances until the actual number
// is known. It is rather high, so that an instance's share of a common limit is
// too small rather than too large.
const assumedInstances = 8

// Snapshot is the state of a View at one moment. It is immutable.
type Snapshot struct {
	Config        *Config                // nil before the first configuration
	WantedWeights map[string]int64       // wanted version of the weights, by model
	Endpoints     map[string]*Endpoint   // by identifier
	ByService     map[string][]*Endpoint // endpoints of each service
	Evacuated     map[string]bool        // data centres to whose endpoints nothing may be sent
	Serving       map[string][]*Endpoint // ByService without the endpoints of evacuated data centres
	Instances     int                    // number of live instances of the system, at least 1

	weightsHistory map[string]weightsHistory // by model; the last version of each is the wanted one
}

// View is what an instance knows about its deployment. The versions of the
// configuration and of the weights never decrease. It is safe for concurrent
// use; Snapshot takes no lock.
type View struct {
	current     atomic.Pointer[Snapshot]
	onChange    atomic.Pointer[func()]
	confirmedAt atomic.Int64 // latest sentAt passed to Confirm, as Unix time in ns; 0 before the first call

	mu               sync.Mutex
	storeUnreachable bool                      // the metadata store does not answer
	storeReturnedAt  time.Time                 // when the store last became reachable again
	leftIDs          map[string]bool           // identifiers of endpoints that were removed and have not registered since
	lapsedEntries    map[string]bool           // identifiers of endpoints whose entries are missing since an outage
	listedAt         map[EndpointKey]time.Time // when incarnations were first listed, see withListedAt
	endpointsRead    bool                      // all entries of endpoints were read since the start
	evacuationEnds   map[string]time.Time      // by data centre, when an evacuation ends whose key a restored store lacks
}

// NewView returns a View without configuration and endpoints.
func NewView() *View {
	v := &View{lapsedEntries: map[string]bool{}, leftIDs: map[string]bool{}, evacuationEnds: map[string]time.Time{}, listedAt: map[EndpointKey]time.Time{}}
	v.current.Store(&Snapshot{
		WantedWeights: map[string]int64{}, weightsHistory: map[string]weightsHistory{}, Endpoints: map[string]*Endpoint{},
		ByService: map[string][]*Endpoint{}, Serving: map[string][]*Endpoint{}, Instances: assumedInstances,
	})
	return v
}

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// updateSnapshot applies update to a copy of the snapshot and publishes the
// copy. The caller holds mu.
func (v *View) updateSnapshot(update func(s *Snapshot)) {
	next := *v.current.Load()
	update(&next)
	v.current.Store(&next)
	if f := v.onChange.Load(); f != nil {
		(*f)()
	}
}

// OnChange sets a function that is called after each change of the snapshot. The function
// must not wait, and must call no method of the view but Snapshot.
func (v *View) OnChange(f func()) { v.onChange.Store(&f) }

// ApplyConfig puts c in force. It reports false and changes nothing if the
// version in force is the same or higher.
func (v *View) ApplyConfig(c *Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.current.Load().Config; old != nil && old.Version >= c.Version {
		return false
	}
	v.updateSnapshot(func(s *Snapshot) { s.Config = c })
	return true
}

// SetWantedWeights records the wanted version of a model's weights; since is the
// earliest time at which that version can have been set. It reports false and
// changes nothing if the recorded version is the same or higher.
func (v *View) SetWantedWeights(model string, version int64, since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current.Load().WantedWeights[model] >= version {
		return false
	}
	v.updateSnapshot(func(s *Snapshot) {
		s.WantedWeights = maps.Clone(s.WantedWeights)
		s.WantedWeights[model] = version
		s.weightsHistory = maps.Clone(s.weightsHistory)
		s.weightsHistory[model] = s.weightsHistory[model].with(version, since)
	})
	return true
}

// SetInstances records the number of live instances of the system; numbers
// below 1 count as 1.
func (v *View) SetInstances(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateSnapshot(func(s *Snapshot) { s.Instances = max(n, 1) })
}

// PutEndpoint adds an endpoint or replaces the one with the same identifier. An
// incarnation that leaves goes on leaving, even if its entry comes back from an older copy
// of the metadata store.
func (v *View) PutEndpoint(e *Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.lapsedEntries, e.ID)
	delete(v.leftIDs, e.ID)
	e = v.withListedAt(e)
	if old := v.current.Load().Endpoints[e.ID]; old != nil && old.Key() == e.Key() && old.Leaving && !e.Leaving {
		leaving := *e
		leaving.Leaving = true
		e = &leaving
	}
	v.updateSnapshot(func(s *Snapshot) {
		s.Endpoints = maps.Clone(s.Endpoints)
		s.Endpoints[e.ID] = e
		s.indexByService()
	})
}

// RemoveEndpoint records that an endpoint's entry is missing at now. During an
// outage of the metadata store and in the grace period after it, the endpoint
// is kept so that its entry can be written again; otherwise ExpireLapsed removes
// it.
func (v *View) RemoveEndpoint(id string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeUnreachable || now.Before(v.storeReturnedAt.Add(LapseGracePeriod)) {
		v.lapsedEntries[id] = true
		return
	}
	v.deleteEndpoint(id)
}

// deleteEndpoint removes an endpoint from the snapshot if it is there.
func (v *View) deleteEndpoint(id string) {
	if _, ok := v.current.Load().Endpoints[id]; !ok {
		return
	}
	if len(v.leftIDs) >= maxLeftIDs {
		clear(v.leftIDs)
	}
	v.leftIDs[id] = true
	v.updateSnapshot(func(s *Snapshot) {
		s.Endpoints = maps.Clone(s.Endpoints)
		delete(s.Endpoints, id)
		s.indexByService()
	})
}

// maxLeftIDs bounds the memory for endpoints that were removed. Only those removed in the
// last seconds can be in an older copy of the metadata store.
const maxLeftIDs = 4096

// HasLeft reports whether an endpoint was removed and has not registered since.
func (v *View) HasLeft(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leftIDs[id]
}

// MarkStoreUnreachable records that the metadata store does not answer. It reports
// whether the store was reachable before.
func (v *View) MarkStoreUnreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasUnreachable := v.storeUnreachable
	v.storeUnreachable = true
	return !wasUnreachable
}

// StoreUnreachable reports whether the metadata store is known not to answer.
func (v *View) StoreUnreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeUnreachable
}

// MarkStoreReachable records that the metadata store answered at now. It reports
// whether the store was unreachable before.
func (v *View) MarkStoreReachable(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasUnreachable := v.storeUnreachable
	if wasUnreachable {
		v.storeUnreachable = false
		v.storeReturnedAt = now
	}
	return wasUnreachable
}

// MarkStoreRestored records that the metadata store was seen at now to have come back from
// an older copy. Entries that the copy lacks get the same time to be written again as
// after an outage.
func (v *View) MarkStoreRestored(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeReturnedAt = now
}

// ExpireLapsed removes the endpoints whose entries were not written again within
// the grace period after an outage of the metadata store.
func (v *View) ExpireLapsed(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeUnreachable || len(v.lapsedEntries) == 0 || now.Before(v.storeReturnedAt.Add(LapseGracePeriod)) {
		return
	}
	for id := range v.lapsedEntries {
		v.deleteEndpoint(id)
	}
	clear(v.lapsedEntries)
}

// Confirm records that a read of the metadata store, sent at sentAt, showed that
// the configuration in force was the newest. It was the newest at sentAt or at a
// later time.
func (v *View) Confirm(sentAt time.Time) {
	for {
		old := v.confirmedAt.Load()
		if old >= sentAt.UnixNano() || v.confirmedAt.CompareAndSwap(old, sentAt.UnixNano()) {
			return
		}
	}
}

// ConfirmedAt returns the latest sentAt passed to Confirm: the configuration in
// force was the newest at that or a later time. If Confirm has not been called, it
// returns the zero time.
func (v *View) ConfirmedAt() time.Time {
	if confirmed := v.confirmedAt.Load(); confirmed != 0 {
		return time.Unix(0, confirmed)
	}
	return time.Time{}
}

// ConfirmedAge returns the time from ConfirmedAt to now. If Confirm has not been
// called, it returns the maximum time.Duration.
func (v *View) ConfirmedAge(now time.Time) time.Duration {
	confirmed := v.confirmedAt.Load()
	if confirmed == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(now.UnixNano() - confirmed)
}

// indexByService rebuilds ByService and Serving.
func (s *Snapshot) indexByService() {
	s.ByService = map[string][]*Endpoint{}
	for _, e := range s.Endpoints {
		s.ByService[e.Service] = append(s.ByService[e.Service], e)
	}
	s.indexServing()
}
