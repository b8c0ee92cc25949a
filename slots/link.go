package slots

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/slots/slotspb"
	"redwingknot/wire"
)

// linkEndedError reports that the link to a coordinator ended, or the coordinator began to shut
// down, while a request waited.
type linkEndedError struct{}

// Error implements error.
func (*linkEndedError) Error() string { return "the coordinator has ended or shuts down" }

// link is the stream to the coordinator of a group, or the way to the one in this process. It
// is safe for concurrent use.
//
// Messages are queued in out. All that are ready at the same time are sent in one.
type link struct {
	key    linkKey
	log    *slog.Logger
	server *Server // of this process, nil if the coordinator is another one
	member *member // of the coordination in this process, nil if the coordinator is another one
	wake   chan struct{}
	ended  atomic.Bool
	// reopened says that an earlier link has ended. Requests don't wait until it is open: an
	// instance that has lost its power is listed for some seconds.
	reopened bool

	mu       sync.Mutex
	stream   Stream // nil before it is open
	pending  map[uint64]*call
	held     int // grants that were not released
	number   uint64
	out      *slotspb.Requests
	silent   bool // the coordinator does not answer
	leaving  bool // the coordinator shuts down
	heardAt  time.Time
	sentAt   time.Time // when something was last sent
	reopenAt time.Time // when a link that has ended may be opened again
}

// call is a request that waits for answers.
type call struct {
	acquire *slotspb.Acquire
	waiting chan struct{} // receives a value when the coordinator has put the request in its queue
	final   chan Answer   // receives the answer, or one of kind Waiting if the link ended
}

// openLocal opens a link to the coordinator in this process.
func (l *link) openLocal(s *Server, dataCentre string) {
	l.server = s
	l.member = s.join(l.key.group, dataCentre, true, l.receive)
}

// usable reports whether the coordinator can be asked.
func (l *link) usable() bool {
	if l.isLeaving() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	opening := l.reopened && l.member == nil && l.stream == nil
	return !l.ended.Load() && !l.silent && !opening
}

// isLeaving reports whether the coordinator shuts down.
func (l *link) isLeaving() bool {
	if l.server != nil {
		return l.server.isDraining()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// mayReopen reports whether the link has ended and may be opened again.
func (l *link) mayReopen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended.Load() && !time.Now().Before(l.reopenAt)
}

// acquire asks for a slot. The errors are those of Client.Acquire, or a *linkEndedError.
func (l *link) acquire(ctx context.Context, r Request) (*Grant, error) {
	call, err := l.begin(r)
	if err != nil {
		return nil, err
	}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	for {
		select {
		case a := <-call.final:
			return l.result(a)
		case <-call.waiting:
			timeout.Stop()
		case <-timeout.C:
			if !l.abandon(call) {
				return l.result(<-call.final)
			}
			l.setSilent()
			return nil, &UnavailableError{Reason: reasonSilent}
		case <-ctx.Done():
			if !l.abandon(call) {
				if grant, _ := l.result(<-call.final); grant != nil {
					grant.Release(Unused, 0)
				}
			}
			return nil, ctx.Err()
		}
	}
}

// begin sends a request for a slot.
func (l *link) begin(r Request) (*call, error) {
	l.mu.Lock()
	if l.ended.Load() {
		l.mu.Unlock()
		return nil, &linkEndedError{}
	}
	l.number++
	c := &call{
		acquire: &slotspb.Acquire{
			Number: l.number, Rank: uint32(max(r.Rank, 0)), Team: r.Team, AgeMs: millisOf(r.Age), LeftMs: millisOf(r.Left),
			TargetLeftMs: millisOf(r.TargetLeft), Excluded: r.Excluded,
		},
		waiting: make(chan struct{}, 1), final: make(chan Answer, 1),
	}
	l.pending[c.acquire.Number] = c
	out := l.queued()
	out.Acquires = append(out.Acquires, c.acquire)
	l.flush()
	return c, nil
}

// millisOf returns a duration in ms, 0 if it is negative.
func millisOf(d time.Duration) uint32 { return uint32(min(max(d, 0), maxTime).Milliseconds()) }

// queued returns the message that collects what is to be sent. The caller holds mu.
func (l *link) queued() *slotspb.Requests {
	if l.out == nil {
		l.out = &slotspb.Requests{}
	}
	return l.out
}

// flush sends what is queued, and releases mu: the coordinator in this process answers at
// once.
func (l *link) flush() {
	if l.member == nil {
		l.mu.Unlock()
		l.signal()
		return
	}
	out := l.out
	l.out = nil
	l.mu.Unlock()
	if out != nil {
		l.member.handle(out)
	}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default: // the signal is already pending
	}
}

