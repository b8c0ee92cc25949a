package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/retry"
	"redwingknot/upstream"
)

// run is one caller attempt. It belongs to the request's goroutine.
type run struct {
	server    *Server
	w         http.ResponseWriter
	arrived   time.Time
	deadline  time.Time
	call      Call
	route     *fleet.Route
	team      *fleet.Team // nil on public routes
	query     *query
	method    string
	target    string
	host      string
	header    http.Header
	bodyLimit int64
	body      []byte

	sends     int           // attempts that may have reached an endpoint
	ran       int           // those that may have run
	started   bool          // the answer's header has gone to the caller
	lastEvent int64         // the last event that went to the caller, -1 before the first
	first     time.Duration // from the arrival to the first part of the answer
	plan      string        // where the parts of the prompt come from, for the log
	last      *fleet.Endpoint
	cause     error   // of the last failure
	held      *answer // an endpoint's own failure, to be returned if no repeat helps
}

// outcome is how an attempt ended.
type outcome uint8

const (
	delivered  outcome = iota // the caller has the whole answer
	callerGone                // nobody waits any more
	notRun                    // the endpoint did not run the request, and won't
	unknown                   // the request may have run; nothing can be returned
	failed                    // the endpoint ran it and answered with a failure of its own
	broken                    // the answer broke off after a part went to the caller
)

// errDeadline ends the context of a request whose time is over.
var errDeadline = &expiredError{}

type expiredError struct{}

// Error implements error.
func (*expiredError) Error() string { return "the request's time is over" }

// do makes attempts until one is delivered or no more are allowed.
func (q *run) do(parent context.Context) {
	ctx, cancel := context.WithDeadlineCause(parent, q.deadline, errDeadline)
	defer cancel()
	q.server.endpoints.arrived(q.query.service)
	for {
		p, refusal := q.place(ctx)
		if refusal != nil {
			q.end(refusal)
			return
		}
		if p == nil {
			q.leave(ctx)
			return
		}
		o := q.attempt(ctx, p)
		switch {
		case o == delivered:
			q.logServed()
			return
		case ctx.Err() != nil:
			q.leave(ctx)
			return
		case !q.repeat(ctx, o):
			q.giveUp(o)
			return
		}
	}
}

// leave ends a request whose caller is gone or whose time is over.
func (q *run) leave(ctx context.Context) {
	if context.Cause(ctx) != errDeadline {
		metric.Counter("callers_gone_total").Inc(1)
		event.RelayCallerGone.Log(q.server.o.Log, q.attrs()...)
		q.abort()
	}
	r := &contract.Refusal{Status: http.StatusGatewayTimeout, Reason: contract.ReasonDeadline, Ran: contract.Unknown, Detail: "no answer in time"}
	q.end(r)
}

// abort closes the caller's connection without a complete answer.
func (q *run) abort() { panic(http.ErrAbortHandler) }

// end answers with a refusal, or breaks off an answer that has begun.
func (q *run) end(r *contract.Refusal) {
	if q.started {
		metric.Counter("streams_broken_total", "reason", string(r.Reason)).Inc(1)
		event.RelayBroken.Log(q.server.o.Log, append(q.attrs(), slog.String("reason", string(r.Reason)), slog.Int64("lastEvent", q.lastEvent))...)
		q.abort()
	}
	q.refuse(r)
}

// giveUp answers after the last attempt.
func (q *run) giveUp(o outcome) {
	switch {
	case o == failed && q.held != nil && !q.started:
		q.held.deliver(q)
		q.logServed()
	case q.ran > 0:
		q.end(&contract.Refusal{Status: http.StatusBadGateway, Reason: contract.ReasonEndpointFailed, Ran: contract.Unknown, Detail: "the endpoint gave no whole answer"})
	default:
		q.end(contract.Overloaded(contract.ReasonOverload, q.comeBack(), "no endpoint could take the request"))
	}
}

// Bounds of comeBack: an overload of prompts clears in about the time of one
// answer; the spread keeps callers that were refused together apart.
const (
	comeBackLeast  = 250 * time.Millisecond
	comeBackSpread = 500 * time.Millisecond
)

