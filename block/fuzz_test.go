package block

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"redwingknot/engine"
	"redwingknot/internal/fuzztest"
	storestandin "redwingknot/internal/standin/store"
	"redwingknot/store"
)

// direct carries requests to a store without sockets. An aborted answer is an
// error, as on a connection.
type direct struct{ server *storestandin.Server }

var errAborted = errors.New("connection aborted")

func (d direct) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	defer func() {
		if p := recover(); p != nil {
			resp, err = nil, errAborted
		}
	}()
	w := httptest.NewRecorder()
	d.server.ServeHTTP(w, r)
	return w.Result(), nil
}

// fuzzStore is a store and what the oracle knows to be sealed and not freed in it.
type fuzzStore struct {
	url    string
	server *storestandin.Server
	client *store.Client
	good   map[generationID][]byte
	flip   bool
}

type fuzzGrant struct {
	block BlockLocation
	until time.Time
}

// blockMachine drives a directory and two stores through failures. The oracle
// is the map of each store's good blocks.
type blockMachine struct {
	now      time.Time
	dir      *Directory
	stores   [2]*fuzzStore
	chains   [][]Key
	gen      uint64
	pending  []Publication   // sealed, not yet announced
	seen     []BlockLocation // every reference ever handed out
	grants   []fuzzGrant     // by lookups of this and earlier homes
	told     map[store.SealedBlock]bool
	listing  *store.Listing
	listedAs ListRequest
	guards   storestandin.Guards
}

func newBlockMachine(guards storestandin.Guards) *blockMachine {
	m := &blockMachine{now: time.Unix(1000, 0), guards: guards, told: map[store.SealedBlock]bool{}}
	for i := range m.stores {
		server := storestandin.New(storestandin.Options{Guards: guards})
		url := fmt.Sprintf("http://store%d", i)
		client := store.NewClient(url, &http.Client{Transport: direct{server}})
		m.stores[i] = &fuzzStore{url: url, server: server, client: client, good: map[generationID][]byte{}}
	}
	for i := range 2 {
		m.chains = append(m.chains, Chain("team", "model", "", "v", bytes.Repeat([]byte{byte(i)}, 2), 1))
	}
	m.newHome()
	return m
}

func (m *blockMachine) newHome() {
	m.dir = NewDirectory(time.Unix(0, 0), DirectoryOptions{GapGrace: time.Second})
	m.listing = nil
	m.dir.SetPartitions(m.partitions(), []string{m.stores[0].url, m.stores[1].url})
}

func (m *blockMachine) partitions() []Partition {
	var all []Partition
	for _, c := range m.chains {
		all = append(all, c[0].Partition())
	}
	return all
}

func (m *blockMachine) store(t *rapid.T) *fuzzStore {
	return rapid.SampledFrom(m.stores[:]).Draw(t, "store")
}

func (m *blockMachine) key(t *rapid.T) (Key, int) {
	c := rapid.SampledFrom(m.chains).Draw(t, "chain")
	i := rapid.IntRange(0, len(c)-1).Draw(t, "piece")
	return c[i], i
}

func (m *blockMachine) storeOf(url string) *fuzzStore {
	if url == m.stores[0].url {
		return m.stores[0]
	}
	return m.stores[1]
}

func id(l BlockLocation) generationID { return generationID{key: l.Key, generation: l.Generation} }

func blockContent(k Key, gen uint64, try int) []byte {
	return []byte(fmt.Sprintf("%s/%d/%d", k, gen, try))
}

