package instance

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwingknot/instance/instancepb"
)

// Timing of the heartbeats.
const (
	heartbeatInterval = time.Second
	probeTimeout      = 800 * time.Millisecond
	suspicionTimeout  = 5 * time.Second
	contactTimeout    = 15 * time.Second
	failedRetention   = 3 * time.Hour
)

// Rounds between the rarer parts of a heartbeat.
const (
	fingerRounds   = 2
	linkRounds     = 2
	contactRounds  = 2
	rejoinRounds   = 5
	exchangeRounds = 3
)

const (
	linksPerDataCentre = 4  // instances of a data centre that probe another one
	maxUpdates         = 16 // records in one heartbeat outside an exchange
	maxProbes          = 3  // suspects probed on the way to the next live successor
	bucketCount        = 32 // parts of a view compared in an exchange
	spreadFactor       = 2  // an update is sent spreadFactor*log2(members) times
)

// target is where a heartbeat goes. An empty ID is an address of which only
// the settings or the platform know.
type target struct {
	id          string
	incarnation uint64
	addr        string
	local       bool // in the own data centre
}

// outgoing is a heartbeat to send.
type outgoing struct {
	to     target
	msg    *instancepb.Heartbeat
	second bool // follows an answer and is not followed by another
}

// view is the protocol's state: it is told of time, messages and silence and
// returns the messages to send. It has one owner and does no input or output.
type view struct {
	self     *record
	rand     *rand.Rand
	records  map[string]*record
	contacts map[string]time.Time // when a data centre was last heard from
	updates  map[string]int       // records to pass on and how many times yet
	numbers  map[Number]uint64    // published by this instance
	seeds    []string
	listed   map[string]uint64 // instances listed as leaving, by the incarnation meant

	round      int
	lastTick   time.Time
	mismatch   map[string]int // answers in a row in which a neighbour's digest differed
	exchanged  int            // round of the last exchange
	announced  bool           // others may know this incarnation
	superseded uint64         // incarnation of the process that took this identifier
	generation uint64         // counts changes of records
	ringCache  []*record
	ringOf     uint64 // generation at which ringCache was made
}

func newView(self Member, seeds []string, r *rand.Rand, now time.Time) *view {
	v := &view{
		self:     &record{Member: self, changed: now},
		rand:     r,
		records:  map[string]*record{},
		contacts: map[string]time.Time{},
		updates:  map[string]int{},
		numbers:  map[Number]uint64{},
		listed:   map[string]uint64{},
		mismatch: map[string]int{},
		seeds:    seeds,
		lastTick: now,
	}
	v.self.seal()
	v.records[self.ID] = v.self
	return v
}

// tick starts a round of heartbeats.
func (v *view) tick(now time.Time) []outgoing {
	v.excusePause(now)
	v.expire(now)
	v.round++
	var out []outgoing
	for _, to := range v.targets(now) {
		out = append(out, outgoing{to: to, msg: v.heartbeat(now, to)})
	}
	return out
}

// excusePause extends suspicions by the time in which this process did not
// run: refutations could not be heard meanwhile.
func (v *view) excusePause(now time.Time) {
	gap := now.Sub(v.lastTick)
	v.lastTick = now
	if gap < 2*heartbeatInterval {
		return
	}
	for _, r := range v.records {
		if r.state == stateSuspect {
			r.deadline = r.deadline.Add(gap)
		}
	}
}

// expire fails suspects of the own data centre and forgets old failures.
func (v *view) expire(now time.Time) {
	for id, r := range v.records {
		switch {
		case r == v.self:
		case r.state == stateSuspect && v.isLocal(r) && now.After(r.deadline):
			r.state = stateFailed
			v.accept(now, r)
		case r.state == stateFailed && now.Sub(r.changed) > failedRetention:
			delete(v.records, id)
		case !v.isLocal(r) && now.Sub(v.contacts[r.DataCentre]) > failedRetention && now.Sub(r.changed) > failedRetention:
			delete(v.records, id)
		}
	}
}

func (v *view) isLocal(r *record) bool { return r.DataCentre == v.self.DataCentre }

// accept notes a changed record and passes it on.
func (v *view) accept(now time.Time, r *record) {
	r.changed = now
	r.seal()
	if r.state == stateFailed {
		delete(v.mismatch, r.ID)
	}
	v.records[r.ID] = r
	v.updates[r.ID] = spreadFactor * (1 + bits.Len(uint(len(v.records))))
	v.generation++
}

// heartbeat builds the message to a target.
func (v *view) heartbeat(now time.Time, to target) *instancepb.Heartbeat {
	msg := v.message(now, to.local)
	msg.ToId = to.id
	if r := v.records[to.id]; r != nil && r.state != stateAlive {
		msg.Updates = append(msg.Updates, r.encode())
	}
	if to.id == "" || v.exchangeDue(to.id) {
		msg.Buckets = v.bucketDigests()
	}
	msg.Joining = !v.announced
	return msg
}