// comeBack returns when a refused caller should ask again.
func (q *run) comeBack() time.Duration {
	return comeBackLeast + rand.N(comeBackSpread)
}

// placeWait bounds how long a request waits for an endpoint that can take it:
// loads of weights and restarts of connections end within it, and a caller that
// is then refused still has time to come back.
const placeWait = 700 * time.Millisecond

// placePoll is the interval in which a waiting request looks for a place that
// opened without a change of the endpoints.
const placePoll = 20 * time.Millisecond

// place finds an endpoint. It returns neither a pick nor a refusal when ctx
// ended.
func (q *run) place(ctx context.Context) (*pick, *contract.Refusal) {
	giveUp := time.Now().Add(placeWait)
	for {
		if r := q.authorized(); r != nil {
			return nil, q.truthful(r)
		}
		p, changed := q.server.endpoints.choose(q.query)
		if p != nil {
			return p, nil
		}
		if !time.Now().Before(giveUp) {
			reason := contract.ReasonNoEndpoint
			if q.query.admission {
				reason = contract.ReasonOverload
			}
			return nil, q.truthful(contract.Overloaded(reason, q.comeBack(), "no endpoint can take the request"))
		}
		if !timer.Wait(ctx, changed, placePoll) {
			return nil, nil
		}
	}
}

// truthful turns a refusal that promises that nothing ran into one that does
// not, if an attempt may have run.
func (q *run) truthful(r *contract.Refusal) *contract.Refusal {
	if q.ran == 0 {
		return r
	}
	return &contract.Refusal{Status: http.StatusBadGateway, Reason: r.Reason, Ran: contract.Unknown, Detail: r.Detail}
}

// repeat decides whether another attempt follows.
func (q *run) repeat(ctx context.Context, o outcome) bool {
	reason := retry.EndpointBusy
	switch o {
	case notRun:
	case unknown, failed:
		if !q.route.Repeatable() {
			return false
		}
		reason = retry.Crash
	case broken:
		if !q.route.Resumable {
			return false
		}
		reason = retry.Resume
	}
	if time.Until(q.deadline) < leastTime || q.ran >= q.route.MaxAttempts || q.sends >= maxSends {
		return false
	}
	if q.sends == 0 {
		return true // nothing has left this process
	}
	if !q.server.endpoints.takeRetry(q.query.service) {
		metric.Counter("retries_refused_total", "reason", string(reason)).Inc(1)
		return false
	}
	metric.Retried(string(reason))
	return true
}

// maxSends bounds the attempts of a request that endpoints keep rejecting.
const maxSends = 5

// leastTime is the shortest time left in which another attempt can be answered:
// a prompt's first token takes some tens of milliseconds.
const leastTime = 30 * time.Millisecond

// attempt sends the request to p and relays the answer.
func (q *run) attempt(ctx context.Context, p *pick) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.server.endpoints.release(p)
	q.last = p.spec
	sent := time.Now()
	res, err := p.endpoint.pool.Send(ctx, q.request(p))
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		return q.unsent(ctx, p, err)
	}
	q.sends++
	q.note(p)
	if err != nil {
		q.ran++
		return q.lost(ctx, p, err)
	}
	defer res.Close()
	reply := q.server.o.Dialect.ParseReply(res.Status, res.Header)
	if reply.AttemptID != q.call.AttemptID && !reply.Misdirected {
		q.ran++
		res.PreventReuse()
		return q.lost(ctx, p, &upstream.UnrelatedResponseError{Detail: "answers the attempt " + reply.AttemptID})
	}
	if reply.NotExecuted {
		return q.rejected(p, res, reply)
	}
	q.ran++
	q.server.endpoints.ran(p, q.query, reply)
	if q.route.Kind == fleet.KindStream && res.Status == http.StatusOK {
		return q.relayStream(ctx, p, res, sent)
	}
	return q.relayAnswer(ctx, p, res, sent)
}

