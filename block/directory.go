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

// Defaults of DirectoryOptions.
const (
	defaultMaxBlocks = 300_000
	defaultGapGrace  = 2 * time.Second
	defaultMaxGrant  = time.Minute
	tombstoneAge     = time.Minute
)

// maxTable bounds the stores and the classes that a directory can number.
const (
	maxStores  = math.MaxUint16
	maxClasses = math.MaxUint8
)

// DirectoryOptions sizes a directory.
type DirectoryOptions struct {
	MaxBlocks int              // 0 for the default; further publications are refused
	GapGrace  time.Duration    // how long a change number may stay away; 0 for the default
	MaxGrant  time.Duration    // longest read grant; 0 for the default
	Returns   *ReturnEstimator // learns from lookups; nil for a new one
}

// BlockLocation is one generation of a sealed block and the store that holds it.
type BlockLocation struct {
	Store      string
	Key        Key
	Generation uint64
	Length     int64
	Checksum   uint64
}

// Ref returns the reference by which engines and stores know the block.
func (l BlockLocation) Ref() engine.BlockRef {
	return engine.BlockRef{Key: l.Key.String(), Generation: l.Generation, Length: l.Length, Checksum: l.Checksum}
}

// Publication announces a sealed block. A block is announced once.
type Publication struct {
	Store    string
	Class    string // class of the request whose prompt it belongs to
	Position int    // number of blocks before it in its chain
	Sealed   store.SealedBlock
}

// Directory is one home instance's share of the blocks of a data centre. It is
// soft state: what it forgets is recomputed, and what it wrongly remembers is
// refused by the store or the reader's checks. A key has one entry, that of its
// newest generation. A block leaves the directory before it is freed, and is
// freed only after the read grants on it have ended. Not safe for concurrent use.
type Directory struct {
	opts    DirectoryOptions
	start   time.Time
	index   map[Fingerprint]uint32 // position in entries
	entries []entry
	spare   []uint32 // positions in entries not in use
	stores  []storeState
	classes []classState
	frees   []pendingFree
	freed   map[generationID]time.Time // unpublished, until this time not to be published again
}

// classState is a class and what is known of its returns.
type classState struct {
	name   string
	curves *curves
}

// Fingerprint is the part of a key by which the directory finds its entry. Two
// keys with the same one can't both be in the directory.
type Fingerprint uint64

// Fingerprint returns the fingerprint of the key, which is never 0.
func (k Key) Fingerprint() Fingerprint {
	return Fingerprint(1 | binary.LittleEndian.Uint64(k[tagBytes:]))
}

// entry is packed because a home holds some hundred thousand of them. Entries
// lie apart from the index, those of a chain next to each other, so that a
// lookup touches little memory.
type entry struct {
	key        Key
	generation uint64
	checksum   uint64
	length     uint32
	used       uint32 // seconds since start of the last publication or lookup
	granted    uint32 // seconds since start at which all read grants have ended
	store      uint16
	position   uint16
	class      uint8
	returns    uint8 // lookups that found it
}

// generationID names one generation of a block at one store.
type generationID struct {
	key        Key
	generation uint64
	store      uint16
}

// pendingFree is a block that has left the directory and is not yet freed.
type pendingFree struct {
	block BlockLocation
	after time.Time
}

// storeState is what the directory knows of one store.
type storeState struct {
	url       string
	epoch     string
	downUntil time.Time
	bytes     int64 // of the blocks in this directory
	sequences map[Partition]*sequence
}

// NewDirectory returns an empty directory. Times passed to its methods must not
// be before start.
func NewDirectory(start time.Time, o DirectoryOptions) *Directory {
	o.MaxBlocks = cmp.Or(o.MaxBlocks, defaultMaxBlocks)
	o.GapGrace = cmp.Or(o.GapGrace, defaultGapGrace)
	o.MaxGrant = cmp.Or(o.MaxGrant, defaultMaxGrant)
	if o.Returns == nil {
		o.Returns = NewReturnEstimator(nil)
	}
	return &Directory{opts: o, start: start, index: map[Fingerprint]uint32{}, freed: map[generationID]time.Time{}}
}

