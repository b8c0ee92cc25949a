package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/ledger/ledgerpb"
)

const (
	// bucketSpan is the range of key creation times in one bucket. All records and
	// voided claims of a bucket are removed together.
	bucketSpan = time.Minute
	// maxPartBytes keeps the size of a snapshot part well below the limit of the
	// platform's key-value service for a value.
	maxPartBytes = 512 << 10
)

// record is the state of one key in a shard.
type record struct {
	claim     claimID
	digest    [idBytes]byte
	createdMs int64 // creation time of the key in Unix milliseconds
	instance  string
	state     ledgerpb.State
	answer    *ledgerpb.Answer
}

// state is the state machine to which the entries of a shard's log are applied. It
// depends only on the entries and their order, so all instances that have applied
// the same entries have the same state.
//
// clockMs is the clock of the shard: the latest time in any entry, which never
// moves backward. A claim of a key created before clockMs-windowMs has no effect.
// Therefore a record of such a key may be removed, and no difference between the
// clocks of the instances can lead to a second grant.
//
// The mutex of the shard must be held to access a state.
type state struct {
	windowMs      int64 // window of the keys in milliseconds
	clockMs       int64 // clock of the shard in Unix milliseconds
	records       map[keyID]*record
	voidedClaims  map[claimID]int64 // claims that can no longer take effect, with the creation time of their key
	buckets       map[int64]*bucket
	oldestBucket  int64             // all buckets with a lower number have been removed
	instanceNames map[string]string // one shared copy of the name of each instance
}

// bucket lists the keys and voided claims that are removed together.
type bucket struct {
	keys         []keyID
	voidedClaims []claimID
}

// newState returns an empty state with the given window.
func newState(window time.Duration) *state {
	s := &state{windowMs: window.Milliseconds()}
	s.reset()
	return s
}

// reset empties the state but keeps its window.
func (s *state) reset() {
	s.clockMs, s.oldestBucket = 0, 0
	s.records = map[keyID]*record{}
	s.voidedClaims = map[claimID]int64{}
	s.buckets = map[int64]*bucket{}
	s.instanceNames = map[string]string{}
}

// apply applies a log entry: it advances the clock of the shard, applies the
// operations in order and removes expired records.
func (s *state) apply(e *ledgerpb.Entry) {
	s.clockMs = max(s.clockMs, e.TimeMs)
	for _, op := range e.Ops {
		s.applyOp(op)
	}
	s.dropExpiredBuckets()
}

// applyOp applies one operation. It ignores an operation whose key or claim has
// the wrong length.
func (s *state) applyOp(op *ledgerpb.Op) {
	if len(op.Key) != idBytes || len(op.Claim) != idBytes {
		return
	}
	key, claim := keyID(op.Key), claimID(op.Claim)
	switch op.Kind {
	case ledgerpb.Kind_KIND_CLAIM:
		s.applyClaim(key, claim, op)
	case ledgerpb.Kind_KIND_FINISH:
		s.applyFinish(key, claim, op.Answer)
	case ledgerpb.Kind_KIND_RELEASE:
		s.applyRelease(key, claim, s.createdOrNow(op.MintedMs))
	case ledgerpb.Kind_KIND_DOUBT:
		s.applyDoubt(key, claim)
	}
}

// createdOrNow returns createdMs, or the clock of the shard for a key that contains
// no creation time. Such a key counts as created when it is claimed.
func (s *state) createdOrNow(createdMs int64) int64 {
	if createdMs == 0 {
		return s.clockMs
	}
	return createdMs
}

// expired reports whether a key created at createdMs is older than the window.
func (s *state) expired(createdMs int64) bool { return createdMs < s.clockMs-s.windowMs }

