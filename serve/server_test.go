package serve

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/contract"
	"redwingknot/engine"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/metastore/metastoretest"
	"redwingknot/note"
)

// texts joins the tokens of a stream and says whether it is whole.
func texts(t *testing.T, body string) (string, bool) {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String(), false
}

func TestChatAnswersWhole(t *testing.T) {
	b := newBed(t, enginestandin.Options{}, enginestandin.Options{})
	body := chatJSON("where is the exit", true)
	got := b.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	text, whole := texts(t, got.body)
	assert.Assert(t, whole)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 8))

	body = chatJSON("where is the exit", false)
	got = b.do("POST", "/v1/chat/completions", teamToken, body)
	var c completion
	assert.NilError(t, json.Unmarshal([]byte(got.body), &c))
	assert.Equal(t, c.Choices[0].Message.Content, enginestandin.Answer([]byte(body), "v1", 8))
	assert.Equal(t, c.Choices[0].FinishReason, "stop")
}

// TestAnswerGoesOnElsewhere cuts the engine that generates and expects every
// token once.
func TestAnswerGoesOnElsewhere(t *testing.T) {
	o := enginestandin.Options{TokenInterval: 20 * time.Millisecond, AnswerTokens: 20}
	b := newBed(t, o, o)
	body := chatJSON("a long answer", true)
	done := make(chan answer, 1)
	go func() { done <- b.do("POST", "/v1/chat/completions", teamToken, body) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return b.cutBusyEngine() }, poll.WithDelay(5*time.Millisecond))
	got := <-done
	text, whole := texts(t, got.body)
	assert.Assert(t, whole, got.body)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 20))
}

func (b *bed) cutBusyEngine() poll.Result {
	for name, e := range b.state.Endpoints {
		if e.Service != "llm" {
			continue
		}
		r, err := b.server.engineOf(name).Report(b.t.Context())
		if err != nil || r.Running == 0 {
			continue
		}
		for _, h := range b.hosts {
			if h.URL == e.URL {
				h.CloseClientConnections()
				return poll.Success()
			}
		}
	}
	return poll.Continue("no engine is busy")
}

// TestSwapKeepsServing swaps the weight version: until an engine has the new
// one, requests are answered by the one before; then by the new one.
func TestSwapKeepsServing(t *testing.T) {
	b := newBed(t, enginestandin.Options{}, enginestandin.Options{})
	body := chatJSON(strings.Repeat("across a swap ", 1000), true)
	next := *b.state
	next.Head++
	next.Models = map[string]note.Model{"m": {Name: "m", Version: "v2", PieceBytes: 8000, BlockBytes: 1 << 10}}
	b.state = &next
	b.server.o.Services.Apply(b.state)
	got := b.do("POST", "/v1/chat/completions", teamToken, body)
	text, whole := texts(t, got.body)
	assert.Assert(t, whole, got.body)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 8))

	assert.NilError(t, b.server.engineOf("engine-0").Order(t.Context(), engine.Order{Fence: 1, Model: "m", Version: "v2"}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.poll()
		got := b.do("POST", "/v1/chat/completions", teamToken, body)
		if text, whole := texts(t, got.body); whole && text == enginestandin.Answer([]byte(body), "v2", 8) {
			return poll.Success()
		}
		return poll.Continue("not yet answered by v2: %s", got.body)
	}, poll.WithTimeout(30*time.Second))
}