// Len returns the number of blocks.
func (d *Directory) Len() int { return len(d.index) }

// entry returns the entry of a key, nil if there is none.
func (d *Directory) entry(key Key) *entry {
	e, _ := d.next(key.Fingerprint(), -1)
	if e == nil || e.key != key {
		return nil
	}
	return e
}

// next returns the entry of a fingerprint and its position. The blocks of a chain are
// mostly published together, so that the entry behind that of the block before
// is tried first: it saves the hashing and is in the processor's cache.
func (d *Directory) next(f Fingerprint, previous int) (*entry, int) {
	if i := previous + 1; previous >= 0 && i < len(d.entries) && d.entries[i].is(f) {
		return &d.entries[i], i
	}
	i, ok := d.index[f]
	if !ok {
		return nil, -1
	}
	return &d.entries[i], int(i)
}

// is reports whether the entry is in use and has the fingerprint.
func (e *entry) is(f Fingerprint) bool { return e.key != Key{} && e.key.Fingerprint() == f }

// add puts an entry in for a key that has none.
func (d *Directory) add(e entry) {
	i := uint32(len(d.entries))
	if n := len(d.spare); n > 0 {
		i = d.spare[n-1]
		d.spare = d.spare[:n-1]
		d.entries[i] = e
	} else {
		d.entries = append(d.entries, e)
	}
	d.index[e.key.Fingerprint()] = i
	d.stores[e.store].bytes += int64(e.length)
}

// Publish adds a sealed block. A block that it replaces is freed in due time.
func (d *Directory) Publish(now time.Time, p Publication) error {
	key, err := ParseKey(p.Sealed.Ref.Key)
	if err != nil {
		return err
	}
	if p.Sealed.Seq == 0 || p.Sealed.Epoch == "" {
		return &UnsealedError{Key: p.Sealed.Ref.Key}
	}
	index, err := d.storeIndex(p.Store)
	if err != nil {
		return err
	}
	s := &d.stores[index]
	if s.epoch == "" {
		s.epoch = p.Sealed.Epoch
	}
	if s.epoch != p.Sealed.Epoch {
		s.sequence(key.Partition()).listFor = true
		return &EpochError{Store: p.Store, Got: p.Sealed.Epoch, Known: s.epoch}
	}
	class, err := d.classIndex(p.Class)
	if err != nil {
		return err
	}
	s.sequence(key.Partition()).seen(now, p.Sealed.Seq)
	fresh := entry{key: key, used: d.seconds(now), store: index, class: class, position: uint16(min(p.Position, math.MaxUint16))}
	return d.put(now, fresh, p.Sealed.Ref)
}

// put adds an entry for ref unless a newer generation is there.
func (d *Directory) put(now time.Time, fresh entry, ref engine.BlockRef) error {
	key, index := fresh.key, fresh.store
	if _, gone := d.freed[generationID{key, ref.Generation, index}]; gone {
		return &FreedError{Key: key, Generation: ref.Generation}
	}
	if ref.Length < 0 || ref.Length > math.MaxUint32 {
		return &TooManyError{What: "bytes in a block", Limit: math.MaxUint32}
	}
	fresh.generation, fresh.checksum, fresh.length = ref.Generation, ref.Checksum, uint32(ref.Length)
	old := d.entry(key)
	if _, taken := d.index[key.Fingerprint()]; taken && old == nil {
		return &CollisionError{Key: key}
	}
	switch {
	case old != nil && old.generation == ref.Generation && old.store == index:
		return nil
	case old != nil && old.generation >= ref.Generation:
		d.free(now.Add(d.opts.MaxGrant), d.located(&fresh))
		return &StaleError{Key: key, Got: ref.Generation, Held: old.generation}
	case old != nil:
		fresh.returns = old.returns
		d.remove(now, key)
	case len(d.index) >= d.opts.MaxBlocks:
		d.free(now, d.located(&fresh))
		return &TooManyError{What: "blocks in the directory", Limit: d.opts.MaxBlocks}
	}
	d.add(fresh)
	return nil
}

