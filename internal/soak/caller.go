package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/internal/timer"
)

// callKind is a kind of call. It is also the first segment of the call's path.
type callKind string

const (
	callOpen   callKind = "open"   // may be repeated, needs no token
	callOnce   callKind = "once"   // must run at most once
	callMoved  callKind = "moved"  // may be repeated, on the route that ConfigMove moves
	callStream callKind = "stream" // a stream that must run at most once
	callResume callKind = "resume" // a stream that may be resumed by another run
	callCrash  callKind = "crash"  // crashes each endpoint that runs it; always the same request
	callPart   callKind = "part"   // a stream that may be resumed, of a prompt with a part that crashes engines

	// The kinds of late callers, which need no token. Their endpoints take the time that the path names.
	lateOpen   callKind = "late-open"   // may be repeated
	lateOnce   callKind = "late-once"   // must run at most once
	lateStream callKind = "late-stream" // a stream that must run at most once
	lateResume callKind = "late-resume" // a stream that may be resumed by another run
)

var callKinds = []callKind{callOpen, callOnce, callMoved, callStream, callResume}

// repeatable reports whether a call may run more than once.
func (k callKind) repeatable() bool {
	return k != callOnce && k != callStream && k != lateOnce && k != lateStream
}

// resumable reports whether the answer is a stream that the caller may take up.
func (k callKind) resumable() bool { return k == callResume || k == lateResume }

// public reports whether a call needs no token.
func (k callKind) public() bool { return k == callOpen || k.isLate() }

// isLate reports whether late callers make calls of the kind.
func (k callKind) isLate() bool { return slices.Contains(lateKinds, k) }

// isStream reports whether the answer to a call is a stream.
func (k callKind) isStream() bool {
	return k == callStream || k == callResume || k == callPart || k == lateStream || k == lateResume
}

// callTimeout is the time budget that callers give a request. It is also the timeout
// of the routes.
const callTimeout = 4 * time.Second

// call is a request of a caller and its outcome.
type call struct {
	attemptID   string
	kind        callKind
	path        string
	token       string
	gateway     *gateway
	timeout     time.Duration // within which the caller wants the answer
	connIdle    time.Duration // time for which the connection had been open without a request
	sentAt      time.Time
	endedAt     time.Time
	status      int           // HTTP status, 0 without an answer
	err         error         // of sending the request or reading the answer
	answerFault string        // what is wrong with a successful answer, empty if nothing is
	retryAfter  time.Duration // when a refused call may be sent again

	retry           bool   // an earlier call made the same request
	retryOf         *call  // the call whose refusal this one follows, nil if it follows none
	resumes         *call  // the call that began the stream that this one takes up, nil if it takes up none
	resumedAfter    int    // ID of the last event that the caller had then
	received        string // of a stream, as far as it came
	lastEvent       int    // ID of the last whole event that the caller has, -1 without one
	softwareVersion string // of the endpoint that wrote the first event of the response, empty without one
	mixedVersions   bool   // endpoints of other software versions wrote events of the stream, too
}

// brokeOff reports whether the response is a stream that broke off after an event.
func (c *call) brokeOff() bool { return c.err != nil && c.status == http.StatusOK && c.lastEvent >= 0 }

// complete reports whether the caller got a complete answer or refusal.
func (c *call) complete() bool { return c.status != 0 && c.err == nil }

// promisedNotRun reports whether the answer says that the request was not run.
func (c *call) promisedNotRun() bool {
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// caller sends one request at a time. It keeps its connection to a gateway open until a
// call fails.
type caller struct {
	id        int
	rng       *rand.Rand
	run       *run
	client    *http.Client
	transport transport
	gateway   *gateway                // nil if the next call may go to any
	dialed    atomic.Pointer[gateway] // of the latest call; net/http dials in goroutines of its own
	sentCalls int
}

func newCaller(r *run, id int) *caller {
	c := &caller{id: id, run: r, rng: rand.New(rand.NewPCG(r.opts.Seed, uint64(id)+1))}
	dialer := net.Dialer{Timeout: time.Second}
	c.client = &http.Client{Timeout: callTimeout + time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			g := c.dialed.Load()
			if !g.ready() {
				return nil, &NotReadyError{g.name}
			}
			return dialer.DialContext(ctx, "tcp4", g.callerLink.Addr())
		},
		DisableCompression: true, MaxIdleConns: 1,
	}}
	c.transport = pooled{c}
	return c
}

// transport carries the requests of a caller.
type transport interface {
	do(*http.Request) (*http.Response, error)
	// idle returns how long the open connection has had no request, 0 if that is not known.
	idle() time.Duration
	// disconnect closes the connection, if one is open.
	disconnect()
	// reconnect closes the connection and chooses the gateway of the next one. It returns nil
	// if none takes new connections.
	reconnect() *gateway
}

// pooled is the transport of a caller that connects to ready gateways when it has a request.
type pooled struct{ *caller }

func (p pooled) do(r *http.Request) (*http.Response, error) { return p.client.Do(r) }

func (p pooled) idle() time.Duration { return 0 }

func (p pooled) disconnect() { p.client.CloseIdleConnections() }

