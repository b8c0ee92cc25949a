package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// confirmationSource is the ConfirmationSource of an instance that confirmed one
// range.
type confirmationSource struct {
	own      []Confirmation
	received []Confirmation
}

func (s *confirmationSource) Confirmations() []Confirmation { return s.own }

func (s *confirmationSource) RecordConfirmation(c Confirmation) {
	s.received = append(s.received, c)
}

// confirmingExchange is an Exchange with a clock of its own.
type confirmingExchange struct {
	*Exchange
	*confirmationSource
	now time.Time
}

func newConfirmingExchange(self, other string, now time.Time) *confirmingExchange {
	e := &confirmingExchange{confirmationSource: &confirmationSource{}, now: now}
	e.Exchange = New(Options{Self: self, Source: &source{placedCounts: map[uint64]int{}}, Confirmations: e.confirmationSource, Table: NewTable(), Now: func() time.Time { return e.now }})
	e.peers[other] = &peer{name: other}
	return e
}

// TestConfirmationsNeverYounger passes reports between two instances whose clocks
// differ by hours, with a delay of each report. A confirmation must not seem younger
// than it is, and only a report that follows one from the receiver gives one.
func TestConfirmationsNeverYounger(t *testing.T) {
	a := newConfirmingExchange("a", "b", time.Unix(100, 0))
	b := newConfirmingExchange("b", "a", time.Unix(90000, 0))
	wait := func(d time.Duration) { a.now, b.now = a.now.Add(d), b.now.Add(d) }
	a.own = []Confirmation{{Range: "r", Digest: 7, At: a.now}}
	b.own = []Confirmation{{Range: "r", Digest: 8, At: b.now}}
	wait(time.Second)
	request := a.buildReport(a.peers["b"])
	wait(time.Second)
	b.applyReport(request, b.peers["a"])
	assert.Equal(t, len(b.received), 0, "how long the first report took is not known")
	answer := b.buildReport(b.peers["a"])
	wait(time.Second)
	a.applyReport(answer, a.peers["b"])
	// b confirmed the range at 100 s of a's clock; the request left at 101 s, and the
	// age in the answer is 2 s.
	assert.DeepEqual(t, a.received, []Confirmation{{Range: "r", Digest: 8, At: time.Unix(99, 0)}})
	second := a.buildReport(a.peers["b"])
	wait(time.Minute)
	b.applyReport(second, b.peers["a"])
	// a's report was built after b answered at 90002 s, and the age in it is 3 s.
	assert.DeepEqual(t, b.received, []Confirmation{{Range: "r", Digest: 7, At: time.Unix(89999, 0)}})
}

// TestEchoOfAnotherProcessIsIgnored checks that an instance that was restarted takes
// no confirmation that refers to the clock of its earlier process.
func TestEchoOfAnotherProcessIsIgnored(t *testing.T) {
	a := newConfirmingExchange("a", "b", time.Unix(100, 0))
	b := newConfirmingExchange("b", "a", time.Unix(100, 0))
	b.own = []Confirmation{{Range: "r", Digest: 8, At: b.now}}
	b.applyReport(a.buildReport(a.peers["b"]), b.peers["a"])
	restarted := newConfirmingExchange("a", "b", time.Unix(200, 0))
	restarted.applyReport(b.buildReport(b.peers["a"]), restarted.peers["b"])
	assert.Equal(t, len(restarted.received), 0)
}

func TestRank(t *testing.T) {
	for i, name := range instanceNames(5) {
		e := New(Options{Self: name, Table: NewTable()})
		e.grid = newGrid(name, instanceNames(5))
		assert.Equal(t, e.Rank(), i)
	}
}
