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

const (
	methodPush = "datacentre.push"
	methodPull = "datacentre.pull"
)

const (
	maxOrigins    = 16       // roots of trees that are remembered
	fanOut        = 4        // children of an instance in the tree of a data centre
	pushBytes     = 64 << 10 // above this a push carries only the head
	pullBytes     = 1 << 20  // notes in one answer to a pull
	pushTimeout   = 2 * time.Second
	pullTimeout   = 5 * time.Second
	pullJitter    = 400 * time.Millisecond // lets a push arrive before its pull
	gatewayPrefix = "spread"               // rendezvous key of the instance that other data centres tell
)

// NoteReplicatorConfig is what a Spread needs. Rand and Logger may be left out.
type NoteReplicatorConfig struct {
	Notes   NoteStore
	Members *instance.Membership
	Rand    *rand.Rand
	Logger  *slog.Logger
}

// NoteReplicator brings accepted notes from the instances that read them from the
// platform to all others: down a tree within the data centre and to one
// instance of each other data centre. What is missed shows in the head that
// heartbeats carry, and is pulled. It is safe for concurrent use.
type NoteReplicator struct {
	cfg NoteReplicatorConfig

	mu      sync.Mutex
	pushed  uint64            // head up to which the instances below have been told
	highest uint64            // highest head heard of
	relayed map[string]uint64 // head last passed on, by the root of the tree
	offers  chan offer
}

// offer is a peer that has a higher head.
type offer struct {
	addr       string
	dataCentre string
	head       uint64
	origin     string // root of the tree that told of it, empty for a heartbeat
}

// NewNoteReplicator returns a Spread that does nothing before Run.
func NewNoteReplicator(cfg NoteReplicatorConfig) *NoteReplicator {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	s := &NoteReplicator{cfg: cfg, relayed: map[string]uint64{}, offers: make(chan offer, 1), pushed: cfg.Notes.Head()}
	cfg.Members.OnNumber(s.heard)
	return s
}

// Register adds the handlers to server.
func (s *NoteReplicator) Register(server *wire.Server) {
	wire.Handle(server, methodPush, s.handlePush)
	wire.Handle(server, methodPull, s.handlePull)
}

// Lag returns how many notes this instance knows that it lacks.
func (s *NoteReplicator) Lag() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := s.cfg.Notes.Head()
	return max(s.highest, head) - head
}

// heard takes the head of a heartbeat; it runs under the membership's lock.
func (s *NoteReplicator) heard(from instance.Member, kind instance.Number, head uint64) {
	if kind != instance.NumberNoteHead {
		return
	}
	s.offered(offer{addr: from.Addr, dataCentre: from.DataCentre, head: head})
}

// offered remembers a peer that has a higher head; one at a time is enough,
// for the next heartbeat offers again.
func (s *NoteReplicator) offered(o offer) {
	if o.head <= s.cfg.Notes.Head() {
		return
	}
	s.mu.Lock()
	s.highest = max(s.highest, o.head)
	s.mu.Unlock()
	select {
	case s.offers <- o:
	default:
	}
}

// Run spreads and pulls until ctx ends.
func (s *NoteReplicator) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { s.pullAll(ctx) })
	for {
		changed := s.cfg.Notes.Changed()
		s.cfg.Members.Publish(instance.NumberNoteHead, s.cfg.Notes.Head())
		if after, head := s.advance(s.cfg.Notes.Head()); isNews(after, head) {
			tasks.Go(func() { s.originate(ctx, after, head, true) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// isNews reports whether a rise of the head is worth a push. An instance that
// starts reads all notes at once, which the others have.
func isNews(after, head uint64) bool {
	return after < head && (after > 0 || head == 1)
}

// pullAll takes offers one after the other until ctx ends.
func (s *NoteReplicator) pullAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.offers:
			s.take(ctx, o)
		}
	}
}

// advance marks head as told to others and returns what was before.
func (s *NoteReplicator) advance(head uint64) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.pushed
	s.pushed = max(s.pushed, head)
	return before, s.pushed
}

// originate pushes notes after after as the root of the own data centre's tree
// and, if abroad, to each other data centre.
func (s *NoteReplicator) originate(ctx context.Context, after, head uint64, abroad bool) {
	msg := s.push(s.cfg.Members.Self().ID, after, head)
	var wait sync.WaitGroup
	wait.Go(func() { s.forward(ctx, msg) })
	if abroad {
		for _, m := range s.gateways() {
			wait.Go(func() { s.send(ctx, m, msg) })
		}
	}
	wait.Wait()
}