// export writes a block under one of the store's faults, sometimes over an
// older generation, and keeps what the store confirms for publication.
func (m *blockMachine) export(t *rapid.T) {
	s := m.store(t)
	key, position := m.key(t)
	gen := m.gen + 1
	if rapid.IntRange(0, 4).Draw(t, "rewrite") == 0 && m.gen > 0 {
		gen = rapid.Uint64Range(1, m.gen).Draw(t, "old generation")
	}
	m.gen = max(m.gen, gen)
	content := blockContent(key, gen, rapid.IntRange(0, 1).Draw(t, "try"))
	fault := rapid.SampledFrom([]storestandin.Fault{{}, {}, {}, {CrashAfter: 5}, {LostSeal: true}, {Full: true}, {TornSeal: true}}).Draw(t, "fault")
	fault.FlipBit = s.flip
	s.server.SetFault(fault)
	ref := engine.BlockRef{Key: key.String(), Generation: gen}
	s.client.Put(t.Context(), ref, content, 0)
	s.server.SetFault(storestandin.Fault{FlipBit: s.flip})
	// What was handed to the store may be asked for at any time, sealed or not.
	l := BlockLocation{Store: s.url, Key: key, Generation: gen, Length: int64(len(content)), Checksum: store.Checksum(content)}
	m.seen = append(m.seen, l)
	cut := l
	cut.Length, cut.Checksum = 5, store.Checksum(content[:5])
	m.seen = append(m.seen, cut)
	sealed, err := s.client.StatAll(t.Context(), []engine.BlockRef{ref})
	if err != nil {
		t.Fatalf("stat: %v", err)
	}
	for _, b := range sealed {
		if _, known := s.good[id(l)]; !known && !fault.TornSeal {
			s.good[id(l)] = content
		}
		if m.told[b] {
			continue
		}
		m.told[b] = true
		p := Publication{Store: s.url, Class: "chat", Position: position, Sealed: b}
		if rapid.IntRange(0, 2).Draw(t, "late") == 0 {
			m.pending = append(m.pending, p)
			continue
		}
		m.announce(t, p)
	}
}

// announce checks that a publication never puts an older generation in place of
// a newer one.
func (m *blockMachine) announce(t *rapid.T, p Publication) {
	key, err := ParseKey(p.Sealed.Ref.Key)
	if err != nil {
		t.Fatalf("key: %v", err)
	}
	var held uint64
	if e := m.dir.entry(key); e != nil {
		held = e.generation
	}
	_ = m.dir.Publish(m.now, p)
	if e := m.dir.entry(key); held > 0 && (e == nil || e.generation < held) {
		t.Fatalf("publication of generation %d of %v took out generation %d", p.Sealed.Ref.Generation, key, held)
	}
}

// publish announces one sealed block, perhaps long after; lose forgets it.
func (m *blockMachine) publish(t *rapid.T) {
	if p, ok := m.takePending(t); ok {
		m.announce(t, p)
	}
}

func (m *blockMachine) lose(t *rapid.T) { m.takePending(t) }

func (m *blockMachine) takePending(t *rapid.T) (Publication, bool) {
	if len(m.pending) == 0 {
		t.Skip("nothing sealed")
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "pending")
	p := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	return p, true
}

func (m *blockMachine) lookup(t *rapid.T) {
	grant := time.Duration(rapid.IntRange(0, 5).Draw(t, "grant")) * time.Second
	chain := rapid.SampledFrom(m.chains).Draw(t, "chain")
	chain = chain[rapid.IntRange(0, len(chain)-1).Draw(t, "first"):]
	found := m.dir.Lookup(m.now, Query{Keys: chain, Class: "chat", GrantDuration: grant}, nil)
	for i, l := range found {
		if l.Key != chain[i] {
			t.Fatalf("lookup gave block %v in place of %v", l.Key, chain[i])
		}
		// A grant of a block that its store has lost protects nothing.
		if _, ok := m.storeOf(l.Store).good[id(l)]; ok {
			m.grants = append(m.grants, fuzzGrant{l, m.now.Add(grant)})
		}
		m.read(t, l)
	}
	m.seen = append(m.seen, found...)
}

func (m *blockMachine) readOld(t *rapid.T) {
	if len(m.seen) == 0 {
		t.Skip("no reference yet")
	}
	m.read(t, rapid.SampledFrom(m.seen).Draw(t, "reference"))
}

