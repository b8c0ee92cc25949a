package slots

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/slots/slotspb"
	"redwingknot/wire"
)

const methodOpen = "slots.open"

// Failure codes of an attempt to open a stream.
const (
	failureNoGroup  wire.Failure = "no-such-group"
	failureDraining wire.Failure = "draining"
)

const (
	// tickInterval is the interval at which lapsed grants end and the endpoints are read again.
	// It is shorter than a call takes, so that requests without a grant are counted while they
	// run.
	tickInterval = 50 * time.Millisecond
	// maxUnsent bounds the answers for an instance that does not receive them. Its requests have
	// given up long before.
	maxUnsent = 4 * maxWaiting
)

// Source tells the endpoints whose slots are granted. It is safe for concurrent use.
type Source interface {
	// SlotEndpoints returns the endpoints of a group, none if the group does not exist.
	SlotEndpoints(g Group) []Endpoint
}

// Server runs the coordinators of the groups that this instance is asked to coordinate. It is
// safe for concurrent use.
type Server struct {
	source Source
	now    func() time.Time
	log    *slog.Logger

	mu       sync.Mutex
	groups   map[Group]*coordination
	draining bool
}

// coordination is the coordinator of one group with its members.
type coordination struct {
	server *Server
	group  Group

	mu          sync.Mutex
	coordinator *Coordinator
	members     map[uint64]*member
	joined      uint64    // identifier of the latest member
	readAt      time.Time // when the endpoints were last read
	reported    Counts    // counts that the metrics have
	metrics     coordinationMetrics
}

// member is an instance whose requests get slots from a coordination.
type member struct {
	id      uint64
	of      *coordination
	local   bool           // it is this instance, which is never silent
	deliver func([]Answer) // called with the mutex of the coordination held; must not block
}

// NewServer returns a Server that coordinates the endpoints of source.
func NewServer(source Source, now func() time.Time, log *slog.Logger) *Server {
	return &Server{source: source, now: now, log: log, groups: map[Group]*coordination{}}
}

// Register adds the handler of the streams of other instances to a server.
func (s *Server) Register(w *wire.Server) {
	wire.HandleStream(w, methodOpen, func(_ context.Context, in *slotspb.OpenRequest) (*slotspb.OpenResponse, func(*wire.Stream), error) {
		serve, err := s.accept(in)
		if err != nil {
			return nil, nil, err
		}
		return &slotspb.OpenResponse{}, func(stream *wire.Stream) { serve(stream) }, nil
	})
}

// accept returns the function that serves the stream of another instance.
func (s *Server) accept(in *slotspb.OpenRequest) (func(Stream), error) {
	g := Group{Service: in.GetService(), Index: int(in.GetGroup()), Count: int(in.GetGroups())}
	if err := s.check(g); err != nil {
		return nil, err
	}
	return func(stream Stream) { s.serve(stream, g, in) }, nil
}

// check returns an error if this instance does not coordinate a group.
func (s *Server) check(g Group) error {
	if s.isDraining() {
		return wire.Fail(failureDraining, "the instance shuts down")
	}
	if !g.valid() || len(s.source.SlotEndpoints(g)) == 0 {
		metric.Counter("slots_invalid_total").Inc(1)
		return wire.Fail(failureNoGroup, "no endpoints of this group are known")
	}
	return nil
}

// Drain makes the instances ask other coordinators, also for the requests that wait. Grants stay
// valid.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.coordinations() {
		c.handOver()
	}
}

// handOver declines the requests that wait, and tells all members that the instance shuts down.
//
// Load pattern: the coordinator of a small service stops at the peak. Requests that go on waiting
// for it compete with those that already ask the next one, and both are granted the same slots.
func (c *coordination) handOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coordinator.DeclineWaiting()
	c.distribute()
	for _, m := range c.members {
		m.deliver(nil)
	}
}

// coordinations returns the coordinations of all groups.
func (s *Server) coordinations() []*coordination {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.groups))
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Run ends what has lapsed, regularly, until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	return timer.Every(ctx, tickInterval, func() {
		for _, c := range s.coordinations() {
			c.tick()
		}
	})
}

