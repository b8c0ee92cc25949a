package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
)

// crashableEngine are the options of an engine whose responses have ten events.
var crashableEngine = fleetworker.Options{
	Service: "llm", Model: "m", WeightsVersion: 1, Slots: 8, MaxQueued: 16,
	WorkTime: 30 * time.Millisecond, EventGap: 10 * time.Millisecond, StreamEvents: 10,
}

// sharedPart is the first part of all prompts.
const sharedPart = "aa:100"

// promptCaller sends prompts to gateways and counts the answers.
type promptCaller struct {
	gateways []*gatewayProcess
	sent     atomic.Int64
	served   atomic.Int64
}

// send sends a request with its own body, path and last part, and the given parts before
// that, to one gateway after the other.
func (c *promptCaller) send(ctx context.Context, kind string, parts ...string) error {
	n := int(c.sent.Add(1))
	call := fleetwire.Call{
		Attempt: fmt.Sprint(kind, "-", n), Method: http.MethodPost, Host: "h", Path: fmt.Sprint("/x/", kind, n), Body: fmt.Sprint("body ", n), Token: "key",
		Timeout: 3 * time.Second,
		Prompt:  &fleetwire.Prompt{Model: "m", Input: 300, Output: 20, Parts: append(parts, fmt.Sprintf("%x:50", 1<<20+n))},
	}
	r, err := call.Request()
	if err != nil {
		return err
	}
	r = r.WithContext(ctx)
	r.URL.Host = c.gateways[n%len(c.gateways)].frontAddr
	r.Host = "h"
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK && len(body) > 0 {
		c.served.Add(1)
	}
	return err
}

// sendAll sends requests, one every interval and each without waiting for the others,
// until ctx ends.
func (c *promptCaller) sendAll(ctx context.Context, interval time.Duration, kind string, parts func(n int) []string) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		calls.Go(func() { _ = c.send(context.WithoutCancel(ctx), kind, parts(n)...) }) // what is lost is not counted as served
		time.Sleep(interval)
	}
}

// Bounds of the users for a part of a prompt that crashes endpoints.
const (
	partCrashesBeforeLimit = 5 // crashes after which it is limited
	maxPartRequests        = 3 // requests with it that may reach endpoints from crashNoticeTime after that
)

// TestPartThatCrashesEnginesIsNotSentOn sends requests with a part that crashes each engine
// which begins to write an answer to it, no two alike, beside sound ones with the same
// caller and first part. Later than crashNoticeTime after the fifth crash hardly any of
// them may reach an engine, and the sound ones are served.
func TestPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		name            string
		taintedInterval time.Duration
	}{
		{"now and then", 200 * time.Millisecond},
		{"a storm", 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) { testPartThatCrashesEngines(t, c.taintedInterval) })
	}
}

func testPartThatCrashesEngines(t *testing.T, taintedInterval time.Duration) {
	d := newGatewayDeployment(t)
	d.putKey("op/config", `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","resumable":true,"timeout_ms":3000,
		"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":2}],
		"services":[{"name":"llm","health_path":"/health","max_conns":50,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	var engines []*crashableEndpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		engines = append(engines, d.startCrashableEndpoint(name, crashTiming{restart: time.Second}, crashableEngine))
	}
	gateways := []*gatewayProcess{d.startGateway("front-1"), d.startGateway("front-2")}
	sound := &promptCaller{gateways: gateways}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := sound.send(t.Context(), "first", sharedPart, "bb:100"); err == nil && sound.served.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("no prompt is served")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))

	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() {
		sound.sendAll(ctx, 20*time.Millisecond, "sound", func(n int) []string { return []string{sharedPart, fmt.Sprintf("%x:100", 1<<16+n%50)} })
	})
	tainted := &promptCaller{gateways: gateways}
	callers.Go(func() {
		tainted.sendAll(ctx, taintedInterval, "tainted", func(int) []string { return []string{sharedPart, fleetworker.CrashPart + ":100"} })
	})
	crashes := func() (list []time.Time) {
		for _, e := range engines {
			list = append(list, e.crashTimes()...)
		}
		slices.SortFunc(list, time.Time.Compare)
		return list
	}
	// A part that is refused before it has crashed so many engines is limited, too.
	for began := time.Now(); len(crashes()) < partCrashesBeforeLimit && time.Since(began) < crashNoticeTime; {
		time.Sleep(20 * time.Millisecond)
	}
	limitedFrom := time.Now().Add(crashNoticeTime)
	time.Sleep(2 * crashNoticeTime)
	soundBefore, servedBefore := sound.sent.Load(), sound.served.Load()
	time.Sleep(crashNoticeTime)
	soundSent, soundServed := sound.sent.Load()-soundBefore, sound.served.Load()-servedBefore
	stop()
	callers.Wait()
	late := 0
	for _, e := range engines {
		for _, r := range e.crashingRuns() {
			if r.StartedAt.After(limitedFrom) {
				late++
			}
		}
	}
	t.Logf("%d crashes, %d requests with the part sent, %d of them reached engines late; %d of %d sound ones served late", len(crashes()), tainted.sent.Load(), late, soundServed, soundSent)
	assert.Check(t, late <= maxPartRequests, "%d requests with the part reached engines", late)
	assert.Check(t, 2*soundServed >= soundSent, "%d of %d sound requests were served", soundServed, soundSent)
}