// push builds the message that tells of the notes after after.
func (s *NoteReplicator) push(origin string, after, head uint64) *datacentrepb.Push {
	msg := &datacentrepb.Push{Origin: origin, Head: head, SenderAddr: s.cfg.Members.Self().Addr}
	u := s.cfg.Notes.UpdateSince(after, pushBytes)
	if u.SnapshotHead == 0 && sizeOf(u.Notes) <= pushBytes {
		msg.First, msg.Notes = u.First, u.Notes
	}
	return msg
}

func sizeOf(notes [][]byte) int {
	size := 0
	for _, n := range notes {
		size += len(n)
	}
	return size
}

// gateways returns the instance to tell in each other data centre.
func (s *NoteReplicator) gateways() []instance.Member {
	groups := map[string][]instance.Member{}
	for _, m := range s.cfg.Members.Members() {
		if m.DataCentre != s.cfg.Members.Self().DataCentre && !m.Leaving {
			groups[m.DataCentre] = append(groups[m.DataCentre], m)
		}
	}
	var list []instance.Member
	for _, group := range groups {
		list = append(list, instance.Owner(gatewayPrefix, group))
	}
	return list
}

// forward sends msg to this instance's children in the tree.
func (s *NoteReplicator) forward(ctx context.Context, msg *datacentrepb.Push) {
	t := s.tree(msg.Origin)
	s.forwardBelow(ctx, t, t.position(s.cfg.Members.Self().ID), msg)
}

func (s *NoteReplicator) tree(origin string) tree {
	return newTree(origin, s.cfg.Members.MembersIn(s.cfg.Members.Self().DataCentre))
}

// forwardBelow sends msg to the children of a position; the children of one
// that does not answer are sent to in its place.
func (s *NoteReplicator) forwardBelow(ctx context.Context, t tree, position int, msg *datacentrepb.Push) {
	var wait sync.WaitGroup
	for _, child := range t.children(position) {
		wait.Go(func() {
			if !s.send(ctx, t[child], msg) {
				s.forwardBelow(ctx, t, child, msg)
			}
		})
	}
	wait.Wait()
}

func (s *NoteReplicator) send(ctx context.Context, to instance.Member, msg *datacentrepb.Push) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var answer datacentrepb.PushAnswer
	err := s.cfg.Members.Caller().Call(ctx, to.Addr, methodPush, msg, &answer)
	metric.Counter("notes_pushes_total", "result", resultOf(err)).Inc(1)
	if err != nil {
		return false
	}
	s.offered(offer{addr: to.Addr, dataCentre: to.DataCentre, head: answer.Head})
	return true
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// handlePush applies a push and passes it on.
func (s *NoteReplicator) handlePush(ctx context.Context, msg *datacentrepb.Push) (*datacentrepb.PushAnswer, error) {
	before := s.cfg.Notes.Head()
	u := Update{First: msg.First, Notes: msg.Notes}
	if follows(u, before) {
		s.apply(u)
	}
	now := s.cfg.Notes.Head()
	if now < msg.Head {
		from := s.dataCentreOf(msg.SenderAddr)
		s.offered(offer{addr: msg.SenderAddr, dataCentre: from, head: msg.Head, origin: msg.Origin})
	}
	s.relay(ctx, msg, before, now)
	return &datacentrepb.PushAnswer{Head: now}, nil
}

// relay passes a push on in the background, so that the answer does not wait
// for the whole subtree. Trees of several origins cross: an instance that was
// reached by another tree first still passes this one on, or those below it in
// this tree may be reached by none. A push from another data centre makes this
// instance the root in its own, if it brought anything new.
func (s *NoteReplicator) relay(ctx context.Context, msg *datacentrepb.Push, before, now uint64) {
	ctx = context.WithoutCancel(ctx)
	local := s.tree(msg.Origin).position(msg.Origin) >= 0
	switch {
	case local && now >= msg.Head && s.firstRelay(msg.Origin, msg.Head):
		next := &datacentrepb.Push{
			Origin:     msg.Origin,
			First:      msg.First,
			Notes:      msg.Notes,
			Head:       msg.Head,
			SenderAddr: s.cfg.Members.Self().Addr,
		}
		go s.forward(ctx, next)
	case !local && now > before:
		go s.originate(ctx, before, now, false)
	}
}

// firstRelay reports whether a head of an origin has not been passed on yet.
func (s *NoteReplicator) firstRelay(origin string, head uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayed[origin] >= head {
		return false
	}
	if len(s.relayed) >= maxOrigins {
		clear(s.relayed)
	}
	s.relayed[origin] = head
	return true
}

