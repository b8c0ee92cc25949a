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
	"redwingknot/membudget"
	"redwingknot/metric"
	"redwingknot/queue"
	"redwingknot/retry"
	"redwingknot/suspect"
	"redwingknot/upstream"
)

// callerRequest is the state of one request received from a caller. The relay may
// make several attempts to send it to endpoints; a retry by the caller is another
// callerRequest. It is used only by the goroutine that serves the request.
type callerRequest struct {
	server     *Server
	w          http.ResponseWriter
	conn       *callerConn // of the caller; nil if it is not known
	arrivedAt  time.Time
	late       *lateArrival // nil if the request arrived before the instance began to stop
	deadline   time.Time
	call       Call
	route      *fleet.Route
	team       *fleet.Team // nil on public routes
	query      *placementQuery
	prompt     *Prompt // as the caller describes it; call.Prompt is nil for services without engines
	method     string
	requestURI string
	host       string
	header     http.Header
	bodyLimit  int64 // maximum body length in bytes, 0 for the server's limit
	body       []byte

	subjects           []suspect.Subject // see suspectSubjects; nil until they are needed
	run                *suspect.Run      // of the latest attempt, nil before the first
	waited             time.Duration     // time spent waiting for room, over all attempts
	rejections         int               // attempts that endpoints rejected because they are full
	sends              int               // attempts that may have reached an endpoint
	possibleExecutions int               // attempts that an endpoint may have executed
	beforeAbort        func()            // called before the caller's connection is closed without a complete response; may be nil
	headerSent         bool              // the response header was sent to the caller
	sequence           eventSequence     // of the events that the caller gets
	timeToFirstData    time.Duration     // from the arrival of the request until response data was ready for the caller
	cachePlan          string            // where the parts of the prompt come from, for the log; see pick.cachePlan
	fetches, saves     string            // addresses that they are fetched from and saved to, for the log; see pick.transfers
	move               *runMove          // move of the present run, nil without one
	moved              bool              // the run has moved once; all further attempts use new connections
	lastEndpoint       *fleet.Endpoint   // endpoint of the latest attempt
	lastWeights        int64             // version of the weights that the latest attempt asked for, 0 for any
	lastErr            error             // error of the latest failed attempt
	explains           bool              // the request is only explained: it is not counted
	fixedRandom        float64           // what random returns in an explanation
	failureResponse    *bufferedResponse // failure reported by an endpoint, returned if no retry succeeds
	failureMemory      membudget.Hold    // of failureResponse
	retryTaken         bool              // the next attempt is already taken from the retry budget
}

// outcome is how an attempt ended.
type outcome uint8

const (
	outcomeDelivered      outcome = iota // the complete response was sent to the caller
	outcomeCallerGone                    // the caller disconnected or the deadline passed
	outcomeNotExecuted                   // the endpoint did not execute the request and will not
	outcomeUnknown                       // the request may have been executed; there is no response to return
	outcomeEndpointFailed                // the endpoint executed the request and reported a failure
	outcomeTruncated                     // the response broke off after a part of it was sent to the caller
	outcomeMoved                         // the run has stopped in order to continue at another endpoint
)

// errDeadline is the context's cause after the request's deadline has passed.
var errDeadline = &deadlineError{}

// deadlineError reports that a request's deadline has passed.
type deadlineError struct{}

// Error implements error.
func (*deadlineError) Error() string { return "request deadline exceeded" }

// serve makes attempts until a response is delivered or no further attempt is
// allowed, and responds to the caller in each case.
func (c *callerRequest) serve(parent context.Context) {
	ctx, cancel := context.WithDeadlineCause(parent, c.deadline, errDeadline)
	defer cancel()
	ctx, detach := c.server.stopping.attach(ctx)
	defer detach()
	defer c.endRun()
	defer func() { c.failureMemory.Release() }()
	refusal := c.requireOrigin(ctx)
	c.server.endpoints.countRequest(c.query.service)
	if refusal != nil {
		c.refuse(refusal)
		return
	}
	c.query.beginsStream = c.beginsStream()
	for {
		p, refusal := c.selectEndpoint(ctx)
		if refusal != nil {
			c.refuseOrAbort(refusal)
			return
		}
		if p == nil {
			c.endOnContextDone(ctx)
			return
		}
		o := c.attemptGranted(ctx, p)
		if o == outcomeMoved {
			o = c.continueMoved(ctx)
		}
		if o == outcomeDelivered {
			c.run.Completed()
		}
		c.endRun()
		switch {
		case o == outcomeDelivered:
			c.logServed()
			return
		case ctx.Err() != nil, o == outcomeCallerGone:
			c.endOnContextDone(ctx)
			return
		case !c.allowRetry(ctx, o):
			c.finishFailed(o)
			return
		}
	}
}