// applyClaim creates the record of key, unless the key is expired or has a record
// or the claim is voided. A released claim is voided because a write with an
// unknown outcome may append the claim after its release. A claim of a key that
// has a record is voided too. Otherwise a second copy of it in the log, after the
// release of the first claim, would claim the key for an attempt that has ended.
func (s *state) applyClaim(key keyID, claim claimID, op *ledgerpb.Op) {
	createdMs := s.createdOrNow(op.MintedMs)
	if s.expired(createdMs) {
		return
	}
	if _, voided := s.voidedClaims[claim]; voided {
		return
	}
	if first, taken := s.records[key]; taken {
		s.voidLosingClaim(first, claim)
		return
	}
	r := &record{claim: claim, createdMs: createdMs, instance: s.intern(op.Instance), state: ledgerpb.State_STATE_CLAIMED}
	copy(r.digest[:], op.Digest)
	s.addRecord(key, r)
}

// voidLosingClaim voids a claim of a key that has the record first. It does nothing
// if claim created the record, or if the record can no longer be released: then no
// copy of claim can take effect.
func (s *state) voidLosingClaim(first *record, claim claimID) {
	if first.claim != claim && first.state == ledgerpb.State_STATE_CLAIMED {
		s.voidClaim(claim, first.createdMs)
	}
}

// addRecord stores the record of key and lists the key in its bucket.
func (s *state) addRecord(key keyID, r *record) {
	s.records[key] = r
	b := s.bucketFor(r.createdMs)
	b.keys = append(b.keys, key)
}

// recordHeldBy returns the record of key if claim created it, else nil.
func (s *state) recordHeldBy(key keyID, claim claimID) *record {
	r := s.records[key]
	if r == nil || r.claim != claim {
		return nil
	}
	return r
}

// applyFinish stores the answer of the call sent under claim. Only the first answer
// is stored; it also replaces the doubtful state.
func (s *state) applyFinish(key keyID, claim claimID, a *ledgerpb.Answer) {
	r := s.recordHeldBy(key, claim)
	if r == nil || r.state == ledgerpb.State_STATE_FINISHED {
		return
	}
	r.state, r.answer = ledgerpb.State_STATE_FINISHED, a
}

// applyDoubt records that the call sent under claim may or may not have run, so that
// Ledger.Claim returns Unknown for its key. It does not change the record of a
// finished call.
func (s *state) applyDoubt(key keyID, claim claimID) {
	r := s.recordHeldBy(key, claim)
	if r != nil && r.state == ledgerpb.State_STATE_CLAIMED {
		r.state = ledgerpb.State_STATE_DOUBTFUL
	}
}

// applyRelease voids claim and removes the record that it created. It does nothing
// if that record is doubtful or finished.
func (s *state) applyRelease(key keyID, claim claimID, createdMs int64) {
	r := s.recordHeldBy(key, claim)
	if r != nil && r.state != ledgerpb.State_STATE_CLAIMED {
		return
	}
	if r != nil {
		delete(s.records, key)
	}
	s.voidClaim(claim, createdMs)
}

// voidClaim marks a claim as voided, so that a copy of it applied later has no
// effect. A claim of an expired key needs no mark.
func (s *state) voidClaim(claim claimID, createdMs int64) {
	if _, ok := s.voidedClaims[claim]; ok || s.expired(createdMs) {
		return
	}
	s.voidedClaims[claim] = createdMs
	b := s.bucketFor(createdMs)
	b.voidedClaims = append(b.voidedClaims, claim)
}

// bucketFor returns the bucket of keys created at createdMs and creates it if needed.
func (s *state) bucketFor(createdMs int64) *bucket {
	n := createdMs / bucketSpan.Milliseconds()
	b := s.buckets[n]
	if b == nil {
		b = &bucket{}
		s.buckets[n] = b
	}
	return b
}

// dropExpiredBuckets removes the buckets that lie completely before the window.
func (s *state) dropExpiredBuckets() {
	first := (s.clockMs - s.windowMs) / bucketSpan.Milliseconds()
	if first <= s.oldestBucket {
		return
	}
	for n, b := range s.buckets {
		if n < first {
			s.dropBucket(b)
			delete(s.buckets, n)
		}
	}
	s.oldestBucket = first
}

