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

// streamText returns the concatenated tokens of a streamed answer and whether the
// answer is complete.
func streamText(t *testing.T, body string) (string, bool) {
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

func TestChatCompletion(t *testing.T) {
	f := newFixture(t, enginestandin.Options{}, enginestandin.Options{})
	body := chatJSON("where is the exit", true)
	got := f.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	text, complete := streamText(t, got.body)
	assert.Assert(t, complete)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 8))

	body = chatJSON("where is the exit", false)
	got = f.do("POST", "/v1/chat/completions", teamToken, body)
	var c completion
	assert.NilError(t, json.Unmarshal([]byte(got.body), &c))
	assert.Equal(t, c.Choices[0].Message.Content, enginestandin.Answer([]byte(body), "v1", 8))
	assert.Equal(t, c.Choices[0].FinishReason, "stop")
}

// TestStreamResumesAtAnotherEndpoint closes the connections of the engine that is
// generating. The answer must continue at the other engine with every token once.
func TestStreamResumesAtAnotherEndpoint(t *testing.T) {
	o := enginestandin.Options{TokenInterval: 20 * time.Millisecond, AnswerTokens: 20}
	f := newFixture(t, o, o)
	body := chatJSON("a long answer", true)
	done := make(chan response, 1)
	go func() { done <- f.do("POST", "/v1/chat/completions", teamToken, body) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return f.closeBusyEngineConns() }, poll.WithDelay(5*time.Millisecond))
	got := <-done
	text, complete := streamText(t, got.body)
	assert.Assert(t, complete, got.body)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 20))
}

// closeBusyEngineConns closes the connections of an engine that is running a
// request. It is a check for poll.WaitOn.
func (f *fixture) closeBusyEngineConns() poll.Result {
	for name, e := range f.state.Endpoints {
		if e.Service != "llm" {
			continue
		}
		r, err := f.server.engineClient(name).Report(f.t.Context())
		if err != nil || r.Running == 0 {
			continue
		}
		for _, h := range f.httpServers {
			if h.URL == e.URL {
				h.CloseClientConnections()
				return poll.Success()
			}
		}
	}
	return poll.Continue("no engine is busy")
}

// TestVersionSwapKeepsServing changes the weight version in force. Until an engine
// has loaded the new version, requests must be answered with the previous one, and
// after that with the new one.
func TestVersionSwapKeepsServing(t *testing.T) {
	f := newFixture(t, enginestandin.Options{}, enginestandin.Options{})
	keeper := &recordingKeeper{}
	f.server.opts.Keeper = keeper
	body := chatJSON(strings.Repeat("across a swap ", 1000), true)
	next := *f.state
	next.Head++
	next.Models = map[string]note.Model{"m": {Name: "m", Version: "v2", PieceBytes: 8000, BlockBytes: 1 << 10}}
	f.state = &next
	f.server.opts.Services.Apply(f.state)
	got := f.do("POST", "/v1/chat/completions", teamToken, body)
	text, complete := streamText(t, got.body)
	assert.Assert(t, complete, got.body)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 8))
	assert.DeepEqual(t, keeper.answered, []engine.Weights{{Model: "m", Version: "v1"}})

	assert.NilError(t, f.server.engineClient("engine-0").Order(t.Context(), engine.Order{Fence: 1, Model: "m", Version: "v2"}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.observeReports()
		got := f.do("POST", "/v1/chat/completions", teamToken, body)
		if text, complete := streamText(t, got.body); complete && text == enginestandin.Answer([]byte(body), "v2", 8) {
			return poll.Success()
		}
		return poll.Continue("the answer is not from version v2 yet: %s", got.body)
	}, poll.WithTimeout(30*time.Second))
}

// TestVersionSwapWithStaleReport sends a request when one engine has loaded the new
// version but its last report is from before that, and the other engine is still
// loading. The engine that has loaded must answer.
func TestVersionSwapWithStaleReport(t *testing.T) {
	f := newFixture(t, enginestandin.Options{LoadTime: 50 * time.Millisecond}, enginestandin.Options{LoadTime: time.Hour})
	next := *f.state
	next.Head++
	next.Models = map[string]note.Model{"m": {Name: "m", Version: "v2", PieceBytes: 8000, BlockBytes: 1 << 10}}
	f.state = &next
	f.server.opts.Services.Apply(f.state)
	for _, name := range []string{"engine-0", "engine-1"} {
		assert.NilError(t, f.server.engineClient(name).Order(t.Context(), engine.Order{Fence: 1, Model: "m", Version: "v2"}))
	}
	loading := engine.Report{Model: "m", Version: "v1", Loading: "v2", At: time.Now()}
	f.server.opts.Services.ObserveReport("llm", "engine-0", loading, time.Now())
	f.server.opts.Services.ObserveReport("llm", "engine-1", loading, time.Now())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r, err := f.server.engineClient("engine-0").Report(t.Context())
		if err == nil && r.Version == "v2" {
			return poll.Success()
		}
		return poll.Continue("engine-0 has not loaded v2 yet: %v", err)
	}, poll.WithTimeout(30*time.Second))
	body := chatJSON("during a swap", true)
	got := f.do("POST", "/v1/chat/completions", teamToken, body)
	text, complete := streamText(t, got.body)
	assert.Assert(t, complete, got.body)
	assert.Equal(t, text, enginestandin.Answer([]byte(body), "v2", 8))
}