// Query asks for the blocks of a prompt.
type Query struct {
	Keys          []Key
	Fingerprints  []Fingerprint // in place of Keys, if those are not at hand
	First         int           // position of Keys[0] in its chain
	Class         string        // class of the request
	GrantDuration time.Duration // how long the blocks found may be read
}

func (q Query) len() int { return max(len(q.Keys), len(q.Fingerprints)) }

func (q Query) fingerprint(i int) Fingerprint {
	if len(q.Keys) > 0 {
		return q.Keys[i].Fingerprint()
	}
	return q.Fingerprints[i]
}

// Lookup appends to found the blocks of the query's keys from the first one on,
// up to the first that no store in service holds, and grants reads of them.
func (d *Directory) Lookup(now time.Time, q Query, found []BlockLocation) []BlockLocation {
	class, err := d.classIndex(q.Class)
	if err != nil {
		return found
	}
	curves := d.classes[class].curves
	used := d.seconds(now)
	until := d.seconds(now.Add(min(q.GrantDuration, d.opts.MaxGrant)).Add(time.Second - 1))
	var e *entry
	at := -1
	for i := range q.len() {
		if e, at = d.next(q.fingerprint(i), at); e == nil || now.Before(d.stores[e.store].downUntil) {
			break
		}
		e.class = class
		curves.observe(int(e.returns), time.Duration(used-e.used)*time.Second, true)
		e.used = used
		e.granted = max(e.granted, until)
		e.returns = min(e.returns, math.MaxUint8-1) + 1
		e.position = uint16(min(q.First+i, math.MaxUint16))
		found = append(found, d.located(e))
	}
	return found
}

// Free removes a generation of a block from the directory and has it freed when
// the read grants on it have ended. Another generation of the key stays.
func (d *Directory) Free(now time.Time, key Key, generation uint64) bool {
	e := d.entry(key)
	if e == nil || e.generation != generation {
		return false
	}
	d.classes[e.class].curves.observe(int(e.returns), d.age(now, e), false)
	d.remove(now, key)
	return true
}

// remove takes a block out and queues it for its free.
func (d *Directory) remove(now time.Time, key Key) {
	e := *d.entry(key)
	d.forget(key)
	after := now
	if end := d.start.Add(time.Duration(e.granted) * time.Second); end.After(now) {
		after = end
	}
	d.free(after, d.located(&e))
}

// forget takes a block out of the directory only.
func (d *Directory) forget(key Key) {
	i := d.index[key.Fingerprint()]
	delete(d.index, key.Fingerprint())
	d.spare = append(d.spare, i)
	e := &d.entries[i]
	d.stores[e.store].bytes -= int64(e.length)
	*e = entry{}
}

func (d *Directory) free(after time.Time, l BlockLocation) {
	index, err := d.storeIndex(l.Store)
	if err != nil {
		return
	}
	d.freed[generationID{l.Key, l.Generation, index}] = after.Add(tombstoneAge)
	d.frees = append(d.frees, pendingFree{block: l, after: after})
}

// DueFrees returns the blocks that may be freed at their stores now; each is
// returned once. A free that does not reach its store is found by a listing.
func (d *Directory) DueFrees(now time.Time) []BlockLocation {
	var due []BlockLocation
	rest := d.frees[:0]
	for _, f := range d.frees {
		if f.after.After(now) {
			rest = append(rest, f)
			continue
		}
		due = append(due, f.block)
	}
	clear(d.frees[len(rest):])
	d.frees = rest
	for id, until := range d.freed {
		if until.Before(now) {
			delete(d.freed, id)
		}
	}
	return due
}