// TestSwapWithLateReports asks while the last report of one engine is from
// before it had loaded and the other engine loads: the first answers.
func TestSwapWithLateReports(t *testing.T) {
	b := newBed(t, enginestandin.Options{LoadTime: 50 * time.Millisecond}, enginestandin.Options{LoadTime: time.Hour})
	next := *b.state
	next.Head++
	next.Models = map[string]note.Model{"m": {Name: "m", Version: "v2", PieceBytes: 8000, BlockBytes: 1 << 10}}
	b.state = &next
	b.server.o.Services.Apply(b.state)
	for _, name := range []string{"engine-0", "engine-1"} {
		assert.NilError(t, b.server.engineOf(name).Order(t.Context(), engine.Order{Fence: 1, Model: "m", Version: "v2"}))
	}
	loading := engine.Report{Model: "m", Version: "v1", Loading: "v2", At: time.Now()}
	b.server.o.Services.ObserveReport("llm", "engine-0", loading, time.Now())
	b.server.o.Services.ObserveReport("llm", "engine-1", loading, time.Now())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r, err := b.server.engineOf("engine-0").Report(t.Context())
		if err == nil && r.Version == "v2" {
			return poll.Success()
		}
		return poll.Continue("engine-0 is loading: %v", err)
	}, poll.WithTimeout(30*time.Second))
	body := chatJSON("during a swap", true)
	got := b.do("POST", "/v1/chat/completions", teamToken, body)
	text, whole := texts(t, got.body)
	assert.Assert(t, whole, got.body)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v2", 8))
}

// TestCrashingRequestIsRefused sends a request that crashes every engine which
// runs it: two engines end, the rest go on, and the request is never run again.
func TestCrashingRequestIsRefused(t *testing.T) {
	b := newBed(t, make([]enginestandin.Options, 5)...)
	body := chatJSON(enginestandin.CrashWord, true)
	for range 6 {
		b.do("POST", "/v1/chat/completions", teamToken, body)
		b.poll()
	}
	got := b.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Assert(t, strings.Contains(got.body, string(contract.ReasonSuspectRefused)))
	left := 0
	for name, e := range b.state.Endpoints {
		if e.Service != "llm" {
			continue
		}
		if _, err := b.server.engineOf(name).Report(t.Context()); err == nil {
			left++
		}
	}
	assert.Equal(t, left, 3)
	ok := b.do("POST", "/v1/chat/completions", teamToken, chatJSON("an innocent question", true))
	assert.Equal(t, ok.status, http.StatusOK, ok.body)
}

// TestDoubtedCacheIsBroughtBack expects blocks that an engine may have evicted
// to be brought back, although the router takes them for cached.
func TestDoubtedCacheIsBroughtBack(t *testing.T) {
	b := newBed(t, enginestandin.Options{})
	k := &keptKeeper{}
	b.server.o.Keeper = k
	body := chatJSON(strings.Repeat("a long prompt ", 2000), true)
	ask := func() {
		got := b.do("POST", "/v1/chat/completions", teamToken, body)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	ask()
	ask()
	assert.Equal(t, len(k.brought), 0)
	svc := b.server.o.Services.Get("llm")
	svc.mu.Lock()
	svc.chains = recentChains{} // as after a long gap
	svc.mu.Unlock()
	ask()
	assert.DeepEqual(t, k.brought, []int{0})
}

func TestNonIdempotentCallRunsOnce(t *testing.T) {
	b := newBed(t)
	key := uuid.Must(uuid.NewV7()).String()
	first := b.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, first.status, http.StatusCreated, first.body)
	again := b.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, again.status, http.StatusCreated)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Idempotent-Replayed"), "true")
	reused := b.do("POST", "/svc/app/certificates", teamToken, "asha", HeaderIdempotencyKey, key)
	assert.Assert(t, strings.Contains(reused.body, string(contract.ReasonKeyReused)), reused.body)
	assert.Equal(t, len(b.app.Runs()), 1)
}

// TestAnswerDoesNotWaitForThePlatform loses the platform between the claim and
// the record of the answer. The deadline is longer than the test may take.
func TestAnswerDoesNotWaitForThePlatform(t *testing.T) {
	b := newBed(t)
	b.state.Classes["question"] = contract.Class{Name: "question", Worth: 1, FirstIn: time.Second, Deadline: time.Hour}
	var writes atomic.Int64
	b.kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
		if op.Write && writes.Add(1) > 1 {
			return metastoretest.NotSent
		}
		return metastoretest.NoFault
	})
	key := uuid.Must(uuid.NewV7()).String()
	got := b.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, got.status, http.StatusCreated, got.body)
	b.kv.SetHook(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again := b.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
		if again.status == http.StatusCreated && again.body == got.body {
			return poll.Success()
		}
		return poll.Continue("status %d", again.status)
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, len(b.app.Runs()), 1)
}