// dropBucket removes the expired records and the voided claims listed in b. A key
// that contains no creation time may have been released and claimed again, so that
// its record is newer than the bucket and stays.
func (s *state) dropBucket(b *bucket) {
	for _, key := range b.keys {
		if r := s.records[key]; r != nil && s.expired(r.createdMs) {
			delete(s.records, key)
		}
	}
	for _, claim := range b.voidedClaims {
		delete(s.voidedClaims, claim)
	}
}

// intern returns the shared copy of an instance name.
func (s *state) intern(name string) string {
	if shared, ok := s.instanceNames[name]; ok {
		return shared
	}
	s.instanceNames[name] = name
	return name
}

// response returns the response to an operation on key: its record if it has one, or
// that the key is expired. createdMs is 0 for a key that contains no creation time.
func (s *state) response(key keyID, createdMs int64) *ledgerpb.SubmitResponse {
	r := s.records[key]
	if createdMs != 0 && s.expired(createdMs) {
		return &ledgerpb.SubmitResponse{Expired: true}
	}
	if r == nil {
		return &ledgerpb.SubmitResponse{}
	}
	return &ledgerpb.SubmitResponse{Record: r.encode(key)}
}

// encode returns the record of key as a message.
func (r *record) encode(key keyID) *ledgerpb.Record {
	return &ledgerpb.Record{
		Key:      key[:],
		Claim:    append([]byte(nil), r.claim[:]...),
		MintedMs: r.createdMs,
		Digest:   append([]byte(nil), r.digest[:]...),
		Instance: r.instance,
		State:    r.state,
		Answer:   r.answer,
	}
}

// snapshot encodes the state in parts of about maxPartBytes at most.
func (s *state) snapshot() [][]byte {
	w := partWriter{current: &ledgerpb.Part{TimeMs: s.clockMs}}
	for key, r := range s.records {
		rec := r.encode(key)
		w.reserve(proto.Size(rec))
		w.current.Records = append(w.current.Records, rec)
	}
	for claim, createdMs := range s.voidedClaims {
		v := &ledgerpb.Void{Claim: append([]byte(nil), claim[:]...), MintedMs: createdMs}
		w.reserve(proto.Size(v))
		w.current.Voids = append(w.current.Voids, v)
	}
	w.flush()
	return w.parts
}

// partWriter splits a snapshot into parts.
type partWriter struct {
	parts   [][]byte
	current *ledgerpb.Part
	size    int
}

// reserve counts an item of size bytes towards the current part. It first starts a
// new part if the current one has no room left for the item.
func (w *partWriter) reserve(size int) {
	if w.size > 0 && w.size+size > maxPartBytes {
		w.flush()
	}
	w.size += size
}

// flush encodes the current part and starts a new one.
func (w *partWriter) flush() {
	b, _ := proto.Marshal(w.current)
	w.parts = append(w.parts, b)
	w.current = &ledgerpb.Part{TimeMs: w.current.TimeMs}
	w.size = 0
}

// restore replaces the state by a snapshot. It returns a *SnapshotError and leaves
// the state unchanged if a part cannot be decoded.
func (s *state) restore(parts [][]byte) error {
	fresh := newState(time.Duration(s.windowMs) * time.Millisecond)
	for i, b := range parts {
		var p ledgerpb.Part
		if err := proto.Unmarshal(b, &p); err != nil {
			return &SnapshotError{Part: i, Err: err}
		}
		fresh.loadPart(&p)
	}
	fresh.dropExpiredBuckets()
	*s = *fresh
	return nil
}

// loadPart adds the records and voided claims of a snapshot part to the state.
func (s *state) loadPart(p *ledgerpb.Part) {
	s.clockMs = max(s.clockMs, p.TimeMs)
	for _, rec := range p.Records {
		r := &record{claim: claimID(rec.Claim), createdMs: rec.MintedMs, instance: s.intern(rec.Instance), state: rec.State, answer: rec.Answer}
		copy(r.digest[:], rec.Digest)
		s.addRecord(keyID(rec.Key), r)
	}
	for _, v := range p.Voids {
		s.voidClaim(claimID(v.Claim), v.MintedMs)
	}
}