// Freed records a store's answer to a free.
func (d *Directory) Freed(now time.Time, l BlockLocation, f store.FreeResponse) {
	index, err := d.storeIndex(l.Store)
	if err != nil || f.Seq == 0 || d.stores[index].epoch != f.Epoch {
		return
	}
	d.stores[index].sequence(l.Key.Partition()).seen(now, f.Seq)
}

// MarkDown takes the blocks of a store out of lookups until then.
func (d *Directory) MarkDown(url string, until time.Time) {
	if index, err := d.storeIndex(url); err == nil {
		d.stores[index].downUntil = until
	}
}

// Bytes returns the bytes of the directory's blocks at a store.
func (d *Directory) Bytes(url string) int64 {
	index, err := d.storeIndex(url)
	if err != nil {
		return 0
	}
	return d.stores[index].bytes
}

// Evict frees blocks of a store, those of the least score first, until bytes
// are freed. It returns the score of the last one, below which keeping further
// blocks at this store is not worth while.
func (d *Directory) Evict(now time.Time, url string, bytes int64, score func(BlockStats) float64) float64 {
	index, err := d.storeIndex(url)
	if err != nil {
		return 0
	}
	candidates := d.candidates(now, index, score)
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

// BlockStats is what eviction knows of a block.
type BlockStats struct {
	Class    string
	Position int
	Returns  int
	Idle     time.Duration
	Bytes    int64
}

type candidate struct {
	key      Key
	score    float64
	position uint16
}

// candidates returns the blocks of a store, the first to evict first. Among
// equals the end of a chain goes first: a block without those before it is of
// no use. Reads granted are not waited for here but before the free.
func (d *Directory) candidates(now time.Time, index uint16, score func(BlockStats) float64) []candidate {
	var all []candidate
	for _, i := range d.index {
		e := &d.entries[i]
		if e.store != index {
			continue
		}
		h := BlockStats{Class: d.classes[e.class].name, Position: int(e.position), Returns: int(e.returns), Idle: d.age(now, e), Bytes: int64(e.length)}
		all = append(all, candidate{key: e.key, score: score(h), position: e.position})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.position, a.position), slices.Compare(a.key[:], b.key[:]))
	})
	return all
}

func (d *Directory) age(now time.Time, e *entry) time.Duration {
	return time.Duration(d.seconds(now)-e.used) * time.Second
}

func (d *Directory) located(e *entry) BlockLocation {
	return BlockLocation{Store: d.stores[e.store].url, Key: e.key, Generation: e.generation, Length: int64(e.length), Checksum: e.checksum}
}

func (d *Directory) seconds(t time.Time) uint32 {
	return uint32(max(t.Sub(d.start)/time.Second, 0))
}

func (d *Directory) storeIndex(url string) (uint16, error) {
	for i := range d.stores {
		if d.stores[i].url == url {
			return uint16(i), nil
		}
	}
	if len(d.stores) >= maxStores {
		return 0, &TooManyError{What: "stores", Limit: maxStores}
	}
	d.stores = append(d.stores, storeState{url: url, sequences: map[Partition]*sequence{}})
	return uint16(len(d.stores) - 1), nil
}

func (d *Directory) classIndex(class string) (uint8, error) {
	for i := range d.classes {
		if d.classes[i].name == class {
			return uint8(i), nil
		}
	}
	if len(d.classes) >= maxClasses {
		return 0, &TooManyError{What: "classes", Limit: maxClasses}
	}
	d.classes = append(d.classes, classState{name: class, curves: d.opts.Returns.of(class)})
	return uint8(len(d.classes) - 1), nil
}

func (s *storeState) sequence(p Partition) *sequence {
	q := s.sequences[p]
	if q == nil {
		q = &sequence{}
		s.sequences[p] = q
	}
	return q
}
