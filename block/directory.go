package block

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"redwingknot/engine"
	"redwingknot/store"
)

// Defaults of DirectoryOptions. tombstoneLifetime is no default: it is the time after a
// free during which the block is still refused, because a listing that was fetched
// before the free still has it.
const (
	defaultMaxBlocks  = 300_000
	defaultGapGrace   = 2 * time.Second
	defaultMaxGrant   = time.Minute
	tombstoneLifetime = time.Minute
)

// Limits of the numbers of stores and classes in a directory: entry.store and
// entry.class have to hold their indexes.
const (
	maxStores  = math.MaxUint16
	maxClasses = math.MaxUint8
)

// DirectoryOptions are the limits of a directory and its model of returns.
type DirectoryOptions struct {
	MaxBlocks int              // publications beyond it are refused; 0 for the default
	GapGrace  time.Duration    // how long a change number may be missing before a listing, see sequence; 0 for the default
	MaxGrant  time.Duration    // maximum duration of a read grant; 0 for the default
	Returns   *ReturnEstimator // model that learns from lookups and frees; nil for a new one
}

// BlockLocation is one generation of a sealed block and the URL of the store that holds it.
type BlockLocation struct {
	Store      string
	Key        Key
	Generation uint64
	Length     int64
	Checksum   uint64
}

// Ref returns the reference with which engines and stores identify the block.
func (l BlockLocation) Ref() engine.BlockRef {
	return engine.BlockRef{Key: l.Key.String(), Generation: l.Generation, Length: l.Length, Checksum: l.Checksum}
}

// Publication describes a sealed block for its home. A block is published only once.
type Publication struct {
	Store    string // URL of the store
	Class    string // class of the request whose prompt the block belongs to
	Position int    // number of blocks before it in the chain
	Sealed   store.SealedBlock
}

// Directory lists the blocks of those partitions of a data centre whose home is this
// instance. It is soft state: a piece whose block is missing is prefilled again, and
// an entry that is wrong is detected by the store or by the reader's checks. A key
// has one entry, for its newest generation. A block is removed from the directory
// before it is freed, and is freed only after all read grants on it have ended.
// Directory is not safe for concurrent use.
type Directory struct {
	opts         DirectoryOptions
	start        time.Time
	entryIndex   map[Fingerprint]uint32 // slots, the indexes in entries
	entries      []entry
	unusedSlots  []uint32 // slots of removed entries
	stores       []storeRecord
	classes      []classState
	pendingFrees []pendingFree
	tombstones   map[generationID]time.Time // removed blocks, whose publication is refused until this time
}

// classState is a class and the statistics of its returns.
type classState struct {
	name   string
	curves *curves
}

// Fingerprint is the part of a key with which the directory finds its entry. Two keys
// with the same fingerprint can't both be in the directory.
type Fingerprint uint64

// Fingerprint returns the fingerprint of the key, which is never 0.
func (k Key) Fingerprint() Fingerprint {
	return Fingerprint(1 | binary.LittleEndian.Uint64(k[tagBytes:]))
}

// entry is a block in the directory. It is packed because a home holds several
// hundred thousand of them. Entries are stored apart from the index, those of a chain
// mostly next to each other, so that a lookup accesses little memory.
type entry struct {
	key         Key
	generation  uint64
	checksum    uint64
	length      uint32
	lastUsed    uint32 // time of the publication or latest lookup, in seconds since the directory's start
	grantsEnd   uint32 // time at which all read grants have ended, in seconds since the directory's start
	store       uint16
	position    uint16 // number of blocks before it in the chain, up to 65535
	class       uint8
	returnCount uint8 // number of lookups that found the block, up to 255
}

// generationID identifies one generation of a block at one store.
type generationID struct {
	key        Key
	generation uint64
	store      uint16
}

// pendingFree is a block that is removed from the directory but not yet freed.
type pendingFree struct {
	block     BlockLocation
	notBefore time.Time
}

