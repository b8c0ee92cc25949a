package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/ledger/ledgerpb"
)

const (
	// bucketWidth is the span of minted times that is forgotten at once.
	bucketWidth = time.Minute
	// partBytes keeps a snapshot part far below the platform's value limit.
	partBytes = 512 << 10
)

// record is what a shard knows of a key.
type record struct {
	claim    claimID
	digest   [idBytes]byte
	minted   int64 // milliseconds
	instance string
	state    ledgerpb.State
	answer   *ledgerpb.Answer
}

// state is the fold of a shard's log. It depends on nothing but the entries and
// their order, so every instance that has folded an entry agrees on it.
//
// now is the shard's clock: the latest time stamped on an entry. It only moves
// forward. A claim of a key minted before now-window is void, hence a record
// that old may be forgotten and no difference between the instances' clocks can
// lead to a second grant.
//
// The owner of the shard's lock is the only one to touch a state.
type state struct {
	window  int64 // milliseconds
	now     int64 // milliseconds
	records map[keyID]*record
	voids   map[claimID]int64 // released and lost claims and the minted time of their key
	buckets map[int64]*bucket
	oldest  int64             // no bucket is below
	names   map[string]string // one copy of each instance's name
}

// bucket lists what is forgotten together.
type bucket struct {
	keys   []keyID
	claims []claimID
}

func newState(window time.Duration) *state {
	s := &state{window: window.Milliseconds()}
	s.reset()
	return s
}

func (s *state) reset() {
	s.now, s.oldest = 0, 0
	s.records = map[keyID]*record{}
	s.voids = map[claimID]int64{}
	s.buckets = map[int64]*bucket{}
	s.names = map[string]string{}
}

// apply folds an entry.
func (s *state) apply(e *ledgerpb.Entry) {
	s.now = max(s.now, e.TimeMs)
	for _, op := range e.Ops {
		s.applyOp(op)
	}
	s.forget()
}

func (s *state) applyOp(op *ledgerpb.Op) {
	if len(op.Key) != idBytes || len(op.Claim) != idBytes {
		return
	}
	key, claim := keyID(op.Key), claimID(op.Claim)
	switch op.Kind {
	case ledgerpb.Kind_KIND_CLAIM:
		s.claim(key, claim, op)
	case ledgerpb.Kind_KIND_FINISH:
		s.finish(key, claim, op.Answer)
	case ledgerpb.Kind_KIND_RELEASE:
		s.release(key, claim, s.mintedOr(op.MintedMs))
	case ledgerpb.Kind_KIND_DOUBT:
		s.doubt(key, claim)
	}
}

// mintedOr returns the minted time of a key, which for a key without one is the
// time of its claim.
func (s *state) mintedOr(ms int64) int64 {
	if ms == 0 {
		return s.now
	}
	return ms
}

// expired reports whether a key is past the window.
func (s *state) expired(minted int64) bool { return minted < s.now-s.window }

// claim creates the record of key. A claim that was released is void even if
// its entry lands after the release: a write with an unknown outcome may. A
// claim that comes second is void too, or a copy of it that lands once the first
// is released would take the key for an attempt that has ended.
func (s *state) claim(key keyID, claim claimID, op *ledgerpb.Op) {
	minted := s.mintedOr(op.MintedMs)
	if s.expired(minted) {
		return
	}
	if _, released := s.voids[claim]; released {
		return
	}
	if first, taken := s.records[key]; taken {
		s.lose(first, claim)
		return
	}
	r := &record{claim: claim, minted: minted, instance: s.intern(op.Instance), state: ledgerpb.State_STATE_CLAIMED}
	copy(r.digest[:], op.Digest)
	s.put(key, r)
}

// lose voids a claim that came after first, unless first can't be released.
func (s *state) lose(first *record, claim claimID) {
	if first.claim != claim && first.state == ledgerpb.State_STATE_CLAIMED {
		s.void(claim, first.minted)
	}
}

func (s *state) put(key keyID, r *record) {
	s.records[key] = r
	b := s.bucket(r.minted)
	b.keys = append(b.keys, key)
}

// held returns the record of key if claim holds it.
func (s *state) held(key keyID, claim claimID) *record {
	r := s.records[key]
	if r == nil || r.claim != claim {
		return nil
	}
	return r
}

func (s *state) finish(key keyID, claim claimID, a *ledgerpb.Answer) {
	r := s.held(key, claim)
	if r == nil || r.state == ledgerpb.State_STATE_FINISHED {
		return
	}
	r.state, r.answer = ledgerpb.State_STATE_FINISHED, a
}

