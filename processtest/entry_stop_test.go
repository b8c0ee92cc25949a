package processtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/contract"
	"redwingknot/retry"
	"redwingknot/serve"
)

// entryAnswer is a response of an entry instance. It has status 0 if there was none.
type entryAnswer struct {
	status     int
	body       string
	retryAfter string
	closes     bool // it asks to close the connection
	err        error
}

func (a entryAnswer) String() string {
	return fmt.Sprintf("status %d, Retry-After %q, closes %t, error %v, body %s", a.status, a.retryAfter, a.closes, a.err, a.body)
}

// isRefusal reports whether the answer says that the request has not run, when to send it again,
// and that the connection is to be closed.
func (a entryAnswer) isRefusal() bool {
	return a.status == http.StatusServiceUnavailable && a.retryAfter != "" && a.closes && strings.Contains(a.body, `"ran":"`+string(contract.NotRun)+`"`)
}

// connectTo opens a caller's connection to an entry instance.
func (d *entryDeployment) connectTo(entry string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", strings.TrimPrefix(d.urls[entry], "http://"), time.Second)
	if err != nil {
		return nil, err
	}
	d.t.Cleanup(func() { c.Close() })
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// send sends a request and reads the response; header holds pairs of a name and a value.
func (c *callerConn) send(method, path, token, body string, header ...string) entryAnswer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", method, path, token, len(body))
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return entryAnswer{closes: true, err: err}
	}
	return c.receive()
}

// receive reads a response.
func (c *callerConn) receive() entryAnswer {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return entryAnswer{closes: true, err: err}
	}
	data, err := io.ReadAll(res.Body)
	return entryAnswer{status: res.StatusCode, body: string(data), retryAfter: res.Header.Get("Retry-After"), closes: res.Close, err: err}
}

// sendPrompt sends a prompt whose answer is streamed.
func (c *callerConn) sendPrompt(token string, header ...string) entryAnswer {
	return c.send(http.MethodPost, "/v1/chat/completions", token, `{"model":"llm","stream":true,"messages":[{"role":"user","content":"x"}]}`, header...)
}

// sendCall makes a call that must not run twice.
func (c *callerConn) sendCall(key string, header ...string) entryAnswer {
	return c.send(http.MethodPost, "/svc/app/certificates", teamToken, "juma", append(header, serve.HeaderIdempotencyKey, key)...)
}

// sendNew sends a request on a new connection to an entry instance.
func (d *entryDeployment) sendNew(entry string, send func(*callerConn) entryAnswer) entryAnswer {
	c, err := d.connectTo(entry)
	if err != nil {
		return entryAnswer{err: err}
	}
	defer c.Close()
	return send(c)
}

// assertExited waits until an entry instance has ended, which must be with exit code 0.
func (d *entryDeployment) assertExited(entry string) {
	d.t.Helper()
	<-d.processes[entry].done
	assert.Equal(d.t, d.processes[entry].cmd.ProcessState.ExitCode(), 0)
}

// startStopDeployment starts the entry instances e1, which is to be stopped, and e2.
func startStopDeployment(t *testing.T, args ...string) *entryDeployment {
	d := newEntryDeployment(t)
	d.startEntry("e1", "ilala", args...)
	d.startEntry("e2", "ilala")
	d.waitForNote(d.submitNote("e1", d.startEndpointsWithNote("ilala")), "e1", "e2")
	d.waitUntilServing("e1")
	return d
}

// entryStopLoad sends requests from many callers until the entry instance accepts no more
// connections.
type entryStopLoad struct {
	asked, unanswered, reset, notAskedToClose atomic.Int64
	stopped                                   atomic.Bool // SIGTERM was handled
	callers                                   sync.WaitGroup
}