// endOnContextDone ends a request whose caller disconnected or whose deadline
// passed. The context may still go on if a write to the caller failed.
func (c *callerRequest) endOnContextDone(ctx context.Context) {
	if context.Cause(ctx) == errStopped {
		c.refuseOrAbort(c.markPossibleExecution(contract.Unavailable(contract.ReasonDraining, c.retryAfter(), errStopped.Error())))
		return
	}
	if context.Cause(ctx) != errDeadline {
		metric.Counter("callers_gone_total").Inc(1)
		event.RelayCallerGone.Log(c.server.opts.Log, c.logAttrs()...)
		c.abortConnection()
	}
	if c.possibleExecutions == 0 {
		c.refuseOrAbort(contract.Unavailable(contract.ReasonDeadline, c.retryAfter(), "no endpoint got the request in time"))
		return
	}
	c.refuseOrAbort(&contract.Refusal{Status: http.StatusGatewayTimeout, Reason: contract.ReasonDeadline, Ran: contract.MayHaveRun, Detail: "no answer in time"})
}

// abortConnection closes the caller's connection without a complete response. It
// does not return: it panics with http.ErrAbortHandler.
func (c *callerRequest) abortConnection() {
	if c.beforeAbort != nil {
		c.beforeAbort()
	}
	panic(http.ErrAbortHandler)
}

// refuseOrAbort responds with a refusal, or aborts the connection if a part of a
// response was already sent.
func (c *callerRequest) refuseOrAbort(r *contract.Refusal) {
	if c.headerSent {
		metric.Counter("streams_broken_total", "reason", string(r.Reason)).Inc(1)
		event.RelayBroken.Log(c.server.opts.Log, append(c.logAttrs(), slog.String("reason", string(r.Reason)), slog.Int64("lastEvent", c.sequence.last))...)
		c.abortConnection()
	}
	c.refuse(r)
}

// finishFailed responds to the caller after the last attempt failed with o.
func (c *callerRequest) finishFailed(o outcome) {
	switch {
	case o == outcomeEndpointFailed && c.failureResponse != nil && !c.headerSent:
		c.failureResponse.writeTo(c)
		c.logServed()
	case c.possibleExecutions > 0:
		c.refuseOrAbort(&contract.Refusal{Status: http.StatusBadGateway, Reason: contract.ReasonEndpointFailed, Ran: contract.MayHaveRun, Detail: "the endpoint gave no whole answer"})
	default:
		c.refuseOrAbort(contract.Unavailable(contract.ReasonOverload, c.retryAfter(), "no endpoint could take the request"))
	}
}

// retryAfterSpread is the spread of returns in refusals that do not depend on a backlog.
const retryAfterSpread = 500 * time.Millisecond

// retryAfter returns the delay after which a refused caller should retry: when the backlog
// ahead of it will have drained, or a short time if that is not known. Urgent requests have
// less ahead of them, so that their callers return first.
func (c *callerRequest) retryAfter() time.Duration {
	return queue.RetryAfter(max(c.query.admissionDelay, c.query.backlogWait), c.random())
}

// retrySpread returns a random time by which the return of a refused caller is put off.
func (c *callerRequest) retrySpread() time.Duration {
	return time.Duration(c.random() * float64(retryAfterSpread))
}

// random returns a random number in [0, 1), or the given one in an explanation.
func (c *callerRequest) random() float64 {
	if c.explains {
		return c.fixedRandom
	}
	return rand.Float64()
}