// read checks the promise: what is read is a block that its store sealed with
// these bytes and has not freed since.
func (m *blockMachine) read(t *rapid.T, l BlockLocation) {
	s := m.storeOf(l.Store)
	got, err := s.client.Get(t.Context(), l.Ref(), 0)
	if err != nil {
		return
	}
	want, ok := s.good[id(l)]
	if !ok {
		t.Fatalf("read %q as generation %d of %v, which is not sealed at %s or was freed", got, l.Generation, l.Key, l.Store)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("read %q in place of %q", got, want)
	}
}

func (m *blockMachine) evict(t *rapid.T) {
	s := m.store(t)
	m.dir.Evict(m.now, s.url, int64(rapid.IntRange(1, 300).Draw(t, "bytes")), func(h BlockStats) float64 { return -h.Idle.Seconds() })
}

func (m *blockMachine) reject(t *rapid.T) {
	if len(m.seen) == 0 {
		t.Skip("no reference yet")
	}
	l := rapid.SampledFrom(m.seen).Draw(t, "reference")
	var held uint64
	if e := m.dir.entry(l.Key); e != nil {
		held = e.generation
	}
	m.dir.Free(m.now, l.Key, l.Generation)
	if e := m.dir.entry(l.Key); held != l.Generation && held > 0 && e == nil {
		t.Fatalf("free of generation %d of %v took out generation %d", l.Generation, l.Key, held)
	}
	m.sendFrees(t)
}

// sendFrees carries out the frees that are due; some get lost.
func (m *blockMachine) sendFrees(t *rapid.T) {
	for _, l := range m.dir.DueFrees(m.now) {
		for _, g := range m.grants {
			if id(g.block) == id(l) && g.block.Store == l.Store && m.now.Before(g.until) {
				t.Fatalf("free of %v generation %d under a read grant", l.Key, l.Generation)
			}
		}
		if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		m.freeAt(t, l)
	}
}

func (m *blockMachine) freeAt(t *rapid.T, l BlockLocation) {
	s := m.storeOf(l.Store)
	freed, err := s.client.Free(t.Context(), l.Ref())
	if err == nil {
		delete(s.good, id(l))
		m.dir.Freed(m.now, l, freed)
	}
}

// storeEvicts has a store free a block by itself.
func (m *blockMachine) storeEvicts(t *rapid.T) {
	if len(m.seen) == 0 {
		t.Skip("no reference yet")
	}
	l := rapid.SampledFrom(m.seen).Draw(t, "reference")
	s := m.storeOf(l.Store)
	if _, err := s.client.Free(t.Context(), l.Ref()); err == nil {
		delete(s.good, id(l))
		m.grants = slices.DeleteFunc(m.grants, func(g fuzzGrant) bool { return g.block.Store == s.url && id(g.block) == id(l) })
	}
}

func (m *blockMachine) empty(t *rapid.T) {
	s := m.store(t)
	s.server.SetFault(storestandin.Fault{LoseBlocks: true, FlipBit: s.flip})
	s.good = map[generationID][]byte{}
	// What was granted is gone; the same generation written again is another block.
	m.grants = slices.DeleteFunc(m.grants, func(g fuzzGrant) bool { return g.block.Store == s.url })
}

func (m *blockMachine) flip(t *rapid.T) {
	s := m.store(t)
	s.flip = !s.flip
	s.server.SetFault(storestandin.Fault{FlipBit: s.flip})
}

// list fetches a listing that is wanted, or applies the one fetched earlier.
func (m *blockMachine) list(t *rapid.T) {
	if m.listing != nil {
		m.apply(t)
		return
	}
	wanted := m.dir.WantedListings(m.now, 100)
	if len(wanted) == 0 {
		t.Skip("no listing wanted")
	}
	m.listedAs = rapid.SampledFrom(wanted).Draw(t, "listing")
	l, err := fetchListing(t.Context(), m.storeOf(m.listedAs.Store).client, m.listedAs.Partition)
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	m.listing = &l
}