func (l *entryStopLoad) run(d *entryDeployment, entry string) {
	var c *callerConn
	for {
		if c == nil {
			var err error
			if c, err = d.connectTo(entry); err != nil {
				return
			}
		}
		l.asked.Add(1)
		stopped := l.stopped.Load()
		a := c.sendPrompt("unknown")
		switch {
		case errors.Is(a.err, syscall.ECONNRESET), errors.Is(a.err, syscall.EPIPE):
			l.reset.Add(1)
		case a.err != nil:
			l.unanswered.Add(1)
		case stopped && !a.closes:
			l.notAskedToClose.Add(1)
		}
		if a.closes {
			c.Close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestStoppingEntryAnswersWhatArrives guards against a stop that closes connections on which a
// request has arrived, or the listener before a balancer can have noticed.
func TestStoppingEntryAnswersWhatArrives(t *testing.T) {
	d := startStopDeployment(t, "--drain-timeout", "20s")
	var load entryStopLoad
	for range 10 {
		load.callers.Go(func() { load.run(d, "e1") })
	}
	time.Sleep(200 * time.Millisecond)
	d.signal("e1", syscall.SIGTERM)
	time.Sleep(time.Second)
	load.stopped.Store(true)
	ready := d.sendNew("e1", func(c *callerConn) entryAnswer { return c.send(http.MethodGet, "/readyz", "", "") })
	assert.Check(t, ready.status == http.StatusServiceUnavailable, "readyz: %v", ready)
	served := d.sendNew("e1", func(c *callerConn) entryAnswer {
		return c.sendPrompt(teamToken, retry.TimeBudgetHeader, "2000")
	})
	assert.Check(t, served.status == http.StatusOK && strings.Contains(served.body, "[DONE]") && served.closes, "a prompt that ends in time: %v", served)
	var last *callerConn // accepted shortly before the listener is closed
	for {
		c, err := d.connectTo("e1")
		if err != nil {
			break
		}
		last = c
		time.Sleep(50 * time.Millisecond)
	}
	load.callers.Wait()
	if assert.Check(t, last != nil, "the listener is closed within a second") {
		a := last.sendPrompt("unknown")
		assert.Check(t, a.status == http.StatusUnauthorized && a.closes, "on a connection accepted before: %v", a)
	}
	t.Logf("%d requests, %d read and not answered, %d reset, %d answered without Connection: close", load.asked.Load(), load.unanswered.Load(), load.reset.Load(), load.notAskedToClose.Load())
	assert.Check(t, load.unanswered.Load() == 0)
	assert.Check(t, load.reset.Load() <= 1, "closing the listener may reset a connection that arrives in that moment")
	assert.Equal(t, load.notAskedToClose.Load(), int64(0))
	d.assertExited("e1")
}

// TestStoppingEntryRefusesWhatItCannotFinish guards against requests that are sent on during a
// stop although it may end before them.
func TestStoppingEntryRefusesWhatItCannotFinish(t *testing.T) {
	d := startStopDeployment(t, "--drain-timeout", "6s")
	kept, err := d.connectTo("e1")
	assert.NilError(t, err)
	assert.Equal(t, kept.sendPrompt("unknown").status, http.StatusUnauthorized)
	d.signal("e1", syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	key := newIdempotencyKey()
	call := d.sendNew("e1", func(c *callerConn) entryAnswer { return c.sendCall(key) })
	assert.Check(t, call.isRefusal(), "a call that may take 30 s: %v", call)
	prompt := kept.sendPrompt(teamToken)
	assert.Check(t, prompt.isRefusal(), "a prompt that may take 30 s, on a connection that was open before: %v", prompt)
	note := d.sendNew("e1", func(c *callerConn) entryAnswer {
		return c.send(http.MethodPost, "/operator/notes?base=1", operatorToken, "title: Rate\nchange: {teams: [{name: t, rate: 500}]}\n")
	})
	assert.Check(t, note.status == http.StatusServiceUnavailable && note.retryAfter != "" && note.closes, "a note, which may take 10 s: %v", note)
	briefKey := newIdempotencyKey()
	brief := d.sendNew("e1", func(c *callerConn) entryAnswer { return c.sendCall(briefKey, retry.TimeBudgetHeader, "2000") })
	assert.Check(t, brief.status == http.StatusCreated, "a call that ends in time: %v", brief)
	status, body := d.callNonIdempotent("e2", key, "juma")
	assert.Equal(t, status, http.StatusCreated, body)
	assert.Equal(t, d.countExecutions(key, "app-ilala"), 1)
	d.assertExited("e1")
}

// slowEndpoints are endpoints of one deployment that answer after the end of a stop.
type slowEndpoints struct {
	app     *httptest.Server
	runs    atomic.Int64
	release chan struct{} // closed to let the application answer
}

// startSlowEndpoints starts endpoints that take the place of those of a note. The engines write a
// token each 200 ms.
func (d *entryDeployment) startSlowEndpoints(note string) (*slowEndpoints, string) {
	s := &slowEndpoints{release: make(chan struct{})}
	s.app = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.runs.Add(1)
		<-s.release
		w.WriteHeader(http.StatusCreated)
	}))
	d.t.Cleanup(s.app.Close)
	note = strings.ReplaceAll(note, d.urls["app-ilala"], s.app.URL)
	for _, engine := range []string{"engine-ilala-0", "engine-ilala-1"} {
		url := d.startStandin(engine+"-slow", "engine", "--model", "m", "--version", "v1", "--token-every", "200ms", "--answer-tokens", "100")
		note = strings.ReplaceAll(note, d.urls[engine], url)
	}
	return s, note
}

// TestEntryAnswersWhatIsPendingAtEndOfStop guards against requests that get no answer because
// they run longer than the stop, and against a call that runs twice because of it.
func TestEntryAnswersWhatIsPendingAtEndOfStop(t *testing.T) {
	t.Run("running", func(t *testing.T) {
		testPendingAtEndOfStop(t, func(d *entryDeployment) { d.signal("e1", syscall.SIGTERM) })
	})
	t.Run("paused until the time is over", func(t *testing.T) {
		testPendingAtEndOfStop(t, func(d *entryDeployment) {
			d.signal("e1", syscall.SIGTERM)
			time.Sleep(200 * time.Millisecond)
			d.pause("e1")
			time.Sleep(3 * time.Second)
			d.signal("e1", syscall.SIGCONT)
		})
	})
}

// testPendingAtEndOfStop has stop stop e1, whose drain timeout is 2 s, while requests run.
func testPendingAtEndOfStop(t *testing.T, stop func(*entryDeployment)) {
	d := newEntryDeployment(t)
	d.startEntry("e1", "ilala", "--drain-timeout", "2s")
	d.startEntry("e2", "ilala")
	slow, note := d.startSlowEndpoints(d.startEndpointsWithNote("ilala"))
	release := sync.OnceFunc(func() { close(slow.release) })
	t.Cleanup(release)
	d.waitForNote(d.submitNote("e1", note), "e1", "e2")
	key := newIdempotencyKey()
	d.waitFor("the engines are known", func() bool {
		return d.sendNew("e1", func(c *callerConn) entryAnswer {
			return c.sendPrompt(teamToken, retry.TimeBudgetHeader, "1000")
		}).status == http.StatusOK
	})
	sends := map[string]func(*callerConn) entryAnswer{
		"call":   func(c *callerConn) entryAnswer { return c.sendCall(key) },
		"stream": func(c *callerConn) entryAnswer { return c.sendPrompt(teamToken) },
		"prompt": func(c *callerConn) entryAnswer {
			return c.send(http.MethodPost, "/v1/chat/completions", teamToken, `{"model":"llm","messages":[{"role":"user","content":"y"}]}`)
		},
	}
	unsent, err := d.connectTo("e1")
	assert.NilError(t, err)
	_, err = fmt.Fprintf(unsent, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", teamToken)
	assert.NilError(t, err)
	answers := map[string]chan entryAnswer{}
	for name, send := range sends {
		answer := make(chan entryAnswer, 1)
		answers[name] = answer
		go func() { answer <- d.sendNew("e1", send) }()
	}
	d.waitFor("the call runs", func() bool { return slow.runs.Load() == 1 })
	d.waitFor("the prompts run", func() bool {
		reports := d.fetch("engine-ilala-0-slow", "/report") + d.fetch("engine-ilala-1-slow", "/report")
		return strings.Count(reports, `"Running":1`) == 2 || strings.Contains(reports, `"Running":2`)
	})
	stop(d)
	a := unsent.receive()
	assert.Check(t, a.isRefusal(), "a request whose body has not arrived: %v", a)
	for name := range sends {
		a := <-answers[name]
		assert.Check(t, a.err == nil && (a.status >= 500) == (name != "stream") && strings.Contains(a.body, `"ran":"`+string(contract.MayHaveRun)+`"`) && strings.Contains(a.body, "draining"), "%s: %v", name, a)
		assert.Check(t, !strings.Contains(a.body, "[DONE]"), "%s: %v", name, a)
	}
	d.assertExited("e1")
	for range 2 {
		status, body := d.callNonIdempotent("e2", key, "juma")
		assert.Check(t, status == http.StatusConflict && strings.Contains(body, "claim-outcome-unknown"), "status %d, %s", status, body)
		release()
	}
	assert.Equal(t, slow.runs.Load(), int64(1))
}

// TestCallOfStopCutByKillRunsOnce guards against a key that is free again because the instance
// that holds it was killed before its stop had ended.
func TestCallOfStopCutByKillRunsOnce(t *testing.T) {
	d := newEntryDeployment(t)
	d.startEntry("e1", "ilala")
	d.startEntry("e2", "ilala")
	slow, note := d.startSlowEndpoints(d.startEndpointsWithNote("ilala"))
	release := sync.OnceFunc(func() { close(slow.release) })
	t.Cleanup(release)
	d.waitForNote(d.submitNote("e1", note), "e1", "e2")
	key := newIdempotencyKey()
	go d.sendNew("e1", func(c *callerConn) entryAnswer { return c.sendCall(key) })
	d.waitFor("the call runs", func() bool { return slow.runs.Load() == 1 })
	d.signal("e1", syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	d.kill("e1")
	d.waitFor("the outcome is reported as unknown", func() bool {
		status, body := d.callNonIdempotent("e2", key, "juma")
		assert.Equal(t, status, http.StatusConflict, body)
		return strings.Contains(body, "claim-outcome-unknown")
	})
	assert.Equal(t, slow.runs.Load(), int64(1))
}

// TestNotesSubmittedDuringStop guards against a note that was accepted by an instance that
// stops and is not in force, and against a submission that is not answered.
func TestNotesSubmittedDuringStop(t *testing.T) {
	d := startStopDeployment(t, "--drain-timeout", "14s")
	accepted := map[uint64]string{}
	signaled := time.Time{}
	for rate := 1; ; rate++ {
		if rate == 10 {
			d.signal("e1", syscall.SIGTERM)
			signaled = time.Now()
		}
		status, err := d.operatorClient("e2").Status(t.Context())
		assert.NilError(t, err)
		text := fmt.Sprintf("title: Rate\nchange: {teams: [{name: t, rate: %d}]}\n", 1000+rate)
		path := fmt.Sprintf("/operator/notes?base=%d", status.Head)
		c, err := d.connectTo("e1")
		if err != nil {
			break
		}
		a := c.send(http.MethodPost, path, operatorToken, text)
		c.Close()
		assert.Check(t, a.err, "note %d: %v", rate, a)
		switch a.status {
		case http.StatusCreated:
			accepted[status.Head+1] = text
			d.waitForNote(status.Head+1, "e2")
		case http.StatusServiceUnavailable:
			assert.Check(t, a.retryAfter != "" && a.closes, "%v", a)
		default:
			t.Errorf("%v", a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d notes accepted, listener closed %v after the signal", len(accepted), time.Since(signaled))
	for number, text := range accepted {
		got, err := d.operatorClient("e2").Note(context.Background(), fmt.Sprint(number))
		assert.Check(t, err == nil && string(got) == text, "note %d: %q, %v", number, got, err)
	}
	d.assertExited("e1")
}

// TestNotePendingAtEndOfStopIsAnswered guards against a submission that is cut, and against an
// answer that calls a note not accepted that is in force later.
func TestNotePendingAtEndOfStopIsAnswered(t *testing.T) {
	d := startStopDeployment(t, "--drain-timeout", "1s")
	d.pause("kvs")
	answered := make(chan entryAnswer, 1)
	go func() {
		answered <- d.sendNew("e1", func(c *callerConn) entryAnswer {
			return c.send(http.MethodPost, "/operator/notes?base=1", operatorToken, "title: Rate\nchange: {teams: [{name: t, rate: 500}]}\n")
		})
	}()
	time.Sleep(300 * time.Millisecond)
	d.signal("e1", syscall.SIGTERM)
	signaled := time.Now()
	a := <-answered
	d.assertExited("e1")
	t.Logf("ended %v after the signal", time.Since(signaled))
	d.signal("kvs", syscall.SIGCONT)
	unknown := a.status == http.StatusGatewayTimeout && strings.Contains(a.body, `"Unknown":true`)
	assert.Assert(t, unknown || a.status == http.StatusServiceUnavailable, "%v", a)
	time.Sleep(time.Second)
	status, err := d.operatorClient("e2").Status(t.Context())
	assert.NilError(t, err)
	assert.Check(t, unknown || status.Head == 1, "note %d is in force, the answer was %v", status.Head, a)
}

// TestEntryAnswersWhatIsQueuedWhilePaused guards against connections that are closed unanswered
// because they were accepted by the kernel while the process stood still past the end of its stop.
func TestEntryAnswersWhatIsQueuedWhilePaused(t *testing.T) {
	d := startStopDeployment(t, "--drain-timeout", "2s")
	d.signal("e1", syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	d.pause("e1")
	answers := make(chan entryAnswer)
	const callers = 5
	for range callers {
		go func() {
			answers <- d.sendNew("e1", func(c *callerConn) entryAnswer { return c.sendPrompt(teamToken) })
		}()
	}
	time.Sleep(3 * time.Second)
	d.signal("e1", syscall.SIGCONT)
	for range callers {
		a := <-answers
		assert.Check(t, a.isRefusal(), "%v", a)
	}
	d.assertExited("e1")
}

// TestCallsOfOthersGoOnWhileOwnerStops guards against calls that fail or run twice because an
// instance stops that records the claims of other instances.
func TestCallsOfOthersGoOnWhileOwnerStops(t *testing.T) {
	d := startStopDeployment(t, "--drain-timeout", "4s")
	var callers sync.WaitGroup
	var calls atomic.Int64
	for range 2 { // together they stay far below an instance's writes to the platform
		callers.Go(func() {
			for last := false; !last; {
				select {
				case <-d.processes["e1"].done:
					last = true
				default:
				}
				key := newIdempotencyKey()
				status, body := d.callNonIdempotent("e2", key, "juma")
				assert.Check(t, status == http.StatusCreated, "status %d: %s", status, body)
				assert.Check(t, d.countExecutions(key, "app-ilala") == 1)
				calls.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	d.signal("e1", syscall.SIGTERM)
	callers.Wait()
	t.Logf("%d calls", calls.Load())
	d.assertExited("e1")
}