func (s *state) doubt(key keyID, claim claimID) {
	r := s.held(key, claim)
	if r != nil && r.state == ledgerpb.State_STATE_CLAIMED {
		r.state = ledgerpb.State_STATE_DOUBTFUL
	}
}

func (s *state) release(key keyID, claim claimID, minted int64) {
	r := s.held(key, claim)
	if r != nil && r.state != ledgerpb.State_STATE_CLAIMED {
		return
	}
	if r != nil {
		delete(s.records, key)
	}
	s.void(claim, minted)
}

func (s *state) void(claim claimID, minted int64) {
	if _, ok := s.voids[claim]; ok || s.expired(minted) {
		return
	}
	s.voids[claim] = minted
	b := s.bucket(minted)
	b.claims = append(b.claims, claim)
}

func (s *state) bucket(minted int64) *bucket {
	n := minted / bucketWidth.Milliseconds()
	b := s.buckets[n]
	if b == nil {
		b = &bucket{}
		s.buckets[n] = b
	}
	return b
}

// forget drops the buckets that lie wholly before the window.
func (s *state) forget() {
	first := (s.now - s.window) / bucketWidth.Milliseconds()
	if first <= s.oldest {
		return
	}
	for n, b := range s.buckets {
		if n < first {
			s.drop(b)
			delete(s.buckets, n)
		}
	}
	s.oldest = first
}

func (s *state) drop(b *bucket) {
	for _, key := range b.keys {
		if r := s.records[key]; r != nil && s.expired(r.minted) {
			delete(s.records, key)
		}
	}
	for _, claim := range b.claims {
		delete(s.voids, claim)
	}
}

func (s *state) intern(name string) string {
	if kept, ok := s.names[name]; ok {
		return kept
	}
	s.names[name] = name
	return name
}

// view returns the record of a key as it goes over the wire.
func (s *state) view(key keyID, minted int64) *ledgerpb.SubmitResponse {
	r := s.records[key]
	if minted != 0 && s.expired(minted) {
		return &ledgerpb.SubmitResponse{Expired: true}
	}
	if r == nil {
		return &ledgerpb.SubmitResponse{}
	}
	return &ledgerpb.SubmitResponse{Record: r.encode(key)}
}

func (r *record) encode(key keyID) *ledgerpb.Record {
	return &ledgerpb.Record{
		Key:      key[:],
		Claim:    append([]byte(nil), r.claim[:]...),
		MintedMs: r.minted,
		Digest:   append([]byte(nil), r.digest[:]...),
		Instance: r.instance,
		State:    r.state,
		Answer:   r.answer,
	}
}

// snapshot encodes the state in parts.
func (s *state) snapshot() [][]byte {
	w := partWriter{part: &ledgerpb.Part{TimeMs: s.now}}
	for key, r := range s.records {
		rec := r.encode(key)
		w.reserve(proto.Size(rec))
		w.part.Records = append(w.part.Records, rec)
	}
	for claim, minted := range s.voids {
		v := &ledgerpb.Void{Claim: append([]byte(nil), claim[:]...), MintedMs: minted}
		w.reserve(proto.Size(v))
		w.part.Voids = append(w.part.Voids, v)
	}
	w.flush()
	return w.parts
}

// partWriter splits a snapshot into parts.
type partWriter struct {
	parts [][]byte
	part  *ledgerpb.Part
	size  int
}

// reserve makes room for an item of size bytes.
func (w *partWriter) reserve(size int) {
	if w.size > 0 && w.size+size > partBytes {
		w.flush()
	}
	w.size += size
}

func (w *partWriter) flush() {
	b, _ := proto.Marshal(w.part)
	w.parts = append(w.parts, b)
	w.part = &ledgerpb.Part{TimeMs: w.part.TimeMs}
	w.size = 0
}

// restore replaces the state by a snapshot; on an error it stays as it was.
func (s *state) restore(parts [][]byte) error {
	fresh := newState(time.Duration(s.window) * time.Millisecond)
	for i, b := range parts {
		var p ledgerpb.Part
		if err := proto.Unmarshal(b, &p); err != nil {
			return &SnapshotError{Part: i, Err: err}
		}
		fresh.load(&p)
	}
	fresh.forget()
	*s = *fresh
	return nil
}

func (s *state) load(p *ledgerpb.Part) {
	s.now = max(s.now, p.TimeMs)
	for _, rec := range p.Records {
		r := &record{claim: claimID(rec.Claim), minted: rec.MintedMs, instance: s.intern(rec.Instance), state: rec.State, answer: rec.Answer}
		copy(r.digest[:], rec.Digest)
		s.put(keyID(rec.Key), r)
	}
	for _, v := range p.Voids {
		s.void(claimID(v.Claim), v.MintedMs)
	}
}