func TestUnreachablePlatformRefusesUnrun(t *testing.T) {
	b := newBed(t)
	b.kv.Store().SetDown(true)
	key := uuid.Must(uuid.NewV7()).String()
	got := b.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(t, strings.Contains(got.body, `"ran":"not-run"`), got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(b.app.Runs()), 0)
}

func TestBadInputIsRefused(t *testing.T) {
	b := newBed(t, enginestandin.Options{})
	for _, c := range []struct {
		name, method, path, token, body string
		header                          []string
		status                          int
		reason                          contract.Reason
	}{
		{"no token", "POST", "/v1/chat/completions", "", chatJSON("x", true), nil, 401, contract.ReasonUnauthenticated},
		{"wrong token", "POST", "/v1/chat/completions", "nobody", chatJSON("x", true), nil, 401, contract.ReasonUnauthenticated},
		{"another team's service", "POST", "/v1/chat/completions", otherToken, chatJSON("x", true), nil, 403, contract.ReasonForbidden},
		{"no JSON", "POST", "/v1/chat/completions", teamToken, "{", nil, 400, contract.ReasonMalformed},
		{"no messages", "POST", "/v1/chat/completions", teamToken, `{"model":"llm"}`, nil, 400, contract.ReasonMalformed},
		{"unknown model", "POST", "/v1/chat/completions", teamToken, `{"model":"x","messages":[{"role":"user","content":"x"}]}`, nil, 404, contract.ReasonUnknownModel},
		{"unknown adapter", "POST", "/v1/chat/completions", teamToken, `{"model":"llm/x","messages":[{"role":"user","content":"x"}]}`, nil, 404, contract.ReasonUnknownModel},
		{"unknown class", "POST", "/v1/chat/completions", teamToken, chatJSON("x", true), []string{HeaderClass, "gold"}, 403, contract.ReasonForbidden},
		{"too large", "POST", "/v1/chat/completions", teamToken, chatJSON(strings.Repeat("x", 1<<20), true), nil, 413, contract.ReasonTooLarge},
		{"spent budget", "POST", "/v1/chat/completions", teamToken, chatJSON("x", true), []string{"X-Request-Budget-Ms", "0"}, 504, contract.ReasonDeadline},
		{"malformed budget", "POST", "/v1/chat/completions", teamToken, chatJSON("x", true), []string{"X-Request-Budget-Ms", "soon"}, 400, contract.ReasonMalformed},
		{"unknown service", "GET", "/svc/none/x", teamToken, "", nil, 404, contract.ReasonUnknownService},
		{"unknown call", "DELETE", "/svc/app/certificates", teamToken, "", nil, 404, contract.ReasonUnknownCall},
		{"no key", "POST", "/svc/app/certificates", teamToken, "x", nil, 400, contract.ReasonKeyMissing},
		{"malformed key", "POST", "/svc/app/certificates", teamToken, "x", []string{HeaderIdempotencyKey, "7"}, 400, contract.ReasonKeyInvalid},
		{"unknown path", "GET", "/nothing", teamToken, "", nil, 404, contract.ReasonUnknownCall},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := b.do(c.method, c.path, c.token, c.body, c.header...)
			var p problem
			assert.NilError(t, json.Unmarshal([]byte(got.body), &p), got.body)
			assert.Equal(t, got.header.Get("Content-Type"), problemType)
			assert.Equal(t, p.Reason, string(c.reason))
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, p.Ran, string(contract.NotRun))
		})
	}
	assert.Equal(t, len(b.app.Runs()), 0)
}

// TestServiceWithoutRouterIsNotReady asks for services that the configuration
// has and whose routers are still to be made.
func TestServiceWithoutRouterIsNotReady(t *testing.T) {
	b := newBed(t, enginestandin.Options{})
	b.server.o.Services = NewServices(ServicesOptions{})
	for _, got := range []answer{
		b.do("POST", "/v1/chat/completions", teamToken, chatJSON("x", true)),
		b.do("GET", "/svc/app/roster/juma", teamToken, ""),
	} {
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(contract.ReasonNotReady)), got.body)
	}
}

