package team

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/note"
)

// node is a simulated instance.
type node struct {
	name       string
	limiter    *Limiter
	memberList []string   // the member list that this node has read
	isolated   bool       // messages from and to it are lost
	listReads  []listRead // sizes of the member list at each read
}

// listRead is the size of the member list when a node read it.
type listRead struct {
	size int
	at   time.Time
}

// pendingMessage is a message that has been sent and not yet delivered.
type pendingMessage struct {
	message   *Message
	deliverAt time.Time
}

// simulation runs limiters with a simulated clock and network. All randomness is
// derived from the seed.
type simulation struct {
	now             time.Time
	cfg             Config
	nodes           []*node
	platformMembers []string // the platform's list of instances
	pending         []pendingMessage
	startCount      int                  // nodes started so far, for their names
	messages        int                  // messages sent between different nodes
	bytes           int                  // total size of these messages
	messageSize     func(*Message) int   // size in bytes
	lose            func() bool          // whether the next message is lost
	delay           func() time.Duration // delay of the next message
	duplicate       func() bool          // whether the next message is delivered twice
}

// newSimulation returns a simulation without nodes, whose network loses and duplicates
// no messages.
func newSimulation(cfg Config, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg.Rand = rng.Float64
	return &simulation{
		now:         time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC),
		cfg:         cfg.withDefaults(),
		messageSize: func(m *Message) int { return proto.Size(m) },
		lose:        func() bool { return false },
		delay:       func() time.Duration { return time.Millisecond },
		duplicate:   func() bool { return false },
	}
}

// start adds a node. The new node sees the list that includes itself at once.
func (s *simulation) start() *node {
	s.startCount++
	n := &node{name: fmt.Sprintf("entry-%d", s.startCount)}
	s.platformMembers = append(append([]string(nil), s.platformMembers...), n.name)
	cfg := s.cfg
	cfg.Self = n.name
	cfg.Now = func() time.Time { return s.now }
	cfg.Members = func() []string {
		n.listReads = append(n.listReads, listRead{len(n.memberList), s.now})
		return n.memberList
	}
	n.memberList = s.platformMembers
	n.limiter = NewLimiter(cfg)
	s.nodes = append(s.nodes, n)
	return n
}

// propagateMembers makes all nodes see the platform's current list.
func (s *simulation) propagateMembers() {
	for _, n := range s.nodes {
		n.memberList = s.platformMembers
	}
}

// stop removes a node, which stays in the platform's list until unlistStopped.
func (s *simulation) stop(i int) {
	s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
}

// unlistStopped removes the stopped nodes from the platform's list.
func (s *simulation) unlistStopped() {
	s.platformMembers = nil
	for _, n := range s.nodes {
		s.platformMembers = append(s.platformMembers, n.name)
	}
}

// tick ends the interval of all nodes and sends their messages.
func (s *simulation) tick() {
	for _, n := range s.nodes {
		for _, m := range n.limiter.Tick(s.now) {
			s.send(n, m)
		}
	}
}

// send counts a message and adds it to the pending ones, unless it is lost.
func (s *simulation) send(from *node, m *Message) {
	if m == nil {
		return
	}
	local := m.To == from.name
	if !local {
		s.messages++
		s.bytes += s.messageSize(m)
	}
	if !local && (from.isolated || s.lose()) {
		return
	}
	s.pending = append(s.pending, pendingMessage{m, s.now.Add(s.delay())})
	if s.duplicate() {
		s.pending = append(s.pending, pendingMessage{m, s.now.Add(s.delay())})
	}
}

// deliver delivers the messages that are due and sends the replies.
func (s *simulation) deliver() {
	due := s.pending
	s.pending = nil
	for _, p := range due {
		if p.deliverAt.After(s.now) {
			s.pending = append(s.pending, p)
			continue
		}
		if n := s.nodeByName(p.message.To); n != nil && (!n.isolated || p.message.From == n.name) {
			s.send(n, n.limiter.Receive(s.now, p.message))
		}
	}
}

// nodeByName returns the node with the given name, or nil if it was stopped.
func (s *simulation) nodeByName(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// floorFractionSum returns the sum over the nodes of the fraction of the floor that
// each may use: 1/n for the largest list of n members that it has seen within
// Config.HomeDelay.
func (s *simulation) floorFractionSum() float64 {
	var sum float64
	for _, n := range s.nodes {
		size := 1
		for i := len(n.listReads) - 1; i >= 0; i-- {
			size = max(size, n.listReads[i].size)
			if s.now.Sub(n.listReads[i].at) > s.cfg.HomeDelay {
				break // earlier lists were replaced more than HomeDelay ago; this one may still be current
			}
		}
		sum += 1 / float64(size)
	}
	return sum
}

// leakyBucket is the test oracle: its level drains at the given rate and rises by one
// with each admitted request. The number of requests in every time window is at most
// rate times its length plus a bound if and only if the level never exceeds that
// bound.
type leakyBucket struct {
	level float64
	peak  float64 // highest level so far
}

// drain lowers the level by the given time at rate per second, at most to 0.
func (b *leakyBucket) drain(rate float64, d time.Duration) {
	b.level = max(0, b.level-rate*d.Seconds())
}

// admit counts one admitted request.
func (b *leakyBucket) admit() {
	b.level++
	b.peak = max(b.peak, b.level)
}

// teamLimit returns a team with the given limit.
func teamLimit(rate, burst float64) note.Team { return note.Team{Rate: rate, Burst: burst} }
