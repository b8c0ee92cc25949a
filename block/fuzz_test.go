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

// directTransport passes requests to a store without a connection. An aborted response
// is an error, as on a connection.
type directTransport struct{ server *storestandin.Server }

var errAborted = errors.New("connection aborted")

func (d directTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
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

// fuzzStore is a store and, as the oracle, the content of the blocks that are sealed and
// not freed in it.
type fuzzStore struct {
	url           string
	server        *storestandin.Server
	client        *store.Client
	sealedContent map[generationID][]byte
	flipsBits     bool
}

// fuzzGrant is a read grant on a block until a time.
type fuzzGrant struct {
	block BlockLocation
	until time.Time
}

// blockMachine is a state machine that drives a directory and two stores through
// failures. The oracle is the map of sealed content of each store.
type blockMachine struct {
	now            time.Time
	dir            *Directory
	stores         [2]*fuzzStore
	chains         [][]Key
	lastGeneration uint64
	pending        []Publication   // publications of sealed blocks that are not yet sent
	references     []BlockLocation // references to all blocks that were written to a store or found by a lookup
	grants         []fuzzGrant     // read grants by lookups of this and earlier homes
	confirmed      map[store.SealedBlock]bool
	listing        *store.Listing
	listingRequest ListRequest
	guards         storestandin.Guards
}

func newBlockMachine(guards storestandin.Guards) *blockMachine {
	m := &blockMachine{now: time.Unix(1000, 0), guards: guards, confirmed: map[store.SealedBlock]bool{}}
	for i := range m.stores {
		server := storestandin.New(storestandin.Options{Guards: guards})
		url := fmt.Sprintf("http://store%d", i)
		client := store.NewClient(url, &http.Client{Transport: directTransport{server}})
		m.stores[i] = &fuzzStore{url: url, server: server, client: client, sealedContent: map[generationID][]byte{}}
	}
	for i := range 2 {
		m.chains = append(m.chains, Chain("team", "model", "", "v", bytes.Repeat([]byte{byte(i)}, 2), 1))
	}
	m.startNewHome()
	return m
}

// startNewHome replaces the directory by an empty one, as after the loss of the home.
func (m *blockMachine) startNewHome() {
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

func (m *blockMachine) drawStore(t *rapid.T) *fuzzStore {
	return rapid.SampledFrom(m.stores[:]).Draw(t, "store")
}

func (m *blockMachine) drawKey(t *rapid.T) (Key, int) {
	c := rapid.SampledFrom(m.chains).Draw(t, "chain")
	i := rapid.IntRange(0, len(c)-1).Draw(t, "piece")
	return c[i], i
}

func (m *blockMachine) storeByURL(url string) *fuzzStore {
	if url == m.stores[0].url {
		return m.stores[0]
	}
	return m.stores[1]
}

// genIDOf returns the generation ID of a block, without the store: each fuzzStore has
// a map of its own.
func genIDOf(l BlockLocation) generationID { return generationID{key: l.Key, generation: l.Generation} }

func blockContent(k Key, gen uint64, try int) []byte {
	return []byte(fmt.Sprintf("%s/%d/%d", k, gen, try))
}

// export writes a block under one of the store's faults, sometimes with an earlier
// generation again, and publishes what the store confirms, now or later.
func (m *blockMachine) export(t *rapid.T) {
	s := m.drawStore(t)
	key, position := m.drawKey(t)
	gen := m.lastGeneration + 1
	if rapid.IntRange(0, 4).Draw(t, "rewrite") == 0 && m.lastGeneration > 0 {
		gen = rapid.Uint64Range(1, m.lastGeneration).Draw(t, "old generation")
	}
	m.lastGeneration = max(m.lastGeneration, gen)
	content := blockContent(key, gen, rapid.IntRange(0, 1).Draw(t, "try"))
	fault := rapid.SampledFrom([]storestandin.Fault{{}, {}, {}, {CrashAfter: 5}, {LostSeal: true}, {Full: true}, {TornSeal: true}}).Draw(t, "fault")
	fault.FlipBit = s.flipsBits
	s.server.SetFault(fault)
	ref := engine.BlockRef{Key: key.String(), Generation: gen}
	s.client.Put(t.Context(), ref, content, 0)
	s.server.SetFault(storestandin.Fault{FlipBit: s.flipsBits})
	// Whatever was sent to the store may be read later, sealed or not.
	l := BlockLocation{Store: s.url, Key: key, Generation: gen, Length: int64(len(content)), Checksum: store.Checksum(content)}
	m.references = append(m.references, l)
	// A reference to the content that CrashAfter leaves of a block.
	truncated := l
	truncated.Length, truncated.Checksum = 5, store.Checksum(content[:5])
	m.references = append(m.references, truncated)
	sealed, err := s.client.StatAll(t.Context(), []engine.BlockRef{ref})
	if err != nil {
		t.Fatalf("stat: %v", err)
	}
	for _, b := range sealed {
		if _, known := s.sealedContent[genIDOf(l)]; !known && !fault.TornSeal {
			s.sealedContent[genIDOf(l)] = content
		}
		if m.confirmed[b] {
			continue
		}
		m.confirmed[b] = true
		p := Publication{Store: s.url, Class: "chat", Position: position, Sealed: b}
		if rapid.IntRange(0, 2).Draw(t, "late") == 0 {
			m.pending = append(m.pending, p)
			continue
		}
		m.publishChecked(t, p)
	}
}

// publishChecked publishes p and checks that this doesn't replace a newer generation by
// an older one.
func (m *blockMachine) publishChecked(t *rapid.T, p Publication) {
	key, err := ParseKey(p.Sealed.Ref.Key)
	if err != nil {
		t.Fatalf("key: %v", err)
	}
	var heldGeneration uint64
	if e := m.dir.entry(key); e != nil {
		heldGeneration = e.generation
	}
	_ = m.dir.Publish(m.now, p)
	if e := m.dir.entry(key); heldGeneration > 0 && (e == nil || e.generation < heldGeneration) {
		t.Fatalf("publication of generation %d of %v removed generation %d", p.Sealed.Ref.Generation, key, heldGeneration)
	}
}

// publishPending sends one pending publication, possibly long after the export.
func (m *blockMachine) publishPending(t *rapid.T) {
	if p, ok := m.takePending(t); ok {
		m.publishChecked(t, p)
	}
}

// losePending drops one pending publication.
func (m *blockMachine) losePending(t *rapid.T) { m.takePending(t) }

func (m *blockMachine) takePending(t *rapid.T) (Publication, bool) {
	if len(m.pending) == 0 {
		t.Skip("no pending publication")
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
			t.Fatalf("lookup returned block %v, want %v", l.Key, chain[i])
		}
		// A grant on a block that its store has lost has no effect.
		if _, ok := m.storeByURL(l.Store).sealedContent[genIDOf(l)]; ok {
			m.grants = append(m.grants, fuzzGrant{l, m.now.Add(grant)})
		}
		m.read(t, l)
	}
	m.references = append(m.references, found...)
}

func (m *blockMachine) readOld(t *rapid.T) {
	if len(m.references) == 0 {
		t.Skip("no reference yet")
	}
	m.read(t, rapid.SampledFrom(m.references).Draw(t, "reference"))
}

// read checks that a successful read returns a block that its store has sealed with
// these bytes and not freed since.
func (m *blockMachine) read(t *rapid.T, l BlockLocation) {
	s := m.storeByURL(l.Store)
	got, err := s.client.Get(t.Context(), l.Ref(), 0)
	if err != nil {
		return
	}
	want, ok := s.sealedContent[genIDOf(l)]
	if !ok {
		t.Fatalf("read %q as generation %d of %v, which is not sealed at %s or was freed", got, l.Generation, l.Key, l.Store)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("read %q, want %q", got, want)
	}
}

func (m *blockMachine) evict(t *rapid.T) {
	s := m.drawStore(t)
	m.dir.Evict(m.now, s.url, int64(rapid.IntRange(1, 300).Draw(t, "bytes")), func(stats BlockStats) float64 { return -stats.Idle.Seconds() })
}

func (m *blockMachine) reject(t *rapid.T) {
	if len(m.references) == 0 {
		t.Skip("no reference yet")
	}
	l := rapid.SampledFrom(m.references).Draw(t, "reference")
	var heldGeneration uint64
	if e := m.dir.entry(l.Key); e != nil {
		heldGeneration = e.generation
	}
	m.dir.Free(m.now, l.Key, l.Generation)
	if e := m.dir.entry(l.Key); heldGeneration != l.Generation && heldGeneration > 0 && e == nil {
		t.Fatalf("free of generation %d of %v removed generation %d", l.Generation, l.Key, heldGeneration)
	}
	m.sendFrees(t)
}

// sendFrees sends the frees that are due, except some that get lost, and checks that no
// read grant is left on their blocks.
func (m *blockMachine) sendFrees(t *rapid.T) {
	for _, l := range m.dir.DueFrees(m.now) {
		for _, g := range m.grants {
			if genIDOf(g.block) == genIDOf(l) && g.block.Store == l.Store && m.now.Before(g.until) {
				t.Fatalf("free of %v generation %d during a read grant", l.Key, l.Generation)
			}
		}
		if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		m.freeAt(t, l)
	}
}

func (m *blockMachine) freeAt(t *rapid.T, l BlockLocation) {
	s := m.storeByURL(l.Store)
	freed, err := s.client.Free(t.Context(), l.Ref())
	if err == nil {
		delete(s.sealedContent, genIDOf(l))
		m.dir.Freed(m.now, l, freed)
	}
}

// storeEvicts frees a block at its store without telling the directory, as a store does
// that evicts by itself.
func (m *blockMachine) storeEvicts(t *rapid.T) {
	if len(m.references) == 0 {
		t.Skip("no reference yet")
	}
	l := rapid.SampledFrom(m.references).Draw(t, "reference")
	s := m.storeByURL(l.Store)
	if _, err := s.client.Free(t.Context(), l.Ref()); err == nil {
		delete(s.sealedContent, genIDOf(l))
		m.grants = slices.DeleteFunc(m.grants, func(g fuzzGrant) bool { return g.block.Store == s.url && genIDOf(g.block) == genIDOf(l) })
	}
}

func (m *blockMachine) emptyStore(t *rapid.T) {
	s := m.drawStore(t)
	s.server.SetFault(storestandin.Fault{LoseBlocks: true, FlipBit: s.flipsBits})
	s.sealedContent = map[generationID][]byte{}
	// The blocks with grants are lost; if the same generation is written again, it
	// is another block.
	m.grants = slices.DeleteFunc(m.grants, func(g fuzzGrant) bool { return g.block.Store == s.url })
}

func (m *blockMachine) toggleFlip(t *rapid.T) {
	s := m.drawStore(t)
	s.flipsBits = !s.flipsBits
	s.server.SetFault(storestandin.Fault{FlipBit: s.flipsBits})
}

// fetchOrApplyListing fetches a listing that is wanted, or applies the one that it
// fetched earlier.
func (m *blockMachine) fetchOrApplyListing(t *rapid.T) {
	if m.listing != nil {
		m.applyListing(t)
		return
	}
	wanted := m.dir.WantedListings(m.now, 100)
	if len(wanted) == 0 {
		t.Skip("no listing wanted")
	}
	m.listingRequest = rapid.SampledFrom(wanted).Draw(t, "listing")
	l, err := fetchListing(t.Context(), m.storeByURL(m.listingRequest.Store).client, m.listingRequest.Partition)
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	m.listing = &l
}

// applyListing applies the listing fetched earlier and checks that this removes no block
// that is sealed at the store, unless the listing has another epoch.
func (m *blockMachine) applyListing(t *rapid.T) {
	s := m.storeByURL(m.listingRequest.Store)
	var before []BlockLocation
	for _, i := range m.dir.entryIndex {
		e := &m.dir.entries[i]
		l := m.dir.locate(e)
		if _, ok := s.sealedContent[genIDOf(l)]; ok && l.Store == s.url && m.dir.stores[e.store].epoch == m.listing.Epoch {
			before = append(before, l)
		}
	}
	if err := m.dir.ApplyListing(m.now, m.listingRequest, *m.listing); err != nil {
		t.Fatalf("listing: %v", err)
	}
	m.listing = nil
	for _, l := range before {
		if e := m.dir.entry(l.Key); e == nil || e.generation < l.Generation {
			t.Fatalf("a late listing removed generation %d of %v", l.Generation, l.Key)
		}
	}
}

func (m *blockMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 2, 3, 90}).Draw(t, "seconds")) * time.Second)
}