func (s *NoteReplicator) dataCentreOf(addr string) string {
	for _, m := range s.cfg.Members.Members() {
		if m.Addr == addr {
			return m.DataCentre
		}
	}
	return ""
}

// apply offers an update to the book. Its notes are marked as told first: the
// way that brought them here tells the others too.
func (s *NoteReplicator) apply(u Update) bool {
	s.advance(lastOf(u))
	if err := s.cfg.Notes.ApplyUpdate(u); err != nil {
		event.NotesRefused.Log(s.cfg.Logger, slog.Any("error", err))
		return false
	}
	return true
}

// take pulls from a peer that offered a higher head. What comes from another
// data centre is new to this one and goes down its tree.
func (s *NoteReplicator) take(ctx context.Context, o offer) {
	if o.origin == "" {
		select {
		case <-time.After(s.jitter()):
		case <-ctx.Done():
			return
		}
	}
	before := s.cfg.Notes.Head()
	if o.head <= before {
		return
	}
	err := s.pull(ctx, o)
	metric.Counter("notes_pulls_total", "result", resultOf(err)).Inc(1)
	if err != nil {
		event.NotesPullFailed.Log(s.cfg.Logger, slog.String("addr", o.addr), slog.Any("error", err))
	}
	now := s.cfg.Notes.Head()
	if now == before {
		return
	}
	event.NotesPulled.Log(s.cfg.Logger, slog.String("addr", o.addr), slog.Uint64("head", now))
	switch {
	case o.dataCentre != s.cfg.Members.Self().DataCentre:
		go s.originate(ctx, before, now, false)
	case o.origin != "" && s.firstRelay(o.origin, now):
		go s.forward(ctx, s.push(o.origin, before, now))
	}
}

func (s *NoteReplicator) jitter() time.Duration {
	return time.Duration(s.cfg.Rand.Int64N(int64(pullJitter)))
}

// pull fetches updates until the offered head is reached.
func (s *NoteReplicator) pull(ctx context.Context, o offer) error {
	for {
		head := s.cfg.Notes.Head()
		if head >= o.head {
			return nil
		}
		u, err := s.fetch(ctx, o.addr, head)
		if err != nil {
			return err
		}
		if !follows(u, head) || !s.apply(u) || s.cfg.Notes.Head() <= head {
			return &StalledError{Addr: o.addr, Head: head}
		}
	}
}

// fetch makes one pull; a snapshot takes a call for each part. A snapshot that
// is replaced meanwhile is started over.
func (s *NoteReplicator) fetch(ctx context.Context, addr string, head uint64) (Update, error) {
	answer, err := s.callPull(ctx, addr, &datacentrepb.Pull{Head: head})
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
		answer, err = s.callPull(ctx, addr, next)
		if err != nil {
			return Update{}, err
		}
		if answer.SnapshotHead != u.SnapshotHead || int(answer.Part) != len(u.Snapshot) {
			return Update{}, &StalledError{Addr: addr, Head: head}
		}
	}
}

func (s *NoteReplicator) callPull(ctx context.Context, addr string, req *datacentrepb.Pull) (*datacentrepb.PullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer := &datacentrepb.PullAnswer{}
	err := s.cfg.Members.Caller().Call(ctx, addr, methodPull, req, answer)
	if err != nil {
		return nil, errors.Wrap(err, "pull notes")
	}
	return answer, nil
}

// handlePull answers with notes, or with one part of the snapshot.
func (s *NoteReplicator) handlePull(_ context.Context, req *datacentrepb.Pull) (*datacentrepb.PullAnswer, error) {
	u := s.cfg.Notes.UpdateSince(req.Head, pullBytes)
	answer := &datacentrepb.PullAnswer{Head: s.cfg.Notes.Head()}
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

// tree is a data centre's instances in the order of their positions; the
// children of position p are fanOut*p+1 to fanOut*p+fanOut.
type tree []instance.Member

// newTree puts origin at the root and the others in order of identifier, so
// that instances with the same view build the same tree.
func newTree(origin string, members []instance.Member) tree {
	at := max(tree(members).position(origin), 0)
	return slices.Concat(members[at:], members[:at])
}

// position returns the place of an instance, -1 if it is none of them.
func (t tree) position(id string) int {
	return slices.IndexFunc(t, func(m instance.Member) bool { return m.ID == id })
}

func (t tree) children(position int) []int {
	if position < 0 {
		return nil
	}
	var list []int
	for c := fanOut*position + 1; c <= fanOut*position+fanOut && c < len(t); c++ {
		list = append(list, c)
	}
	return list
}
