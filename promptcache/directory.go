package promptcache

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/fleet"
)

const (
	// PollTimeout is the maximum time that a store holds a poll for its events open.
	PollTimeout = time.Second
	// contentTTL is how long the last report of a store is relied on without a
	// newer one: one poll, and half of another for the network.
	contentTTL = 3 * PollTimeout / 2
	// FetchTimeout limits the duration of a fetch, counted from the decision on it.
	// It is twice the time that an engine takes to prefill the
	// largest shared parts. Outdated parts are freed only after all endpoints have
	// had newer weights for longer than this, so that no fetch can still use them.
	FetchTimeout = 600 * time.Millisecond
	// MaxVersionAge is how long after a newer version of the weights can have been set fetches of
	// parts of an older one are still decided on. An instance that has not confirmed of late that
	// its version is the newest decides on none.
	MaxVersionAge = 1500 * time.Millisecond
	// LoadDelay is how long after newer weights were set the first engine may load them: no
	// fetch of parts of the older ones is under way any more, at whatever instance. A request that
	// goes on at an engine while the weights change may prefill its prompt again, and the engine
	// and the stores then hold parts of the older version that were made under the newer one.
	LoadDelay = MaxVersionAge + FetchTimeout + fetchTimeoutMargin
	// fetchTimeoutMargin allows for the error of the endpoints' clock as an instance knows it.
	fetchTimeoutMargin = 100 * time.Millisecond
	// restartSaveDelay is the time after the first report of a restarted store
	// in which nothing is saved to it: by its end no instance relies on what
	// the store held before it came back empty.
	restartSaveDelay = contentTTL + FetchTimeout
	// saveRetryInterval is how long a requested save may take before it is
	// requested again.
	saveRetryInterval = 3 * time.Second
	// maxFillRatio is the fraction of a store's capacity up to which parts are
	// saved to it.
	maxFillRatio = 0.95
)

// Change is a part whose save a store has completed, or that it has dropped.
type Change struct {
	Part    Part
	Tokens  int  // tokens of the part that the store holds now
	Removed bool // the store has dropped the part
}

// Update is the content of one report of a store.
type Update struct {
	Epoch       int64 // identifies the run of the store's process
	NextEvent   int64 // event number from which the next poll continues
	Gap         bool  // changes before those in Changes are missing
	Complete    bool  // Changes lists everything that the store holds
	ClockMillis int64 // clock of stores and endpoints in ms; 0 if not reported
	Changes     []Change
}

// PausedError reports that a store did not answer a call because it wants no calls from
// this instance for a time.
type PausedError struct{ Pause time.Duration }

// Error implements the error interface.
func (e *PausedError) Error() string { return "the store asks for a pause of " + e.Pause.String() }

// store is the state known about one store.
type store struct {
	spec           *fleet.CacheStore
	epoch          int64              // 0 until the first report and after a gap
	epochFirstSeen time.Time          // when the first report of this epoch arrived, or the first after a gap
	nextEvent      int64              // event number from which the next poll continues
	knownUntil     time.Time          // until when partTokens is relied on
	partTokens     map[Part]int       // tokens of each part that the store holds
	totalTokens    int                // sum of partTokens
	pendingSaves   map[Part]time.Time // when each save that has not completed was requested
}

// Directory records what the stores hold. It is safe for concurrent use.
type Directory struct {
	mu               sync.Mutex
	slowestFirstByte time.Duration     // longest FirstByte of the stores
	stores           map[string]*store // by address
	clockOffset      int64             // clock of stores and endpoints minus the local clock, in ms
	clockKnown       bool              // whether clockOffset is known
}

// NewDirectory returns a Directory without stores.
func NewDirectory() *Directory { return &Directory{stores: map[string]*store{}} }

// maxSmallPartTokens is the size in tokens up to which a part is kept in a fast
// store: the other stores' fixed delay of 6 ms costs more than a fetch of such
// a part saves.
const maxSmallPartTokens = 1200

// isFast reports whether a store with the given time to the first byte takes at
// most half as long as the slowest store.
func isFast(firstByte, slowest time.Duration) bool { return 2*firstByte <= slowest }

