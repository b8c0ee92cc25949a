package instance

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwingknot/instance/instancepb"
)

// Intervals and timeouts of the membership protocol.
const (
	heartbeatInterval = time.Second            // length of a round
	probeTimeout      = 800 * time.Millisecond // longest wait for the answer to a heartbeat
	suspicionTimeout  = 5 * time.Second        // time in which a suspect can refute the suspicion
	contactTimeout    = 15 * time.Second       // a data centre not heard from for this long is out of contact
	failedRetention   = 3 * time.Hour          // how long records of failed instances and of silent data centres are kept
)

// Actions that do not take place in every round. Each value is the number of
// rounds from one to the next.
const (
	fingerProbeRounds = 2 // probe of a finger, a more distant instance on the ring
	remoteProbeRounds = 2 // probe of each other data centre
	contactSendRounds = 2 // sending the contact times within the data centre
	rejoinProbeRounds = 5 // probe of an address outside the view
	exchangeRounds    = 3 // exchange of views, at the earliest; also how many mismatches in a row with an instance start one
)

const (
	remoteProbersPerDataCentre = 4  // instances of one data centre that probe another data centre
	maxUpdatesPerMessage       = 16 // most records in one heartbeat, not counting an exchange and corrections
	maxSuccessorProbes         = 3  // most successors probed in a round; beyond the first only if those before are suspects
	bucketCount                = 32 // buckets of a view, whose digests are compared in an exchange
	retransmitFactor           = 2  // an update is sent about retransmitFactor*log2(members) times
)

// target is the destination of a heartbeat. The id is empty if the address
// comes from the settings or the platform's list and the instance there is not
// known.
type target struct {
	id          string
	incarnation uint64
	addr        string
	local       bool // in this instance's data centre
}

// outgoingHeartbeat is a heartbeat to send.
type outgoingHeartbeat struct {
	to       target
	msg      *instancepb.Heartbeat
	followUp bool // sent in response to an answer; its own answer causes no further heartbeat
}

// view is the state of the membership protocol. Its methods are called with the
// current time, received messages and failed calls, and return the messages to
// send. It does no input or output and is not safe for concurrent use.
type view struct {
	self           *record
	rand           *rand.Rand
	records        map[string]*record
	lastContact    map[string]time.Time  // when each other data centre was last heard from
	pendingUpdates map[string]int        // by identifier: how many more times to send the record
	numbers        map[NumberKind]uint64 // values that this instance publishes
	seeds          []string              // addresses of instances that may not be known yet
	listedLeaving  map[string]uint64     // by identifier: the incarnation that the platform's list marks as leaving

	round          int
	lastTick       time.Time
	mismatches     map[string]int // by identifier: heartbeats in a row whose digest differed from this view's
	lastExchange   int            // round of the last exchange
	announced      bool           // a heartbeat was answered, so others may know this incarnation
	supersededBy   uint64         // incarnation of a newer process with this identifier; 0 if there is none
	generation     uint64         // number of changes to records so far
	ringCache      []*record
	ringGeneration uint64 // generation for which ringCache was built
}

// newView returns a view that contains only self.
func newView(self Member, seeds []string, r *rand.Rand, now time.Time) *view {
	v := &view{
		self:           &record{Member: self, changedAt: now},
		rand:           r,
		records:        map[string]*record{},
		lastContact:    map[string]time.Time{},
		pendingUpdates: map[string]int{},
		numbers:        map[NumberKind]uint64{},
		listedLeaving:  map[string]uint64{},
		mismatches:     map[string]int{},
		seeds:          seeds,
		lastTick:       now,
	}
	v.self.updateDerived()
	v.records[self.ID] = v.self
	return v
}

// tick starts a round and returns its heartbeats.
func (v *view) tick(now time.Time) []outgoingHeartbeat {
	v.extendSuspicionsAfterPause(now)
	v.expireRecords(now)
	v.round++
	var out []outgoingHeartbeat
	for _, to := range v.probeTargets(now) {
		out = append(out, outgoingHeartbeat{to: to, msg: v.heartbeat(now, to)})
	}
	return out
}

// extendSuspicionsAfterPause moves the deadlines of all suspects by the time
// for which this process did not run, because it could not receive refutations
// meanwhile.
func (v *view) extendSuspicionsAfterPause(now time.Time) {
	pause := now.Sub(v.lastTick)
	v.lastTick = now
	if pause < 2*heartbeatInterval {
		return
	}
	for _, r := range v.records {
		if r.state == stateSuspect {
			r.suspicionDeadline = r.suspicionDeadline.Add(pause)
		}
	}
}

