package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

// testCompanyLimit is the CompanyCrashLimit of the tests.
const testCompanyLimit = 3

func companyRegistry() *Registry { return NewRegistry(Config{CompanyCrashLimit: testCompanyLimit}) }

// asRequest returns the subject of a request with fingerprint f.
func asRequest(f Fingerprint) Subject { return Subject{Fingerprint: f, Depth: WholeRequest} }

// recordRounds records one crash for each of the given rounds, each of another endpoint.
func recordRounds(r *Registry, f Fingerprint, now time.Time, rounds ...int) Answer {
	var a Answer
	for i, round := range rounds {
		a = r.RecordCrash(asRequest(f), Crash{Endpoint: fmt.Sprint("e", i), Round: round}, false, now)
	}
	return a
}

func TestVerdictOnCrashesInCompany(t *testing.T) {
	for _, c := range []struct {
		name   string
		rounds []int
		want   Verdict
	}{
		{"one after the other", []int{1, 2, 3}, Refused},
		{"two copies, then one", []int{1, 1, 2}, Refused},
		{"below the limit", []int{1, 2}, RunAlone},
		{"copies at once", []int{1, 1, 1, 1}, Trial},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, f, now := companyRegistry(), testFingerprint(1), time.Now()
			recordRounds(r, f, now, c.rounds...)
			assert.Equal(t, r.Lookup(f, now.Add(trialDelay)).Verdict, c.want)
		})
	}
}

// TestRefusalInCompanyEndsAndReturns checks that a refused request gets a trial after
// CompanyRefusalTime, and that one more crash is enough to refuse it again.
func TestRefusalInCompanyEndsAndReturns(t *testing.T) {
	now := time.Now()
	r := companyRegistry()
	f := testFingerprint(1)
	assert.Equal(t, recordRounds(r, f, now, 1, 2, 3).RefusedFor, CompanyRefusalTime)
	now = now.Add(CompanyRefusalTime)
	a := r.Lookup(f, now)
	assert.Equal(t, a.Verdict, Trial)
	a = r.RecordCrash(asRequest(f), Crash{Endpoint: "another", Round: a.Rounds + 1}, false, now)
	assert.Equal(t, a.Verdict, Refused)
}

// TestCleanRunDisprovesEarlierCrashes checks that a run without a crash clears a request of
// the crashes that are known, and of no later ones.
func TestCleanRunDisprovesEarlierCrashes(t *testing.T) {
	now := time.Now()
	r := companyRegistry()
	f := testFingerprint(1)
	recordRounds(r, f, now, 1, 2)
	r.RecordCleanRun(f, now)
	assert.Equal(t, r.Lookup(f, now).Verdict, Clear)
	a := r.RecordCrash(asRequest(f), Crash{Endpoint: "later", Round: r.Lookup(f, now).Rounds + 1}, false, now)
	assert.Equal(t, a.Verdict, RunAlone)
	assert.DeepEqual(t, a.Crashed, []string{"later"})
}

// TestFuzzReplicasConverge records crashes and clean runs at several registries that pass
// on their changes now and then, in any order and possibly twice, and in parts. In the
// end all must give the same answer on each fingerprint.
func TestFuzzReplicasConverge(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		const replicas, subjects = 3, 2
		now := time.Now()
		list := make([]*Registry, replicas)
		acked := make([][replicas]uint64, replicas)
		for i := range list {
			list[i] = companyRegistry()
		}
		pass := func(from, to, limit int) uint64 {
			records, through := list[from].Changes(acked[from][to], limit)
			for _, rec := range records {
				list[to].Merge(rec, now)
			}
			return through
		}
		drawn := func(name string) int { return rapid.IntRange(0, replicas-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(*rapid.T) {
				r, n := list[drawn("at")], rapid.IntRange(0, subjects-1).Draw(t, "subject")
				f := testFingerprint(n)
				r.RecordCrash(Subject{f, n + 1}, Crash{Endpoint: fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "endpoint")), Round: r.Lookup(f, now).Rounds + 1}, false, now)
			},
			"clean": func(*rapid.T) {
				r, f := list[drawn("at")], testFingerprint(rapid.IntRange(0, subjects-1).Draw(t, "subject"))
				r.RecordCleanRun(f, now)
			},
			"pass":      func(*rapid.T) { from, to := drawn("from"), drawn("to"); acked[from][to] = pass(from, to, 1) },
			"pass lost": func(*rapid.T) { pass(drawn("from"), drawn("to"), 1) },
		})
		for range replicas {
			for from := range replicas {
				for to := range replicas {
					acked[from][to] = pass(from, to, subjects)
				}
			}
		}
		for n := range subjects {
			for _, r := range list[1:] {
				a, b := list[0].Lookup(testFingerprint(n), now), r.Lookup(testFingerprint(n), now)
				assert.Equal(t, a.Verdict, b.Verdict)
				assert.Equal(t, a.Rounds, b.Rounds)
			}
		}
	})
}