// storeRecord has the directory's records of one store.
type storeRecord struct {
	url       string
	epoch     string
	downUntil time.Time
	bytes     int64 // total length of the store's blocks in this directory
	sequences map[Partition]*sequence
}

// NewDirectory returns an empty directory. The times passed to its methods must not
// be earlier than start.
func NewDirectory(start time.Time, o DirectoryOptions) *Directory {
	o.MaxBlocks = cmp.Or(o.MaxBlocks, defaultMaxBlocks)
	o.GapGrace = cmp.Or(o.GapGrace, defaultGapGrace)
	o.MaxGrant = cmp.Or(o.MaxGrant, defaultMaxGrant)
	if o.Returns == nil {
		o.Returns = NewReturnEstimator(nil)
	}
	return &Directory{opts: o, start: start, entryIndex: map[Fingerprint]uint32{}, tombstones: map[generationID]time.Time{}}
}

// Len returns the number of blocks in the directory.
func (d *Directory) Len() int { return len(d.entryIndex) }

// entry returns the entry of a key, nil if there is none.
func (d *Directory) entry(key Key) *entry {
	e, _ := d.findEntry(key.Fingerprint(), -1)
	if e == nil || e.key != key {
		return nil
	}
	return e
}

// findEntry returns the entry with a fingerprint and its slot, nil and -1 if there is
// none. previous is the slot of the preceding block in the chain, or -1. The blocks of a
// chain are mostly published together, so findEntry first tries the slot after previous:
// that saves the map's hashing, and the entry is likely to be in the processor's cache.
func (d *Directory) findEntry(f Fingerprint, previous int) (*entry, int) {
	if i := previous + 1; previous >= 0 && i < len(d.entries) && d.entries[i].hasFingerprint(f) {
		return &d.entries[i], i
	}
	i, ok := d.entryIndex[f]
	if !ok {
		return nil, -1
	}
	return &d.entries[i], int(i)
}

// hasFingerprint reports whether the entry is in use and its key has the fingerprint.
func (e *entry) hasFingerprint(f Fingerprint) bool { return e.key != Key{} && e.key.Fingerprint() == f }

// addEntry adds an entry for a key that has none.
func (d *Directory) addEntry(e entry) {
	i := uint32(len(d.entries))
	if n := len(d.unusedSlots); n > 0 {
		i = d.unusedSlots[n-1]
		d.unusedSlots = d.unusedSlots[:n-1]
		d.entries[i] = e
	} else {
		d.entries = append(d.entries, e)
	}
	d.entryIndex[e.key.Fingerprint()] = i
	d.stores[e.store].bytes += int64(e.length)
}

// Publish adds a sealed block. A block that it replaces is freed once the read grants
// on it have ended. If it refuses the block, it returns a *KeyError, *UnsealedError,
// *EpochError, *FreedError, *CollisionError, *StaleError or *TooManyError. With an
// *EpochError it also requests a listing of the block's partition.
func (d *Directory) Publish(now time.Time, p Publication) error {
	key, err := ParseKey(p.Sealed.Ref.Key)
	if err != nil {
		return err
	}
	if p.Sealed.Seq == 0 || p.Sealed.Epoch == "" {
		return &UnsealedError{Key: p.Sealed.Ref.Key}
	}
	storeIndex, err := d.storeIndex(p.Store)
	if err != nil {
		return err
	}
	s := &d.stores[storeIndex]
	if s.epoch == "" {
		s.epoch = p.Sealed.Epoch
	}
	if s.epoch != p.Sealed.Epoch {
		s.sequence(key.Partition()).listingRequested = true
		return &EpochError{Store: p.Store, Got: p.Sealed.Epoch, Known: s.epoch}
	}
	class, err := d.classIndex(p.Class)
	if err != nil {
		return err
	}
	s.sequence(key.Partition()).recordChange(now, p.Sealed.Seq)
	newEntry := entry{key: key, lastUsed: d.secondsSinceStart(now), store: storeIndex, class: class, position: uint16(min(p.Position, math.MaxUint16))}
	return d.putEntry(now, newEntry, p.Sealed.Ref)
}

