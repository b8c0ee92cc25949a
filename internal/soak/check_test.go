package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetworker"
)

// scene is a run without processes, in which tests place what was seen.
type scene struct {
	*run
	t *testing.T
}

func newScene(t *testing.T) *scene {
	o := newOperator()
	s := &scene{t: t, run: &run{
		started: time.Now(), operator: o, record: newRecord(), trouble: &trouble{}, violations: map[string]Violation{},
		gateways: []*gateway{{name: "front-1"}, {name: "front-2"}},
	}}
	s.endpoints = []*endpoint{{service: engines, model: model, operate: o}, {service: apps, operate: o}}
	for _, e := range s.endpoints {
		assert.NilError(t, e.start())
		t.Cleanup(func() { e.stop(e.running()) })
	}
	return s
}

// call places a call that was sent some time ago and has ended.
func (s *scene) call(attempt string, kind callKind, ago time.Duration, status int, err error) *call {
	k := &call{attempt: attempt, kind: kind, path: "/" + string(kind) + "/1", token: token, gateway: s.gateways[0], status: status, err: err}
	s.record.begin(k)
	k.sent = time.Now().Add(-ago)
	s.record.end(k)
	return k
}

// runs has an endpoint run a request.
func (s *scene) runs(e *endpoint, attempt, path, forTeam string) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(""))
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Tenant", forTeam)
	e.running().worker.ServeHTTP(httptest.NewRecorder(), r)
}

// order has an engine take an order.
func (s *scene) order(holder, body string) {
	r := httptest.NewRequest(http.MethodPost, "/redwingknot/order", strings.NewReader(body))
	w := httptest.NewRecorder()
	s.endpoints[0].running().worker.ServeHTTP(w, r)
	assert.Equal(s.t, w.Code, http.StatusAccepted, holder)
}