// expireRecords marks suspects of this data centre as failed when their
// deadline has passed. It deletes records of instances that failed more than
// failedRetention ago, and records of data centres that have not been heard from
// for that long unless the record has changed meanwhile.
func (v *view) expireRecords(now time.Time) {
	for id, r := range v.records {
		switch {
		case r == v.self:
		case r.state == stateSuspect && v.isLocal(r) && now.After(r.suspicionDeadline):
			r.state = stateFailed
			v.storeUpdate(now, r)
		case r.state == stateFailed && now.Sub(r.changedAt) > failedRetention:
			delete(v.records, id)
		case !v.isLocal(r) && now.Sub(v.lastContact[r.DataCentre]) > failedRetention && now.Sub(r.changedAt) > failedRetention:
			delete(v.records, id)
		}
	}
}

// isLocal reports whether r is in this instance's data centre.
func (v *view) isLocal(r *record) bool { return r.DataCentre == v.self.DataCentre }

// storeUpdate stores a new or changed record and queues it for sending.
func (v *view) storeUpdate(now time.Time, r *record) {
	r.changedAt = now
	r.updateDerived()
	if r.state == stateFailed {
		delete(v.mismatches, r.ID)
	}
	v.records[r.ID] = r
	v.pendingUpdates[r.ID] = retransmitFactor * (1 + bits.Len(uint(len(v.records))))
	v.generation++
}

// heartbeat returns the heartbeat to send to a target.
func (v *view) heartbeat(now time.Time, to target) *instancepb.Heartbeat {
	msg := v.baseHeartbeat(now, to.local)
	msg.ToId = to.id
	if r := v.records[to.id]; r != nil && r.state != stateAlive {
		msg.Updates = append(msg.Updates, r.encode())
	}
	if to.id == "" || v.startExchangeIfDue(to.id) {
		msg.Buckets = v.bucketDigests()
	}
	msg.Joining = !v.announced
	return msg
}

// startExchangeIfDue reports whether to exchange views with the instance id, and
// if so records that an exchange starts. An exchange is due when the digest of
// that instance has differed for longer than an update takes to arrive. The
// number of exchanges is limited because digests differ all the time while the
// instances of the fleet are being replaced, as in a rolling update.
func (v *view) startExchangeIfDue(id string) bool {
	if v.mismatches[id] < exchangeRounds || v.round-v.lastExchange < exchangeRounds {
		return false
	}
	v.lastExchange = v.round
	delete(v.mismatches, id)
	return true
}

// baseHeartbeat returns a heartbeat with the fields that requests and answers
// have in common.
func (v *view) baseHeartbeat(now time.Time, local bool) *instancepb.Heartbeat {
	msg := &instancepb.Heartbeat{From: v.self.encode(), Digest: v.digest(), Updates: v.takeUpdates()}
	for kind, value := range v.numbers {
		msg.Numbers = append(msg.Numbers, &instancepb.Number{Kind: uint32(kind), Value: value})
	}
	if local && v.round%contactSendRounds == 0 {
		msg.Contacts = v.encodeContacts(now)
	}
	return msg
}