// TestReplicaPassesOnEachChange checks that a replica returns only what has changed since
// an earlier call, in parts of limited size.
func TestReplicaPassesOnEachChange(t *testing.T) {
	r := NewReplica(Config{CompanyCrashLimit: testCompanyLimit}, time.Now)
	assert.Check(t, r.Empty())
	for n := range 5 {
		r.RecordCrash(asRequest(testFingerprint(n)), Crash{Endpoint: "e", Round: 1})
	}
	assert.Check(t, !r.Empty())
	other := NewReplica(Config{CompanyCrashLimit: testCompanyLimit}, time.Now)
	var through uint64
	for _, want := range []int{2, 2, 1, 0} {
		var records []Record
		records, through = r.Changes(through, 2)
		assert.Equal(t, len(records), want)
		other.Merge(records)
	}
	assert.Equal(t, other.Lookup(testFingerprint(4)).Verdict, RunAlone)
}

// TestCauseOfCrashesIsReportedFirst has a part crash endpoints that run many others: a report
// with room for a few changes has that of the part.
func TestCauseOfCrashesIsReportedFirst(t *testing.T) {
	now := time.Now()
	r := companyRegistry()
	part := Subject{testFingerprint(1000), 1}
	for n := range 30 {
		crashOf(r, now, asRequest(testFingerprint(n)), part)
	}
	other := companyRegistry()
	records, through := r.Changes(0, 2)
	for _, rec := range records {
		other.Merge(rec, now)
	}
	assert.Equal(t, other.Lookup(part.Fingerprint, now).Verdict, Refused)
	assert.Check(t, through < r.changes)
}

// BenchmarkFingerprint hashes a request with a body of 8 KB.
func BenchmarkFingerprint(b *testing.B) {
	id := RequestIdentity{Team: "t", Target: "POST h/x", Body: make([]byte, 8<<10)}
	for b.Loop() {
		FingerprintOf(id)
	}
}

// BenchmarkEncodeRecord encodes a record with one crash and reports its size.
func BenchmarkEncodeRecord(b *testing.B) {
	now := time.Now()
	rec := Record{Crashes: []Crash{{Endpoint: "i-924a4f018b", Epoch: "1764840000000", Round: 1}}, LastReported: now.Add(-time.Second)}
	size := 0
	for b.Loop() {
		size = proto.Size(EncodeRecord(rec, now))
	}
	b.ReportMetric(float64(size), "B/record")
}

// onTrial returns replicas at instances that know each other, at all of which a request is
// on trial, and a function that begins a run of it at one of them.
func onTrial(t *testing.T, instances int, now func() time.Time) (begin func(at int) (*Run, error)) {
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprint("front-", n))
	}
	replicas := make([]*Replica, instances)
	for n := range replicas {
		replicas[n] = NewReplica(Config{CompanyCrashLimit: testCompanyLimit}, now)
		replicas[n].SetInstances(names[n], names)
		for e := range testCompanyLimit {
			replicas[n].RecordCrash(asRequest(testFingerprint(1)), Crash{Endpoint: fmt.Sprint("e", e), Round: 1})
		}
	}
	return func(at int) (*Run, error) {
		return replicas[at].Begin(func() []Subject { return []Subject{asRequest(testFingerprint(1))} })
	}
}

