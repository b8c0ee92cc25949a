package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/fleet"
	"redwingknot/internal/fuzztest"
	"redwingknot/upstream"
)

// takeAll gives a sequence that continues after last the events of one response, in batches that
// end at the given positions, and returns what passes.
func takeAll(last int64, numbered numberingKnown, events []string, ends []bool) (passed string, err error) {
	s := newEventSequence(last)
	res := &upstream.Response{Header: map[string][]string{"Content-Type": {"text/event-stream"}}}
	if err := s.beginAttempt(res, fleet.EndpointKey{ID: "a"}, numbered); err != nil {
		return "", err
	}
	batch := ""
	for i, e := range events {
		batch += e
		if !ends[i] && i < len(events)-1 {
			continue
		}
		next, taken, err := s.take([]byte(batch))
		passed += string(next)
		if err != nil {
			return passed, err
		}
		batch = batch[taken:]
	}
	return passed, s.end()
}

// TestFuzzEventSequence checks that what passes does not depend on how reads split a response,
// and that its identifiers increase from the last event of the caller on, without a gap where the
// service is known to leave out none.
func TestFuzzEventSequence(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		last := rapid.Int64Range(-1, 4).Draw(t, "last")
		numbered := numberingKnown{consecutive: rapid.Bool().Draw(t, "consecutive")}
		numbered.skipping = !numbered.consecutive && rapid.Bool().Draw(t, "skipping")
		var events []string
		id := last + rapid.Int64Range(-3, 3).Draw(t, "from")
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			switch rapid.IntRange(0, 12).Draw(t, "kind") {
			case 0:
				id -= rapid.Int64Range(0, 2).Draw(t, "back")
			case 1:
				id += rapid.Int64Range(2, 3).Draw(t, "skip")
			case 2:
				events = append(events, ": comment\n\n")
				continue
			case 3:
				events = append(events, "event: error\ndata: x\n\n")
				continue
			default:
				id++
			}
			events = append(events, fmt.Sprintf("id: %d\ndata: x\n\n", max(id, 0)))
		}
		flags := func(name string) []bool {
			return rapid.SliceOfN(rapid.Bool(), len(events), len(events)).Draw(t, name)
		}
		passed, err := takeAll(last, numbered, events, flags("ends"))
		again, errAgain := takeAll(last, numbered, events, flags("other ends"))
		assert.Equal(t, passed, again)
		assert.Equal(t, fmt.Sprint(err), fmt.Sprint(errAgain))

		before := last
		for rest := []byte(passed); len(rest) > 0; {
			end := firstEventLength(rest)
			if got := eventID(rest[:end]); got >= 0 {
				assert.Check(t, got > before, "%d after %d", got, before)
				assert.Check(t, !numbered.consecutive || before < 0 || got == before+1, "%d after %d", got, before)
				before = got
			} else {
				assert.Check(t, last < 0 || isComment(rest[:end]), "an event without identifier in a response that resumes")
			}
			rest = rest[end:]
		}
	})
}

// TestNumberingIsLearned checks when identifiers that are left out count as missing events.
func TestNumberingIsLearned(t *testing.T) {
	var n eventNumbering
	assert.Equal(t, n.known(), numberingKnown{})
	n.record(true)
	assert.Equal(t, n.known(), numberingKnown{})
	for range minNumberedResponses {
		n.record(true)
	}
	assert.Equal(t, n.known(), numberingKnown{skipping: true})
	for range numberedResponses {
		n.record(false)
	}
	assert.Equal(t, n.known(), numberingKnown{consecutive: true})
	for range numberedResponses / 4 {
		n.record(true)
	}
	assert.Equal(t, n.known(), numberingKnown{skipping: true})
}
