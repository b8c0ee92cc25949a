package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetworker"
)

// checkFixture is a run without processes, to which tests add calls, runs and orders.
type checkFixture struct {
	*run
	t *testing.T
}

func newCheckFixture(t *testing.T) *checkFixture {
	o := newOperator()
	f := &checkFixture{t: t, run: &run{
		started: time.Now(), operator: o, callLog: newCallLog(), disruptions: &disruptionLog{}, violations: map[string]Violation{},
		gateways: []*gateway{{name: "front-1"}, {name: "front-2"}},
	}}
	f.endpoints = []*endpoint{{service: engineService, model: model, operator: o, network: newNetwork(1)}, {service: appService, operator: o, network: newNetwork(1)}}
	for _, e := range f.endpoints {
		assert.NilError(t, e.start())
		t.Cleanup(e.release)
	}
	return f
}

// addCall adds a call that was sent the given time ago and has ended.
func (f *checkFixture) addCall(attempt string, kind callKind, ago time.Duration, status int, err error) *call {
	c := &call{attemptID: attempt, kind: kind, path: "/" + string(kind) + "/1", token: token, gateway: f.gateways[0], status: status, err: err}
	f.callLog.begin(c)
	c.sentAt = time.Now().Add(-ago)
	f.callLog.end(c)
	return c
}

// addStop adds a planned stop of the first gateway that began the given time ago and goes on.
func (f *checkFixture) addStop(ago time.Duration) {
	f.gateways[0].stops = append(f.gateways[0].stops, stopPeriod{began: time.Now().Add(-ago)})
}

// addRun has an endpoint run a request of a team.
func (f *checkFixture) addRun(e *endpoint, attempt, path, forTeam string) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(""))
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Tenant", forTeam)
	e.running().worker.ServeHTTP(httptest.NewRecorder(), r)
}

// addCrashOfNext has an endpoint record that a call crashed it at the given time, and start
// again.
func (f *checkFixture) addCrashOfNext(e *endpoint, attempt string, at time.Time) {
	crashed := e.running()
	path := f.callLog.calls[attempt].path
	crashed.worker.RecordRun(fleetworker.Run{Attempt: attempt, Path: path, Team: team, Crashes: true, StartedAt: at})
	e.stop(crashed)
	assert.NilError(f.t, e.start())
}

// addOrder sends an order to the engine, which must accept it.
func (f *checkFixture) addOrder(holder, body string) {
	r := httptest.NewRequest(http.MethodPost, "/redwingknot/order", strings.NewReader(body))
	w := httptest.NewRecorder()
	f.endpoints[0].running().worker.ServeHTTP(w, r)
	assert.Equal(f.t, w.Code, http.StatusAccepted, holder)
}