// coordination returns the coordination of a group, which it creates if necessary.
func (s *Server) coordination(g Group) *coordination {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.groups[g]
	if c == nil {
		c = &coordination{server: s, group: g, coordinator: NewCoordinator(rand.Float64), members: map[uint64]*member{}, metrics: newCoordinationMetrics(g)}
		s.groups[g] = c
		event.SlotsCoordinated.Log(s.log, slog.String("service", g.Service), slog.Int("group", g.Index), slog.Int("groups", g.Count))
	}
	return c
}

// join adds a member to the coordination of a group.
func (s *Server) join(g Group, dataCentre string, local bool, deliver func([]Answer)) *member {
	c := s.coordination(g)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joined++
	m := &member{id: c.joined, of: c, local: local, deliver: deliver}
	c.members[m.id] = m
	c.coordinator.Join(m.id, dataCentre, s.now())
	return m
}

// leave removes a member and returns how many grants that ended.
func (m *member) leave() int {
	c := m.of
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.members, m.id)
	ended := c.coordinator.Leave(m.id, c.server.now())
	c.distribute()
	return ended
}

// handle processes the messages of a member.
func (m *member) handle(in *slotspb.Requests) {
	c := m.of
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.now()
	c.read(now)
	c.coordinator.Hear(m.id, now)
	for _, r := range in.Releases {
		c.coordinator.Release(m.id, r.GetNumber(), outcomeOf(r.GetOutcome()), time.Duration(r.GetTookUs())*time.Microsecond, now)
	}
	for _, number := range in.Cancels {
		c.coordinator.Cancel(m.id, number, now)
	}
	draining := c.server.isDraining()
	for _, a := range in.Acquires {
		if draining {
			m.deliver([]Answer{{Kind: Declined, Holder: m.id, Number: a.GetNumber()}})
			continue
		}
		c.coordinator.Acquire(m.id, a.GetNumber(), requestOf(a), now)
	}
	c.distribute()
}

// requestOf decodes a request for a slot.
func requestOf(a *slotspb.Acquire) Request {
	millis := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	return Request{
		Rank: int(a.GetRank()), Team: a.GetTeam(), Age: millis(a.GetAgeMs()), Left: millis(a.GetLeftMs()),
		TargetLeft: millis(a.GetTargetLeftMs()), Excluded: a.GetExcluded(),
	}
}

// outcomeOf decodes an outcome. One that is not known only frees the slot.
func outcomeOf(o slotspb.Outcome) Outcome {
	switch o {
	case slotspb.Outcome_OUTCOME_DONE:
		return Done
	case slotspb.Outcome_OUTCOME_REJECTED:
		return Rejected
	case slotspb.Outcome_OUTCOME_FAILED:
		return Failed
	}
	return Unused
}

// read reads the endpoints again if they were read tickInterval ago. The caller holds mu.
func (c *coordination) read(now time.Time) {
	if now.Sub(c.readAt) < tickInterval {
		return
	}
	c.readAt = now
	c.coordinator.SetEndpoints(c.server.source.SlotEndpoints(c.group), now)
}

// distribute passes the answers on to the members. The caller holds mu.
func (c *coordination) distribute() {
	answers := c.coordinator.Answers()
	for len(answers) > 0 {
		n := 1
		for n < len(answers) && answers[n].Holder == answers[0].Holder {
			n++
		}
		if m := c.members[answers[0].Holder]; m != nil {
			m.deliver(answers[:n])
		}
		answers = answers[n:]
	}
}

// tick ends what has lapsed and updates the metrics.
func (c *coordination) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, granted := c.coordinator.InUse()
	if waiting > 0 || granted > 0 {
		now := c.server.now()
		c.read(now)
		for _, m := range c.members {
			if m.local {
				c.coordinator.Hear(m.id, now)
			}
		}
		c.coordinator.Tick(now)
		c.distribute()
	}
	counts := c.coordinator.Counts()
	if counts.Invalid > c.reported.Invalid {
		event.SlotsMessageInvalid.Log(c.server.log, slog.String("service", c.group.Service), slog.Int("messages", counts.Invalid-c.reported.Invalid))
	}
	c.metrics.add(c.reported, counts)
	c.metrics.waiting.Update(int64(waiting))
	c.metrics.granted.Update(int64(granted))
	c.reported = counts
}