// apply checks that a listing fetched some time ago takes out nothing that is
// good at the store, unless it is of another epoch.
func (m *blockMachine) apply(t *rapid.T) {
	s := m.storeOf(m.listedAs.Store)
	var before []BlockLocation
	for _, i := range m.dir.index {
		e := &m.dir.entries[i]
		l := m.dir.located(e)
		if _, ok := s.good[id(l)]; ok && l.Store == s.url && m.dir.stores[e.store].epoch == m.listing.Epoch {
			before = append(before, l)
		}
	}
	if err := m.dir.ApplyListing(m.now, m.listedAs, *m.listing); err != nil {
		t.Fatalf("listing: %v", err)
	}
	m.listing = nil
	for _, l := range before {
		if e := m.dir.entry(l.Key); e == nil || e.generation < l.Generation {
			t.Fatalf("a late listing took out generation %d of %v", l.Generation, l.Key)
		}
	}
}

func (m *blockMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 2, 3, 90}).Draw(t, "seconds")) * time.Second)
}

// settle gives the upkeep time without failures. Then the directory has exactly
// the newest generations of what stores hold, and all of it is readable.
func (m *blockMachine) settle(t *rapid.T) {
	m.listing, m.pending = nil, nil
	for _, s := range m.stores {
		s.flip = false
		s.server.SetFault(storestandin.Fault{})
		m.dir.RequestListings(s.url)
	}
	for range 4 {
		m.now = m.now.Add(3 * time.Minute)
		for _, l := range m.dir.DueFrees(m.now) {
			m.freeAt(t, l)
		}
		for _, r := range m.dir.WantedListings(m.now, 1000) {
			l, err := fetchListing(t.Context(), m.storeOf(r.Store).client, r.Partition)
			if err != nil {
				t.Fatalf("list: %v", err)
			}
			if err := m.dir.ApplyListing(m.now, r, l); err != nil {
				t.Fatalf("listing: %v", err)
			}
		}
	}
	if rest := m.dir.WantedListings(m.now, 10); len(rest) > 0 {
		t.Fatalf("still wants listings: %v", rest)
	}
	m.checkSettled(t)
}

func (m *blockMachine) checkSettled(t *rapid.T) {
	held := 0
	for _, s := range m.stores {
		for g := range s.good {
			e := m.dir.entry(g.key)
			if e == nil || e.generation != g.generation || m.dir.stores[e.store].url != s.url {
				t.Fatalf("store %s holds generation %d of %v, the directory does not", s.url, g.generation, g.key)
			}
			held++
		}
	}
	for _, i := range m.dir.index {
		l := m.dir.located(&m.dir.entries[i])
		if _, ok := m.storeOf(l.Store).good[id(l)]; !ok && !m.torn(t, l) {
			t.Fatalf("directory has generation %d of %v, which %s does not hold", l.Generation, l.Key, l.Store)
		}
	}
}

// torn reports whether the store holds the block to be sealed though its
// content is lost, which only a read can find out.
func (m *blockMachine) torn(t *rapid.T, l BlockLocation) bool {
	_, err := m.storeOf(l.Store).client.Get(t.Context(), l.Ref(), 0)
	var corrupt *store.CorruptError
	return errors.As(err, &corrupt)
}

func (m *blockMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"export": m.export, "export2": m.export, "publish": m.publish, "publish2": m.publish, "lose": m.lose,
		"lookup": m.lookup, "readOld": m.readOld, "evict": m.evict, "reject": m.reject, "sendFrees": m.sendFrees,
		"storeEvicts": m.storeEvicts, "empty": m.empty, "flip": m.flip, "list": m.list, "list2": m.list,
		"advance": m.advance, "settle": m.settle, "newHome": func(*rapid.T) { m.newHome() },
	}
}

// TestFuzzOnlyGoodBlocksAreRead drives stores and a directory through crashes
// in a write, lost answers, torn and flipped bytes, generations written again,
// frees of all kinds, emptied stores, lost and late publications and listings,
// and lost homes.
func TestFuzzOnlyGoodBlocksAreRead(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		m := newBlockMachine(storestandin.Guards{})
		for range 3 {
			t.Repeat(m.actions())
		}
	})
}