// encodeContacts returns the other data centres in contact and how long ago each
// was heard from.
func (v *view) encodeContacts(now time.Time) []*instancepb.Contact {
	var list []*instancepb.Contact
	for dc, at := range v.lastContact {
		if age := now.Sub(at); age < contactTimeout {
			list = append(list, &instancepb.Contact{DataCentre: dc, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// takeUpdates returns the next queued records to send, those with the most sends
// left first, and counts the send.
func (v *view) takeUpdates() []*instancepb.Record {
	if len(v.pendingUpdates) == 0 {
		return nil
	}
	ids := make([]string, 0, len(v.pendingUpdates))
	for id := range v.pendingUpdates {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return v.pendingUpdates[b] - v.pendingUpdates[a] })
	var list []*instancepb.Record
	for _, id := range ids[:min(len(ids), maxUpdatesPerMessage)] {
		if r := v.records[id]; r != nil && r != v.self {
			list = append(list, r.encode())
		}
		if v.pendingUpdates[id]--; v.pendingUpdates[id] <= 0 {
			delete(v.pendingUpdates, id)
		}
	}
	return list
}

// handleRequest handles a heartbeat of another instance and returns the answer.
func (v *view) handleRequest(now time.Time, msg *instancepb.Heartbeat) *instancepb.Heartbeat {
	v.mergeMessage(now, msg)
	answer := v.baseHeartbeat(now, v.isFromLocal(msg))
	if len(msg.Buckets) > 0 {
		answer.Updates = append(answer.Updates, v.differingRecords(msg.Buckets)...)
		answer.Buckets = v.bucketDigests()
	}
	answer.Updates = append(answer.Updates, v.corrections(msg)...)
	return answer
}

// corrections returns records that are newer than those in msg: the record of
// the sender if it contradicts what the sender says of itself, and the records
// that replace outdated updates.
func (v *view) corrections(msg *instancepb.Heartbeat) []*instancepb.Record {
	var list []*instancepb.Record
	if held := v.records[msg.GetFrom().GetId()]; held != nil && contradicts(held, msg.From) {
		list = append(list, held.encode())
	}
	for _, p := range msg.Updates {
		received := decodeRecord(p)
		if received == nil {
			continue
		}
		if held := v.records[received.ID]; held != nil && held != v.self && held.newerThan(received) {
			list = append(list, held.encode())
		}
	}
	return list
}

// contradicts reports whether r, the record held of the sender, says something
// that the sender must learn: that it is suspect or failed, that it has a higher
// incarnation, or that it is leaving.
func contradicts(r *record, sender *instancepb.Record) bool {
	return r.state != stateAlive || r.Incarnation > sender.Incarnation || r.Leaving && !sender.Leaving
}

// isFromLocal reports whether the sender of msg is in this data centre.
func (v *view) isFromLocal(msg *instancepb.Heartbeat) bool {
	return msg.GetFrom().GetDataCentre() == v.self.DataCentre
}

// handleAnswer handles the answer to a heartbeat. If another instance than the
// intended one has answered, the intended one no longer runs at that address and is
// marked as failed. Otherwise handleAnswer returns a second heartbeat to the same
// instance if that instance may lack records or hold outdated ones.
func (v *view) handleAnswer(now time.Time, to target, msg *instancepb.Heartbeat) []outgoingHeartbeat {
	v.mergeMessage(now, msg)
	v.announced = true
	if to.id != "" && msg.GetFrom().GetId() != to.id {
		v.failReplaced(now, to)
		return nil
	}
	missing := append(v.corrections(msg), v.differingRecords(msg.Buckets)...)
	if len(missing) == 0 {
		return nil
	}
	next := v.baseHeartbeat(now, to.local)
	next.ToId = to.id
	next.Updates = append(next.Updates, missing...)
	return []outgoingHeartbeat{{to: to, msg: next, followUp: true}}
}

// failReplaced marks the instance that to identifies as failed because another
// instance answers at its address.
func (v *view) failReplaced(now time.Time, to target) {
	r := v.records[to.id]
	if r == nil || r == v.self || r.Incarnation > to.incarnation || r.Addr != to.addr || r.state == stateFailed {
		return
	}
	r.state = stateFailed
	v.storeUpdate(now, r)
}

// handleNoAnswer handles a heartbeat that got no valid answer. It makes the
// instance a suspect only if it is in this data centre, because the failure of an
// instance is detected by its own data centre only.
func (v *view) handleNoAnswer(now time.Time, to target) {
	r := v.records[to.id]
	if r == nil || r == v.self || !v.isLocal(r) || r.Incarnation != to.incarnation || r.state != stateAlive {
		return
	}
	r.state = stateSuspect
	r.suspicionDeadline = now.Add(suspicionTimeout)
	v.storeUpdate(now, r)
}

// mergeMessage merges the contents of a received heartbeat into the view. It
// ignores a heartbeat that this process sent itself.
func (v *view) mergeMessage(now time.Time, msg *instancepb.Heartbeat) {
	if msg.GetFrom().GetId() == v.self.ID && msg.From.Incarnation == v.self.Incarnation {
		return
	}
	v.mergeRecord(now, msg.From)
	for _, p := range msg.Updates {
		v.mergeRecord(now, p)
	}
	v.mergeContacts(now, msg)
	v.countMismatch(msg)
}

// mergeContacts updates the time of last contact with other data centres. A
// heartbeat from another data centre is itself a contact; one from this data
// centre carries the contact times of its sender.
func (v *view) mergeContacts(now time.Time, msg *instancepb.Heartbeat) {
	if !v.isFromLocal(msg) {
		v.updateContact(msg.GetFrom().GetDataCentre(), now)
		return
	}
	for _, c := range msg.Contacts {
		v.updateContact(c.DataCentre, now.Add(-time.Duration(c.AgeMs)*time.Millisecond))
	}
}

// updateContact stores the time of contact with another data centre if it is
// later than the one stored.
func (v *view) updateContact(dc string, at time.Time) {
	old, known := v.lastContact[dc]
	if dc == "" || dc == v.self.DataCentre || known && !at.After(old) {
		return
	}
	v.lastContact[dc] = at
}

// countMismatch counts consecutive heartbeats of a sender whose digest differs
// from this view's. A joining sender is not counted because its digest is bound
// to differ.
func (v *view) countMismatch(msg *instancepb.Heartbeat) {
	if msg.Joining || msg.Digest == v.digest() {
		delete(v.mismatches, msg.From.Id)
		return
	}
	v.mismatches[msg.From.Id]++
}

// mergeRecord stores a received record if it is newer than the one held. A
// leaving mark for the same incarnation is kept whichever record is newer.
func (v *view) mergeRecord(now time.Time, p *instancepb.Record) {
	r := decodeRecord(p)
	if r == nil {
		return
	}
	if r.ID == v.self.ID {
		v.mergeOwnRecord(now, r)
		return
	}
	old := v.records[r.ID]
	if old != nil && old.Incarnation == r.Incarnation {
		r.Leaving = r.Leaving || old.Leaving
		if r.Leaving && !old.Leaving && !r.newerThan(old) {
			old.Leaving = true
			v.storeUpdate(now, old)
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
		r.suspicionDeadline = now.Add(suspicionTimeout)
	}
	v.storeUpdate(now, r)
}

// mergeOwnRecord handles a record of this instance that another one sent. It
// refutes a suspicion. A higher incarnation belongs to another process with the
// same identifier. If no heartbeat of this process has been answered yet, the
// other process is its predecessor and this one takes the next incarnation;
// otherwise the other process supersedes this one.
func (v *view) mergeOwnRecord(now time.Time, r *record) {
	switch {
	case r.Incarnation > v.self.Incarnation && !v.announced:
		v.self.Incarnation = r.Incarnation + 1
		v.storeUpdate(now, v.self)
	case r.Incarnation > v.self.Incarnation:
		v.supersededBy = max(v.supersededBy, r.Incarnation)
	case r.Incarnation < v.self.Incarnation:
	default:
		v.refute(now, r)
	}
}

// refute handles r, a record of this instance that another one sent. If r calls this
// instance suspect or failed and is not older than its own record, refute raises the
// version of its own record above that of r, so that it replaces r. If r has a leaving
// mark that its own record lacks, refute does the same and adopts the mark.
func (v *view) refute(now time.Time, r *record) {
	suspected := r.state != stateAlive && r.version >= v.self.version
	markedLeaving := r.Leaving && !v.self.Leaving
	if !suspected && !markedLeaving {
		return
	}
	v.self.version = max(v.self.version, r.version) + 1
	v.self.Leaving = v.self.Leaving || r.Leaving
	v.storeUpdate(now, v.self)
}

// setSelf changes the ready and leaving marks of this instance. The leaving mark
// is never cleared.
func (v *view) setSelf(now time.Time, ready, leaving bool) {
	leaving = leaving || v.self.Leaving
	if v.self.Ready == ready && v.self.Leaving == leaving {
		return
	}
	v.self.Ready, v.self.Leaving = ready, leaving
	v.self.version++
	v.storeUpdate(now, v.self)
}

// leaveHeartbeats returns a heartbeat to each other instance of this data centre
// that has not failed.
func (v *view) leaveHeartbeats(now time.Time) []outgoingHeartbeat {
	var out []outgoingHeartbeat
	for _, r := range v.ring() {
		if r != v.self {
			to := v.targetOf(r)
			out = append(out, outgoingHeartbeat{to: to, msg: v.heartbeat(now, to)})
		}
	}
	return out
}

// mergePlatformList merges the platform's list, which may be out of date. A
// leaving mark without an incarnation applies to the incarnation known when the
// mark first appeared. An instance that is not in the list is not taken to be
// gone.
func (v *view) mergePlatformList(now time.Time, list []ListedInstance) {
	for _, l := range list {
		r := v.records[l.ID]
		if !l.Leaving {
			delete(v.listedLeaving, l.ID)
			v.addSeed(l, r)
			continue
		}
		if r == nil {
			continue
		}
		incarnation, marked := v.listedLeaving[l.ID]
		if !marked {
			incarnation = r.Incarnation
		}
		if l.Incarnation != 0 {
			incarnation = l.Incarnation
		}
		v.listedLeaving[l.ID] = incarnation
		v.markLeaving(now, r, incarnation)
	}
}

// markLeaving marks r as leaving if it still has the given incarnation.
func (v *view) markLeaving(now time.Time, r *record, incarnation uint64) {
	if r.Incarnation != incarnation || r.Leaving {
		return
	}
	if r == v.self {
		v.setSelf(now, v.self.Ready, true)
		return
	}
	r.Leaving = true
	v.storeUpdate(now, r)
}

// addSeed adds the address of a listed instance to the seeds if the instance is
// not yet known, that is, if r is nil.
func (v *view) addSeed(l ListedInstance, r *record) {
	if r == nil && l.Addr != "" && !slices.Contains(v.seeds, l.Addr) {
		v.seeds = append(v.seeds, l.Addr)
	}
}

// isLive reports whether r has not failed and its data centre is in contact. This
// instance's own data centre always is.
func (v *view) isLive(now time.Time, r *record) bool {
	if r.state == stateFailed {
		return false
	}
	return v.isLocal(r) || now.Sub(v.lastContact[r.DataCentre]) < contactTimeout
}

// liveMembers returns the live members, sorted by identifier.
func (v *view) liveMembers(now time.Time) []Member {
	list := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		if v.isLive(now, r) {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}