// putEntry adds newEntry with the generation, length and checksum of ref. It refuses a
// block that is being freed, that is too large or whose fingerprint is in use, and a
// generation that is not newer than the one in the directory. It accepts without effect
// the generation that the directory already has at the same store. A block that is
// refused as stale, or because the directory is full, is queued to be freed.
func (d *Directory) putEntry(now time.Time, newEntry entry, ref engine.BlockRef) error {
	key, storeIndex := newEntry.key, newEntry.store
	if _, isTombstoned := d.tombstones[generationID{key, ref.Generation, storeIndex}]; isTombstoned {
		return &FreedError{Key: key, Generation: ref.Generation}
	}
	if ref.Length < 0 || ref.Length > math.MaxUint32 {
		return &TooManyError{What: "bytes in a block", Limit: math.MaxUint32}
	}
	newEntry.generation, newEntry.checksum, newEntry.length = ref.Generation, ref.Checksum, uint32(ref.Length)
	old := d.entry(key)
	if _, fingerprintInUse := d.entryIndex[key.Fingerprint()]; fingerprintInUse && old == nil {
		return &CollisionError{Key: key}
	}
	switch {
	case old != nil && old.generation == ref.Generation && old.store == storeIndex:
		return nil
	case old != nil && old.generation >= ref.Generation:
		// Another home may have granted reads of this generation.
		d.queueFree(now.Add(d.opts.MaxGrant), d.locate(&newEntry))
		return &StaleError{Key: key, Got: ref.Generation, Held: old.generation}
	case old != nil:
		newEntry.returnCount = old.returnCount
		d.removeAndQueueFree(now, key)
	case len(d.entryIndex) >= d.opts.MaxBlocks:
		d.queueFree(now, d.locate(&newEntry))
		return &TooManyError{What: "blocks in the directory", Limit: d.opts.MaxBlocks}
	}
	d.addEntry(newEntry)
	return nil
}

// Query asks for the blocks of a prompt.
type Query struct {
	Keys          []Key
	Fingerprints  []Fingerprint // fingerprints of the keys, used if Keys is empty
	First         int           // position of Keys[0] or Fingerprints[0] in its chain
	Class         string        // class of the request
	GrantDuration time.Duration // duration of the read grants on the blocks found
}

// keyCount returns the number of keys that the query asks for.
func (q Query) keyCount() int { return max(len(q.Keys), len(q.Fingerprints)) }

// fingerprintAt returns the fingerprint of the i-th key.
func (q Query) fingerprintAt(i int) Fingerprint {
	if len(q.Keys) > 0 {
		return q.Keys[i].Fingerprint()
	}
	return q.Fingerprints[i]
}

// Lookup appends to found the blocks of the query's leading keys and grants reads of
// them. It stops at the first key whose block is missing or in a store marked down.
func (d *Directory) Lookup(now time.Time, q Query, found []BlockLocation) []BlockLocation {
	class, err := d.classIndex(q.Class)
	if err != nil {
		return found
	}
	curves := d.classes[class].curves
	usedAt := d.secondsSinceStart(now)
	// Rounded up to whole seconds, so that no grant ends early.
	grantEnd := d.secondsSinceStart(now.Add(min(q.GrantDuration, d.opts.MaxGrant)).Add(time.Second - 1))
	var e *entry
	slot := -1
	for i := range q.keyCount() {
		if e, slot = d.findEntry(q.fingerprintAt(i), slot); e == nil || now.Before(d.stores[e.store].downUntil) {
			break
		}
		e.class = class
		curves.observe(int(e.returnCount), time.Duration(usedAt-e.lastUsed)*time.Second, true)
		e.lastUsed = usedAt
		e.grantsEnd = max(e.grantsEnd, grantEnd)
		e.returnCount = min(e.returnCount, math.MaxUint8-1) + 1
		e.position = uint16(min(q.First+i, math.MaxUint16))
		found = append(found, d.locate(e))
	}
	return found
}