// TestCrashingRequestIsRefused repeatedly sends a request that crashes every engine
// that runs it. After two engines have crashed, the request must be refused without
// running again, and the other engines must keep running.
func TestCrashingRequestIsRefused(t *testing.T) {
	f := newFixture(t, make([]enginestandin.Options, 5)...)
	body := chatJSON(enginestandin.CrashWord, true)
	for range 6 {
		f.do("POST", "/v1/chat/completions", teamToken, body)
		f.observeReports()
	}
	got := f.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Assert(t, strings.Contains(got.body, string(contract.ReasonSuspectRefused)))
	running := 0
	for name, e := range f.state.Endpoints {
		if e.Service != "llm" {
			continue
		}
		if _, err := f.server.engineClient(name).Report(t.Context()); err == nil {
			running++
		}
	}
	assert.Equal(t, running, 3)
	ok := f.do("POST", "/v1/chat/completions", teamToken, chatJSON("an innocent question", true))
	assert.Equal(t, ok.status, http.StatusOK, ok.body)
}

// TestUncertainCacheCausesBringBack tests that blocks are brought back if the engine
// may have evicted them, although the router takes them for cached.
func TestUncertainCacheCausesBringBack(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	keeper := &recordingKeeper{}
	f.server.opts.Keeper = keeper
	body := chatJSON(strings.Repeat("a long prompt ", 2000), true)
	ask := func() {
		got := f.do("POST", "/v1/chat/completions", teamToken, body)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	ask()
	ask()
	assert.Equal(t, len(keeper.cachedPieces), 0)
	svc := f.server.opts.Services.Get("llm")
	svc.mu.Lock()
	svc.chains = recentChains{} // as if the prompt had not been run for a long time
	svc.mu.Unlock()
	ask()
	assert.DeepEqual(t, keeper.cachedPieces, []int{0})
}

func TestNonIdempotentCallRunsOnce(t *testing.T) {
	f := newFixture(t)
	key := uuid.Must(uuid.NewV7()).String()
	first := f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, first.status, http.StatusCreated, first.body)
	again := f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, again.status, http.StatusCreated)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Idempotent-Replayed"), "true")
	reused := f.do("POST", "/svc/app/certificates", teamToken, "asha", HeaderIdempotencyKey, key)
	assert.Assert(t, strings.Contains(reused.body, string(contract.ReasonKeyReused)), reused.body)
	assert.Equal(t, len(f.app.Runs()), 1)
}

// TestAnswerDoesNotWaitForThePlatform makes the platform unreachable after the call
// is claimed and before its answer is recorded. The answer must arrive without
// waiting for the record. The deadline of the request is longer than the test's
// time limit, so that a wait until the deadline would fail the test.
func TestAnswerDoesNotWaitForThePlatform(t *testing.T) {
	f := newFixture(t)
	f.state.Classes["question"] = contract.Class{Name: "question", Worth: 1, FirstIn: time.Second, Deadline: time.Hour}
	var writes atomic.Int64
	f.kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
		if op.Write && writes.Add(1) > 1 {
			return metastoretest.NotSent
		}
		return metastoretest.NoFault
	})
	key := uuid.Must(uuid.NewV7()).String()
	got := f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, got.status, http.StatusCreated, got.body)
	f.kv.SetHook(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again := f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
		if again.status == http.StatusCreated && again.body == got.body {
			return poll.Success()
		}
		return poll.Continue("status %d", again.status)
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, len(f.app.Runs()), 1)
}

func TestUnreachablePlatformRefusesCallNotRun(t *testing.T) {
	f := newFixture(t)
	f.kv.Store().SetDown(true)
	key := uuid.Must(uuid.NewV7()).String()
	got := f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(t, strings.Contains(got.body, `"ran":"not-run"`), got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(f.app.Runs()), 0)
}

func TestBadInputIsRefused(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
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
			got := f.do(c.method, c.path, c.token, c.body, c.header...)
			var p problem
			assert.NilError(t, json.Unmarshal([]byte(got.body), &p), got.body)
			assert.Equal(t, got.header.Get("Content-Type"), problemType)
			assert.Equal(t, p.Reason, string(c.reason))
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, p.Ran, string(contract.NotRun))
		})
	}
	assert.Equal(t, len(f.app.Runs()), 0)
}

