package soak

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopsMayEndOtherwise checks that outcomes of requests in stops that are allowed are not
// reported, and how they are counted.
func TestStopsMayEndOtherwise(t *testing.T) {
	cases := map[string]struct {
		arrange func(f *checkFixture)
		want    StopCounts
	}{
		"a whole answer": {func(f *checkFixture) {
			f.addCall("a", lateOnce, time.Second, http.StatusOK, nil)
		}, StopCounts{Sent: 1, Whole: 1}},
		"a refusal, and a whole answer elsewhere": {func(f *checkFixture) {
			first := f.addCall("a", lateOnce, time.Second, http.StatusServiceUnavailable, nil)
			next := f.addCall("b", lateOnce, time.Second, http.StatusOK, nil)
			next.gateway, next.retryOf = f.gateways[1], first
		}, StopCounts{Sent: 1, ServedNext: 1}},
		"two refusals": {func(f *checkFixture) {
			first := f.addCall("a", lateOnce, time.Second, http.StatusServiceUnavailable, nil)
			f.addCall("b", lateOnce, time.Second, http.StatusServiceUnavailable, nil).retryOf = first
		}, StopCounts{Sent: 1, RefusedTwice: 1}},
		"a refusal that is not followed": {func(f *checkFixture) {
			f.addCall("a", lateOnce, time.Second, http.StatusServiceUnavailable, nil)
		}, StopCounts{Sent: 1, RefusedOnly: 1}},
		"a request that crosses the close of its connection": {func(f *checkFixture) {
			f.addCall("a", lateOnce, time.Second, 0, io.EOF).connIdle = time.Second
		}, StopCounts{Sent: 1, CrossedClose: 1}},
		"a request whose time is over": {func(f *checkFixture) {
			f.addCall("a", lateOnce, time.Second, http.StatusGatewayTimeout, nil).timeout = time.Second
		}, StopCounts{Sent: 1, Other: 1}},
		"a request that was not sent": {func(f *checkFixture) {
			f.addCall("a", callOnce, time.Second, 0, &NotReadyError{"front-1"})
		}, StopCounts{}},
		"a request that outlasts the stop": {func(f *checkFixture) {
			c := f.addCall("a", lateOnce, graceTime, http.StatusBadGateway, nil)
			c.path = "/late-once/4000-1"
			f.addRun(f.endpoints[1], "a", c.path, "")
		}, StopCounts{EarlyOutlasts: 1}},
		"a request cut during a disruption": {func(f *checkFixture) {
			f.disruptions.begin(EndpointCrash)
			f.addCall("a", lateOnce, time.Second, 0, io.EOF)
			f.addRun(f.endpoints[1], "a", "/late-once/1", "")
		}, StopCounts{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCheckFixture(t)
			f.addStop(finishTime)
			c.arrange(f)
			f.check(true)
			assert.Equal(t, len(f.violations), 0, "%v", f.violations)
			assert.Equal(t, f.countInStops(f.observe()), c.want)
		})
	}
}

// TestStopsAreDrawnForHalfOfSeeds checks that steps of stopKinds occur in about half of all plans.
func TestStopsAreDrawnForHalfOfSeeds(t *testing.T) {
	with := 0
	for seed := range uint64(60) {
		plan := NewPlan(seed, time.Minute)
		hasStops := slices.ContainsFunc(plan, func(s Step) bool { return slices.Contains(stopKinds, s.Kind) })
		assert.Equal(t, hasStops, hasStopSteps(seed))
		if hasStops {
			with++
		}
	}
	assert.Check(t, with > 15 && with < 45, "%d", with)
}

// TestStopDoesNotEndNextProcess checks that a step that stops a gateway signals only the process
// that it stops, also if another step has started the next one.
func TestStopDoesNotEndNextProcess(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "gatewayd")
	assert.NilError(t, os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700))
	g := &gateway{name: "front-1", binary: binary}
	assert.NilError(t, g.start())
	exited := g.signal(syscall.SIGTERM)
	<-exited
	assert.NilError(t, g.start())
	t.Cleanup(func() { <-g.signal(syscall.SIGKILL) })
	g.signalProcess(exited, syscall.SIGKILL)
	select {
	case <-g.exited:
		t.Error("the next process was killed")
	case <-time.After(200 * time.Millisecond):
	}
}

// TestPathsOfLateCallsNameTheirTime checks which paths name the time that endpoints take.
func TestPathsOfLateCallsNameTheirTime(t *testing.T) {
	for path, want := range map[string]time.Duration{
		"/late-once/1200-7-3": 1200 * time.Millisecond, "/late-stream/50-1-1": 50 * time.Millisecond,
		"/late-once/soon-1": 0, "/once/1200-7": 0, "/stream/3-4": 0, "/": 0,
	} {
		assert.Equal(t, timeOfPath(path), want, path)
	}
}