// SetStores replaces the stores by those that the configuration names. What is
// known about a store that stays is kept.
func (d *Directory) SetStores(specs []*fleet.CacheStore) {
	d.mu.Lock()
	defer d.mu.Unlock()
	configured := map[string]bool{}
	d.slowestFirstByte = 0
	for _, spec := range specs {
		d.slowestFirstByte = max(d.slowestFirstByte, spec.FirstByte)
		configured[spec.Address] = true
		if s, ok := d.stores[spec.Address]; ok {
			s.spec = spec
			continue
		}
		d.stores[spec.Address] = &store{spec: spec, partTokens: map[Part]int{}, pendingSaves: map[Part]time.Time{}}
	}
	for address := range d.stores {
		if !configured[address] {
			delete(d.stores, address)
		}
	}
}

// NextPoll returns the event number from which the next poll of a store continues,
// and whether the store should be asked for its whole content instead.
func (d *Directory) NextPoll(address string) (next int64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil || s.epoch == 0 {
		return 0, true
	}
	return s.nextEvent, false
}

// ApplyUpdate applies a store's report that was received at now. It returns true if
// changes are missing, in which case the store should be asked for its whole
// content.
func (d *Directory) ApplyUpdate(address string, u Update, now time.Time) (missing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return false
	}
	if u.ClockMillis > 0 {
		d.clockOffset, d.clockKnown = u.ClockMillis-now.UnixMilli(), true
	}
	if u.Epoch != s.epoch {
		s.reset(u.Epoch, now)
		if !u.Complete {
			s.knownUntil = time.Time{}
			return true
		}
	}
	if u.Complete {
		clear(s.partTokens)
		s.totalTokens = 0
	}
	for _, c := range u.Changes {
		s.apply(c)
	}
	s.nextEvent = u.NextEvent
	if u.Gap && !u.Complete {
		s.epoch, s.knownUntil = 0, time.Time{}
		return true
	}
	s.knownUntil = now.Add(contentTTL)
	return false
}

// MarkUnreachable records that a store did not answer. Its content counts as unknown
// until its next report.
func (d *Directory) MarkUnreachable(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.stores[address]; s != nil {
		s.knownUntil = time.Time{}
	}
}

// reset discards the content and the pending saves when a report has another
// epoch than the last one, or is the first after a gap.
func (s *store) reset(epoch int64, now time.Time) {
	s.epoch, s.epochFirstSeen = epoch, now
	clear(s.partTokens)
	clear(s.pendingSaves)
	s.totalTokens = 0
}

// apply records a change of a part, which also ends a pending save of it.
func (s *store) apply(c Change) {
	s.totalTokens -= s.partTokens[c.Part]
	delete(s.partTokens, c.Part)
	if !c.Removed {
		s.partTokens[c.Part] = c.Tokens
		s.totalTokens += c.Tokens
	}
	s.clearPendingSave(c.Part)
}

// clearPendingSave removes the pending save of a part.
func (s *store) clearPendingSave(p Part) { delete(s.pendingSaves, p) }

// contentKnown reports whether the content last reported is still relied on at
// now.
func (s *store) contentKnown(now time.Time) bool { return now.Before(s.knownUntil) }

// SizedPart is a part of a prompt with its size.
type SizedPart struct {
	Part   Part
	Tokens int
}

// Holder returns the fastest store that is known to hold a part at now, nil if
// there is none.
func (d *Directory) Holder(p Part, now time.Time) *fleet.CacheStore {
	d.mu.Lock()
	defer d.mu.Unlock()
	if holder := d.fastestHolder(p, now); holder != nil {
		return holder.spec
	}
	return nil
}

// BeginSave returns the address of the store to which a part should be saved now
// and records the save as pending. It returns an empty string if a store holds
// the part already, a save of it is pending or no store takes it.
//
// Load pattern: within seconds, far more sessions return than engines can keep
// in memory. Parts that an engine has prefilled once are saved, because
// fetching them takes a fraction of the time of prefilling them again. Small parts
// are saved to the fast stores and large parts to the others; if the preferred
// store of one group takes no more, a part goes to the other group.
func (d *Directory) BeginSave(sized SizedPart, now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fastestHolder(sized.Part, now) != nil || d.savePending(sized.Part, now) {
		return ""
	}
	for _, fast := range []bool{sized.Tokens <= maxSmallPartTokens, sized.Tokens > maxSmallPartTokens} {
		if target := d.preferredStore(sized.Part, fast, now); target != nil && target.beginSave(sized, now) {
			return target.spec.Address
		}
	}
	return ""
}