func (p pooled) reconnect() *gateway {
	p.disconnect()
	return p.run.readyGateway(p.rng)
}

// NotReadyError reports that a gateway is not ready, so that a load balancer opens no
// new connection to it.
type NotReadyError struct{ Gateway string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Gateway + " is not ready" }

// sharedPromptParts is the number of different first parts of prompts. Callers share
// them.
const sharedPromptParts = 3

// sharedPartTokens is the size of the shared parts, too small for a fetch from an engine.
const sharedPartTokens = 200

// revocableTokenEvery sets the share of callers that use revocableToken: those whose ID
// is a multiple of it.
const revocableTokenEvery = 4

// maxCallPause is the upper bound of the pause between two calls of a caller.
const maxCallPause = 60 * time.Millisecond

// callUntilDone makes calls of random kinds until ctx is done.
func (c *caller) callUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		if c.gateway == nil {
			c.gateway = c.run.readyGateway(c.rng)
		}
		if c.gateway != nil {
			c.callAndRetry(ctx, c.nextKind())
		}
		select {
		case <-ctx.Done():
		case <-time.After(randDuration(c.rng, maxCallPause)):
		}
	}
}

// nextKind returns the kind of the caller's next call. In runs with CacheSteps most are streams.
func (c *caller) nextKind() callKind {
	kinds := callKinds
	if c.run.opts.CacheSteps && c.rng.IntN(otherKindsOneIn) != 0 {
		kinds = []callKind{callStream, callResume}
	}
	return kinds[c.rng.IntN(len(kinds))]
}

// Limits of the retries of a caller.
const (
	maxRetries    = 2
	maxRetryDelay = 400 * time.Millisecond
)

// callAndRetry makes a call and, if the answer promises that it did not run, sends the same
// request again, on a new connection and under a new attempt ID.
func (c *caller) callAndRetry(ctx context.Context, kind callKind) {
	c.retryRefused(ctx, c.call(kind))
}

// retryRefused sends the request of a call again as callAndRetry does.
func (c *caller) retryRefused(ctx context.Context, cl *call) {
	if cl.kind.resumable() && cl.brokeOff() && !cl.lacksOnlyEnd() {
		c.takeUp(ctx, cl)
		return
	}
	for range maxRetries {
		if !cl.promisedNotRun() || !timer.Sleep(ctx, min(cl.retryAfter, maxRetryDelay)) {
			return
		}
		if c.gateway = c.transport.reconnect(); c.gateway == nil {
			return
		}
		next := c.newCall(cl.kind, cl.path)
		next.retry, next.retryOf, next.timeout = true, cl, cl.timeout
		cl = c.send(next)
	}
}

// takeUp sends calls that take up a stream that has broken off, each at any gateway, until it
// is whole.
func (c *caller) takeUp(ctx context.Context, first *call) {
	last := first
	for range maxRetries {
		if !timer.Sleep(ctx, min(last.retryAfter, maxRetryDelay)) {
			return
		}
		if c.gateway = c.transport.reconnect(); c.gateway == nil {
			return
		}
		next := c.newCall(first.kind, first.path)
		next.timeout = first.timeout
		next.retry, next.resumes, next.resumedAfter, next.lastEvent = true, first, last.lastEvent, last.lastEvent
		c.send(next)
		if next.complete() && next.status == http.StatusOK {
			return
		}
		last = next
	}
}

// call makes one call of a new request and records it.
func (c *caller) call(kind callKind) *call {
	switch kind {
	case callCrash:
		return c.send(c.newCall(kind, "/crash/the-same"))
	case callPart:
		return c.send(c.newCall(kind, fmt.Sprintf("/%s/part-%d-%d", callResume, c.id, c.sentCalls)))
	}
	return c.send(c.newCall(kind, fmt.Sprintf("/%s/%d-%d", kind, c.id, c.sentCalls)))
}

// newCall returns a call of the request with the given path, under a new attempt ID.
func (c *caller) newCall(kind callKind, path string) *call {
	cl := &call{attemptID: fmt.Sprintf("a-%d-%d", c.id, c.sentCalls), kind: kind, gateway: c.gateway, path: path, token: token, timeout: callTimeout, lastEvent: -1}
	if c.id%revocableTokenEvery == 0 {
		cl.token = revocableToken
	}
	c.sentCalls++
	return cl
}

// send sends a call, records it and returns it.
func (c *caller) send(cl *call) *call {
	c.dialed.Store(c.gateway)
	c.run.callLog.begin(cl)
	c.exchange(cl)
	if cl.err != nil {
		// The next call connects to any ready gateway, as a load balancer would.
		c.transport.disconnect()
		c.gateway = nil
	}
	c.run.callLog.end(cl)
	return cl
}

