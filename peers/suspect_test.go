package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/suspect"
)

// suspectFleet is a fleet of exchanges whose reports are passed directly.
type suspectFleet struct {
	names     []string
	exchanges map[string]*Exchange
}

func newSuspectFleet(n int) *suspectFleet {
	f := &suspectFleet{names: instanceNames(n), exchanges: map[string]*Exchange{}}
	for _, self := range f.names {
		f.restart(self)
	}
	return f
}

// restart replaces the process of an instance by one that knows nothing.
func (f *suspectFleet) restart(self string) {
	e := New(Options{
		Self: self, Source: &source{placedCounts: map[uint64]int{}}, Table: NewTable(), Now: time.Now,
		Suspects: suspect.NewReplica(suspect.Config{CompanyCrashLimit: 3}, time.Now),
	})
	e.grid = newGrid(self, f.names)
	for _, p := range e.grid.row {
		e.peers[p] = &peer{name: p}
	}
	for _, p := range e.grid.column {
		e.peers[p] = &peer{name: p, inColumn: true}
	}
	f.exchanges[self] = e
}

// exchange passes one report from each instance to each of its peers, apart from reports
// that are lost, and returns the number of records in them.
func (f *suspectFleet) exchange(lost func(from, to string) bool) (records int) {
	for _, self := range f.names {
		for _, p := range f.exchanges[self].peers {
			report := f.exchanges[self].buildReport(p)
			records += len(report.Suspects)
			if !lost(self, p.name) {
				f.exchanges[p.name].applyReport(report, f.exchanges[p.name].peers[self])
			}
		}
	}
	return records
}

func noneLost(string, string) bool { return false }

// TestEveryInstanceLearnsOfCrashes records the crashes of one request at different
// instances. All must refuse it after a few exchanges, also those whose first reports were
// lost and one that was restarted, and then nothing more is passed on.
func TestEveryInstanceLearnsOfCrashes(t *testing.T) {
	for _, n := range []int{2, 12, 88} {
		f := newSuspectFleet(n)
		fingerprint := suspect.FingerprintOf(suspect.RequestIdentity{Target: "POST h/x"})
		for i, endpoint := range []string{"e1", "e2", "e3"} {
			at := f.exchanges[f.names[i%n]]
			at.opts.Suspects.RecordCrash(suspect.Subject{Fingerprint: fingerprint, Depth: suspect.WholeRequest}, suspect.Crash{Endpoint: endpoint, Round: at.opts.Suspects.Lookup(fingerprint).Rounds + 1})
			if i == 0 {
				f.exchange(func(from, _ string) bool { return from == f.names[0] })
			}
			for range 3 {
				f.exchange(noneLost)
			}
		}
		restarted := f.names[n-1]
		f.restart(restarted)
		seenSince := suspect.FingerprintOf(suspect.RequestIdentity{Target: "POST h/y"})
		f.exchanges[restarted].opts.Suspects.RecordCrash(suspect.Subject{Fingerprint: seenSince, Depth: suspect.WholeRequest}, suspect.Crash{Endpoint: "e4", Round: 1})
		for range 4 {
			f.exchange(noneLost)
		}
		for _, self := range f.names {
			assert.Equal(t, f.exchanges[self].opts.Suspects.Lookup(fingerprint).Verdict, suspect.Refused, "instance %s of %d", self, n)
			assert.Equal(t, f.exchanges[self].opts.Suspects.Lookup(seenSince).Verdict, suspect.RunAlone, "instance %s of %d", self, n)
		}
		assert.Equal(t, f.exchange(noneLost), 0)
	}
}