// result returns what an answer means. It counts a grant as held.
func (l *link) result(a Answer) (*Grant, error) {
	switch a.Kind {
	case Granted:
		return &Grant{Endpoint: a.Endpoint, Coordinator: l.key.coordinator, link: l, number: a.Number}, nil
	case Refused:
		return nil, &RefusedError{Delay: a.Delay}
	case Declined:
		if l.isLeaving() {
			return nil, &linkEndedError{}
		}
		return nil, &UnavailableError{Reason: reasonDeclined}
	}
	if l.isSilent() {
		return nil, &UnavailableError{Reason: reasonSilent}
	}
	return nil, &linkEndedError{}
}

// abandon cancels a request that waits. It reports false if it has its final answer.
func (l *link) abandon(c *call) bool {
	l.mu.Lock()
	number := c.acquire.Number
	if l.pending[number] != c {
		l.mu.Unlock()
		return false
	}
	delete(l.pending, number)
	out := l.queued()
	if i := slices.Index(out.Acquires, c.acquire); i >= 0 {
		out.Acquires = slices.Delete(out.Acquires, i, i+1) // it was not sent
	} else {
		out.Cancels = append(out.Cancels, number)
	}
	l.flush()
	return true
}

// release returns a slot.
func (l *link) release(number uint64, o Outcome, took time.Duration) {
	l.mu.Lock()
	l.held--
	if l.ended.Load() {
		l.mu.Unlock()
		return
	}
	out := l.queued()
	out.Releases = append(out.Releases, &slotspb.Release{Number: number, Outcome: encodeOutcome(o), TookUs: uint32(min(max(took.Microseconds(), 0), math.MaxUint32))})
	l.flush()
}

func encodeOutcome(o Outcome) slotspb.Outcome {
	switch o {
	case Done:
		return slotspb.Outcome_OUTCOME_DONE
	case Rejected:
		return slotspb.Outcome_OUTCOME_REJECTED
	case Failed:
		return slotspb.Outcome_OUTCOME_FAILED
	}
	return slotspb.Outcome_OUTCOME_UNUSED
}