// TestRequestOnTrialRunsOnceAtATime begins runs of a request on trial at all instances:
// one of them runs it, and again once that run has ended. If it does not come to that
// instance, others run it in the end.
func TestRequestOnTrialRunsOnceAtATime(t *testing.T) {
	const instances = 7
	now := time.Now()
	begin := onTrial(t, instances, func() time.Time { return now })
	now = now.Add(trialDelay)
	begun := func() (runs []*Run) {
		for n := range instances {
			for range 2 {
				run, err := begin(n)
				var held *HeldError
				if errors.As(err, &held) {
					assert.Check(t, held.OnTrial)
					continue
				}
				runs = append(runs, run)
			}
		}
		return runs
	}
	first := begun()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(begun()), 0)
	first[0].End()
	assert.Equal(t, len(begun()), 1)
	now = now.Add(soleTrialTime + 3*trialSpreadTime)
	assert.Equal(t, len(begun()), instances-1)
}

// crashOf records a crash of an endpoint of its own under all given subjects at now, by runs
// that knew all crashes before.
func crashOf(r *Registry, now time.Time, subjects ...Subject) {
	endpoint := fmt.Sprint("crashed-", r.changes)
	for _, s := range subjects {
		r.RecordCrash(s, Crash{Endpoint: endpoint, Round: r.Lookup(s.Fingerprint, now).Rounds + 1}, false, now)
	}
}

// TestPartExplainsCrashesOfOthers has a part crash endpoints that run prompts with a sound
// first part, each time beside another request that its caller repeats: the part alone is
// refused.
func TestPartExplainsCrashesOfOthers(t *testing.T) {
	now := time.Now()
	first, second := Subject{testFingerprint(1), 1}, Subject{testFingerprint(2), 2}
	bad, repeated := Subject{testFingerprint(3), 3}, asRequest(testFingerprint(4))
	for _, c := range []struct {
		name    string
		crashes func(r *Registry)
		refused Subject
	}{
		{"the deepest of those with the same crashes", func(r *Registry) {
			for range 3 {
				crashOf(r, now, first, second, bad)
			}
		}, bad},
		{"the one with the most crashes", func(r *Registry) {
			crashOf(r, now, first, bad)
			for range 3 {
				crashOf(r, now, first, bad, repeated)
			}
		}, bad},
		{"one that was never cleared", func(r *Registry) {
			crashOf(r, now, first)
			r.RecordCleanRun(first.Fingerprint, now)
			crashOf(r, now, first)
			for range 3 {
				crashOf(r, now, first, bad)
			}
		}, bad},
		{"a first part that comes with other parts each time", func(r *Registry) {
			for n := range 3 {
				crashOf(r, now, first, Subject{testFingerprint(10 + n), 2})
			}
		}, first},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := companyRegistry()
			c.crashes(r)
			for _, s := range []Subject{first, second, bad, repeated} {
				assert.Equal(t, r.Lookup(s.Fingerprint, now).Verdict == Refused, s == c.refused, "depth %d", s.Depth)
			}
		})
	}
}

// TestDeepestOfThoseWithTheSameCrashesIsCharged has two parts come with the same crashes, with
// fingerprints in either order.
func TestDeepestOfThoseWithTheSameCrashesIsCharged(t *testing.T) {
	now := time.Now()
	for _, fingerprints := range [][2]Fingerprint{{testFingerprint(1), testFingerprint(2)}, {testFingerprint(2), testFingerprint(1)}} {
		r := companyRegistry()
		first, second := Subject{fingerprints[0], 1}, Subject{fingerprints[1], 2}
		for range 3 {
			crashOf(r, now, first, second)
		}
		assert.Equal(t, r.Lookup(first.Fingerprint, now).Verdict, RunAlone)
		assert.Equal(t, r.Lookup(second.Fingerprint, now).Verdict, Refused)
	}
}

