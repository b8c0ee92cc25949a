package team

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/note"
)

// node is an instance of the test's world.
type node struct {
	name    string
	limiter *Limiter
	listed  []string // the member list as this node sees it
	cut     bool     // no message goes in or out
	sizes   []sized  // sizes of the list as it was read
}

type sized struct {
	n  int
	at time.Time
}

// mail is a message under way.
type mail struct {
	m  *Message
	at time.Time
}

// world runs limiters under a clock and a network of its own. Everything in it
// is drawn from the seed.
type world struct {
	now      time.Time
	cfg      Config
	nodes    []*node
	members  []string // the platform's list
	post     []mail
	started  int
	messages int
	bytes    int
	cost     func(*Message) int
	loss     func() bool
	delay    func() time.Duration
	copied   func() bool
}

func newWorld(cfg Config, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg.Rand = rng.Float64
	return &world{
		now:    time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC),
		cfg:    cfg.withDefaults(),
		cost:   func(m *Message) int { return proto.Size(m) },
		loss:   func() bool { return false },
		delay:  func() time.Duration { return time.Millisecond },
		copied: func() bool { return false },
	}
}

// start adds an instance. The new one sees the list with itself at once.
func (w *world) start() *node {
	w.started++
	n := &node{name: fmt.Sprintf("entry-%d", w.started)}
	w.members = append(append([]string(nil), w.members...), n.name)
	cfg := w.cfg
	cfg.Self = n.name
	cfg.Now = func() time.Time { return w.now }
	cfg.Members = func() []string {
		n.sizes = append(n.sizes, sized{len(n.listed), w.now})
		return n.listed
	}
	n.listed = w.members
	n.limiter = NewLimiter(cfg)
	w.nodes = append(w.nodes, n)
	return n
}

// spread brings the platform's list to all nodes.
func (w *world) spread() {
	for _, n := range w.nodes {
		n.listed = w.members
	}
}

// kill removes an instance; the platform's list follows with removeListed.
func (w *world) kill(i int) {
	w.nodes = append(w.nodes[:i:i], w.nodes[i+1:]...)
}

// removeListed takes the dead off the platform's list.
func (w *world) removeListed() {
	w.members = nil
	for _, n := range w.nodes {
		w.members = append(w.members, n.name)
	}
}

func (w *world) tick() {
	for _, n := range w.nodes {
		for _, m := range n.limiter.Tick(w.now) {
			w.send(n, m)
		}
	}
}

func (w *world) send(from *node, m *Message) {
	if m == nil {
		return
	}
	local := m.To == from.name
	if !local {
		w.messages++
		w.bytes += w.cost(m)
	}
	if !local && (from.cut || w.loss()) {
		return
	}
	w.post = append(w.post, mail{m, w.now.Add(w.delay())})
	if w.copied() {
		w.post = append(w.post, mail{m, w.now.Add(w.delay())})
	}
}

// deliver hands out the mail that is due.
func (w *world) deliver() {
	due := w.post
	w.post = nil
	for _, p := range due {
		if p.at.After(w.now) {
			w.post = append(w.post, p)
			continue
		}
		if n := w.find(p.m.To); n != nil && (!n.cut || p.m.From == n.name) {
			w.send(n, n.limiter.Receive(w.now, p.m))
		}
	}
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// floors returns the sum over the nodes of the part of the floor that each may
// take: one over the largest list that it has seen within hold.
func (w *world) floors() float64 {
	var sum float64
	for _, n := range w.nodes {
		size := 1
		for i := len(n.sizes) - 1; i >= 0; i-- {
			size = max(size, n.sizes[i].n)
			if w.now.Sub(n.sizes[i].at) > w.cfg.HomeDelay {
				break // replaced before hold, unless it is the current one
			}
		}
		sum += 1 / float64(size)
	}
	return sum
}

// meter is the oracle: the level of a leaky bucket that drains at the stated
// rate and rises with each admitted request. In every window the requests are
// within rate times time and bound if and only if the level never exceeds bound.
type meter struct {
	level float64
	peak  float64
}

func (m *meter) drain(rate float64, d time.Duration) {
	m.level = max(0, m.level-rate*d.Seconds())
}

func (m *meter) admit() {
	m.level++
	m.peak = max(m.peak, m.level)
}

func limitOf(rate, burst float64) note.Team { return note.Team{Rate: rate, Burst: burst} }
