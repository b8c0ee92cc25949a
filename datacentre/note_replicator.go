package datacentre

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/datacentre/datacentrepb"
	"redwingknot/event"
	"redwingknot/instance"
	"redwingknot/metric"
	"redwingknot/wire"
)

// Names of the wire methods by which instances exchange notes.
const (
	methodPush = "datacentre.push"
	methodPull = "datacentre.pull"
)

const (
	maxRelayedOrigins = 16       // number of origins whose last relayed head is remembered
	fanOut            = 4        // children of an instance in the push tree of its data centre
	maxPushBytes      = 64 << 10 // of notes in a push; if the first note alone is larger, only the head is sent
	maxPullBytes      = 1 << 20  // of notes in one pull answer, approximately
	pushTimeout       = 2 * time.Second
	pullTimeout       = 5 * time.Second
	maxPullDelay      = 400 * time.Millisecond // delays a pull that follows no push, so that a push of the same notes can arrive first
	receiverKey       = "spread"               // key of the rendezvous hash that selects which instance receives the pushes of other data centres
)

// NoteReplicatorConfig configures a NoteReplicator. Rand and Logger are optional.
type NoteReplicatorConfig struct {
	Notes   NoteStore
	Members *instance.Membership
	Rand    *rand.Rand
	Logger  *slog.Logger
}

// NoteReplicator replicates accepted notes from the instances that read them from the
// platform to all other instances. Notes are pushed down a tree within the data
// centre and to one instance of each other data centre. An instance that missed
// a push learns of it from the heads in heartbeats and pulls the notes. A
// NoteReplicator is safe for concurrent use.
type NoteReplicator struct {
	cfg NoteReplicatorConfig

	mu           sync.Mutex
	pushedHead   uint64            // head up to which the notes need no further push by Run
	highestHead  uint64            // highest head reported by any peer
	relayedHeads map[string]uint64 // head last relayed, by the origin of its tree
	pullSources  chan pullSource
}

// pullSource is a peer with a higher head, from which notes can be pulled.
type pullSource struct {
	addr       string
	dataCentre string
	head       uint64
	origin     string // origin of the push that reported the head; empty after a heartbeat or push answer
}

// NewNoteReplicator returns a NoteReplicator, which pushes and pulls nothing until Run
// is called. It must be called before cfg.Members runs, as it subscribes to its heartbeats.
func NewNoteReplicator(cfg NoteReplicatorConfig) *NoteReplicator {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	r := &NoteReplicator{cfg: cfg, relayedHeads: map[string]uint64{}, pullSources: make(chan pullSource, 1), pushedHead: cfg.Notes.Head()}
	cfg.Members.OnHeartbeatNumber(r.onHeartbeat)
	return r
}

// Register adds the handlers of push and pull calls to server.
func (r *NoteReplicator) Register(server *wire.Server) {
	wire.Handle(server, methodPush, r.handlePush)
	wire.Handle(server, methodPull, r.handlePull)
}

// Lag returns the number of notes by which this instance is behind the highest
// head that a peer has reported.
func (r *NoteReplicator) Lag() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := r.cfg.Notes.Head()
	return max(r.highestHead, head) - head
}

// onHeartbeat handles the head in a heartbeat. It runs under the membership's lock,
// so it must not block or call the membership.
func (r *NoteReplicator) onHeartbeat(from instance.Member, kind instance.NumberKind, head uint64) {
	if kind != instance.NumberNoteHead {
		return
	}
	r.addPullSource(pullSource{addr: from.Addr, dataCentre: from.DataCentre, head: head})
}

// addPullSource records the head of src and queues a pull from src if that head
// is above the local one. If a pull is already queued, src is not; the next
// heartbeat reports the head again.
func (r *NoteReplicator) addPullSource(src pullSource) {
	if src.head <= r.cfg.Notes.Head() {
		return
	}
	r.mu.Lock()
	r.highestHead = max(r.highestHead, src.head)
	r.mu.Unlock()
	select {
	case r.pullSources <- src:
	default:
	}
}