// TestResponseThatGoesOnClearsParts has a response go on that began before the crashes of
// its request and of a part of its prompt were known: it clears the part.
func TestResponseThatGoesOnClearsParts(t *testing.T) {
	replica := NewReplica(Config{CompanyCrashLimit: testCompanyLimit}, time.Now)
	request, part := asRequest(testFingerprint(1)), Subject{testFingerprint(2), 1}
	run, err := replica.Begin(func() []Subject { return []Subject{request, part} })
	assert.NilError(t, err)
	replica.recordCrashes([]Subject{request, part}, []Crash{{Endpoint: "e"}, {Endpoint: "e"}})
	run.Answering()
	assert.Equal(t, replica.Lookup(part.Fingerprint).Verdict, Clear)
	assert.Equal(t, replica.Lookup(request.Fingerprint).Verdict, RunAlone)
	run.Completed()
	assert.Equal(t, replica.Lookup(request.Fingerprint).Verdict, Clear)
}

// TestSoundSubjectIsFreedByTheCauseOfItsCrashes refuses a part that came with each crash so
// far, until another part turns out to come with more crashes.
func TestSoundSubjectIsFreedByTheCauseOfItsCrashes(t *testing.T) {
	now := time.Now()
	r := companyRegistry()
	bad, sound := Subject{testFingerprint(1), 1}, Subject{testFingerprint(2), 2}
	for range 3 {
		crashOf(r, now, bad, sound)
	}
	assert.Equal(t, r.Lookup(sound.Fingerprint, now).Verdict, Refused)
	crashOf(r, now, bad)
	assert.Equal(t, r.Lookup(bad.Fingerprint, now).Verdict, Refused)
	assert.Equal(t, r.Lookup(sound.Fingerprint, now).Verdict, RunAlone)
}

// TestRefusalOfPartGrowsWithTrials has each trial of a part crash an endpoint, after a few
// crashes and after more than an entry holds.
func TestRefusalOfPartGrowsWithTrials(t *testing.T) {
	for _, crashes := range []int{testCompanyLimit, 2 * maxCrashesPerEntry} {
		testRefusalOfPartGrows(t, crashes)
	}
}

func testRefusalOfPartGrows(t *testing.T, crashes int) {
	now := time.Now()
	r := companyRegistry()
	part := Subject{testFingerprint(1), 1}
	for range crashes {
		crashOf(r, now, part)
	}
	for _, want := range []time.Duration{partRefusalTime, partRefusalTime * partRefusalGrowth, CompanyRefusalTime, CompanyRefusalTime} {
		a := r.Lookup(part.Fingerprint, now)
		assert.Equal(t, a.RefusedFor, want, "after %d crashes", crashes)
		now = now.Add(a.RefusedFor)
		a = r.Lookup(part.Fingerprint, now)
		assert.Equal(t, a.Verdict, Trial)
		r.RecordCrash(part, Crash{Endpoint: fmt.Sprint("trial-", now), Round: a.Rounds + 1, OnTrial: true}, false, now)
	}
}

// TestPopularPartStaysClearBesideCrashes has a part in flight at many crashes, with a clean
// run after each: it is never refused, and its record stays small.
func TestPopularPartStaysClearBesideCrashes(t *testing.T) {
	now := time.Now()
	r := companyRegistry()
	part := Subject{testFingerprint(1), 1}
	for range 50 {
		crashOf(r, now, part)
		assert.Check(t, r.Lookup(part.Fingerprint, now).Verdict != Refused)
		r.RecordCleanRun(part.Fingerprint, now)
	}
	records, _ := r.Changes(0, 10)
	assert.Check(t, len(records[0].Crashes) <= maxDisprovedPerEntry)
}