// Free removes a generation of a block from the directory and queues it to be freed
// when the read grants on it have ended. It does nothing and returns false if the
// directory doesn't have this generation.
func (d *Directory) Free(now time.Time, key Key, generation uint64) bool {
	e := d.entry(key)
	if e == nil || e.generation != generation {
		return false
	}
	d.classes[e.class].curves.observe(int(e.returnCount), d.idleTime(now, e), false)
	d.removeAndQueueFree(now, key)
	return true
}

// removeAndQueueFree removes a block from the directory and queues it to be freed when
// the read grants on it have ended.
func (d *Directory) removeAndQueueFree(now time.Time, key Key) {
	e := *d.entry(key)
	d.deleteEntry(key)
	notBefore := now
	if end := d.start.Add(time.Duration(e.grantsEnd) * time.Second); end.After(now) {
		notBefore = end
	}
	d.queueFree(notBefore, d.locate(&e))
}

// deleteEntry removes a block from the directory without freeing it.
func (d *Directory) deleteEntry(key Key) {
	i := d.entryIndex[key.Fingerprint()]
	delete(d.entryIndex, key.Fingerprint())
	d.unusedSlots = append(d.unusedSlots, i)
	e := &d.entries[i]
	d.stores[e.store].bytes -= int64(e.length)
	*e = entry{}
}

// queueFree queues a block to be freed at notBefore. Until tombstoneLifetime after that,
// the directory refuses the block in publications and listings.
func (d *Directory) queueFree(notBefore time.Time, l BlockLocation) {
	storeIndex, err := d.storeIndex(l.Store)
	if err != nil {
		return
	}
	d.tombstones[generationID{l.Key, l.Generation, storeIndex}] = notBefore.Add(tombstoneLifetime)
	d.pendingFrees = append(d.pendingFrees, pendingFree{block: l, notBefore: notBefore})
}

// DueFrees returns the blocks that may be freed at their stores now. It returns each
// block once: if a free doesn't reach its store, a later listing finds the block.
func (d *Directory) DueFrees(now time.Time) []BlockLocation {
	var due []BlockLocation
	remaining := d.pendingFrees[:0]
	for _, f := range d.pendingFrees {
		if f.notBefore.After(now) {
			remaining = append(remaining, f)
			continue
		}
		due = append(due, f.block)
	}
	clear(d.pendingFrees[len(remaining):])
	d.pendingFrees = remaining
	for id, until := range d.tombstones {
		if until.Before(now) {
			delete(d.tombstones, id)
		}
	}
	return due
}

// Freed records a store's response to a free of l.
func (d *Directory) Freed(now time.Time, l BlockLocation, f store.FreeResponse) {
	storeIndex, err := d.storeIndex(l.Store)
	if err != nil || f.Seq == 0 || d.stores[storeIndex].epoch != f.Epoch {
		return
	}
	d.stores[storeIndex].sequence(l.Key.Partition()).recordChange(now, f.Seq)
}

// MarkDown excludes the blocks of a store from lookups until the given time.
func (d *Directory) MarkDown(url string, until time.Time) {
	if storeIndex, err := d.storeIndex(url); err == nil {
		d.stores[storeIndex].downUntil = until
	}
}

// Bytes returns the total length of the directory's blocks at a store.
func (d *Directory) Bytes(url string) int64 {
	storeIndex, err := d.storeIndex(url)
	if err != nil {
		return 0
	}
	return d.stores[storeIndex].bytes
}