// TestChecksReportViolations checks that each violated invariant is reported, and that
// no violation is reported before.
func TestChecksReportViolations(t *testing.T) {
	const path = "/once/1"
	cases := map[string]struct {
		invariant Invariant
		arrange   func(f *checkFixture)
	}{
		"a run that was never sent": {RunUnsent, func(f *checkFixture) { f.addRun(f.endpoints[1], "stranger", path, team) }},
		"a run for another team": {RunUnsent, func(f *checkFixture) {
			f.addCall("a", callOnce, 0, 200, nil)
			f.addRun(f.endpoints[1], "a", path, "theirs")
		}},
		"a request that ran in two attempts": {RunTwice, func(f *checkFixture) {
			f.addCall("a", callOnce, 0, http.StatusBadGateway, nil)
			f.addRun(f.endpoints[1], "a", path, team)
			f.addCall("b", callOnce, 0, 200, nil)
			f.addRun(f.endpoints[1], "b", path, team)
		}},
		"a crashing request that is sent on": {CrashingRequestSent, func(f *checkFixture) {
			f.gateways[0].startedAt = time.Now().Add(-time.Hour)
			for n := range crashesBeforeLimit + maxCrashRetries + 1 {
				attempt := fmt.Sprint("c", n)
				f.addCall(attempt, callCrash, 0, http.StatusBadGateway, nil)
				f.addCrashOfNext(f.endpoints[1], attempt, time.Now().Add(time.Duration(n)*4*time.Second-time.Minute))
			}
		}},
		"prompts with a crashing part that are sent on": {CrashingPartSent, func(f *checkFixture) {
			f.gateways[0].startedAt = time.Now().Add(-time.Hour)
			for n := range partCrashesBeforeLimit + maxCrashRetries + 1 {
				attempt := fmt.Sprint("p", n)
				f.addCall(attempt, callPart, 0, http.StatusBadGateway, nil)
				f.addCrashOfNext(f.endpoints[0], attempt, time.Now().Add(time.Duration(n)*4*time.Second-time.Minute))
			}
		}},
		"sound prompts that fail beside a crashing part": {SoundPromptsLost, func(f *checkFixture) {
			f.gateways[0].startedAt = time.Now().Add(-time.Hour)
			for n := range partCrashesBeforeLimit {
				attempt := fmt.Sprint("p", n)
				f.addCall(attempt, callPart, time.Minute, http.StatusBadGateway, nil)
				f.addCrashOfNext(f.endpoints[0], attempt, time.Now().Add(-time.Minute))
			}
			for n := range minSoundCalls {
				f.addCall(fmt.Sprint("s", n), callResume, 0, http.StatusServiceUnavailable, nil)
			}
		}},
		"more requests than an endpoint's limit": {LimitExceeded, func(f *checkFixture) {
			w := f.endpoints[1].running().worker
			w.SetLimit(limitValues[EndpointLimit])
			f.addCall("told", callOpen, 0, 200, nil).endedAt = time.Now()
			f.addRun(f.endpoints[1], "told", "/open/1", "")
			time.Sleep(limitNoticeTime + 100*time.Millisecond)
			for n := range 40 {
				attempt := fmt.Sprint("l", n)
				f.addCall(attempt, callOpen, 0, 200, nil)
				f.addRun(f.endpoints[1], attempt, "/open/1", "")
			}
		}},
		"a request that begins on weights replaced long ago": {OldWeightsRun, func(f *checkFixture) {
			f.gateways[0].startedAt = time.Now().Add(-time.Hour)
			f.operator.nameNewWeights()
			f.operator.nameNewWeights()
			f.operator.weightsNamedAt[2] = time.Now().Add(-loadTime - time.Second)
			for attempt, version := range map[string]int64{"old": 1, "new": 2} {
				c := f.addCall(attempt, callResume, time.Second, 200, nil)
				f.endpoints[0].running().worker.RecordRun(fleetworker.Run{Attempt: attempt, Path: c.path, Team: team, StartedAt: time.Now(), FirstEventAt: time.Now(), FirstEventWeights: version})
			}
		}},
		"a run on cached memory of other weights": {CacheOfOtherWeights, func(f *checkFixture) {
			c := f.addCall("a", callResume, 0, 200, nil)
			worker := f.endpoints[0].running().worker
			worker.RecordRun(fleetworker.Run{Attempt: "a", Path: c.path, Team: team, StartedAt: time.Now(), StaleParts: []fleetworker.StalePart{{ID: "p", Weights: 2, Engine: 1}}})
		}},
		"a stream of two software versions": {MixedVersions, func(f *checkFixture) {
			first := f.addCall("a", callResume, 0, 200, http.ErrAbortHandler)
			first.recordEvents(fleetworker.StreamEvent(first.path, "v1", 0))
			f.addCall("b", callResume, 0, 200, nil).resumes = first
			f.callLog.calls["b"].recordEvents(fleetworker.StreamEvent(first.path, "v1", 1) + fleetworker.StreamEvent(first.path, "v2", 2))
		}},
		"streams that do not go on": {ResumptionsLost, func(f *checkFixture) {
			f.gateways[0].startedAt = time.Now().Add(-time.Hour)
			second := &endpoint{service: engineService, model: model, operator: f.operator, network: newNetwork(1)}
			f.endpoints = append(f.endpoints, second)
			assert.NilError(f.t, second.start())
			f.t.Cleanup(second.release)
			for _, e := range []*endpoint{f.endpoints[0], second} {
				e.running().startedAt = time.Now().Add(-time.Minute)
			}
			for n := range minResumptions {
				first := f.addCall(fmt.Sprint("f", n), callResume, 0, 200, nil)
				first.softwareVersion = fleetworker.DefaultSoftwareVersion
				f.addCall(fmt.Sprint("r", n), callResume, 0, http.StatusServiceUnavailable, nil).resumes = first
			}
		}},
		"callers of a partitioned gateway that fail": {PartitionedFail, func(f *checkFixture) {
			for _, g := range f.gateways {
				g.startedAt = time.Now().Add(-time.Hour)
			}
			f.gateways[0].beginPartition()
			f.gateways[0].partitions[0].began = time.Now().Add(-time.Minute)
			for n := range 2 * partitionSlack {
				f.addCall(fmt.Sprint("t", n), callOpen, 0, http.StatusServiceUnavailable, nil)
				f.addCall(fmt.Sprint("e", n), callOpen, 0, 200, nil).gateway = f.gateways[1]
			}
		}},
		"brittle endpoints that fall over": {BrittleFell, func(f *checkFixture) {
			before := f.fallCount(engineService)
			for range maxFalls + 1 {
				f.endpoints[0].fallOver(f.endpoints[0].running())
				assert.NilError(f.t, f.endpoints[0].start())
			}
			f.checkFalls(engineService, before)
		}},
		"a second run": {RunTwice, func(f *checkFixture) {
			f.addCall("a", callOnce, 0, 200, nil)
			f.addRun(f.endpoints[1], "a", path, team)
			f.addRun(f.endpoints[1], "a", path, team)
		}},
		"a refusal of what ran": {RefusedButRan, func(f *checkFixture) {
			f.addCall("a", callOnce, 0, http.StatusServiceUnavailable, nil)
			f.addRun(f.endpoints[1], "a", path, team)
		}},
		"a wrong answer":      {WrongAnswer, func(f *checkFixture) { f.addCall("a", callOpen, 0, 200, nil).answerFault = "other bytes" }},
		"a valid call denied": {ValidCallDenied, func(f *checkFixture) { f.addCall("a", callOpen, 0, http.StatusNotFound, nil) }},
		"a lower fencing token after a higher": {TwoHolders, func(f *checkFixture) {
			f.addOrder("front-1", `{"holder":"front-1","fencing_token":5,"model":"m","version":2,"mode":"keep"}`)
			poll.WaitOn(f.t, func(poll.LogT) poll.Result {
				if f.endpoints[0].running().worker.WeightsVersion() == 2 {
					return poll.Success()
				}
				return poll.Continue("the weights are not loaded")
			}, poll.WithDelay(weightsLoadTime/10))
			f.addOrder("front-2", `{"holder":"front-2","fencing_token":4,"model":"m","version":3,"mode":"keep"}`)
		}},
		"a revoked token accepted": {RevokedTokenAccepted, func(f *checkFixture) {
			f.operator.revokeToken()
			f.operator.tokenRevokedAt = time.Now().Add(-time.Minute)
			f.addCall("a", callOnce, time.Second, 200, nil).token = revocableToken
			f.addRun(f.endpoints[1], "a", path, team)
		}},
		"a moved route at its old service": {OldRouteUsed, func(f *checkFixture) {
			f.operator.moveRoute()
			f.operator.routeMovedAt = time.Now().Add(-time.Minute)
			f.addCall("a", callMoved, time.Second, 200, nil)
			f.addRun(f.endpoints[1], "a", "/moved/1", team)
		}},
		"a request to an endpoint that left": {LeftEndpointUsed, func(f *checkFixture) {
			i := f.endpoints[1].running()
			i.announceLeaving(f.operator, f.endpoints[1])
			i.leavingAt = time.Now().Add(-time.Minute)
			f.addCall("a", callOnce, 0, 200, nil)
			f.addRun(f.endpoints[1], "a", path, team)
		}},
		"an answer lost without a disruption": {LostAnswer, func(f *checkFixture) {
			f.addCall("a", callOnce, 0, http.StatusBadGateway, nil)
			f.addRun(f.endpoints[1], "a", path, team)
		}},
		"a request taken late in a stop and cut": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", lateStream, time.Second, http.StatusOK, io.ErrUnexpectedEOF)
			f.addRun(f.endpoints[0], "a", "/late-stream/1", "")
		}},
		"a request taken early in a stop and cut": {CutWhileRouted, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", lateStream, 3*time.Second, http.StatusOK, io.ErrUnexpectedEOF)
			f.addRun(f.endpoints[0], "a", "/late-stream/1", "")
		}},
		"a refusal early in a stop of what ran": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", lateOpen, 3*time.Second, http.StatusServiceUnavailable, nil)
			f.addRun(f.endpoints[1], "a", "/late-open/1", "")
		}},
		"a request taken late in a stop that fails": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", lateOnce, time.Second, http.StatusBadGateway, nil)
			f.addRun(f.endpoints[1], "a", "/late-once/1", "")
		}},
		"a request of a kept connection cut in a stop": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", callResume, time.Second, http.StatusOK, io.ErrUnexpectedEOF)
		}},
		"a request that a stopping gateway leaves without an answer": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", callOnce, time.Second, 0, io.EOF)
		}},
		"a run without an answer on a connection that was idle": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", lateOpen, time.Second, 0, io.EOF).connIdle = time.Minute
			f.addRun(f.endpoints[1], "a", "/late-open/1", "")
		}},
		"a refusal in a stop of what may be repeated and ran": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", callOpen, time.Second, http.StatusServiceUnavailable, nil)
			f.addRun(f.endpoints[1], "a", "/open/1", "")
		}},
		"a timeout in a stop before its time": {CutInStop, func(f *checkFixture) {
			f.addStop(4 * time.Second)
			f.addCall("a", lateOnce, time.Second, http.StatusGatewayTimeout, nil).timeout = lateTimeout
		}},
		"a request that a stop had time for": {CutInStop, func(f *checkFixture) {
			f.addStop(finishTime)
			c := f.addCall("a", lateOnce, graceTime, http.StatusBadGateway, nil)
			c.path = "/late-once/200-1"
			f.addRun(f.endpoints[1], "a", c.path, "")
			f.gateways[0].stops[0].began, c.endedAt = time.Now().Add(-100*time.Millisecond), time.Now()
		}},
		"a refused call during a store disruption": {LostAnswer, func(f *checkFixture) {
			f.disruptions.begin(StoreBusy)
			f.addCall("a", callOpen, 0, http.StatusServiceUnavailable, nil)
		}},
		"a request after an endpoint told that it leaves": {AnnouncedLeaveMissed, func(f *checkFixture) {
			f.endpoints[1].running().worker.SetLeaving(true)
			f.addCall("a", callOpen, 0, 200, nil)
			f.addRun(f.endpoints[1], "a", "/open/1", "")
			f.addCall("b", callOpen, -drainTime-time.Second, 200, nil)
			f.addRun(f.endpoints[1], "b", "/open/1", "")
		}},
		"requests during a pause": {PauseIgnored, func(f *checkFixture) {
			f.endpoints[1].running().worker.SetPause("9")
			for _, attempt := range []string{"a", "b", "c", "d", "e"} {
				f.addCall(attempt, callOpen, 0, http.StatusServiceUnavailable, nil)
				f.addRun(f.endpoints[1], attempt, "/open/1", "")
				time.Sleep(300 * time.Millisecond)
			}
		}},
		"too many repeats": {TooManyRepeats, func(f *checkFixture) {
			f.addCall("a", callOpen, 0, 200, nil)
			for range 2 * retrySlack {
				f.addRun(f.endpoints[1], "a", "/open/1", "")
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCheckFixture(t)
			f.check(true)
			assert.Equal(t, len(f.violations), 0)
			c.arrange(f)
			f.check(true)
			found := false
			for _, v := range f.violations {
				found = found || v.Invariant == c.invariant
			}
			assert.Check(t, found, "%v", f.violations)
		})
	}
}

