package route

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/engine"
	"redwingknot/note"
)

const (
	testService = "svc"
	testModel   = "m"
	testVersion = "v1"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func testEndpoint(i int) note.Endpoint {
	return note.Endpoint{Name: fmt.Sprintf("w%d", i), Service: testService, URL: "u", Slots: 16, DataCentre: "dc0"}
}

func idleReport(at time.Time) engine.Report {
	return engine.Report{Epoch: "e", Model: testModel, Version: testVersion, At: at}
}

// newTestRouter returns a router with n idle endpoints that reported at testStart.
func newTestRouter(n int) *Router {
	r := NewRouter(Config{Service: testService})
	var list []note.Endpoint
	for i := range n {
		list = append(list, testEndpoint(i))
	}
	r.SetEndpoints(list)
	for _, s := range list {
		r.ObserveReport(s.Name, idleReport(testStart), testStart)
	}
	return r
}

func testQuery() Query {
	return Query{Service: testService, Model: testModel, Version: testVersion, PromptTokens: 4000, DataCentre: "dc0"}
}

func TestChooseSkipsIneligibleEndpoints(t *testing.T) {
	cases := map[string]struct {
		change func(r *Router, q *Query)
		want   Verdict
	}{
		"leaving":       {func(r *Router, _ *Query) { r.SetLeaving("w0", true) }, Leaving},
		"quarantined":   {func(r *Router, _ *Query) { r.SetQuarantined("w0", true) }, Quarantined},
		"excluded":      {func(_ *Router, q *Query) { q.Exclude = []string{"w0"} }, Excluded},
		"wrong version": {func(_ *Router, q *Query) { q.Version = "v2" }, WrongVersion},
		"no version":    {func(_ *Router, q *Query) { q.Version = "" }, WrongVersion},
		"adapter":       {func(_ *Router, q *Query) { q.Adapter = "a@1" }, WrongAdapter},
		"engine loading": {func(r *Router, _ *Query) {
			rep := idleReport(testStart.Add(1))
			rep.Loading = "v2"
			r.ObserveReport("w0", rep, testStart)
		}, WrongVersion},
		"engine leaving": {func(r *Router, _ *Query) {
			rep := idleReport(testStart.Add(1))
			rep.Leaving = true
			r.ObserveReport("w0", rep, testStart)
		}, Leaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, q := newTestRouter(1), testQuery()
			c.change(r, &q)
			_, err := r.Choose(q, testStart, newRNG())
			var none *NoEndpointError
			assert.Assert(t, errors.As(err, &none))
			assert.Equal(t, none.Verdicts[c.want], 1)
		})
	}
}

func TestChoosePrefersCachedPrefix(t *testing.T) {
	r, q := newTestRouter(8), testQuery()
	q.Pieces = []string{"a", "b"}
	r.ApplyCacheEvent("w5", engine.Event{Seq: 1, Block: "a"})
	r.ApplyCacheEvent("w5", engine.Event{Seq: 2, Block: "b"})
	c, err := r.Choose(q, testStart, newRNG())
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint, "w5")
	assert.Equal(t, c.CachedPieces, 2)
}

func TestSequenceGapClearsCacheView(t *testing.T) {
	r, q := newTestRouter(2), testQuery()
	q.Pieces = []string{"a"}
	r.ApplyCacheEvent("w0", engine.Event{Seq: 1, Block: "a"})
	r.ApplyCacheEvent("w0", engine.Event{Seq: 3, Block: "c"})
	c, err := r.Choose(q, testStart, newRNG())
	assert.NilError(t, err)
	assert.Equal(t, c.CachedPieces, 0)
}

// TestRestartClearsCacheView has an endpoint start again at its address. What the router took for
// cached there must be forgotten with the first report or the first cache events of the new
// process, whichever comes first.
func TestRestartClearsCacheView(t *testing.T) {
	for name, restart := range map[string]func(r *Router){
		"report": func(r *Router) {
			report := idleReport(testStart.Add(time.Second))
			report.Epoch = "e2"
			r.ObserveReport("w0", report, report.At)
		},
		"events": func(r *Router) { r.ApplyCacheEvents("w0", engine.Events{Epoch: "e2"}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(1)
			q := testQuery()
			q.Pieces = []string{"a", "b"}
			r.ApplyCacheEvents("w0", engine.Events{Epoch: "e", Last: 2, List: []engine.Event{{Seq: 1, Block: "a"}, {Seq: 2, Block: "b"}}})
			now := testStart.Add(2 * time.Second)
			c, err := r.Choose(q, now, newRNG())
			assert.NilError(t, err)
			assert.Equal(t, c.CachedPieces, 2)
			restart(r)
			c, err = r.Choose(q, now, newRNG())
			assert.NilError(t, err)
			assert.Equal(t, c.CachedPieces, 0)
		})
	}
}

func TestChooseImportsPrefixWhenFaster(t *testing.T) {
	r, q := newTestRouter(2), testQuery()
	q.Pieces = []string{"a", "b"}
	q.BringBackTime = func(endpoint string, _ int) (time.Duration, bool) { return time.Millisecond, endpoint == "w1" }
	c, err := r.Choose(q, testStart, newRNG())
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint, "w1")
	assert.Assert(t, c.BringBack)
}