// FetchDeadline returns the time at which a fetch sent at now is abandoned, on the
// endpoints' clock in ms; 0 if that clock is not known.
func (d *Directory) FetchDeadline(now time.Time) int64 {
	if clock := d.ClockMillis(now); clock != 0 {
		return clock + FetchTimeout.Milliseconds()
	}
	return 0
}

// fastestHolder returns the store with the shortest time to the first byte
// among those that are known to hold a part, nil if there is none.
func (d *Directory) fastestHolder(part Part, now time.Time) *store {
	var holder *store
	for _, s := range d.stores {
		if _, ok := s.partTokens[part]; !ok || !s.contentKnown(now) {
			continue
		}
		if holder == nil || s.spec.FirstByte < holder.spec.FirstByte {
			holder = s
		}
	}
	return holder
}

// savePending reports whether a save of a part to any store was requested less
// than saveRetryInterval ago.
func (d *Directory) savePending(part Part, now time.Time) bool {
	for _, s := range d.stores {
		if at, ok := s.pendingSaves[part]; ok && now.Sub(at) < saveRetryInterval {
			return true
		}
	}
	return false
}

// preferredStore returns the store to which a part should be saved, chosen by
// rendezvous hashing among the fast stores or among the others; nil if there is
// none whose content is known.
func (d *Directory) preferredStore(part Part, fast bool, now time.Time) *store {
	var preferred *store
	maxWeight := uint64(0)
	for _, s := range d.stores {
		if !s.contentKnown(now) || isFast(s.spec.FirstByte, d.slowestFirstByte) != fast {
			continue
		}
		if weight := xxhash.Sum64String(s.spec.Address + part.ID); preferred == nil || weight > maxWeight {
			preferred, maxWeight = s, weight
		}
	}
	return preferred
}

// beginSave reports whether the store may take a part now, and if so records
// the save as pending. A store takes no parts within restartSaveDelay of
// epochFirstSeen, and none that would fill it beyond maxFillRatio.
func (s *store) beginSave(sized SizedPart, now time.Time) bool {
	if now.Sub(s.epochFirstSeen) < restartSaveDelay {
		return false
	}
	if float64(s.totalTokens+sized.Tokens) > maxFillRatio*float64(s.spec.Tokens) {
		return false
	}
	s.pendingSaves[sized.Part] = now
	return true
}

// Outdated returns up to limit parts of a store that belong to older weights
// than wantedWeights has for their model, and the store's epoch. It returns
// nothing if the store's content is not known.
func (d *Directory) Outdated(address string, wantedWeights map[string]int64, limit int, now time.Time) (parts []Part, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil || !s.contentKnown(now) {
		return nil, 0
	}
	for part := range s.partTokens {
		p, ok := ParsePartition(part.Partition)
		if ok && p.Weights < wantedWeights[p.Model] {
			parts = append(parts, part)
		}
		if len(parts) == limit {
			break
		}
	}
	return parts, s.epoch
}

// RemoveFreed removes parts that a store was told to free, provided that the store is
// still in the given epoch. The store's own report of their removal may be
// lost.
func (d *Directory) RemoveFreed(address string, epoch int64, parts []Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil || s.epoch != epoch {
		return
	}
	for _, p := range parts {
		s.apply(Change{Part: p, Removed: true})
	}
}

// ClockMillis returns the endpoints' clock at now in ms, 0 if it is not known.
func (d *Directory) ClockMillis(now time.Time) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.clockKnown {
		return 0
	}
	return now.UnixMilli() + d.clockOffset
}

// Contents returns the number of parts that a store is known to hold, and the sum
// of their tokens.
func (d *Directory) Contents(address string) (parts, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.stores[address]; s != nil {
		return len(s.partTokens), s.totalTokens
	}
	return 0, 0
}