// receive passes answers on to the requests that wait for them.
func (l *link) receive(answers []Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range answers {
		c := l.pending[a.Number]
		if c == nil {
			continue // abandoned; the coordinator learns of it by the cancel
		}
		if a.Kind == Waiting {
			select {
			case c.waiting <- struct{}{}:
			default: // the coordinator has said so before
			}
			continue
		}
		delete(l.pending, a.Number)
		if a.Kind == Granted {
			l.held++
		}
		c.final <- a
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// setSilent records that the coordinator does not answer. The requests that wait for it choose
// an endpoint themselves. It stays silent until something is heard.
func (l *link) setSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent || l.ended.Load() {
		return
	}
	l.silent = true
	l.logLost("silent")
	for number, c := range l.pending {
		delete(l.pending, number)
		out := l.queued()
		out.Cancels = append(out.Cancels, number)
		c.final <- Answer{Kind: Waiting}
	}
}

func (l *link) logLost(cause string) {
	event.SlotsCoordinatorLost.Log(l.log, slog.String("coordinator", l.key.coordinator), slog.String("service", l.key.group.Service), slog.String("cause", cause))
}

// end ends the link; it may be opened again after delay. The requests that wait ask the next
// coordinator.
func (l *link) end(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended.Swap(true) {
		return
	}
	l.silent, l.reopenAt = false, time.Now().Add(delay)
	for number, c := range l.pending {
		delete(l.pending, number)
		c.final <- Answer{Kind: Waiting}
	}
	if l.stream != nil {
		l.stream.Abort()
	}
	l.signal()
}

// run opens the stream to another instance and serves it until the link ends.
func (l *link) run(open OpenFunc, self, dataCentre string) {
	g := l.key.group
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	in := &slotspb.OpenRequest{Instance: self, DataCentre: dataCentre, Service: g.Service, Group: uint32(g.Index), Groups: uint32(g.Count)}
	stream, err := open(ctx, l.key.coordinator, in)
	cancel()
	if err != nil {
		l.logLost(err.Error())
		l.end(reopenDelayAfter(err))
		return
	}
	l.mu.Lock()
	l.stream, l.heardAt, l.sentAt = stream, time.Now(), time.Now()
	if l.ended.Load() {
		stream.Abort()
	}
	l.mu.Unlock()
	go l.readAnswers(stream)
	l.writeRequests(stream)
	l.end(reopenDelay)
}

// reopenDelayAfter returns when a stream that could not be opened is opened again.
func reopenDelayAfter(err error) time.Duration {
	var call *wire.CallError
	if errors.As(err, &call) && call.Failure == wire.FailureUnknownMethod {
		return unknownDelay
	}
	return reopenDelay
}

// writeRequests sends what is queued, and pings, until the link ends.
func (l *link) writeRequests(stream Stream) {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for !l.ended.Load() {
		var out *slotspb.Requests
		select {
		case <-l.wake:
			out = l.take()
		case <-ping.C:
			out = l.checkSilence()
		}
		if out != nil && stream.Send(out) != nil {
			return
		}
	}
}

// take removes and returns what is queued, nil if nothing is.
func (l *link) take() *slotspb.Requests {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.out
	l.out = nil
	if out != nil {
		l.sentAt = time.Now()
	}
	return out
}

// checkSilence returns a ping if the link is in use, nil otherwise. It ends the waits for a
// coordinator that is silent.
func (l *link) checkSilence() *slotspb.Requests {
	l.mu.Lock()
	now := time.Now()
	inUse := len(l.pending) > 0 || l.held > 0 || l.silent
	if !inUse {
		l.heardAt = now // nothing is expected
		l.mu.Unlock()
		return nil
	}
	silence := now.Sub(l.heardAt)
	l.mu.Unlock()
	if silence > abortTime {
		l.end(reopenDelay)
		return nil
	}
	if silence > silenceLimit {
		l.setSilent()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.queued()
	l.out, l.sentAt = nil, now
	return out
}

// readAnswers receives answers until the stream ends.
func (l *link) readAnswers(stream Stream) {
	for {
		var in slotspb.Answers
		if err := stream.Receive(&in); err != nil {
			if !l.ended.Load() {
				l.logLost(err.Error())
			}
			l.end(reopenDelay)
			return
		}
		l.recordHeard(in.Leaving)
		l.receive(answersOf(&in))
	}
}

// recordHeard records that the coordinator has sent something.
func (l *link) recordHeard(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt, l.leaving = time.Now(), leaving
	if l.silent {
		l.silent = false
		event.SlotsCoordinatorBack.Log(l.log, slog.String("coordinator", l.key.coordinator), slog.String("service", l.key.group.Service))
	}
}

// answersOf decodes the answers of another instance.
func answersOf(in *slotspb.Answers) []Answer {
	answers := make([]Answer, 0, len(in.Waiting)+len(in.Grants)+len(in.Refusals)+len(in.Declined))
	for _, number := range in.Waiting {
		answers = append(answers, Answer{Kind: Waiting, Number: number})
	}
	for _, g := range in.Grants {
		answers = append(answers, Answer{Kind: Granted, Number: g.GetNumber(), Endpoint: g.GetEndpoint()})
	}
	for _, r := range in.Refusals {
		answers = append(answers, Answer{Kind: Refused, Number: r.GetNumber(), Delay: min(time.Duration(r.GetDelayMs())*time.Millisecond, maxTime)})
	}
	for _, number := range in.Declined {
		answers = append(answers, Answer{Kind: Declined, Number: number})
	}
	return answers
}