func TestFailuresEjectAndProbeRestores(t *testing.T) {
	r, q := newTestRouter(2), testQuery()
	rng, now := newRNG(), testStart
	for i := range defaultFailuresToEject {
		attempt := fmt.Sprint("a", i)
		r.RecordDispatch(attempt, q, Choice{Endpoint: "w0"}, now)
		r.RecordEnd("w0", attempt, Failed, now)
	}
	for range 50 {
		c, err := r.Choose(q, now, rng)
		assert.NilError(t, err)
		assert.Equal(t, c.Endpoint, "w1")
	}
	now = now.Add(2 * defaultMinEjection)
	q.Exclude = []string{"w1"}
	c, err := r.Choose(q, now, rng)
	assert.NilError(t, err)
	r.RecordDispatch("probe", q, c, now)
	_, err = r.Choose(q, now, rng)
	assert.ErrorContains(t, err, "1 ejected")
	r.RecordEnd("w0", "probe", Succeeded, now)
	_, err = r.Choose(q, now, rng)
	assert.NilError(t, err)
}

// TestCrashedOrUnreachableEndpointIsEjectedAtOnce checks that an endpoint whose
// process has ended or can't be reached gets no second attempt.
func TestCrashedOrUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	for _, outcome := range []Outcome{Crashed, Unreachable} {
		r, q := newTestRouter(2), testQuery()
		r.RecordDispatch("a", q, Choice{Endpoint: "w0"}, testStart)
		r.RecordEnd("w0", "a", outcome, testStart)
		rng := newRNG()
		for range 50 {
			c, err := r.Choose(q, testStart, rng)
			assert.NilError(t, err)
			assert.Equal(t, c.Endpoint, "w1")
		}
	}
}

func TestOverdueEndpointIsAvoided(t *testing.T) {
	r, q := newTestRouter(2), testQuery()
	r.RecordDispatch("hung", q, Choice{Endpoint: "w0", Expected: 200 * time.Millisecond}, testStart)
	now, rng := testStart.Add(5*time.Second), newRNG()
	for _, n := range []string{"w0", "w1"} {
		r.ObserveReport(n, idleReport(now), now)
	}
	for range 50 {
		c, err := r.Choose(q, now, rng)
		assert.NilError(t, err)
		assert.Equal(t, c.Endpoint, "w1")
	}
}

func TestRouterIsSafeForConcurrentUse(t *testing.T) {
	r := newTestRouter(4)
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 1))
			for i := range 200 {
				attempt := fmt.Sprint(g, "/", i)
				c, err := r.Choose(testQuery(), testStart, rng)
				if err != nil {
					continue
				}
				r.RecordDispatch(attempt, testQuery(), c, testStart)
				r.ObserveReport(c.Endpoint, idleReport(testStart), testStart)
				r.RecordFirstToken(c.Endpoint, attempt, testStart)
				r.RecordEnd(c.Endpoint, attempt, Succeeded, testStart)
			}
		})
	}
	group.Wait()
	for _, e := range r.byName {
		assert.Equal(t, len(e.inFlight), 0)
	}
}

func TestPlainServiceBalancesByInFlight(t *testing.T) {
	r := NewRouter(Config{Service: testService, Kind: note.KindPlain})
	r.SetEndpoints([]note.Endpoint{testEndpoint(0), testEndpoint(1), testEndpoint(2)})
	rng, count := newRNG(), map[string]int{}
	for i := range 30 {
		c, err := r.Choose(Query{Service: testService, DataCentre: "dc0"}, testStart, rng)
		assert.NilError(t, err)
		r.RecordDispatch(fmt.Sprint(i), Query{}, c, testStart)
		count[c.Endpoint]++
	}
	for _, n := range count {
		assert.Assert(t, n >= 9 && n <= 11, "%v", count)
	}
}

func TestExplainListsEveryEndpoint(t *testing.T) {
	r, q := newTestRouter(3), testQuery()
	r.SetLeaving("w1", true)
	q.Explain = true
	c, err := r.Choose(q, testStart, newRNG())
	assert.NilError(t, err)
	verdicts := map[Verdict]int{}
	for _, k := range c.Considered {
		verdicts[k.Verdict]++
	}
	assert.DeepEqual(t, verdicts, map[Verdict]int{Chosen: 1, NearBest: 1, Leaving: 1})
}

// TestRepeatedAddKeepsOtherBlocks checks that adding a block that all endpoints
// already have, as each dispatch of a popular prefix does, doesn't push other
// blocks out of the view.
func TestRepeatedAddKeepsOtherBlocks(t *testing.T) {
	v := newCacheView()
	const limit = 4
	v.add(0, 1, limit)
	for e := range uint16(2 * maxInlineHolders) {
		v.add(e, 2, limit)
	}
	for range 3 * limit {
		v.add(0, 2, limit)
	}
	var cached [2 * maxInlineHolders]uint16
	v.countCachedPrefix([]uint64{1, 2}, cached[:])
	assert.Equal(t, cached[0], uint16(2))
}

// TestCrashWithManyAttemptsEjectsOnce checks that attempts that were in flight when
// an endpoint was ejected don't prolong the ejection.
func TestCrashWithManyAttemptsEjectsOnce(t *testing.T) {
	r, q := newTestRouter(2), testQuery()
	for i := range 40 {
		r.RecordDispatch(fmt.Sprint(i), q, Choice{Endpoint: "w0"}, testStart)
	}
	for i := range 40 {
		r.RecordEnd("w0", fmt.Sprint(i), Crashed, testStart)
	}
	q.Exclude = []string{"w1"}
	_, err := r.Choose(q, testStart.Add(3*defaultMinEjection/2), newRNG())
	assert.NilError(t, err)
}