// TestSlowBodyIsRefused sends a part of a body and no more.
func TestSlowBodyIsRefused(t *testing.T) {
	b := newBed(t, enginestandin.Options{})
	b.server.o.BodyTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamToken+"\r\nContent-Length: 100\r\n\r\n{")
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(got), string(contract.ReasonSlowBody)), string(got))
}

// TestCallerThatDoesNotRead expects an attempt whose caller takes nothing to be
// ended, and not to be repeated: the engine is not at fault.
func TestCallerThatDoesNotRead(t *testing.T) {
	b := newBed(t, enginestandin.Options{AnswerTokens: 1 << 20}, enginestandin.Options{AnswerTokens: 1 << 20})
	b.server.o.StallTimeout = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	body := chatJSON("endless", true)
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamToken+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	attempts := func() int {
		b.server.traces.mu.Lock()
		defer b.server.traces.mu.Unlock()
		for _, tr := range b.server.traces.byID {
			return len(tr.Attempts)
		}
		return 0
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if attempts() > 0 {
			return poll.Success()
		}
		return poll.Continue("the request goes on")
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, attempts(), 1)
}

// TestKeptConnectionServesAgain sends another request on a connection after the
// time that the caller of a stream had to take a token.
func TestKeptConnectionServesAgain(t *testing.T) {
	b := newBed(t, enginestandin.Options{})
	b.server.o.StallTimeout = 50 * time.Millisecond
	got := b.do("POST", "/v1/chat/completions", teamToken, chatJSON("again", true))
	_, whole := texts(t, got.body)
	assert.Assert(t, whole, got.body)
	time.Sleep(2 * b.server.o.StallTimeout)
	assert.Equal(t, b.do("GET", "/svc/app/roster/juma", teamToken, "").status, http.StatusOK)
}

// TestCallerThatLeavesCancels expects the engine to stop for a caller that is
// gone.
func TestCallerThatLeavesCancels(t *testing.T) {
	b := newBed(t, enginestandin.Options{TokenInterval: 10 * time.Millisecond, AnswerTokens: 10000})
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	body := chatJSON("forever", true)
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamToken+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	running := func(want int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			r, err := b.server.engineOf("engine-0").Report(t.Context())
			if err == nil && r.Running == want {
				return poll.Success()
			}
			return poll.Continue("running %d", r.Running)
		}
	}
	poll.WaitOn(t, running(1))
	conn.Close()
	poll.WaitOn(t, running(0))
}

func TestDrainLetsRunningRequestsEnd(t *testing.T) {
	b := newBed(t, enginestandin.Options{TokenInterval: 10 * time.Millisecond, AnswerTokens: 30})
	body := chatJSON("until the end", true)
	done := make(chan answer, 1)
	go func() { done <- b.do("POST", "/v1/chat/completions", teamToken, body) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r, err := b.server.engineOf("engine-0").Report(t.Context()); err == nil && r.Running == 1 {
			return poll.Success()
		}
		return poll.Continue("not running")
	})
	assert.NilError(t, b.server.Drain(t.Context()))
	_, whole := texts(t, (<-done).body)
	assert.Assert(t, whole)
	refused := b.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Assert(t, strings.Contains(refused.body, string(contract.ReasonDraining)))
}

func TestExplainNeedsTheOperators(t *testing.T) {
	b := newBed(t, enginestandin.Options{})
	got := b.do("POST", "/v1/chat/completions", teamToken, chatJSON("x", true), HeaderExplain, "1")
	tr, ok := b.server.traces.find(got.header.Get(HeaderRequestID))
	assert.Assert(t, ok)
	assert.Equal(t, tr.Attempts[0].Outcome, "whole")
	assert.Equal(t, len(tr.Attempts[0].Considered), 1)
	h := b.server.RequireOperator(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("let through") }))
	req, err := http.NewRequest("GET", "/operator/status", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+teamToken)
	h.ServeHTTP(&discardWriter{}, req)
}

type discardWriter struct{}

func (*discardWriter) Header() http.Header         { return http.Header{} }
func (*discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardWriter) WriteHeader(int)             {}