// serve serves the stream of another instance.
func (s *Server) serve(stream Stream, g Group, in *slotspb.OpenRequest) {
	out := newAnswerQueue()
	m := s.join(g, in.DataCentre, false, out.add)
	done := make(chan struct{})
	go func() {
		defer close(done)
		out.send(stream, s.isDraining)
		stream.Abort()
	}()
	for {
		var requests slotspb.Requests
		if stream.Receive(&requests) != nil {
			break
		}
		m.handle(&requests)
		if len(requests.Releases)+len(requests.Cancels)+len(requests.Acquires) == 0 {
			out.ping()
		}
	}
	out.close()
	stream.Abort()
	<-done
	if ended := m.leave(); ended > 0 {
		event.SlotsHolderLost.Log(s.log, slog.String("instance", in.Instance), slog.String("service", g.Service), slog.Int("grants", ended))
	}
}

// answerQueue holds the answers for another instance until they are sent, all that are ready
// in one message. It is safe for concurrent use.
type answerQueue struct {
	mu     sync.Mutex
	out    *slotspb.Answers
	unsent int
	closed bool
	wake   chan struct{}
}

func newAnswerQueue() *answerQueue { return &answerQueue{wake: make(chan struct{}, 1)} }

// add queues answers. It does not block; an instance that receives nothing loses the stream.
func (q *answerQueue) add(answers []Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.out == nil {
		q.out = &slotspb.Answers{}
	}
	if q.unsent += len(answers); q.unsent > maxUnsent {
		q.closed = true
	}
	for _, a := range answers {
		switch a.Kind {
		case Waiting:
			q.out.Waiting = append(q.out.Waiting, a.Number)
		case Granted:
			q.out.Grants = append(q.out.Grants, &slotspb.Grant{Number: a.Number, Endpoint: a.Endpoint})
		case Refused:
			q.out.Refusals = append(q.out.Refusals, &slotspb.Refusal{Number: a.Number, DelayMs: uint32(a.Delay.Milliseconds())})
		case Declined:
			q.out.Declined = append(q.out.Declined, a.Number)
		}
	}
	q.signal()
}

// ping queues a message, without answers if there are none.
func (q *answerQueue) ping() { q.add(nil) }

// close ends send.
func (q *answerQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

func (q *answerQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default: // the signal is already pending
	}
}

// take removes and returns what is queued, nil if nothing is.
func (q *answerQueue) take() (out *slotspb.Answers, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	out, q.out, q.unsent = q.out, nil, 0
	return out, q.closed
}

// send sends what is queued until the queue is closed or the stream ends.
func (q *answerQueue) send(stream Stream, leaving func() bool) {
	for range q.wake {
		out, closed := q.take()
		if closed {
			return
		}
		if out == nil {
			continue
		}
		out.Leaving = leaving()
		if stream.Send(out) != nil {
			return
		}
	}
}

// coordinationMetrics are the metrics of the coordinations of a service.
type coordinationMetrics struct {
	granted, waiting                                     metrics.Gauge
	grants, refusals, declines, rejects, lapses, invalid metrics.Counter
}

func newCoordinationMetrics(g Group) coordinationMetrics {
	service, index := g.Service, strconv.Itoa(g.Index)
	return coordinationMetrics{
		granted: metric.Gauge("slots_granted", "service", service, "group", index), waiting: metric.Gauge("slots_waiting", "service", service, "group", index),
		grants: metric.Counter("slots_grants_total", "service", service), refusals: metric.Counter("slots_refusals_total", "service", service),
		declines: metric.Counter("slots_declines_total", "service", service), rejects: metric.Counter("slots_rejections_total", "service", service),
		lapses: metric.Counter("slots_lapses_total", "service", service), invalid: metric.Counter("slots_invalid_total"),
	}
}

// add adds what has happened between two counts.
func (m coordinationMetrics) add(from, to Counts) {
	m.grants.Inc(int64(to.Granted - from.Granted))
	m.refusals.Inc(int64(to.Refused - from.Refused))
	m.declines.Inc(int64(to.Declined - from.Declined))
	m.rejects.Inc(int64(to.Rejected - from.Rejected))
	m.lapses.Inc(int64(to.Lapsed - from.Lapsed))
	m.invalid.Inc(int64(to.Invalid - from.Invalid))
}
