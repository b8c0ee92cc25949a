package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

// budgetMachine checks a budget against a simple model: the bytes granted so far,
// and the granted rate integrated over time.
type budgetMachine struct {
	budget    *Budget
	now       time.Time
	accrued   float64 // granted rate integrated over the time since the start
	granted   [numClasses]float64
	maxBurst  float64 // largest burst so far
	maxExport float64 // largest export granted so far
	leases    []Lease
}

func (m *budgetMachine) advance(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
	// Rate rounds down, so 1 is added.
	m.accrued += float64(m.budget.Rate()+1) * d.Seconds()
	m.now = m.now.Add(d)
}

func (m *budgetMachine) setRate(t *rapid.T) {
	m.budget.SetRate(m.now, int64(rapid.SampledFrom([]int{0, 100, 1000, 10000}).Draw(t, "rate")))
	m.maxBurst = max(m.maxBurst, float64(m.budget.Rate())*defaultBurst.Seconds())
}

func (m *budgetMachine) grant(t *rapid.T) {
	class := rapid.SampledFrom([]Class{BringBack, Export}).Draw(t, "class")
	want := int64(rapid.IntRange(-1, 20000).Draw(t, "want"))
	maxWait := time.Duration(rapid.IntRange(0, 5000).Draw(t, "within")) * time.Millisecond
	l := m.budget.Grant(m.now, class, want, maxWait)
	if l.Bytes < 0 || l.Bytes > max(want, 0) {
		t.Fatalf("granted %d bytes of %d wanted", l.Bytes, want)
	}
	if l.Bytes > 0 && l.StartIn > maxWait {
		t.Fatalf("granted a start in %v, want a start within %v", l.StartIn, maxWait)
	}
	if class == Export {
		m.maxExport = max(m.maxExport, float64(l.Bytes))
	}
	if l.Bytes > 0 {
		m.checkBound(t, l)
	}
	m.granted[class] += float64(l.Bytes)
	m.leases = append(m.leases, l)
}

// checkBound fails if the bytes granted before the start of l exceed the bound that
// Budget documents.
func (m *budgetMachine) checkBound(t *rapid.T, l Lease) {
	accruedAtStart := m.accrued + float64(m.budget.Rate()+1)*l.StartIn.Seconds()
	granted := m.granted[Export]
	if l.Class == BringBack {
		granted += m.granted[BringBack]
	}
	if bound := m.maxBurst + accruedAtStart + m.maxExport + 1; granted > bound {
		t.Fatalf("%g bytes granted before a lease starts, want at most %g", granted, bound)
	}
}

func (m *budgetMachine) returnLease(t *rapid.T) {
	if len(m.leases) == 0 {
		t.Skip("no lease")
	}
	l := m.leases[len(m.leases)-1]
	m.leases = m.leases[:len(m.leases)-1]
	if !m.now.Before(l.Expires) {
		return
	}
	unused := rapid.Int64Range(0, l.Bytes).Draw(t, "unused")
	m.budget.ReturnUnused(m.now, l, unused)
	m.granted[l.Class] -= float64(unused)
}

func TestFuzzBudgetIsNotExceeded(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		m := &budgetMachine{now: time.Unix(1000, 0)}
		m.budget = NewBudget(m.now, BudgetOptions{})
		m.setRate(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "setRate": m.setRate, "grant": m.grant, "grant2": m.grant, "giveBack": m.returnLease,
		})
	})
}

// TestFuzzHolderUsesOnlyItsLeases takes permits of two classes from a holder whose
// home is reachable at some times only. The holder must not use more bytes than it
// has leased, start a transfer after its lease expires, or exceed its local share.
func TestFuzzHolderUsesOnlyItsLeases(t *testing.T) {
	const localRate = 500
	fuzztest.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		h := NewLeaseHolder(now, InstanceShare{Rate: localRate})
		var leased, used [numClasses]int64
		var lastLease [numClasses]Lease
		var local float64
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"cut": func(*rapid.T) { h.MarkHomeUnreachable() },
			"add": func(t *rapid.T) {
				c := rapid.SampledFrom([]Class{BringBack, Export}).Draw(t, "class")
				in := time.Duration(rapid.IntRange(0, 3000).Draw(t, "start")) * time.Millisecond
				l := Lease{Class: c, Bytes: int64(rapid.IntRange(0, 1000).Draw(t, "bytes")), Rate: 1, StartIn: in, Expires: now.Add(in + time.Second)}
				h.Add(now, l)
				leased[c] += l.Bytes
				if l.Bytes > 0 {
					lastLease[c] = l
				}
			},
			"take": func(t *rapid.T) {
				c := rapid.SampledFrom([]Class{BringBack, Export}).Draw(t, "class")
				n := int64(rapid.IntRange(1, 1000).Draw(t, "bytes"))
				wasUnreachable := h.homeUnreachable
				p, ok := h.Take(now, c, n)
				switch {
				case !ok:
				case p.Rate == localRate && wasUnreachable:
					local += float64(n)
				default:
					used[c] += n
					if begin := now.Add(p.StartIn); !begin.Before(lastLease[c].Expires) {
						t.Fatalf("transfer starts at %v, its lease expires at %v", begin, lastLease[c].Expires)
					}
				}
				if used[c] > leased[c] {
					t.Fatalf("%v: used %d bytes, leased %d", c, used[c], leased[c])
				}
				if bound := localRate * (1 + now.Sub(start).Seconds()); local > bound {
					t.Fatalf("used %g bytes of the local share, want at most %g", local, bound)
				}
			},
		})
	})
}

// TestBringBackTakesPrecedence requests more exports than the link carries, and some
// bring-backs. The bring-backs must never wait for an export. Of the granted 1000
// bytes per second they use 600. Exports must get at least 300 of the other 400,
// because one request each 100 ms may not use all of them.
func TestBringBackTakesPrecedence(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(now, BudgetOptions{Rate: 1250, LiveShare: 0.1, LocalShare: 0.1})
	var exported int64
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		exported += b.Grant(now, Export, 100, 0).Bytes
		l := b.Grant(now, BringBack, 60, 0)
		assert.Equal(t, l.Bytes, int64(60))
		assert.Equal(t, l.StartIn, time.Duration(0))
	}
	assert.Assert(t, exported >= 60*300 && exported <= 60*400+100, "%d", exported)
}

// TestExportsGetTheirFloor requests more bring-backs than the link carries; exports
// must still get their floor.
func TestExportsGetTheirFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(now, BudgetOptions{Rate: 1250, LiveShare: 0.1, LocalShare: 0.1})
	var exported, brought int64
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		brought += b.Grant(now, BringBack, 500, time.Second).Bytes
		exported += b.Grant(now, Export, 50, 0).Bytes
	}
	assert.Assert(t, exported >= 60*90 && exported <= 60*110+50, "%d", exported)
	assert.Assert(t, brought >= 60*850, "%d", brought)
}

func TestEstimateFollowsSlowLinkAndRecovers(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEstimate(now, 1e9, time.Millisecond)
	for range windowSize {
		e.Observe(now, 1e8, time.Second, 0)
	}
	assert.Assert(t, e.Rate(now) < 1.3e8, "%g", e.Rate(now))
	assert.Assert(t, e.Rate(now.Add(5*time.Minute)) > 8e8)
	// A transfer as fast as its grant allows tells nothing about the link's rate.
	e = NewEstimate(now, 1e9, time.Millisecond)
	e.Observe(now, 1e8, time.Second, 1e8)
	assert.Assert(t, e.Rate(now) > 9.9e8)
}
