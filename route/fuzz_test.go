package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"redwingknot/engine"
	"redwingknot/internal/fuzztest"
	"redwingknot/note"
)

// expectedEndpoint is the expected state of an endpoint, computed independently of
// the router.
type expectedEndpoint struct {
	configured         bool
	leaving            bool
	quarantined        bool
	reported           bool
	report             engine.Report
	versionProvenAfter time.Time // reports made up to this time don't prove the weight version
	failures           int       // since the last success
}

// isEligible reports whether the endpoint may run q, apart from q.Exclude and
// ejection.
func (e *expectedEndpoint) isEligible(q Query, now time.Time) bool {
	return e.configured && !e.leaving && !e.quarantined && e.reported &&
		!e.report.Leaving && q.Version != "" && e.report.Version == q.Version &&
		now.Sub(e.report.At) <= defaultReportTTL && e.report.At.After(e.versionProvenAfter)
}

// fuzzFleet applies the same operations to a router and to the expected states of
// its endpoints.
type fuzzFleet struct {
	t            *rapid.T
	router       *Router
	now          time.Time
	states       []expectedEndpoint
	inFlight     map[string]int // endpoint index by attempt
	attemptCount int
}

// drawIndex returns a random endpoint index.
func (f *fuzzFleet) drawIndex() int { return rapid.IntRange(0, len(f.states)-1).Draw(f.t, "endpoint") }

func (f *fuzzFleet) drawVersion() string {
	return rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(f.t, "version")
}

// configure sets a random subset of the endpoints.
func (f *fuzzFleet) configure() {
	var list []note.Endpoint
	for i := range f.states {
		keep := rapid.IntRange(0, 4).Draw(f.t, "keep") > 0
		if keep {
			list = append(list, testEndpoint(i))
		}
		if !keep {
			f.states[i].reported, f.states[i].quarantined, f.states[i].failures = false, false, 0
			f.states[i].versionProvenAfter = time.Time{}
			f.dropAttempts(i)
		}
		f.states[i].configured = keep
	}
	f.router.SetEndpoints(list)
}

// dropAttempts forgets the attempts at an endpoint that left the configuration.
func (f *fuzzFleet) dropAttempts(endpoint int) {
	for a, e := range f.inFlight {
		if e == endpoint {
			delete(f.inFlight, a)
		}
	}
}

func (f *fuzzFleet) setLeaving() {
	i, leaving := f.drawIndex(), rapid.Bool().Draw(f.t, "leaving")
	f.states[i].leaving = leaving
	f.router.SetLeaving(testEndpoint(i).Name, leaving)
}

func (f *fuzzFleet) toggleQuarantine() {
	i := f.drawIndex()
	if !f.states[i].configured {
		return
	}
	f.states[i].quarantined = !f.states[i].quarantined
	f.router.SetQuarantined(testEndpoint(i).Name, f.states[i].quarantined)
}

func (f *fuzzFleet) observe() {
	i := f.drawIndex()
	rep := idleReport(f.now.Add(-time.Duration(rapid.IntRange(0, 40_000).Draw(f.t, "age")) * time.Millisecond))
	rep.Version = f.drawVersion()
	rep.Leaving = rapid.IntRange(0, 5).Draw(f.t, "engineLeaving") == 0
	f.router.ObserveReport(testEndpoint(i).Name, rep, f.now)
	e := &f.states[i]
	if e.configured && (!e.reported || !rep.At.Before(e.report.At)) {
		e.reported, e.report = true, rep
	}
}

func (f *fuzzFleet) drawQuery() Query {
	q := testQuery()
	q.Version = f.drawVersion()
	for p := range rapid.IntRange(0, 3).Draw(f.t, "pieces") {
		q.Pieces = append(q.Pieces, fmt.Sprint(p))
	}
	if rapid.Bool().Draw(f.t, "bring") {
		q.BringBackTime = func(string, int) (time.Duration, bool) { return time.Millisecond, true }
	}
	if rapid.IntRange(0, 3).Draw(f.t, "exclude") == 0 {
		q.Exclude = []string{testEndpoint(f.drawIndex()).Name}
	}
	q.PreferIdle = rapid.IntRange(0, 3).Draw(f.t, "alone") == 0
	return q
}

// choose checks a decision of the router against the expected states and dispatches
// an attempt if there is a choice.
func (f *fuzzFleet) choose() {
	q := f.drawQuery()
	c, err := f.router.Choose(q, f.now, newRNG())
	if err != nil {
		f.checkNoneEligible(q, err)
		return
	}
	var i int
	fmt.Sscanf(c.Endpoint, "w%d", &i)
	if !f.states[i].isEligible(q, f.now) || slices.Contains(q.Exclude, c.Endpoint) {
		f.t.Fatalf("chose %s for version %q: %+v", c.Endpoint, q.Version, f.states[i])
	}
	f.attemptCount++
	attempt := fmt.Sprint("a", f.attemptCount)
	f.router.RecordDispatch(attempt, q, c, f.now)
	f.inFlight[attempt] = i
}

// checkNoneEligible fails if an endpoint without failures since its last success
// could have run q.
func (f *fuzzFleet) checkNoneEligible(q Query, err error) {
	var none *NoEndpointError
	if !errors.As(err, &none) {
		f.t.Fatalf("unexpected error %v", err)
	}
	for i := range f.states {
		e := &f.states[i]
		if e.isEligible(q, f.now) && e.failures == 0 && !slices.Contains(q.Exclude, testEndpoint(i).Name) {
			f.t.Fatalf("Choose failed with %v although w%d is eligible", err, i)
		}
	}
}