// TestAnswerMismatchIsDetected checks that missing, repeated, reordered and foreign
// parts of an answer are detected.
func TestAnswerMismatchIsDetected(t *testing.T) {
	c := &call{attemptID: "a", kind: callStream, path: "/stream/1", softwareVersion: fleetworker.DefaultSoftwareVersion}
	h := http.Header{"Response-Stamp": {fleetworker.ResponseStamp}, "Attempt-Id": {"a"}}
	var whole string
	for id := range streamEvents {
		whole += fleetworker.StreamEvent(c.path, c.softwareVersion, id)
	}
	assert.Equal(t, answerMismatch(c, http.MethodPost, "", h, whole), "")
	first, second := fleetworker.StreamEvent(c.path, c.softwareVersion, 0), fleetworker.StreamEvent(c.path, c.softwareVersion, 1)
	for _, got := range []string{first, whole + first, strings.Replace(whole, first, "", 1), strings.Replace(whole, first+second, second+first, 1)} {
		assert.Check(t, answerMismatch(c, http.MethodPost, "", h, got) != "", "%q", got)
	}
	h.Set("Attempt-Id", "b")
	assert.Check(t, answerMismatch(c, http.MethodPost, "", h, whole) != "")
	// A truncated answer may be a prefix of the expected one, but no other part of it.
	c.err = http.ErrAbortHandler
	h.Set("Attempt-Id", "a")
	assert.Equal(t, answerMismatch(c, http.MethodPost, "", h, first+second[:5]), "")
	assert.Check(t, answerMismatch(c, http.MethodPost, "", h, second) != "")
}

