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

// truth is what the oracle knows of an endpoint, kept apart from the router.
type truth struct {
	configured  bool
	leaving     bool
	quarantined bool
	reported    bool
	report      engine.Report
	proofFrom   time.Time // reports up to then don't count
	failures    int       // since the last success
}

func (e *truth) mayRun(q Query, now time.Time) bool {
	return e.configured && !e.leaving && !e.quarantined && e.reported &&
		!e.report.Leaving && q.Version != "" && e.report.Version == q.Version &&
		now.Sub(e.report.At) <= defaultReportTTL && e.report.At.After(e.proofFrom)
}

// fuzzFleet drives a router and the oracle with the same operations.
type fuzzFleet struct {
	t       *rapid.T
	r       *Router
	now     time.Time
	truths  []truth
	flights map[string]int // attempt to endpoint
	count   int
}

func (f *fuzzFleet) endpoint() int { return rapid.IntRange(0, len(f.truths)-1).Draw(f.t, "endpoint") }

func (f *fuzzFleet) version() string {
	return rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(f.t, "version")
}

func (f *fuzzFleet) configure() {
	var list []note.Endpoint
	for i := range f.truths {
		keep := rapid.IntRange(0, 4).Draw(f.t, "keep") > 0
		if keep {
			list = append(list, spec(i))
		}
		if !keep {
			f.truths[i].reported, f.truths[i].quarantined, f.truths[i].failures = false, false, 0
			f.truths[i].proofFrom = time.Time{}
			f.forget(i)
		}
		f.truths[i].configured = keep
	}
	f.r.SetEndpoints(list)
}

func (f *fuzzFleet) forget(endpoint int) {
	for a, e := range f.flights {
		if e == endpoint {
			delete(f.flights, a)
		}
	}
}

func (f *fuzzFleet) leave() {
	i, on := f.endpoint(), rapid.Bool().Draw(f.t, "leaving")
	f.truths[i].leaving = on
	f.r.SetLeaving(spec(i).Name, on)
}

func (f *fuzzFleet) quarantine() {
	i := f.endpoint()
	if !f.truths[i].configured {
		return
	}
	f.truths[i].quarantined = !f.truths[i].quarantined
	f.r.SetQuarantined(spec(i).Name, f.truths[i].quarantined)
}

func (f *fuzzFleet) observe() {
	i := f.endpoint()
	rep := report(f.now.Add(-time.Duration(rapid.IntRange(0, 40_000).Draw(f.t, "age")) * time.Millisecond))
	rep.Version = f.version()
	rep.Leaving = rapid.IntRange(0, 5).Draw(f.t, "engineLeaving") == 0
	f.r.ObserveReport(spec(i).Name, rep, f.now)
	e := &f.truths[i]
	if e.configured && (!e.reported || !rep.At.Before(e.report.At)) {
		e.reported, e.report = true, rep
	}
}

func (f *fuzzFleet) query() Query {
	q := query()
	q.Version = f.version()
	for p := range rapid.IntRange(0, 3).Draw(f.t, "pieces") {
		q.Pieces = append(q.Pieces, fmt.Sprint(p))
	}
	if rapid.Bool().Draw(f.t, "bring") {
		q.BringBackTime = func(string, int) (time.Duration, bool) { return time.Millisecond, true }
	}
	if rapid.IntRange(0, 3).Draw(f.t, "exclude") == 0 {
		q.Exclude = []string{spec(f.endpoint()).Name}
	}
	q.PreferIdle = rapid.IntRange(0, 3).Draw(f.t, "alone") == 0
	return q
}

func (f *fuzzFleet) choose() {
	q := f.query()
	c, err := f.r.Choose(q, f.now, newRNG())
	if err != nil {
		f.mustHaveNone(q, err)
		return
	}
	var i int
	fmt.Sscanf(c.Endpoint, "w%d", &i)
	if !f.truths[i].mayRun(q, f.now) || slices.Contains(q.Exclude, c.Endpoint) {
		f.t.Fatalf("chose %s for version %q: %+v", c.Endpoint, q.Version, f.truths[i])
	}
	f.count++
	attempt := fmt.Sprint("a", f.count)
	f.r.RecordDispatch(attempt, q, c, f.now)
	f.flights[attempt] = i
}

// mustHaveNone fails if an endpoint that never failed could have run q.
func (f *fuzzFleet) mustHaveNone(q Query, err error) {
	var none *NoEndpointError
	if !errors.As(err, &none) {
		f.t.Fatalf("unexpected error %v", err)
	}
	for i := range f.truths {
		e := &f.truths[i]
		if e.mayRun(q, f.now) && e.failures == 0 && !slices.Contains(q.Exclude, spec(i).Name) {
			f.t.Fatalf("refused with %v though w%d could run it", err, i)
		}
	}
}