// Evict frees blocks of a store, those with the lowest score first, until the given
// number of bytes is reached. It returns the score of the last block that it freed:
// blocks with a lower score are not worth storing there at present.
func (d *Directory) Evict(now time.Time, url string, bytes int64, score func(BlockStats) float64) float64 {
	storeIndex, err := d.storeIndex(url)
	if err != nil {
		return 0
	}
	candidates := d.evictionCandidates(now, storeIndex, score)
	price := 0.0
	for _, c := range candidates {
		if bytes <= 0 {
			break
		}
		e := *d.entry(c.key)
		bytes -= int64(e.length)
		price = c.score
		d.Free(now, c.key, e.generation)
	}
	return price
}

// BlockStats describes a block in the directory for scoring it.
type BlockStats struct {
	Class    string        // class of the latest request for it; empty if known only from a listing
	Position int           // number of blocks before it in the chain
	Returns  int           // number of lookups that found it
	Idle     time.Duration // time since the publication or latest lookup
	Bytes    int64
}

// evictionCandidate is a block of a store and its score.
type evictionCandidate struct {
	key      Key
	score    float64
	position uint16
}

// evictionCandidates returns the blocks of a store in the order in which to evict
// them, the lowest score first. Of blocks with equal scores, those further back in a
// chain come first, because a block is useless without those before it. Blocks with
// read grants are included: their free waits until the grants have ended.
func (d *Directory) evictionCandidates(now time.Time, storeIndex uint16, score func(BlockStats) float64) []evictionCandidate {
	var all []evictionCandidate
	for _, i := range d.entryIndex {
		e := &d.entries[i]
		if e.store != storeIndex {
			continue
		}
		stats := BlockStats{Class: d.classes[e.class].name, Position: int(e.position), Returns: int(e.returnCount), Idle: d.idleTime(now, e), Bytes: int64(e.length)}
		all = append(all, evictionCandidate{key: e.key, score: score(stats), position: e.position})
	}
	slices.SortFunc(all, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.position, a.position), slices.Compare(a.key[:], b.key[:]))
	})
	return all
}

// idleTime returns the time since the publication or latest lookup of an entry.
func (d *Directory) idleTime(now time.Time, e *entry) time.Duration {
	return time.Duration(d.secondsSinceStart(now)-e.lastUsed) * time.Second
}

// locate returns the location of an entry's block.
func (d *Directory) locate(e *entry) BlockLocation {
	return BlockLocation{Store: d.stores[e.store].url, Key: e.key, Generation: e.generation, Length: int64(e.length), Checksum: e.checksum}
}

// secondsSinceStart returns the time since the directory's start in whole seconds.
func (d *Directory) secondsSinceStart(t time.Time) uint32 {
	return uint32(max(t.Sub(d.start)/time.Second, 0))
}

// storeIndex returns the index of a store in stores, adding the store if it is new.
func (d *Directory) storeIndex(url string) (uint16, error) {
	for i := range d.stores {
		if d.stores[i].url == url {
			return uint16(i), nil
		}
	}
	if len(d.stores) >= maxStores {
		return 0, &TooManyError{What: "stores", Limit: maxStores}
	}
	d.stores = append(d.stores, storeRecord{url: url, sequences: map[Partition]*sequence{}})
	return uint16(len(d.stores) - 1), nil
}

// classIndex returns the index of a class in classes, adding the class if it is new.
func (d *Directory) classIndex(class string) (uint8, error) {
	for i := range d.classes {
		if d.classes[i].name == class {
			return uint8(i), nil
		}
	}
	if len(d.classes) >= maxClasses {
		return 0, &TooManyError{What: "classes", Limit: maxClasses}
	}
	d.classes = append(d.classes, classState{name: class, curves: d.opts.Returns.classCurves(class)})
	return uint8(len(d.classes) - 1), nil
}

// sequence returns the change sequence of a partition, adding it if it is new.
func (s *storeRecord) sequence(p Partition) *sequence {
	seq := s.sequences[p]
	if seq == nil {
		seq = &sequence{}
		s.sequences[p] = seq
	}
	return seq
}