// TestFuzzPartThatCrashesIsFound runs prompts with random sound parts, some of them with a
// part that crashes each endpoint, several at a time. The part must be refused after one
// round of crashes, or the limit, and those that are in flight then; no sound part is
// refused beside it.
func TestFuzzPartThatCrashesIsFound(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		const firstParts, sessions, atOnce = 2, 5, 4
		const bound = max(testCompanyLimit, atOnce) + atOnce
		now := time.Now()
		replica := NewReplica(Config{CompanyCrashLimit: testCompanyLimit}, func() time.Time { return now })
		bad := Subject{testFingerprint(1000), 3}
		var sound []Subject
		for n := range firstParts {
			sound = append(sound, Subject{testFingerprint(n), 1})
		}
		for n := range sessions {
			sound = append(sound, Subject{testFingerprint(100 + n), 2})
		}
		type attempt struct {
			run     *Run
			crashes bool
		}
		var inFlight []attempt
		requests, crashes := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if len(inFlight) >= atOnce {
					t.Skip("enough are in flight")
				}
				requests++
				subjects := []Subject{
					asRequest(testFingerprint(2000 + requests)),
					sound[rapid.IntRange(0, firstParts-1).Draw(t, "first part")],
					sound[firstParts+rapid.IntRange(0, sessions-1).Draw(t, "session")],
				}
				crashes := rapid.Bool().Draw(t, "crashes")
				if crashes {
					subjects = append(subjects, bad)
				}
				if run, err := replica.Begin(func() []Subject { return subjects }); err == nil {
					inFlight = append(inFlight, attempt{run, crashes})
				}
			},
			"end": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing is in flight")
				}
				n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
				a := inFlight[n]
				inFlight = append(inFlight[:n:n], inFlight[n+1:]...)
				if a.crashes {
					crashes++
					a.run.Lost().Crashed(fmt.Sprint("e", crashes), "")
				} else {
					a.run.Completed()
				}
				a.run.End()
			},
			"": func(t *rapid.T) {
				if crashes >= bound {
					assert.Equal(t, replica.Lookup(bad.Fingerprint).Verdict, Refused)
				}
				if replica.Lookup(bad.Fingerprint).Verdict == Refused {
					for _, s := range sound {
						assert.Check(t, replica.Lookup(s.Fingerprint).Verdict != Refused)
					}
				}
				assert.Check(t, crashes <= bound, "%d endpoints crashed", crashes)
			},
		})
	})
}

// TestRecordSurvivesEncoding encodes and decodes a record, and one of an earlier version,
// which names requests alone.
func TestRecordSurvivesEncoding(t *testing.T) {
	now := time.Now()
	rec := Record{
		Subject: Subject{testFingerprint(1), 2}, Rounds: 4, LastReported: now.Add(-time.Minute),
		Crashes: []Crash{{Endpoint: "e1", Epoch: "1", Round: 1, Disproved: true}, {Endpoint: "e2", Epoch: "2", Round: 4, OnTrial: true}},
	}
	decoded, err := DecodeRecord(EncodeRecord(rec, now), now)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, rec)
	earlier := EncodeRecord(rec, now)
	earlier.Depth, earlier.Rounds = 0, 0
	decoded, err = DecodeRecord(earlier, now)
	assert.NilError(t, err)
	assert.Check(t, !decoded.IsPart())
}

// BenchmarkStorm records crashes of engines that run 24 requests each, of which one has a
// part that crashes them, in a registry that is nearly full. After each crash the sound parts
// run well elsewhere.
func BenchmarkStorm(b *testing.B) {
	r := NewReplica(Config{CompanyCrashLimit: testCompanyLimit}, time.Now)
	const inFlight, firstParts, sessions = 24, 8, 500
	bad := Subject{testFingerprint(1 << 20), 3}
	n := 0
	for b.Loop() {
		var sound []Subject
		for i := range inFlight {
			n++
			parts := []Subject{{testFingerprint(1<<21 + i%firstParts), 1}, {testFingerprint(1<<22 + n%sessions), 2}}
			sound = append(sound, parts...)
			subjects := append(parts, asRequest(testFingerprint(n)))
			if i == 0 {
				subjects = append(subjects, bad)
			}
			run := &Run{replica: r, identify: func() []Subject { return subjects }}
			run.Lost().Crashed(fmt.Sprint("e", n/inFlight), "1")
		}
		r.recordCleanRuns(sound)
		r.Lookup(bad.Fingerprint)
	}
}