// converge does what the upkeep does, without failures, in four rounds: a listing may
// queue frees, which the next round sends. The rounds are 3 minutes apart, longer than
// the maximum grant and tombstoneLifetime together. After that the directory must have
// exactly the newest generations of the blocks in the stores.
func (m *blockMachine) converge(t *rapid.T) {
	m.listing, m.pending = nil, nil
	for _, s := range m.stores {
		s.flipsBits = false
		s.server.SetFault(storestandin.Fault{})
		m.dir.RequestListings(s.url)
	}
	for range 4 {
		m.now = m.now.Add(3 * time.Minute)
		for _, l := range m.dir.DueFrees(m.now) {
			m.freeAt(t, l)
		}
		for _, r := range m.dir.WantedListings(m.now, 1000) {
			l, err := fetchListing(t.Context(), m.storeByURL(r.Store).client, r.Partition)
			if err != nil {
				t.Fatalf("list: %v", err)
			}
			if err := m.dir.ApplyListing(m.now, r, l); err != nil {
				t.Fatalf("listing: %v", err)
			}
		}
	}
	if remaining := m.dir.WantedListings(m.now, 10); len(remaining) > 0 {
		t.Fatalf("listings still wanted: %v", remaining)
	}
	m.checkConverged(t)
}

// checkConverged compares the directory with the sealed blocks of the stores.
func (m *blockMachine) checkConverged(t *rapid.T) {
	held := 0
	for _, s := range m.stores {
		for g := range s.sealedContent {
			e := m.dir.entry(g.key)
			if e == nil || e.generation != g.generation || m.dir.stores[e.store].url != s.url {
				t.Fatalf("store %s has generation %d of %v, the directory does not", s.url, g.generation, g.key)
			}
			held++
		}
	}
	for _, i := range m.dir.entryIndex {
		l := m.dir.locate(&m.dir.entries[i])
		if _, ok := m.storeByURL(l.Store).sealedContent[genIDOf(l)]; !ok && !m.isCorrupt(t, l) {
			t.Fatalf("directory has generation %d of %v, which %s does not have", l.Generation, l.Key, l.Store)
		}
	}
}