// endAttempt ends a random attempt, if it is in flight, with a random outcome.
func (f *fuzzFleet) endAttempt() {
	if len(f.inFlight) == 0 {
		return
	}
	attempt := fmt.Sprint("a", rapid.IntRange(1, f.attemptCount).Draw(f.t, "attempt"))
	i, ok := f.inFlight[attempt]
	if !ok {
		return
	}
	if rapid.Bool().Draw(f.t, "answered") {
		f.router.RecordFirstToken(testEndpoint(i).Name, attempt, f.now)
	}
	o := Outcome(rapid.IntRange(int(Succeeded), int(AnsweredOldVersion)).Draw(f.t, "outcome"))
	f.router.RecordEnd(testEndpoint(i).Name, attempt, o, f.now)
	delete(f.inFlight, attempt)
	switch o {
	case Succeeded:
		f.states[i].failures = 0
	case Failed, Crashed, Unreachable:
		f.states[i].failures++
	case AnsweredOldVersion:
		f.states[i].versionProvenAfter = f.now
	}
}

func (f *fuzzFleet) advanceTime() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(f.t, "wait")) * time.Millisecond)
}

func newFuzzFleet(t *rapid.T, endpoints int) *fuzzFleet {
	f := &fuzzFleet{t: t, router: NewRouter(Config{Service: testService}), now: testStart, inFlight: map[string]int{}}
	f.states = make([]expectedEndpoint, endpoints)
	f.configure()
	return f
}

func (f *fuzzFleet) run() {
	f.t.Repeat(map[string]func(*rapid.T){
		"configure":  func(*rapid.T) { f.configure() },
		"leave":      func(*rapid.T) { f.setLeaving() },
		"quarantine": func(*rapid.T) { f.toggleQuarantine() },
		"observe":    func(*rapid.T) { f.observe() },
		"choose":     func(*rapid.T) { f.choose() },
		"choose2":    func(*rapid.T) { f.choose() },
		"end":        func(*rapid.T) { f.endAttempt() },
		"wait":       func(*rapid.T) { f.advanceTime() },
	})
}

// TestFuzzChooseOnlyEligible checks that Choose never returns an endpoint that is
// withdrawn, leaving, quarantined or of another weight version, and that it finds
// an eligible endpoint if there is one.
func TestFuzzChooseOnlyEligible(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) { newFuzzFleet(t, 5).run() })
}

// TestFuzzSampledChoiceFindsSingleEligibleEndpoint checks that Choose finds the
// only eligible endpoint of a service that is too large for all endpoints to be
// scored at first.
func TestFuzzSampledChoiceFindsSingleEligibleEndpoint(t *testing.T) {
	const endpoints = 3 * sampleSize
	fuzztest.Check(t, func(t *rapid.T) {
		r := newTestRouter(endpoints)
		eligible := rapid.IntRange(0, endpoints-1).Draw(t, "good")
		rep := idleReport(testStart.Add(1))
		rep.Version = "v2"
		r.ObserveReport(testEndpoint(eligible).Name, rep, testStart)
		q := testQuery()
		q.Version = "v2"
		c, err := r.Choose(q, testStart, newRNG())
		if err != nil || c.Endpoint != testEndpoint(eligible).Name {
			t.Fatalf("chose %q, %v", c.Endpoint, err)
		}
	})
}

// TestFuzzCacheView compares a cacheView with one map of blocks per endpoint.
func TestFuzzCacheView(t *testing.T) {
	const endpoints, blocks, limit = 12, 8, 5
	fuzztest.Check(t, func(t *rapid.T) {
		v := newCacheView()
		expected := [endpoints]map[uint64]bool{}
		for e := range expected {
			expected[e] = map[uint64]bool{}
		}
		drawPair := func() (uint16, uint64) {
			return uint16(rapid.IntRange(0, endpoints-1).Draw(t, "slot")), rapid.Uint64Range(1, blocks).Draw(t, "block")
		}
		t.Repeat(map[string]func(*rapid.T){
			"add":    func(*rapid.T) { e, b := drawPair(); v.add(e, b, 1000); expected[e][b] = true },
			"remove": func(*rapid.T) { e, b := drawPair(); v.remove(e, b); delete(expected[e], b) },
			"reset":  func(*rapid.T) { e, _ := drawPair(); v.clearEndpoint(e); clear(expected[e]) },
			"": func(t *rapid.T) {
				prefix := []uint64{1, 2, 3, 4}
				var cached [endpoints]uint16
				v.countCachedPrefix(prefix, cached[:])
				for e := range expected {
					want := uint16(0)
					for want < 4 && expected[e][prefix[want]] {
						want++
					}
					if cached[e] != want {
						t.Fatalf("endpoint %d has %d blocks of the prefix, the view counts %d", e, want, cached[e])
					}
				}
			},
		})
		for e := range uint16(endpoints) {
			v.clearEndpoint(e)
		}
		if len(v.blocks)+len(v.bitSets) != 0 {
			t.Fatalf("%d blocks are left after all endpoints were reset", len(v.blocks))
		}
		for b := range uint64(100) {
			v.add(0, b, limit)
		}
		if len(v.blocks) != limit {
			t.Fatalf("%d blocks with a limit of %d", len(v.blocks), limit)
		}
	})
}