// TestServiceWithoutRouterIsNotReady sends requests to services that are in the
// configuration but have no router yet.
func TestServiceWithoutRouterIsNotReady(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	f.server.opts.Services = NewServices(ServicesOptions{})
	for _, got := range []response{
		f.do("POST", "/v1/chat/completions", teamToken, chatJSON("x", true)),
		f.do("GET", "/svc/app/roster/juma", teamToken, ""),
	} {
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(contract.ReasonNotReady)), got.body)
	}
}

// TestSlowBodyIsRefused sends only the first byte of a body and leaves the
// connection open.
func TestSlowBodyIsRefused(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	f.server.opts.BodyTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamToken+"\r\nContent-Length: 100\r\n\r\n{")
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(got), string(contract.ReasonSlowBody)), string(got))
}

// TestCallerThatDoesNotReadEndsAttempt tests that the attempt ends if the caller
// does not read the answer, and that it is not retried, because the engine is not
// at fault.
func TestCallerThatDoesNotReadEndsAttempt(t *testing.T) {
	f := newFixture(t, enginestandin.Options{AnswerTokens: 1 << 20}, enginestandin.Options{AnswerTokens: 1 << 20})
	f.server.opts.StallTimeout = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	body := chatJSON("endless", true)
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamToken+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	attempts := func() int {
		f.server.traces.mu.Lock()
		defer f.server.traces.mu.Unlock()
		for _, tr := range f.server.traces.byID {
			return len(tr.Attempts)
		}
		return 0
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if attempts() > 0 {
			return poll.Success()
		}
		return poll.Continue("the attempt has not ended")
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, attempts(), 1)
}

// TestConnectionServesAgainAfterWriteTimeout sends another request on the
// connection of a streamed answer after the write timeout of the stream's last
// token has passed. The write deadline must not apply to the second request.
func TestConnectionServesAgainAfterWriteTimeout(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	f.server.opts.StallTimeout = 50 * time.Millisecond
	got := f.do("POST", "/v1/chat/completions", teamToken, chatJSON("again", true))
	_, complete := streamText(t, got.body)
	assert.Assert(t, complete, got.body)
	time.Sleep(2 * f.server.opts.StallTimeout)
	assert.Equal(t, f.do("GET", "/svc/app/roster/juma", teamToken, "").status, http.StatusOK)
}

// TestDisconnectedCallerCancelsGeneration tests that the engine stops generating
// when the caller disconnects.
func TestDisconnectedCallerCancelsGeneration(t *testing.T) {
	f := newFixture(t, enginestandin.Options{TokenInterval: 10 * time.Millisecond, AnswerTokens: 10000})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	body := chatJSON("forever", true)
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamToken+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	running := func(want int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			r, err := f.server.engineClient("engine-0").Report(t.Context())
			if err == nil && r.Running == want {
				return poll.Success()
			}
			return poll.Continue("engine-0 runs %d requests", r.Running)
		}
	}
	poll.WaitOn(t, running(1))
	conn.Close()
	poll.WaitOn(t, running(0))
}

func TestDrainLetsRunningRequestsEnd(t *testing.T) {
	f := newFixture(t, enginestandin.Options{TokenInterval: 10 * time.Millisecond, AnswerTokens: 30})
	body := chatJSON("until the end", true)
	done := make(chan response, 1)
	go func() { done <- f.do("POST", "/v1/chat/completions", teamToken, body) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r, err := f.server.engineClient("engine-0").Report(t.Context()); err == nil && r.Running == 1 {
			return poll.Success()
		}
		return poll.Continue("engine-0 does not run the request yet")
	})
	assert.NilError(t, f.server.Drain(t.Context()))
	_, complete := streamText(t, (<-done).body)
	assert.Assert(t, complete)
	refused := f.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Assert(t, strings.Contains(refused.body, string(contract.ReasonDraining)))
}

// TestTraceAndOperatorToken tests that the trace of a request with HeaderExplain
// lists the endpoints considered, and that the token of a team does not pass the
// check for operators.
func TestTraceAndOperatorToken(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	got := f.do("POST", "/v1/chat/completions", teamToken, chatJSON("x", true), HeaderExplain, "1")
	tr, ok := f.server.traces.find(got.header.Get(HeaderRequestID))
	assert.Assert(t, ok)
	assert.Equal(t, tr.Attempts[0].Outcome, "whole")
	assert.Equal(t, len(tr.Attempts[0].Considered), 1)
	h := f.server.RequireOperator(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("team not refused") }))
	req, err := http.NewRequest("GET", "/operator/status", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+teamToken)
	h.ServeHTTP(&discardResponseWriter{}, req)
}

// discardResponseWriter is an http.ResponseWriter that discards the response.
type discardResponseWriter struct{}

func (*discardResponseWriter) Header() http.Header         { return http.Header{} }
func (*discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardResponseWriter) WriteHeader(int)             {}