// isCorrupt reports whether the store has the block as sealed although its content is
// damaged, which only a read detects.
func (m *blockMachine) isCorrupt(t *rapid.T, l BlockLocation) bool {
	_, err := m.storeByURL(l.Store).client.Get(t.Context(), l.Ref(), 0)
	var corrupt *store.CorruptError
	return errors.As(err, &corrupt)
}

// actions returns the actions of the machine by name. An action under two names is drawn
// twice as often.
func (m *blockMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"export": m.export, "export2": m.export, "publish": m.publishPending, "publish2": m.publishPending, "lose": m.losePending,
		"lookup": m.lookup, "readOld": m.readOld, "evict": m.evict, "reject": m.reject, "sendFrees": m.sendFrees,
		"storeEvicts": m.storeEvicts, "empty": m.emptyStore, "flip": m.toggleFlip, "list": m.fetchOrApplyListing, "list2": m.fetchOrApplyListing,
		"advance": m.advance, "settle": m.converge, "newHome": func(*rapid.T) { m.startNewHome() },
	}
}

// TestFuzzReadsReturnOnlySealedBlocks drives stores and a directory through crashes
// during a write, lost responses, torn content, flipped bits, generations written twice, frees
// by home and store, emptied stores, lost and late publications, late listings and lost
// homes. Reads must return only blocks that are sealed and not freed, and the directory
// must converge to the content of the stores.
func TestFuzzReadsReturnOnlySealedBlocks(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		m := newBlockMachine(storestandin.Guards{})
		// Three calls of Repeat make the sequence of actions longer than one.
		for range 3 {
			t.Repeat(m.actions())
		}
	})
}