// exchangeDue reports whether to compare views with a neighbour: its digest has
// differed for longer than an update takes to arrive. Exchanges are spaced, for
// while the fleet is replaced digests differ all the time.
func (v *view) exchangeDue(id string) bool {
	if v.mismatch[id] < exchangeRounds || v.round-v.exchanged < exchangeRounds {
		return false
	}
	v.exchanged = v.round
	delete(v.mismatch, id)
	return true
}

// message builds the part that requests and answers share.
func (v *view) message(now time.Time, local bool) *instancepb.Heartbeat {
	msg := &instancepb.Heartbeat{From: v.self.encode(), Digest: v.digest(), Updates: v.takeUpdates()}
	for kind, value := range v.numbers {
		msg.Numbers = append(msg.Numbers, &instancepb.Number{Kind: uint32(kind), Value: value})
	}
	if local && v.round%contactRounds == 0 {
		msg.Contacts = v.encodeContacts(now)
	}
	return msg
}

func (v *view) encodeContacts(now time.Time) []*instancepb.Contact {
	var list []*instancepb.Contact
	for dc, at := range v.contacts {
		if age := now.Sub(at); age < contactTimeout {
			list = append(list, &instancepb.Contact{DataCentre: dc, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// takeUpdates returns the records to pass on, the least sent first.
func (v *view) takeUpdates() []*instancepb.Record {
	if len(v.updates) == 0 {
		return nil
	}
	ids := make([]string, 0, len(v.updates))
	for id := range v.updates {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return v.updates[b] - v.updates[a] })
	var list []*instancepb.Record
	for _, id := range ids[:min(len(ids), maxUpdates)] {
		if r := v.records[id]; r != nil && r != v.self {
			list = append(list, r.encode())
		}
		if v.updates[id]--; v.updates[id] <= 0 {
			delete(v.updates, id)
		}
	}
	return list
}

// receive handles a request and returns the answer.
func (v *view) receive(now time.Time, msg *instancepb.Heartbeat) *instancepb.Heartbeat {
	v.absorb(now, msg)
	answer := v.message(now, v.fromLocal(msg))
	if len(msg.Buckets) > 0 {
		answer.Updates = append(answer.Updates, v.differing(msg.Buckets)...)
		answer.Buckets = v.bucketDigests()
	}
	answer.Updates = append(answer.Updates, v.corrections(msg)...)
	return answer
}

// corrections returns newer records than the sender holds: what is said of
// itself, and those in place of its outdated updates.
func (v *view) corrections(msg *instancepb.Heartbeat) []*instancepb.Record {
	var list []*instancepb.Record
	if own := v.records[msg.GetFrom().GetId()]; own != nil && contradicts(own, msg.From) {
		list = append(list, own.encode())
	}
	for _, p := range msg.Updates {
		theirs := decodeRecord(p)
		if theirs == nil {
			continue
		}
		if mine := v.records[theirs.ID]; mine != nil && mine != v.self && mine.newerThan(theirs) {
			list = append(list, mine.encode())
		}
	}
	return list
}

// contradicts reports whether the sender must hear what is said of it.
func contradicts(r *record, sender *instancepb.Record) bool {
	return r.state != stateAlive || r.Incarnation > sender.Incarnation || r.Leaving && !sender.Leaving
}

func (v *view) fromLocal(msg *instancepb.Heartbeat) bool {
	return msg.GetFrom().GetDataCentre() == v.self.DataCentre
}

// answered handles the answer to a heartbeat. Another identifier at the
// address proves that the instance meant has gone. It returns a second message
// to the same instance if that holds outdated records.
func (v *view) answered(now time.Time, to target, msg *instancepb.Heartbeat) []outgoing {
	v.absorb(now, msg)
	v.announced = true
	if to.id != "" && msg.GetFrom().GetId() != to.id {
		v.replaced(now, to)
		return nil
	}
	missing := append(v.corrections(msg), v.differing(msg.Buckets)...)
	if len(missing) == 0 {
		return nil
	}
	next := v.message(now, to.local)
	next.ToId = to.id
	next.Updates = append(next.Updates, missing...)
	return []outgoing{{to: to, msg: next, second: true}}
}

// replaced fails the instance whose address answers for another one.
func (v *view) replaced(now time.Time, to target) {
	r := v.records[to.id]
	if r == nil || r == v.self || r.Incarnation > to.incarnation || r.Addr != to.addr || r.state == stateFailed {
		return
	}
	r.state = stateFailed
	v.accept(now, r)
}

// unanswered handles silence. Only the own data centre judges its instances.
func (v *view) unanswered(now time.Time, to target) {
	r := v.records[to.id]
	if r == nil || r == v.self || !v.isLocal(r) || r.Incarnation != to.incarnation || r.state != stateAlive {
		return
	}
	r.state = stateSuspect
	r.deadline = now.Add(suspicionTimeout)
	v.accept(now, r)
}

// absorb merges all that a message tells.
func (v *view) absorb(now time.Time, msg *instancepb.Heartbeat) {
	if msg.GetFrom().GetId() == v.self.ID && msg.From.Incarnation == v.self.Incarnation {
		return
	}
	v.merge(now, msg.From)
	for _, p := range msg.Updates {
		v.merge(now, p)
	}
	v.absorbContacts(now, msg)
	v.compare(msg)
}

func (v *view) absorbContacts(now time.Time, msg *instancepb.Heartbeat) {
	if !v.fromLocal(msg) {
		v.contact(msg.GetFrom().GetDataCentre(), now)
		return
	}
	for _, c := range msg.Contacts {
		v.contact(c.DataCentre, now.Add(-time.Duration(c.AgeMs)*time.Millisecond))
	}
}

func (v *view) contact(dc string, at time.Time) {
	old, known := v.contacts[dc]
	if dc == "" || dc == v.self.DataCentre || known && !at.After(old) {
		return
	}
	v.contacts[dc] = at
}

// compare counts differing digests; a joining sender differs by itself.
func (v *view) compare(msg *instancepb.Heartbeat) {
	if msg.Joining || msg.Digest == v.digest() {
		delete(v.mismatch, msg.From.Id)
		return
	}
	v.mismatch[msg.From.Id]++
}

// merge takes a record if it is newer than the one held.
func (v *view) merge(now time.Time, p *instancepb.Record) {
	r := decodeRecord(p)
	if r == nil {
		return
	}
	if r.ID == v.self.ID {
		v.mergeSelf(now, r)
		return
	}
	old := v.records[r.ID]
	if old != nil && old.Incarnation == r.Incarnation {
		r.Leaving = r.Leaving || old.Leaving
		if r.Leaving && !old.Leaving && !r.newerThan(old) {
			old.Leaving = true
			v.accept(now, old)
			return
		}
	}
	if old != nil && !r.newerThan(old) {
		return
	}
	if old == nil && r.state == stateFailed {
		return
	}
	if r.state == stateSuspect {
		r.deadline = now.Add(suspicionTimeout)
	}
	v.accept(now, r)
}

// mergeSelf answers what others say of this instance: a suspicion is refuted,
// a higher incarnation is another process under the same identifier. Before
// this one has announced itself, that process is the one it replaces.
func (v *view) mergeSelf(now time.Time, r *record) {
	switch {
	case r.Incarnation > v.self.Incarnation && !v.announced:
		v.self.Incarnation = r.Incarnation + 1
		v.accept(now, v.self)
	case r.Incarnation > v.self.Incarnation:
		v.superseded = max(v.superseded, r.Incarnation)
	case r.Incarnation < v.self.Incarnation:
	default:
		v.refute(now, r)
	}
}

func (v *view) refute(now time.Time, r *record) {
	accused := r.state != stateAlive && r.version >= v.self.version
	told := r.Leaving && !v.self.Leaving
	if !accused && !told {
		return
	}
	v.self.version = max(v.self.version, r.version) + 1
	v.self.Leaving = v.self.Leaving || r.Leaving
	v.accept(now, v.self)
}

// setSelf changes what this instance tells of itself.
func (v *view) setSelf(now time.Time, ready, leaving bool) {
	leaving = leaving || v.self.Leaving
	if v.self.Ready == ready && v.self.Leaving == leaving {
		return
	}
	v.self.Ready, v.self.Leaving = ready, leaving
	v.self.version++
	v.accept(now, v.self)
}

// farewell returns a heartbeat to each live instance of the own data centre.
func (v *view) farewell(now time.Time) []outgoing {
	var out []outgoing
	for _, r := range v.ring() {
		if r != v.self {
			to := v.targetOf(r)
			out = append(out, outgoing{to: to, msg: v.heartbeat(now, to)})
		}
	}
	return out
}

// list merges the platform's list, which lags: a leaving mark counts for the
// incarnation known when it first appeared, and an absence means nothing.
func (v *view) list(now time.Time, list []ListedInstance) {
	for _, l := range list {
		r := v.records[l.ID]
		if !l.Leaving {
			delete(v.listed, l.ID)
			v.learnSeed(l, r)
			continue
		}
		if r == nil {
			continue
		}
		meant, known := v.listed[l.ID]
		if !known {
			meant = r.Incarnation
		}
		if l.Incarnation != 0 {
			meant = l.Incarnation
		}
		v.listed[l.ID] = meant
		v.markLeaving(now, r, meant)
	}
}

func (v *view) markLeaving(now time.Time, r *record, incarnation uint64) {
	if r.Incarnation != incarnation || r.Leaving {
		return
	}
	if r == v.self {
		v.setSelf(now, v.self.Ready, true)
		return
	}
	r.Leaving = true
	v.accept(now, r)
}

// learnSeed keeps the address of a listed instance that is not yet known.
func (v *view) learnSeed(l ListedInstance, r *record) {
	if r == nil && l.Addr != "" && !slices.Contains(v.seeds, l.Addr) {
		v.seeds = append(v.seeds, l.Addr)
	}
}

// live reports whether r takes part: not failed, and its data centre in contact.
func (v *view) live(now time.Time, r *record) bool {
	if r.state == stateFailed {
		return false
	}
	return v.isLocal(r) || now.Sub(v.contacts[r.DataCentre]) < contactTimeout
}

// members returns the live members by identifier.
func (v *view) members(now time.Time) []Member {
	list := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		if v.live(now, r) {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}