func (f *fuzzFleet) end() {
	if len(f.flights) == 0 {
		return
	}
	attempt := fmt.Sprint("a", rapid.IntRange(1, f.count).Draw(f.t, "attempt"))
	i, ok := f.flights[attempt]
	if !ok {
		return
	}
	if rapid.Bool().Draw(f.t, "answered") {
		f.r.RecordFirstToken(spec(i).Name, attempt, f.now)
	}
	o := Outcome(rapid.IntRange(int(Succeeded), int(AnsweredOldVersion)).Draw(f.t, "outcome"))
	f.r.RecordEnd(spec(i).Name, attempt, o, f.now)
	delete(f.flights, attempt)
	switch o {
	case Succeeded:
		f.truths[i].failures = 0
	case Failed, Crashed, Unreachable:
		f.truths[i].failures++
	case AnsweredOldVersion:
		f.truths[i].proofFrom = f.now
	}
}

func (f *fuzzFleet) wait() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(f.t, "wait")) * time.Millisecond)
}

func newFuzzFleet(t *rapid.T, endpoints int) *fuzzFleet {
	f := &fuzzFleet{t: t, r: NewRouter(Config{Service: testService}), now: epoch, flights: map[string]int{}}
	f.truths = make([]truth, endpoints)
	f.configure()
	return f
}

func (f *fuzzFleet) run() {
	f.t.Repeat(map[string]func(*rapid.T){
		"configure":  func(*rapid.T) { f.configure() },
		"leave":      func(*rapid.T) { f.leave() },
		"quarantine": func(*rapid.T) { f.quarantine() },
		"observe":    func(*rapid.T) { f.observe() },
		"choose":     func(*rapid.T) { f.choose() },
		"choose2":    func(*rapid.T) { f.choose() },
		"end":        func(*rapid.T) { f.end() },
		"wait":       func(*rapid.T) { f.wait() },
	})
}

// TestFuzzChooseOnlyEligible: no endpoint withdrawn, leaving, quarantined or of
// another weight version is chosen, and one that is fine is found.
func TestFuzzChooseOnlyEligible(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) { newFuzzFleet(t, 5).run() })
}

// TestFuzzSampleFindsTheOnlyEligible is the same for a fleet that is sampled.
func TestFuzzSampleFindsTheOnlyEligible(t *testing.T) {
	const many = 3 * sampled
	fuzztest.Check(t, func(t *rapid.T) {
		r := newTestRouter(many)
		good := rapid.IntRange(0, many-1).Draw(t, "good")
		rep := report(epoch.Add(1))
		rep.Version = "v2"
		r.ObserveReport(spec(good).Name, rep, epoch)
		q := query()
		q.Version = "v2"
		c, err := r.Choose(q, epoch, newRNG())
		if err != nil || c.Endpoint != spec(good).Name {
			t.Fatalf("chose %q, %v", c.Endpoint, err)
		}
	})
}

// TestFuzzCacheView compares the compact view with plain sets.
func TestFuzzCacheView(t *testing.T) {
	const slots, blocks, limit = 12, 8, 5
	fuzztest.Check(t, func(t *rapid.T) {
		v := newCacheView()
		plain := [slots]map[uint64]bool{}
		for s := range plain {
			plain[s] = map[uint64]bool{}
		}
		any := func() (uint16, uint64) {
			return uint16(rapid.IntRange(0, slots-1).Draw(t, "slot")), rapid.Uint64Range(1, blocks).Draw(t, "block")
		}
		t.Repeat(map[string]func(*rapid.T){
			"add":    func(*rapid.T) { s, b := any(); v.add(s, b, 1000); plain[s][b] = true },
			"remove": func(*rapid.T) { s, b := any(); v.remove(s, b); delete(plain[s], b) },
			"reset":  func(*rapid.T) { s, _ := any(); v.reset(s); clear(plain[s]) },
			"": func(t *rapid.T) {
				prefix := []uint64{1, 2, 3, 4}
				var cached [slots]uint16
				v.prefix(prefix, cached[:])
				for s := range plain {
					want := uint16(0)
					for want < 4 && plain[s][prefix[want]] {
						want++
					}
					if cached[s] != want {
						t.Fatalf("slot %d has %d of the prefix, view says %d", s, want, cached[s])
					}
				}
			},
		})
		for s := range uint16(slots) {
			v.reset(s)
		}
		if len(v.blocks)+len(v.wide) != 0 {
			t.Fatalf("%d blocks are left after all were forgotten", len(v.blocks))
		}
		for b := range uint64(100) {
			v.add(0, b, limit)
		}
		if len(v.blocks) != limit {
			t.Fatalf("%d blocks above the limit of %d", len(v.blocks), limit)
		}
	})
}