// note records an endpoint that the request was sent to.
func (q *run) note(p *pick) {
	if key := p.spec.Key(); !slices.Contains(q.query.tried, key) {
		q.query.tried = append(q.query.tried, key)
	}
}

func (q *run) unsent(ctx context.Context, p *pick, err error) outcome {
	if ctx.Err() != nil {
		return callerGone
	}
	q.cause = err
	var limit *upstream.ConnLimitError
	if errors.As(err, &limit) {
		q.query.avoid = append(q.query.avoid, p.spec.Key())
		return notRun
	}
	event.RelayUnreachable.Log(q.server.o.Log, q.attrs()...)
	q.server.endpoints.failed(p, true)
	q.query.avoid = append(q.query.avoid, p.spec.Key())
	return notRun
}

// lost ends an attempt that may have run and gave no whole answer.
func (q *run) lost(ctx context.Context, p *pick, err error) outcome {
	if ctx.Err() != nil {
		return callerGone
	}
	q.cause = err
	event.RelayLost.Log(q.server.o.Log, q.attrs()...)
	q.server.endpoints.failed(p, true)
	if q.started {
		return broken
	}
	return unknown
}

// rejected ends an attempt that the endpoint did not run.
func (q *run) rejected(p *pick, res *upstream.Response, reply Reply) outcome {
	q.drain(res)
	q.cause = &RejectedError{Status: res.Status, Misdirected: reply.Misdirected}
	metric.Counter("endpoint_rejections_total", "service", q.query.service, "status", http.StatusText(res.Status)).Inc(1)
	q.server.endpoints.refused(p, q.query, reply)
	return notRun
}

// drain reads the rest of a short answer so that its connection can be kept.
func (q *run) drain(res *upstream.Response) {
	const most = 4 << 10
	var buf [512]byte
	for n := 0; n < most; {
		k, err := res.Body.Read(buf[:])
		n += k
		if err != nil {
			return // at its end or broken: Close looks which
		}
	}
}

// RejectedError reports that an endpoint did not run a request.
type RejectedError struct {
	Status      int
	Misdirected bool // another endpoint or other weights are at its address
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Misdirected {
		return "another endpoint or other weights are at the address"
	}
	return "rejected by the endpoint: " + http.StatusText(e.Status)
}

// request renders the request for p.
func (q *run) request(p *pick) *upstream.Request {
	d := Dispatch{
		EndpointID: p.spec.ID, Budget: time.Until(q.deadline),
		LastEventID: max(q.call.LastEventID, q.lastEvent), Priority: q.priority(),
	}
	if q.team != nil {
		d.Team = q.team.Name
	}
	if q.call.Prompt != nil {
		d.ModelRequest, d.WeightsVersion = true, p.weights
		d.Partition = partition(q.call.Prompt.Model, p.weights, q.team)
		q.planCache(p, &d)
	}
	head := make([]byte, 0, 1024)
	head = append(head, q.method...)
	head = append(head, ' ')
	head = append(head, q.target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, q.host...)
	head = append(head, "\r\n"...)
	head = q.server.o.Dialect.AppendCallHeaders(head, q.header)
	head = q.server.o.Dialect.AppendDispatchHeaders(head, &d)
	if len(q.body) > 0 || q.method == http.MethodPost || q.method == http.MethodPut {
		head = appendLength(head, len(q.body))
	}
	head = append(head, "\r\n"...)
	return &upstream.Request{Method: q.method, Head: head, Body: q.body, NewConn: q.route.Kind == fleet.KindNonIdempotent}
}

// routeRanks is the number of priorities of routes within one of a team.
const routeRanks = 3

// priority is the team's first and the route's second.
func (q *run) priority() int {
	route := min(q.route.Priority, routeRanks-1)
	if q.team != nil && q.team.Priority >= 0 {
		return q.team.Priority*routeRanks + route
	}
	return route
}

func (q *run) logServed() {
	event.RelayServed.Log(q.server.o.Log, append(q.attrs(), slog.Duration("first", q.first))...)
	metric.Histogram("answer_ms", "route", q.route.Kind.String(), "service", q.query.service).Update(time.Since(q.arrived).Milliseconds())
}