// TestChecksFindBrokenPromises places one broken promise at a time.
func TestChecksFindBrokenPromises(t *testing.T) {
	const path = "/once/1"
	cases := map[string]struct {
		promise Promise
		place   func(s *scene)
	}{
		"a run that nobody asked for": {RunUnsent, func(s *scene) { s.runs(s.endpoints[1], "stranger", path, team) }},
		"a run for another team": {RunUnsent, func(s *scene) {
			s.call("a", callOnce, 0, 200, nil)
			s.runs(s.endpoints[1], "a", path, "theirs")
		}},
		"a second run": {RunTwice, func(s *scene) {
			s.call("a", callOnce, 0, 200, nil)
			s.runs(s.endpoints[1], "a", path, team)
			s.runs(s.endpoints[1], "a", path, team)
		}},
		"a refusal of what ran": {RefusedButRan, func(s *scene) {
			s.call("a", callOnce, 0, http.StatusServiceUnavailable, nil)
			s.runs(s.endpoints[1], "a", path, team)
		}},
		"an answer at fault":   {WrongAnswer, func(s *scene) { s.call("a", callOpen, 0, 200, nil).fault = "other bytes" }},
		"a proper call denied": {ValidCallDenied, func(s *scene) { s.call("a", callOpen, 0, http.StatusNotFound, nil) }},
		"a lower fence after a higher": {TwoHolders, func(s *scene) {
			s.order("front-1", `{"holder":"front-1","fencing_token":5,"model":"m","version":2}`)
			time.Sleep(weightsTime + 10*time.Millisecond)
			s.order("front-2", `{"holder":"front-2","fencing_token":4,"model":"m","version":3}`)
		}},
		"a withdrawn token honoured": {RevokedTokenAccepted, func(s *scene) {
			s.operator.revoke()
			s.operator.revokedAt = time.Now().Add(-time.Minute)
			s.call("a", callOnce, time.Second, 200, nil).token = withdrawn
			s.runs(s.endpoints[1], "a", path, team)
		}},
		"a moved route at its old service": {OldRouteUsed, func(s *scene) {
			s.operator.move()
			s.operator.movedAt = time.Now().Add(-time.Minute)
			s.call("a", callMoved, time.Second, 200, nil)
			s.runs(s.endpoints[1], "a", "/moved/1", team)
		}},
		"a request to an endpoint that left": {LeftEndpointUsed, func(s *scene) {
			i := s.endpoints[1].running()
			i.leave(s.operator, s.endpoints[1])
			i.left = time.Now().Add(-time.Minute)
			s.call("a", callOnce, 0, 200, nil)
			s.runs(s.endpoints[1], "a", path, team)
		}},
		"an answer lost in calm": {LostAnswer, func(s *scene) {
			s.call("a", callOnce, 0, http.StatusBadGateway, nil)
			s.runs(s.endpoints[1], "a", path, team)
		}},
		"a refusal for the store's sake": {LostAnswer, func(s *scene) {
			s.trouble.begin(true)
			s.call("a", callOpen, 0, http.StatusServiceUnavailable, nil)
		}},
		"too many repeats": {TooManyRepeats, func(s *scene) {
			s.call("a", callOpen, 0, 200, nil)
			for range 2 * budgetSlack {
				s.runs(s.endpoints[1], "a", "/open/1", "")
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScene(t)
			s.check(true)
			assert.Equal(t, len(s.violations), 0)
			c.place(s)
			s.check(true)
			found := false
			for _, v := range s.violations {
				found = found || v.Promise == c.promise
			}
			assert.Check(t, found, "%v", s.violations)
		})
	}
}

// TestWrongAnswersAreSeen checks the comparison of answers.
func TestWrongAnswersAreSeen(t *testing.T) {
	k := &call{attempt: "a", kind: callStream, path: "/stream/1"}
	h := http.Header{"Response-Stamp": {fleetworker.ResponseStamp}, "Attempt-Id": {"a"}}
	var whole string
	for id := range streamEvents {
		whole += fleetworker.StreamEvent(k.path, id)
	}
	assert.Equal(t, wrong(k, http.MethodPost, "", h, whole), "")
	first, second := fleetworker.StreamEvent(k.path, 0), fleetworker.StreamEvent(k.path, 1)
	for _, got := range []string{first, whole + first, strings.Replace(whole, first, "", 1), strings.Replace(whole, first+second, second+first, 1)} {
		assert.Check(t, wrong(k, http.MethodPost, "", h, got) != "", "%q", got)
	}
	h.Set("Attempt-Id", "b")
	assert.Check(t, wrong(k, http.MethodPost, "", h, whole) != "")
	// What breaks off may be a part, but not another part.
	k.err = http.ErrAbortHandler
	h.Set("Attempt-Id", "a")
	assert.Equal(t, wrong(k, http.MethodPost, "", h, first+second[:5]), "")
	assert.Check(t, wrong(k, http.MethodPost, "", h, second) != "")
}

// TestLinkFaults sends bytes through a link under each fault.
func TestLinkFaults(t *testing.T) {
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	t.Cleanup(front.Close)
	k, err := NewLink(front.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(k.Close)
	connections := &http.Transport{}
	within := func(patience time.Duration) bool {
		client := &http.Client{Timeout: patience, Transport: connections}
		res, err := client.Get("http://" + k.Addr())
		if err != nil {
			return false
		}
		return res.Body.Close() == nil
	}
	passes := func() bool { return within(patience) }
	blocked := func() bool { return !within(300 * time.Millisecond) }
	assert.Check(t, passes())
	for _, f := range []LinkFault{{HoldToTarget: true}, {HoldToDialer: true}, {Delay: time.Second}} {
		k.SetFault(f)
		assert.Check(t, blocked(), "%v", f)
		k.SetFault(LinkFault{})
		connections.CloseIdleConnections()
		assert.Check(t, passes(), "%v", f)
	}
	k.Silence()
	assert.Check(t, blocked())
	connections.CloseIdleConnections()
	assert.Check(t, passes())
	k.Reset()
	connections.CloseIdleConnections()
	assert.Check(t, passes())
}