// TestLinkFaults checks that each fault blocks requests through a link, and that
// requests pass again afterwards.
func TestLinkFaults(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	t.Cleanup(target.Close)
	l, err := NewLink(target.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	transport := &http.Transport{}
	requestWithin := func(timeout time.Duration) bool {
		client := &http.Client{Timeout: timeout, Transport: transport}
		res, err := client.Get("http://" + l.Addr())
		if err != nil {
			return false
		}
		return res.Body.Close() == nil
	}
	passes := func() bool { return requestWithin(recoveryTimeout) }
	blocked := func() bool { return !requestWithin(300 * time.Millisecond) }
	assert.Check(t, passes())
	for _, f := range []LinkFault{{HoldToTarget: true}, {HoldToDialer: true}, {Delay: time.Second}} {
		assert.NilError(t, l.SetFault(f))
		assert.Check(t, blocked(), "%v", f)
		assert.NilError(t, l.SetFault(LinkFault{}))
		transport.CloseIdleConnections()
		assert.Check(t, passes(), "%v", f)
	}
	for _, f := range []LinkFault{{NewConns: ConnsRefused}, {NewConns: ConnsHang}} {
		assert.NilError(t, l.SetFault(f))
		assert.Check(t, passes(), "open connections live on: %v", f)
		transport.CloseIdleConnections()
		assert.Check(t, blocked(), "%v", f)
		assert.NilError(t, l.SetFault(LinkFault{}))
		assert.Check(t, passes(), "%v", f)
	}
	l.Silence()
	assert.Check(t, blocked())
	transport.CloseIdleConnections()
	assert.Check(t, passes())
	l.Reset()
	transport.CloseIdleConnections()
	assert.Check(t, passes())
}

// TestOrderFaults checks that a stream over several attempts is in order, and that each way in
// which it is not is found.
func TestOrderFaults(t *testing.T) {
	const path = "/resume/1"
	events := func(version string, ids ...int) (s string) {
		for _, id := range ids {
			s += fleetworker.StreamEvent(path, version, id)
		}
		return s
	}
	head, tail := events("v1", 0, 1, 2), events("v1", 4, 5, 6, 7, 8, 9, 10, 11)
	cases := map[string]struct {
		attempts []string // what they bring; all but the last break off
		want     string   // empty if it is in order
	}{
		"an event follows in the next attempt": {[]string{head + "id: 3\nda", events("v1", 3), "", tail}, ""},
		"an event comes twice":                 {[]string{head, events("v1", 2, 3) + tail}, "comes again"},
		"an event comes twice in one attempt":  {[]string{head + events("v1", 1, 2, 3) + tail}, "comes again"},
		"an event is missing":                  {[]string{head, tail}, "in place of event 3"},
		"an event of another run":              {[]string{head, events("v2", 3) + tail}, "foreign"},
		"an event of another request":          {[]string{head, fleetworker.StreamEvent("/resume/2", "v1", 3) + tail}, "foreign"},
		"a text":                               {[]string{head, "{\"error\": 1}\n\n"}, "foreign"},
		"an early end":                         {[]string{head, ""}, "ended as complete"},
		"an end within an event":               {[]string{head, events("v1", 3) + tail + "id: 12"}, "ended as complete"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newCheckFixture(t)
			var first *call
			for n, received := range c.attempts {
				var err error
				if n < len(c.attempts)-1 {
					err = http.ErrAbortHandler
				}
				next := f.addCall(fmt.Sprint("a", n), callResume, time.Minute-time.Duration(n)*time.Second, 200, err)
				next.resumes = first
				next.recordEvents(received)
				if first == nil {
					first = next
				}
			}
			f.check(true)
			detail := ""
			for _, v := range f.violations {
				if v.Invariant == OutOfOrder {
					detail = v.Detail
				}
			}
			assert.Check(t, strings.Contains(detail, c.want) && (detail == "") == (c.want == ""), "%q", detail)
		})
	}
}
