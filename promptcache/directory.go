package promptcache

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/fleet"
)

const (
	// PollTimeout is how long a store may hold a call for its events.
	PollTimeout = time.Second
	// knownFor is how long what a store told is relied on without another word:
	// one poll and half of another for the way.
	knownFor = 3 * PollTimeout / 2
	// FetchTimeout bounds a fetch from the moment its request is sent: twice what
	// reading the largest shared parts takes. What was to be freed is freed only
	// later.
	FetchTimeout = 600 * time.Millisecond
	// settle is how long nothing is saved to a store that has come back empty:
	// by then no instance relies on what it held before.
	settle = knownFor + FetchTimeout
	// saveAgain is how long a save that was asked for may take before it is
	// asked for again.
	saveAgain = 3 * time.Second
	// fullShare is the part of a store that is filled.
	fullShare = 0.95
)

// Change is a part that a store has completed or dropped.
type Change struct {
	Part    Part
	Tokens  int // that the store holds now
	Removed bool
}

// Update is what a store told at once.
type Update struct {
	Epoch       int64 // of the store's process
	NextEvent   int64 // where the next call goes on
	Gap         bool  // changes before these are missing
	Complete    bool  // Changes is all that the store holds
	ClockMillis int64 // of stores and endpoints, in ms; 0 if not told
	Changes     []Change
}

// store is what is known of one store.
type store struct {
	spec    *fleet.CacheStore
	epoch   int64
	epochAt time.Time // when the epoch was first heard of
	next    int64
	until   time.Time // until when what is known holds
	held    map[Part]int
	tokens  int
	asked   map[Part]time.Time // saves under way
}

// Directory knows what the stores hold. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	slowest time.Duration     // of the stores' times to the first byte
	stores  map[string]*store // by address
	clock   int64             // of stores and endpoints in ms, less the local clock's; 0 if unknown
}

// NewDirectory returns a directory that knows no stores.
func NewDirectory() *Directory { return &Directory{stores: map[string]*store{}} }

// smallPart is the size in tokens up to which a part is kept in a store that
// answers quickly: the fixed 6 ms of the others outweigh what a fetch saves.
const smallPart = 1200

// quick reports whether a store answers much sooner than the slowest one.
func quick(first, slowest time.Duration) bool { return 2*first <= slowest }

// SetStores replaces the stores that the configuration names.
func (d *Directory) SetStores(specs []*fleet.CacheStore) {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := map[string]bool{}
	d.slowest = 0
	for _, spec := range specs {
		d.slowest = max(d.slowest, spec.FirstByte)
		named[spec.Address] = true
		if s, ok := d.stores[spec.Address]; ok {
			s.spec = spec
			continue
		}
		d.stores[spec.Address] = &store{spec: spec, held: map[Part]int{}, asked: map[Part]time.Time{}}
	}
	for address := range d.stores {
		if !named[address] {
			delete(d.stores, address)
		}
	}
}

// NextPoll returns where the next call for a store's news goes on, and whether its
// whole content should be asked for instead.
func (d *Directory) NextPoll(address string) (next int64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil || s.epoch == 0 {
		return 0, true
	}
	return s.next, false
}

// ApplyUpdate takes a store's news, heard at now. It reports whether changes are
// missing, so that the whole content should be asked for.
func (d *Directory) ApplyUpdate(address string, n Update, now time.Time) (missing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return false
	}
	if n.ClockMillis > 0 {
		d.clock = n.ClockMillis - now.UnixMilli()
	}
	if n.Epoch != s.epoch {
		s.restart(n.Epoch, now)
		if !n.Complete {
			s.until = time.Time{}
			return true
		}
	}
	if n.Complete {
		clear(s.held)
		s.tokens = 0
	}
	for _, c := range n.Changes {
		s.apply(c)
	}
	s.next = n.NextEvent
	if n.Gap && !n.Complete {
		s.epoch, s.until = 0, time.Time{}
		return true
	}
	s.until = now.Add(knownFor)
	return false
}

// MarkUnreachable records that a store did not answer: nothing is known of it now.
func (d *Directory) MarkUnreachable(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.stores[address]; s != nil {
		s.until = time.Time{}
	}
}

func (s *store) restart(epoch int64, now time.Time) {
	s.epoch, s.epochAt = epoch, now
	clear(s.held)
	clear(s.asked)
	s.tokens = 0
}