// selectEndpoint chooses an endpoint, for which it waits in the order of package queue if it
// can be expected that one is found in time; see waitQueue.
// It returns neither a pick nor a refusal if ctx ends first.
func (c *callerRequest) selectEndpoint(ctx context.Context) (*pick, *contract.Refusal) {
	if p, refusal, decided := c.selectGranted(ctx); decided {
		return p, refusal
	}
	defer c.server.endpoints.endWaits(c.query)
	cause, goesOn := causeArrival, true
	for goesOn {
		if r := c.beginRun(); r != nil {
			return nil, c.markPossibleExecution(r)
		}
		if r := c.checkAuthorization(); r != nil {
			return nil, c.markPossibleExecution(r)
		}
		if r := c.refuseStopping(); r != nil {
			return nil, r
		}
		if p := c.server.endpoints.decide(c, cause); p != nil {
			return p, nil
		}
		if r := c.refuseEvacuated(); r != nil {
			return nil, c.markPossibleExecution(r)
		}
		if r := c.refuseToWait(); r != nil {
			return nil, c.markPossibleExecution(r)
		}
		cause, goesOn = c.awaitTurn(ctx)
	}
	return nil, nil
}

// markPossibleExecution returns r, which states that the request was not executed,
// if that is certain. If an endpoint may have executed an earlier attempt, it
// returns a refusal for the same reason that states that execution is possible.
func (c *callerRequest) markPossibleExecution(r *contract.Refusal) *contract.Refusal {
	if c.possibleExecutions == 0 {
		return r
	}
	return &contract.Refusal{Status: http.StatusBadGateway, Reason: r.Reason, Ran: contract.MayHaveRun, Detail: r.Detail}
}

// allowRetry reports whether another attempt may follow one that ended with o,
// and takes it from the retry budget if it may.
func (c *callerRequest) allowRetry(ctx context.Context, o outcome) bool {
	reason := retry.EndpointBusy
	switch o {
	case outcomeNotExecuted:
	case outcomeUnknown, outcomeEndpointFailed:
		if !c.route.Repeatable() || c.wouldBeCutOff(time.Now()) {
			return false
		}
		reason = retry.Crash
	case outcomeTruncated:
		if !c.route.Resumable || c.query.unresumable || !c.sequence.mayResume() {
			return false
		}
		reason = retry.Resume
	default:
		return false
	}
	if time.Until(c.deadline) < minRetryTime || c.possibleExecutions >= c.route.MaxAttempts || c.sends-c.rejections >= maxSends || c.rejections >= maxRejections {
		return false
	}
	if c.sends == 0 {
		return true // no attempt was sent, so this is not a retry
	}
	taken := c.retryTaken || c.server.endpoints.takeRetry(c.query.service)
	c.retryTaken = false
	if !taken {
		metric.Counter("retries_refused_total", "reason", string(reason)).Inc(1)
		return false
	}
	metric.CountRetry(string(reason))
	return true
}

const (
	// maxSends is the maximum number of attempts for a request that endpoints refuse
	// repeatedly, apart from those that they reject because they are full.
	maxSends = 5
	// maxRejections is the maximum number of attempts that endpoints reject because they are
	// full. With the time that a request rests after each, it comes back for about a second.
	maxRejections = 8
)

// minRetryTime is the remaining time below which no further attempt is made: the
// first token of a prompt takes some tens of milliseconds.
const minRetryTime = 30 * time.Millisecond

// attempt sends the request to the endpoint of p and relays the response.
func (c *callerRequest) attempt(ctx context.Context, p *pick) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.server.endpoints.release(p)
	if !callerConnected(ctx) {
		return outcomeCallerGone
	}
	c.lastEndpoint, c.lastWeights = p.spec, p.weights
	c.logResumption(p)
	p.cancel = cancel
	defer c.server.endpoints.awaitBeginning(c.query, p)()
	sent, sentAt := time.Now(), c.server.endpoints.now()
	res, err := p.endpoint.pool.Send(ctx, c.buildRequest(p))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return c.handleNotSent(ctx, p, err)
	}
	c.recordSent(p)
	if err != nil {
		c.recordPossibleExecution(p)
		return c.handleLost(ctx, p, err)
	}
	defer res.Close()
	p.sentAt = res.SentAt
	reply := c.server.opts.Dialect.ParseReply(res.Status, res.Header)
	if !c.isReplyTo(res, reply) {
		c.recordPossibleExecution(p)
		res.PreventReuse()
		return c.handleLost(ctx, p, &upstream.UnrelatedResponseError{Detail: "it names the attempt " + reply.AttemptID})
	}
	c.recordNotice(p, reply, sentAt)
	if reply.NotExecuted {
		return c.handleRefused(p, res, reply)
	}
	c.recordPossibleExecution(p)
	c.server.endpoints.recordWeightsVersion(p, c.query, reply)
	if c.route.Kind == fleet.KindStream && res.Status == http.StatusOK {
		o := c.relayStream(ctx, p, res, sent)
		if o != outcomeMoved {
			c.abandonMove()
		}
		return o
	}
	if c.headerSent { // any other response would be taken for a part of the stream
		c.handleUnusable(p, res)
		return outcomeTruncated
	}
	if c.route.Kind == fleet.KindStream && c.sequence.last >= 0 && isSuccess(res.Status) { // not the rest of the stream
		return c.handleUnusable(p, res)
	}
	return c.relayResponse(ctx, p, res, sent)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isReplyTo reports whether a response belongs to this attempt, and not to an earlier one on
