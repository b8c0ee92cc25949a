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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func spec(i int) note.Endpoint {
	return note.Endpoint{Name: fmt.Sprintf("w%d", i), Service: testService, URL: "u", Slots: 16, DataCentre: "dc0"}
}

func report(at time.Time) engine.Report {
	return engine.Report{Epoch: "e", Model: testModel, Version: testVersion, At: at}
}

// newTestRouter returns a router of n idle endpoints that reported at epoch.
func newTestRouter(n int) *Router {
	r := NewRouter(Config{Service: testService})
	var list []note.Endpoint
	for i := range n {
		list = append(list, spec(i))
	}
	r.SetEndpoints(list)
	for _, s := range list {
		r.ObserveReport(s.Name, report(epoch), epoch)
	}
	return r
}

func query() Query {
	return Query{Service: testService, Model: testModel, Version: testVersion, PromptTokens: 4000, DataCentre: "dc0"}
}

func TestChooseRulesOut(t *testing.T) {
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
			rep := report(epoch.Add(1))
			rep.Loading = "v2"
			r.ObserveReport("w0", rep, epoch)
		}, WrongVersion},
		"engine leaving": {func(r *Router, _ *Query) {
			rep := report(epoch.Add(1))
			rep.Leaving = true
			r.ObserveReport("w0", rep, epoch)
		}, Leaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, q := newTestRouter(1), query()
			c.change(r, &q)
			_, err := r.Choose(q, epoch, newRNG())
			var none *NoEndpointError
			assert.Assert(t, errors.As(err, &none))
			assert.Equal(t, none.Verdicts[c.want], 1)
		})
	}
}

func TestChooseFollowsThePrefix(t *testing.T) {
	r, q := newTestRouter(8), query()
	q.Pieces = []string{"a", "b"}
	r.ApplyCacheEvent("w5", engine.Event{Seq: 1, Block: "a"})
	r.ApplyCacheEvent("w5", engine.Event{Seq: 2, Block: "b"})
	c, err := r.Choose(q, epoch, newRNG())
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint, "w5")
	assert.Equal(t, c.CachedPieces, 2)
}

func TestGapForgetsTheCache(t *testing.T) {
	r, q := newTestRouter(2), query()
	q.Pieces = []string{"a"}
	r.ApplyCacheEvent("w0", engine.Event{Seq: 1, Block: "a"})
	r.ApplyCacheEvent("w0", engine.Event{Seq: 3, Block: "c"})
	c, err := r.Choose(q, epoch, newRNG())
	assert.NilError(t, err)
	assert.Equal(t, c.CachedPieces, 0)
}

func TestChooseBringsBackWhereFaster(t *testing.T) {
	r, q := newTestRouter(2), query()
	q.Pieces = []string{"a", "b"}
	q.BringBackTime = func(endpoint string, _ int) (time.Duration, bool) { return time.Millisecond, endpoint == "w1" }
	c, err := r.Choose(q, epoch, newRNG())
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint, "w1")
	assert.Assert(t, c.BringBack)
}

func TestFailuresEjectAndAProbeRestores(t *testing.T) {
	r, q := newTestRouter(2), query()
	rng, now := newRNG(), epoch
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
	now = now.Add(2 * defaultEjectBase)
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

// TestEndpointThatIsGoneIsLeftAtOnce expects no second attempt at an endpoint
// whose process has ended or can't be reached.
func TestEndpointThatIsGoneIsLeftAtOnce(t *testing.T) {
	for _, outcome := range []Outcome{Crashed, Unreachable} {
		r, q := newTestRouter(2), query()
		r.RecordDispatch("a", q, Choice{Endpoint: "w0"}, epoch)
		r.RecordEnd("w0", "a", outcome, epoch)
		rng := newRNG()
		for range 50 {
			c, err := r.Choose(q, epoch, rng)
			assert.NilError(t, err)
			assert.Equal(t, c.Endpoint, "w1")
		}
	}
}

func TestSilentEndpointIsAvoided(t *testing.T) {
	r, q := newTestRouter(2), query()
	r.RecordDispatch("hung", q, Choice{Endpoint: "w0", Expected: 200 * time.Millisecond}, epoch)
	now, rng := epoch.Add(5*time.Second), newRNG()
	for _, n := range []string{"w0", "w1"} {
		r.ObserveReport(n, report(now), now)
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
				c, err := r.Choose(query(), epoch, rng)
				if err != nil {
					continue
				}
				r.RecordDispatch(attempt, query(), c, epoch)
				r.ObserveReport(c.Endpoint, report(epoch), epoch)
				r.RecordFirstToken(c.Endpoint, attempt, epoch)
				r.RecordEnd(c.Endpoint, attempt, Succeeded, epoch)
			}
		})
	}
	group.Wait()
	for _, e := range r.byName {
		assert.Equal(t, len(e.inFlight), 0)
	}
}

func TestPlainServiceSpreadsByOutstanding(t *testing.T) {
	r := NewRouter(Config{Service: testService, Kind: note.KindPlain})
	r.SetEndpoints([]note.Endpoint{spec(0), spec(1), spec(2)})
	rng, count := newRNG(), map[string]int{}
	for i := range 30 {
		c, err := r.Choose(Query{Service: testService, DataCentre: "dc0"}, epoch, rng)
		assert.NilError(t, err)
		r.RecordDispatch(fmt.Sprint(i), Query{}, c, epoch)
		count[c.Endpoint]++
	}
	for _, n := range count {
		assert.Assert(t, n >= 9 && n <= 11, "%v", count)
	}
}

func TestExplainNamesEveryEndpoint(t *testing.T) {
	r, q := newTestRouter(3), query()
	r.SetLeaving("w1", true)
	q.Explain = true
	c, err := r.Choose(q, epoch, newRNG())
	assert.NilError(t, err)
	verdicts := map[Verdict]int{}
	for _, k := range c.Considered {
		verdicts[k.Verdict]++
	}
	assert.DeepEqual(t, verdicts, map[Verdict]int{Chosen: 1, NearBest: 1, Leaving: 1})
}

// TestPopularBlockIsCountedOnce: dispatching a prefix that all endpoints have
// does not push other blocks out of the view.
func TestPopularBlockIsCountedOnce(t *testing.T) {
	v := newCacheView()
	const limit = 4
	v.add(0, 1, limit)
	for slot := range uint16(2 * inlineHolders) {
		v.add(slot, 2, limit)
	}
	for range 3 * limit {
		v.add(0, 2, limit)
	}
	var cached [2 * inlineHolders]uint16
	v.prefix([]uint64{1, 2}, cached[:])
	assert.Equal(t, cached[0], uint16(2))
}

// TestCrashWithManyAttemptsEjectsOnce: the attempts that were in flight at the
// ejection don't prolong it.
func TestCrashWithManyAttemptsEjectsOnce(t *testing.T) {
	r, q := newTestRouter(2), query()
	for i := range 40 {
		r.RecordDispatch(fmt.Sprint(i), q, Choice{Endpoint: "w0"}, epoch)
	}
	for i := range 40 {
		r.RecordEnd("w0", fmt.Sprint(i), Crashed, epoch)
	}
	q.Exclude = []string{"w1"}
	_, err := r.Choose(q, epoch.Add(3*defaultEjectBase/2), newRNG())
	assert.NilError(t, err)
}
