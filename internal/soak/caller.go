package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
)

// callKind is a kind of call; it is also the first part of its path.
type callKind string

const (
	callOpen   callKind = "open"   // may be repeated, without a token
	callOnce   callKind = "once"   // must not run twice
	callMoved  callKind = "moved"  // to the route that moves
	callStream callKind = "stream" // must not run twice
	callResume callKind = "resume" // a stream that may be resumed
)

var callKinds = []callKind{callOpen, callOnce, callMoved, callStream, callResume}

// repeatable reports whether a call may run more than once.
func (k callKind) repeatable() bool { return k != callOnce && k != callStream }

// answerTime is what callers give a request.
const answerTime = 4 * time.Second

// call is a request of a caller and what became of it.
type call struct {
	attempt string
	kind    callKind
	path    string
	token   string
	gateway *gateway
	sent    time.Time
	ended   time.Time
	status  int // 0 without an answer
	err     error
	fault   string // what is wrong with the answer, empty if nothing
}

// whole reports whether the caller got a whole answer or an orderly refusal.
func (c *call) whole() bool { return c.status != 0 && c.err == nil }

// promised reports whether the answer says that the request does not run.
func (c *call) promised() bool {
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// caller sends requests one after the other. Its connection stays open until
// the process at its other end is gone.
type caller struct {
	id      int
	rng     *rand.Rand
	run     *run
	client  *http.Client
	gateway *gateway
	sent    int
}

func newCaller(r *run, id int) *caller {
	c := &caller{id: id, run: r, rng: rand.New(rand.NewPCG(r.o.Seed, uint64(id)+1))}
	dialer := net.Dialer{Timeout: time.Second}
	c.client = &http.Client{Timeout: answerTime + time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !c.gateway.ready() {
				return nil, &NotReadyError{c.gateway.name}
			}
			return dialer.DialContext(ctx, "tcp4", c.gateway.callers.Addr())
		},
		DisableCompression: true, MaxIdleConns: 1,
	}}
	return c
}

// NotReadyError reports that the balancer sends no new connection to a gateway.
type NotReadyError struct{ Gateway string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Gateway + " is not ready" }

// sharedParts is how many different parts prompts begin with.
const sharedParts = 3

// withdrawnEvery is one of how many callers has the token that is withdrawn.
const withdrawnEvery = 4

// callPause is the most time between two calls of a caller.
const callPause = 60 * time.Millisecond

// loop calls until ctx ends.
func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if c.gateway == nil {
			c.gateway = c.run.readyGateway(c.rng)
		}
		if c.gateway != nil {
			c.call(callKinds[c.rng.IntN(len(callKinds))])
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand64(c.rng, callPause)):
		}
	}
}

// call makes one request and records it.
func (c *caller) call(kind callKind) *call {
	k := &call{
		attempt: fmt.Sprintf("a-%d-%d", c.id, c.sent), kind: kind, gateway: c.gateway,
		path: fmt.Sprintf("/%s/%d-%d", kind, c.id, c.sent), token: token,
	}
	if c.id%withdrawnEvery == 0 {
		k.token = withdrawn
	}
	c.sent++
	c.run.record.begin(k)
	c.exchange(k)
	if k.err != nil {
		// The next request goes where the balancer sends it.
		c.client.CloseIdleConnections()
		c.gateway = nil
	}
	c.run.record.end(k)
	return k
}

func (c *caller) exchange(k *call) {
	method, body := http.MethodPost, "body of "+k.attempt
	if k.kind == callOpen || k.kind == callMoved {
		method, body = http.MethodGet, ""
	}
	request := fleetwire.Call{
		Attempt: k.attempt, Method: method, Host: host, Path: k.path, Body: body, Token: k.token, Timeout: answerTime,
	}
	if k.kind == callOpen {
		request.Token = ""
	}
	if k.kind == callStream || k.kind == callResume {
		shared, own := c.id%sharedParts, c.id*1000+c.sent
		request.Prompt = &fleetwire.Prompt{
			Model: model, Input: 300, Output: 20, Parts: []string{fmt.Sprintf("%x:200", shared), fmt.Sprintf("%x:100", own)},
		}
	}
	req, err := request.Request()
	if err != nil {
		k.err = err
		return
	}
	res, err := c.client.Do(req)
	if err != nil {
		k.err = err
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	k.status, k.err = res.StatusCode, err
	if res.StatusCode/100 == 2 {
		k.fault = wrong(k, method, body, res.Header, string(data))
	}
}

// wrong tells what is wrong with a success.
func wrong(k *call, method, body string, h http.Header, got string) string {
	if !fleetwire.IsResponseTo(h, k.attempt) {
		return "the success bears no mark of an endpoint, or answers another request"
	}
	want := ""
	switch k.kind {
	case callStream, callResume:
		for id := range streamEvents {
			want += fleetworker.StreamEvent(k.path, id)
		}
	default:
		want = fleetworker.AnswerBody(method, k.path, []byte(body))
	}
	if k.err == nil && got != want {
		return fmt.Sprintf("the answer is %q, want %q", got, want)
	}
	if k.err != nil && !strings.HasPrefix(want, got[:wholeEvents(got)]) {
		return fmt.Sprintf("the broken answer begins with %q, want a part of %q", got, want)
	}
	return ""
}

// wholeEvents returns the length of the whole events at the start of a stream.
func wholeEvents(s string) int { return strings.LastIndex(s, "\n\n") + 1 }

// timedOut reports whether an error is a caller's own time running out.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// record holds all calls of a run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	calls map[string]*call // by attempt
	open  map[string]bool
}

func newRecord() *record { return &record{calls: map[string]*call{}, open: map[string]bool{}} }

func (r *record) begin(k *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.sent = time.Now()
	r.calls[k.attempt] = k
	r.open[k.attempt] = true
}

func (r *record) end(k *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.ended = time.Now()
	delete(r.open, k.attempt)
}

// all returns the calls by attempt; those that have not ended may change.
func (r *record) all() (calls map[string]*call, open map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls, open = make(map[string]*call, len(r.calls)), make(map[string]bool, len(r.open))
	for a, k := range r.calls {
		calls[a] = k
	}
	for a := range r.open {
		open[a] = true
	}
	return calls, open
}