// Run publishes the local head, pushes new notes and pulls missing ones until ctx
// ends. It always returns nil.
func (r *NoteReplicator) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { r.runPulls(ctx) })
	for {
		changed := r.cfg.Notes.Changed()
		r.cfg.Members.Publish(instance.NumberNoteHead, r.cfg.Notes.Head())
		if oldHead, newHead := r.markPushed(r.cfg.Notes.Head()); shouldPush(oldHead, newHead) {
			tasks.Go(func() { r.pushAsRoot(ctx, oldHead, newHead, true) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// shouldPush reports whether the notes after oldHead up to newHead should be
// pushed. The first notes that an instance reads after its start are not pushed,
// because the other instances have them; note 1 on its own is pushed.
func shouldPush(oldHead, newHead uint64) bool {
	return oldHead < newHead && (oldHead > 0 || newHead == 1)
}

// runPulls pulls from the queued sources, one after the other, until ctx ends.
func (r *NoteReplicator) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case src := <-r.pullSources:
			r.pullFrom(ctx, src)
		}
	}
}

// markPushed records that the notes up to head need no further push. It returns
// the recorded head before and after the call.
func (r *NoteReplicator) markPushed(head uint64) (oldHead, newHead uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldHead = r.pushedHead
	r.pushedHead = max(r.pushedHead, head)
	return oldHead, r.pushedHead
}

// pushAsRoot pushes the notes after oldHead with this instance as the root of its
// data centre's tree and, if toOtherDataCentres is set, to one instance of each
// other data centre. It returns once every call has been answered or has failed.
func (r *NoteReplicator) pushAsRoot(ctx context.Context, oldHead, newHead uint64, toOtherDataCentres bool) {
	msg := r.newPush(r.cfg.Members.Self().ID, oldHead, newHead)
	var wg sync.WaitGroup
	wg.Go(func() { r.pushToChildren(ctx, msg) })
	if toOtherDataCentres {
		for _, m := range r.remoteReceivers() {
			wg.Go(func() { r.sendPush(ctx, m, msg) })
		}
	}
	wg.Wait()
}

// newPush builds a push message with newHead and the notes after oldHead. It
// carries no notes if they are available only as a snapshot or are too large;
// the receivers then pull them.
func (r *NoteReplicator) newPush(origin string, oldHead, newHead uint64) *datacentrepb.Push {
	msg := &datacentrepb.Push{Origin: origin, Head: newHead, SenderAddr: r.cfg.Members.Self().Addr}
	u := r.cfg.Notes.UpdateSince(oldHead, maxPushBytes)
	if u.SnapshotHead == 0 && totalBytes(u.Notes) <= maxPushBytes {
		msg.First, msg.Notes = u.First, u.Notes
	}
	return msg
}

// totalBytes returns the combined length of notes in bytes.
func totalBytes(notes [][]byte) int {
	size := 0
	for _, n := range notes {
		size += len(n)
	}
	return size
}

// remoteReceivers returns the instance to push to in each other data centre.
func (r *NoteReplicator) remoteReceivers() []instance.Member {
	byDataCentre := map[string][]instance.Member{}
	for _, m := range r.cfg.Members.Members() {
		if m.DataCentre != r.cfg.Members.Self().DataCentre && !m.Leaving {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	var receivers []instance.Member
	for _, group := range byDataCentre {
		receivers = append(receivers, instance.Owner(receiverKey, group))
	}
	return receivers
}

// pushToChildren sends msg to this instance's children in the tree of msg.Origin.
func (r *NoteReplicator) pushToChildren(ctx context.Context, msg *datacentrepb.Push) {
	t := r.treeFrom(msg.Origin)
	r.pushBelow(ctx, t, t.position(r.cfg.Members.Self().ID), msg)
}

// treeFrom returns the push tree of this data centre with origin as its root.
func (r *NoteReplicator) treeFrom(origin string) tree {
	return newTree(origin, r.cfg.Members.MembersIn(r.cfg.Members.Self().DataCentre))
}

// pushBelow sends msg to the children of a position. If a child does not answer,
// its own children are sent the message in its place.
func (r *NoteReplicator) pushBelow(ctx context.Context, t tree, position int, msg *datacentrepb.Push) {
	var wg sync.WaitGroup
	for _, child := range t.children(position) {
		wg.Go(func() {
			if !r.sendPush(ctx, t[child], msg) {
				r.pushBelow(ctx, t, child, msg)
			}
		})
	}
	wg.Wait()
}

// sendPush pushes msg to one instance and reports whether it answered. If the
// answer has a higher head, a pull from that instance is queued.
func (r *NoteReplicator) sendPush(ctx context.Context, to instance.Member, msg *datacentrepb.Push) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var answer datacentrepb.PushAnswer
	err := r.cfg.Members.Caller().Call(ctx, to.Addr, methodPush, msg, &answer)
	metric.Counter("notes_pushes_total", "result", resultLabel(err)).Inc(1)
	if err != nil {
		return false
	}
	r.addPullSource(pullSource{addr: to.Addr, dataCentre: to.DataCentre, head: answer.Head})
	return true
}

// resultLabel returns the value of the metric label "result" for err.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// handlePush applies the notes of a push, queues a pull if the sender's head is
// still higher, and relays the push if relay finds it necessary.
func (r *NoteReplicator) handlePush(ctx context.Context, msg *datacentrepb.Push) (*datacentrepb.PushAnswer, error) {
	oldHead := r.cfg.Notes.Head()
	u := Update{First: msg.First, Notes: msg.Notes}
	if canApply(u, oldHead) {
		r.apply(u)
	}
	newHead := r.cfg.Notes.Head()
	if newHead < msg.Head {
		senderDataCentre := r.dataCentreOf(msg.SenderAddr)
		r.addPullSource(pullSource{addr: msg.SenderAddr, dataCentre: senderDataCentre, head: msg.Head, origin: msg.Origin})
	}
	r.relay(ctx, msg, oldHead, newHead)
	return &datacentrepb.PushAnswer{Head: newHead}, nil
}

// relay passes a push on in the background, so that the answer does not wait for
// the whole subtree. The same notes may be pushed down the trees of several
// origins at once. An instance that already received them through another tree
// still relays the push of this one, because otherwise no push might reach the
// instances below it. After a push from another data centre that contained new
// notes, this instance pushes them as the root of a tree in its own.
func (r *NoteReplicator) relay(ctx context.Context, msg *datacentrepb.Push, oldHead, newHead uint64) {
	ctx = context.WithoutCancel(ctx)
	local := r.treeFrom(msg.Origin).position(msg.Origin) >= 0
	switch {
	case local && newHead >= msg.Head && r.markRelayed(msg.Origin, msg.Head):
		next := &datacentrepb.Push{
			Origin:     msg.Origin,
			First:      msg.First,
			Notes:      msg.Notes,
			Head:       msg.Head,
			SenderAddr: r.cfg.Members.Self().Addr,
		}
		go r.pushToChildren(ctx, next)
	case !local && newHead > oldHead:
		go r.pushAsRoot(ctx, oldHead, newHead, false)
	}
}

// markRelayed records that head has been relayed in the tree of origin. It returns
// false if that head or a higher one was already recorded.
func (r *NoteReplicator) markRelayed(origin string, head uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relayedHeads[origin] >= head {
		return false
	}
	if len(r.relayedHeads) >= maxRelayedOrigins {
		clear(r.relayedHeads)
	}
	r.relayedHeads[origin] = head
	return true
}

// dataCentreOf returns the data centre of the member with the given address, empty
// if there is none.
func (r *NoteReplicator) dataCentreOf(addr string) string {
	for _, m := range r.cfg.Members.Members() {
		if m.Addr == addr {
			return m.DataCentre
		}
	}
	return ""
}

// apply applies an update to the local notes and reports whether that succeeded.
// Before, it marks the notes as pushed so that Run does not push them: whatever
// delivered them here also delivers them to the other instances.
func (r *NoteReplicator) apply(u Update) bool {
	r.markPushed(headAfter(u))
	if err := r.cfg.Notes.ApplyUpdate(u); err != nil {
		event.NotesRefused.Log(r.cfg.Logger, slog.Any("error", err))
		return false
	}
	return true
}

// pullFrom pulls the missing notes from src, after a random delay if no push
// reported its head. Notes from another data centre are new to this one, so they
// are pushed down the tree of which this instance is the root. Notes of a push
// within the data centre are relayed in the tree of its origin.
func (r *NoteReplicator) pullFrom(ctx context.Context, src pullSource) {
	if src.origin == "" {
		select {
		case <-time.After(r.pullDelay()):
		case <-ctx.Done():
			return
		}
	}
	oldHead := r.cfg.Notes.Head()
	if src.head <= oldHead {
		return
	}
	err := r.catchUp(ctx, src)
	metric.Counter("notes_pulls_total", "result", resultLabel(err)).Inc(1)
	if err != nil {
		event.NotesPullFailed.Log(r.cfg.Logger, slog.String("addr", src.addr), slog.Any("error", err))
	}
	newHead := r.cfg.Notes.Head()
	if newHead == oldHead {
		return
	}
	event.NotesPulled.Log(r.cfg.Logger, slog.String("addr", src.addr), slog.Uint64("head", newHead))
	switch {
	case src.dataCentre != r.cfg.Members.Self().DataCentre:
		go r.pushAsRoot(ctx, oldHead, newHead, false)
	case src.origin != "" && r.markRelayed(src.origin, newHead):
		go r.pushToChildren(ctx, r.newPush(src.origin, oldHead, newHead))
	}
}

// pullDelay returns a random delay below maxPullDelay.
func (r *NoteReplicator) pullDelay() time.Duration {
	return time.Duration(r.cfg.Rand.Int64N(int64(maxPullDelay)))
}

// catchUp fetches and applies updates from src until the local head has reached
// src.head. It returns a *StalledError if an update does not raise the head.
func (r *NoteReplicator) catchUp(ctx context.Context, src pullSource) error {
	for {
		head := r.cfg.Notes.Head()
		if head >= src.head {
			return nil
		}
		u, err := r.fetchUpdate(ctx, src.addr, head)
		if err != nil {
			return err
		}
		if !canApply(u, head) || !r.apply(u) || r.cfg.Notes.Head() <= head {
			return &StalledError{Addr: src.addr, Head: head}
		}
	}
}

// fetchUpdate pulls the update that follows head; a snapshot takes one call for
// each part. It returns a *StalledError if the peer replaced the snapshot between
// two calls; a later pull starts over.
func (r *NoteReplicator) fetchUpdate(ctx context.Context, addr string, head uint64) (Update, error) {
	answer, err := r.callPull(ctx, addr, &datacentrepb.Pull{Head: head})
	if err != nil || answer.Parts == 0 {
		return Update{First: answer.GetFirst(), Notes: answer.GetNotes()}, err
	}
	u := Update{SnapshotHead: answer.SnapshotHead}
	for {
		u.Snapshot = append(u.Snapshot, answer.Content)
		if len(u.Snapshot) >= int(answer.Parts) {
			return u, nil
		}
		next := &datacentrepb.Pull{Head: head, SnapshotHead: u.SnapshotHead, Part: uint32(len(u.Snapshot))}
		answer, err = r.callPull(ctx, addr, next)
		if err != nil {
			return Update{}, err
		}
		if answer.SnapshotHead != u.SnapshotHead || int(answer.Part) != len(u.Snapshot) {
			return Update{}, &StalledError{Addr: addr, Head: head}
		}
	}
}

// callPull makes one pull call with a timeout of pullTimeout.
func (r *NoteReplicator) callPull(ctx context.Context, addr string, req *datacentrepb.Pull) (*datacentrepb.PullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer := &datacentrepb.PullAnswer{}
	err := r.cfg.Members.Caller().Call(ctx, addr, methodPull, req, answer)
	if err != nil {
		return nil, errors.Wrap(err, "pull notes")
	}
	return answer, nil
}

// handlePull returns the notes after the head of the request, or one part of a
// snapshot: the requested one, or part 0 if the snapshot is not the one that the
// request names. A part beyond the last is refused as malformed.
func (r *NoteReplicator) handlePull(_ context.Context, req *datacentrepb.Pull) (*datacentrepb.PullAnswer, error) {
	u := r.cfg.Notes.UpdateSince(req.Head, maxPullBytes)
	answer := &datacentrepb.PullAnswer{Head: r.cfg.Notes.Head()}
	if u.SnapshotHead == 0 {
		answer.First, answer.Notes = u.First, u.Notes
		return answer, nil
	}
	part := req.Part
	if req.SnapshotHead != u.SnapshotHead {
		part = 0
	}
	if int(part) >= len(u.Snapshot) {
		return nil, wire.Fail(wire.FailureMalformed, "no such part of the snapshot")
	}
	answer.SnapshotHead, answer.Parts = u.SnapshotHead, uint32(len(u.Snapshot))
	answer.Part, answer.Content = part, u.Snapshot[part]
	return answer, nil
}

// tree is the push tree of a data centre: its instances in the order of their
// positions, the root at 0. The children of position p are at the positions
// fanOut*p+1 to fanOut*p+fanOut.
type tree []instance.Member

// newTree returns a tree of members, which are sorted by identifier. It rotates
// them so that origin is the root; if origin is not a member, the first is. So
// instances with the same view of the membership build the same tree.
func newTree(origin string, members []instance.Member) tree {
	root := max(tree(members).position(origin), 0)
	return slices.Concat(members[root:], members[:root])
}

// position returns the position of the instance with the given identifier, -1 if
// it is not in the tree.
func (t tree) position(id string) int {
	return slices.IndexFunc(t, func(m instance.Member) bool { return m.ID == id })
}

// children returns the positions of the children of a position, none for a
// negative one.
func (t tree) children(position int) []int {
	if position < 0 {
		return nil
	}
	var positions []int
	for c := fanOut*position + 1; c <= fanOut*position+fanOut && c < len(t); c++ {
		positions = append(positions, c)
	}
	return positions
}