// the same connection that has got a second response. An endpoint that refuses a request
// which is meant for another one need not repeat the identifier, but only the first response
// on a connection is certain to belong to the only request there. So it is with the responses to
// a caller's request that has none.
func (c *callerRequest) isReplyTo(res *upstream.Response, reply Reply) bool {
	if reply.AttemptID == "" {
		return !res.Reused && (reply.Misdirected || c.call.AttemptID == "")
	}
	return reply.AttemptID == c.call.AttemptID
}

// recordNotice records what the header of a response says about further requests to the
// endpoint. The request was sent at sentAt.
func (c *callerRequest) recordNotice(p *pick, reply Reply, sentAt time.Time) {
	if reply.NoticeErr != nil {
		metric.Counter("endpoint_notices_invalid_total", "service", c.query.service).Inc(1)
		event.NoticeInvalid.Log(c.server.opts.Log, slog.String("endpoint", p.spec.ID), slog.String("error", reply.NoticeErr.Error()))
	}
	c.server.endpoints.recordReplyNotice(p, reply, sentAt)
}

// recordTried records an endpoint that the request was sent to.
func (c *callerRequest) recordTried(p *pick) {
	if key := p.spec.Key(); !slices.Contains(c.query.tried, key) {
		c.query.tried = append(c.query.tried, key)
	}
}

// recordPossibleExecution records that an endpoint may have run the request. An attempt that
// continues a moved run is the same run.
func (c *callerRequest) recordPossibleExecution(p *pick) {
	c.query.took = nil
	if p.moveFrom != nil {
		return
	}
	c.possibleExecutions++
	if key := p.spec.Key(); !slices.Contains(c.query.mayHaveRun, key) {
		c.query.mayHaveRun = append(c.query.mayHaveRun, key)
	}
}

// handleNotSent ends an attempt of which nothing was sent, and excludes the
// endpoint from further attempts. A reached connection limit is not counted as a
// failure of the endpoint.
func (c *callerRequest) handleNotSent(ctx context.Context, p *pick, err error) outcome {
	if ctx.Err() != nil {
		if c.server.endpoints.wasTakenBack(p) {
			c.handleTakenBack(p)
			return outcomeNotExecuted
		}
		return outcomeCallerGone
	}
	c.lastErr = err
	var limit *upstream.ConnLimitError
	if errors.As(err, &limit) {
		c.query.excluded = append(c.query.excluded, p.spec.Key())
		return outcomeNotExecuted
	}
	others := c.server.opts.OtherLoads.Load(p.endpoint.idHash)
	event.RelayUnreachable.Log(c.server.opts.Log, append(c.logAttrs(), slog.Int("othersReach", others.Reached), slog.Int("othersFail", others.Unreachable))...)
	c.server.endpoints.recordFailure(p, true)
	c.query.excluded = append(c.query.excluded, p.spec.Key())
	return outcomeNotExecuted
}

// handleLost ends an attempt that may have been executed and gave no complete
// response.
func (c *callerRequest) handleLost(ctx context.Context, p *pick, err error) outcome {
	c.lastErr = err
	callerGone := ctx.Err() != nil
	if callerGone && c.server.endpoints.wasTakenBack(p) {
		return c.handleTakenBack(p)
	}
	if !callerGone {
		countEndlessResponse(err, c.query.service)
		event.RelayLost.Log(c.server.opts.Log, c.logAttrs()...)
		c.server.endpoints.recordFailure(p, true)
	}
	if upstream.ClosedByPeer(err) {
		c.checkCrash(p)
	}
	switch {
	case callerGone:
		return outcomeCallerGone
	case c.headerSent:
		return outcomeTruncated
	}
	return outcomeUnknown
}