// exchange sends the request of a call and records the outcome in it.
func (c *caller) exchange(cl *call) {
	method, body := http.MethodPost, "body of "+cl.path
	switch cl.kind {
	case callOpen, callMoved, lateOpen:
		method, body = http.MethodGet, ""
	case callCrash:
		body = fleetworker.CrashBody
	}
	request := fleetwire.Call{
		Attempt: cl.attemptID, Method: method, Host: host, Path: cl.path, Body: body, Token: cl.token, Timeout: cl.timeout,
	}
	if cl.kind.public() {
		request.Token = ""
	}
	if cl.kind.isStream() {
		part, shared := c.id%sharedPromptParts, sharedPartTokens
		if c.run.opts.CacheSteps && !cl.kind.isLate() {
			part, shared = c.run.longPart(c.id), longPartTokens
		}
		parts := []string{fmt.Sprintf("%x:%d", part, shared)}
		if cl.kind == callPart {
			parts = append(parts, fleetworker.CrashPart+":100")
		}
		parts = append(parts, fmt.Sprintf("%x:100", c.id*1000+c.sentCalls))
		request.Prompt = &fleetwire.Prompt{Model: model, Input: shared + 200, Output: 20, Parts: parts}
		if cl.kind.isLate() {
			request.Prompt.Model = lateModel
		}
	}
	if cl.resumes != nil {
		request.Resume = &fleetwire.Resumption{Attempt: cl.resumes.attemptID, LastEvent: cl.resumedAfter}
	}
	req, err := request.Request()
	if err != nil {
		cl.err = err
		return
	}
	cl.connIdle = c.transport.idle()
	res, err := c.transport.do(req)
	if err != nil {
		cl.err = err
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	cl.status, cl.err = res.StatusCode, err
	// Without a valid value, the call is sent again at once.
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	cl.retryAfter = time.Duration(seconds * float64(time.Second))
	if res.StatusCode == http.StatusOK && cl.kind.isStream() {
		cl.recordEvents(string(data))
	}
	if res.StatusCode/100 == 2 {
		cl.answerFault = answerMismatch(cl, method, body, res.Header, string(data))
	}
}

// answerMismatch describes what is wrong with a successful answer to a call. It
// returns an empty string if nothing is. An answer that was cut off must be the
// beginning of the expected answer.
func answerMismatch(c *call, method, body string, h http.Header, got string) string {
	if !fleetwire.IsResponseTo(h, c.attemptID) {
		return "the successful answer is not marked by an endpoint, or answers another request"
	}
	want := fleetworker.AnswerBody(method, c.path, []byte(body))
	if c.kind.isStream() {
		want = c.expectedEvents()
	}
	if c.mixedVersions {
		return "" // reported as such
	}
	if c.err == nil && got != want {
		return fmt.Sprintf("the answer is %q, want %q", got, want)
	}
	if c.err != nil && !strings.HasPrefix(want, got[:completeEventsLen(got)]) {
		return fmt.Sprintf("the truncated answer is %q, want a prefix of %q", got, want)
	}
	return ""
}

// expectedEvents returns the events that are due to a call: those of one software version,
// which for a stream that is taken up is the one that began it.
func (c *call) expectedEvents() string {
	version, first := c.softwareVersion, 0
	if c.resumes != nil {
		version, first = c.resumes.softwareVersion, c.resumedAfter+1
	}
	events := ""
	for id := first; id < streamEvents; id++ {
		events += fleetworker.StreamEvent(c.path, version, id)
	}
	return events
}

// recordEvents records which events of a stream the caller has got.
func (c *call) recordEvents(got string) {
	c.received = got
	got = got[:completeEventsLen(got)]
	if n := strings.Count(got+"\n", "\n\n"); n > 0 {
		c.softwareVersion = fleetworker.EventSoftwareVersion(got)
		c.lastEvent += n
	}
	began := c.softwareVersion
	if c.resumes != nil {
		began = c.resumes.softwareVersion
	}
	for len(got) > 1 {
		if version := fleetworker.EventSoftwareVersion(got); version != began {
			c.mixedVersions = true
		}
		_, got, _ = strings.Cut(got, "\n\n")
	}
}

// completeEventsLen returns the length in bytes of the complete events at the start
// of a stream, without the newline that ends the last one.
func completeEventsLen(s string) int { return strings.LastIndex(s, "\n\n") + 1 }

// timedOut reports whether err is a timeout of the caller.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// callLog records all calls of a run. It is safe for concurrent use.
type callLog struct {
	mu      sync.Mutex
	calls   map[string]*call // by attempt ID
	pending map[string]bool  // calls that have not ended, by attempt ID
}

func newCallLog() *callLog { return &callLog{calls: map[string]*call{}, pending: map[string]bool{}} }

// begin records that a call is being sent.
func (l *callLog) begin(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sentAt = time.Now()
	l.calls[c.attemptID] = c
	l.pending[c.attemptID] = true
}

// end records that a call has ended.
func (l *callLog) end(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.endedAt = time.Now()
	delete(l.pending, c.attemptID)
}

// snapshot returns copies of the maps of all calls and of pending calls. Pending
// calls may still change.
func (l *callLog) snapshot() (calls map[string]*call, pending map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls, pending = make(map[string]*call, len(l.calls)), make(map[string]bool, len(l.pending))
	for a, c := range l.calls {
		calls[a] = c
	}
	for a := range l.pending {
		pending[a] = true
	}
	return calls, pending
}