func (s *store) apply(c Change) {
	s.tokens -= s.held[c.Part]
	delete(s.held, c.Part)
	if !c.Removed {
		s.held[c.Part] = c.Tokens
		s.tokens += c.Tokens
	}
	s.forget(c.Part)
}

// forget ends the expectation of a save.
func (s *store) forget(p Part) { delete(s.asked, p) }

func (s *store) known(now time.Time) bool { return now.Before(s.until) }

// SizedPart is a part of a prompt with its size.
type SizedPart struct {
	Part   Part
	Tokens int
}

// Holder returns a store that surely holds a part, nil if none is known.
func (d *Directory) Holder(p Part, now time.Time) *fleet.CacheStore {
	d.mu.Lock()
	defer d.mu.Unlock()
	if holder := d.holder(p, now); holder != nil {
		return holder.spec
	}
	return nil
}

// BeginSave returns the address of the store that a part should be saved to now,
// empty if it is there, on its way or has no room.
//
// Load pattern: far more sessions return within seconds than engines can keep
// in memory. What was read once is saved, and fetched in a fraction of the time
// that reading takes: small parts from stores that answer quickly, or from the
// others once these are full, and the reverse.
func (d *Directory) BeginSave(w SizedPart, now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holder(w.Part, now) != nil || d.expected(w.Part, now) {
		return ""
	}
	for _, small := range []bool{w.Tokens <= smallPart, w.Tokens > smallPart} {
		if home := d.home(w.Part, small, now); home != nil && home.ask(w, now) {
			return home.spec.Address
		}
	}
	return ""
}

// FetchDeadline returns when a fetch that is sent at now is thrown away, on the
// endpoints' clock in ms; 0 if that is not known.
func (d *Directory) FetchDeadline(now time.Time) int64 {
	if clock := d.EndpointClock(now); clock != 0 {
		return clock + FetchTimeout.Milliseconds()
	}
	return 0
}

// holder returns the store that surely holds a part and answers the soonest.
func (d *Directory) holder(p Part, now time.Time) *store {
	var holder *store
	for _, s := range d.stores {
		if _, ok := s.held[p]; !ok || !s.known(now) {
			continue
		}
		if holder == nil || s.spec.FirstByte < holder.spec.FirstByte {
			holder = s
		}
	}
	return holder
}

// expected reports whether a part is on its way to a store.
func (d *Directory) expected(p Part, now time.Time) bool {
	for _, s := range d.stores {
		if at, ok := s.asked[p]; ok && now.Sub(at) < saveAgain {
			return true
		}
	}
	return false
}

// home returns the store that should hold a part, among those for small parts or
// the others; nil if there is none.
func (d *Directory) home(p Part, small bool, now time.Time) *store {
	var home *store
	best := uint64(0)
	for _, s := range d.stores {
		if !s.known(now) || quick(s.spec.FirstByte, d.slowest) != small {
			continue
		}
		if w := xxhash.Sum64String(s.spec.Address + p.ID); home == nil || w > best {
			home, best = s, w
		}
	}
	return home
}

// ask reports whether a part should be saved now, and expects it then.
func (s *store) ask(w SizedPart, now time.Time) bool {
	if now.Sub(s.epochAt) < settle {
		return false
	}
	if float64(s.tokens+w.Tokens) > fullShare*float64(s.spec.Tokens) {
		return false
	}
	s.asked[w.Part] = now
	return true
}

// Outdated returns up to most parts of a store whose partitions have older
// weights than wanted, with the store's epoch.
func (d *Directory) Outdated(address string, wanted map[string]int64, most int, now time.Time) (parts []Part, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil || !s.known(now) {
		return nil, 0
	}
	for part := range s.held {
		p, ok := ParsePartition(part.Partition)
		if ok && p.Weights < wanted[p.Model] {
			parts = append(parts, part)
		}
		if len(parts) == most {
			break
		}
	}
	return parts, s.epoch
}

// RemoveFreed forgets parts that a store's process of that epoch was told to free; its
// own word of them may be lost.
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

// EndpointClock returns the endpoints' clock at now in ms, 0 if it is not known.
func (d *Directory) EndpointClock(now time.Time) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clock == 0 {
		return 0
	}
	return now.UnixMilli() + d.clock
}

// Contents returns the number of parts and tokens that a store is known to hold.
func (d *Directory) Contents(address string) (parts, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.stores[address]; s != nil {
		return len(s.held), s.tokens
	}
	return 0, 0
}