// handleRefused ends an attempt that the endpoint refused, that is, stated not to
// have executed.
func (c *callerRequest) handleRefused(p *pick, res *upstream.Response, reply Reply) outcome {
	res.RecordRefusal()
	res.Discard(maxRefusalBytes, refusalBodyTime)
	c.lastErr = &RejectedError{Status: res.Status, Misdirected: reply.Misdirected}
	metric.Counter("endpoint_rejections_total", "service", c.query.service, "status", http.StatusText(res.Status)).Inc(1)
	c.server.endpoints.recordRefusal(p, c.query, reply)
	if !reply.Misdirected {
		c.recordRejection()
	}
	return outcomeNotExecuted
}

// Limits of the body of a refusal that is read so that its connection can be reused.
const (
	maxRefusalBytes = 4 << 10
	refusalBodyTime = 50 * time.Millisecond
)

// RejectedError reports that an endpoint refused a request, that is, did not execute
// it.
type RejectedError struct {
	Status      int
	Misdirected bool // another endpoint or another weights version responds at the address
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Misdirected {
		return "another endpoint or another weights version responds at the address"
	}
	return "request refused by the endpoint: " + http.StatusText(e.Status)
}

// buildRequest encodes the request for the endpoint of p.
func (c *callerRequest) buildRequest(p *pick) *upstream.Request {
	d := Dispatch{
		EndpointID: p.spec.ID, Budget: time.Until(c.deadline),
		LastEventID: c.sequence.last, Priority: c.priority(),
	}
	if c.team != nil {
		d.Team = c.team.Name
	}
	if c.call.Prompt != nil {
		d.ModelRequest, d.WeightsVersion = true, p.weights
		d.MovedFrom, d.Handle = p.continuedFrom()
		d.Partition = partitionName(c.call.Prompt.Model, p.weights, c.team)
		c.planCache(p, &d)
	}
	head := make([]byte, 0, 1024)
	head = append(head, c.method...)
	head = append(head, ' ')
	head = append(head, c.requestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, c.host...)
	head = append(head, "\r\n"...)
	head = c.server.opts.Dialect.AppendCallHeaders(head, c.header)
	head = c.server.opts.Dialect.AppendDispatchHeaders(head, &d)
	if len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut {
		head = appendContentLength(head, len(c.body))
	}
	head = append(head, "\r\n"...)
	return &upstream.Request{
		Method: c.method, Head: head, Body: c.body, NewConn: c.needsNewConn(p), Repeatable: c.route.Repeatable(), AttemptID: c.call.AttemptID,
	}
}

// needsNewConn reports whether the request must not be sent on a kept connection: because
// it must not be lost to one that the endpoint closes at that moment, because the
// endpoint has refused it before, and a second response to the earlier attempt has the same
// identifier, or because it has no identifier.
func (c *callerRequest) needsNewConn(p *pick) bool {
	return c.route.Kind == fleet.KindNonIdempotent || c.moved || c.call.AttemptID == "" || slices.Contains(c.query.tried, p.spec.Key())
}

// routePriorities is the number of route priorities within one team priority.
const routePriorities = 3

// priority returns the priority of the request, 0 being the most urgent. It is
// ordered by the team's priority first and the route's second.
func (c *callerRequest) priority() int {
	route := min(c.route.Priority, routePriorities-1)
	if c.team != nil && c.team.Priority >= 0 {
		return c.team.Priority*routePriorities + route
	}
	return route
}

// logServed logs a request that was served and records its duration.
func (c *callerRequest) logServed() {
	attrs := append(c.logAttrs(), slog.Duration("first", c.timeToFirstData))
	if c.route.Kind == fleet.KindStream {
		attrs = append(attrs, c.sequence.logAttrs()...)
	}
	event.RelayServed.Log(c.server.opts.Log, attrs...)
	c.server.answerTimes.record(c.route.Name, time.Since(c.arrivedAt))
	metric.Histogram("answer_ms", "route", c.route.Kind.String(), "service", c.query.service).Update(time.Since(c.arrivedAt).Milliseconds())
}
