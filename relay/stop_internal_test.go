package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of the stops of the tests: a grace period of 8 s.
const (
	stopUnrouted = 3 * time.Second
	stopEnd      = 7200 * time.Millisecond
	stopExit     = 8 * time.Second
)

func stopAt(began time.Time) *StopTimes {
	return &StopTimes{Began: began, Unrouted: began.Add(stopUnrouted), End: began.Add(stopEnd)}
}

// TestAttemptsThatTheStopMayCutOff checks the decision at moments of a stop.
func TestAttemptsThatTheStopMayCutOff(t *testing.T) {
	began := time.Now()
	for _, c := range []struct {
		name  string
		at    time.Duration // from the stop
		limit time.Duration // from there until the deadline
		usual time.Duration
		once  bool
		begun bool
		cut   bool
	}{
		{"ends at the end", 5200 * time.Millisecond, 2 * time.Second, time.Hour, true, false, false},
		{"ends just after it", 5201 * time.Millisecond, 2 * time.Second, 0, false, false, true},
		{"early, usually short", 0, 12 * time.Second, stopEnd, false, false, false},
		{"early, usually long", 0, 12 * time.Second, stopEnd + 1, false, false, true},
		{"early, not repeatable", 0, 12 * time.Second, 0, true, false, true},
		{"just routed", stopUnrouted - 1, 12 * time.Second, time.Second, false, false, false},
		{"no more routed", stopUnrouted, 12 * time.Second, time.Second, false, false, true},
		{"late, a stream that has begun", 6 * time.Second, 12 * time.Second, time.Second, false, true, false},
		{"too late for one", 6300 * time.Millisecond, 12 * time.Second, time.Second, false, true, true},
	} {
		now := began.Add(c.at)
		got := stopAt(began).mayCutOff(stopAttempt{
			deadline: now.Add(c.limit), once: c.once, begun: c.begun, usual: func() time.Duration { return c.usual },
		}, now)
		assert.Check(t, got == c.cut, "%s: %t", c.name, got)
	}
}

// stopReplay are the callers of a release that replayRelease has counted.
type stopReplay struct {
	cutLate int // cut, sent when new connections went elsewhere
	cut     int // cut, sent before
	refused int // refused at their only two tries
}

// replayRelease replays a release: 33 instances stop, one each 480 ms. Callers send streams on
// connections that they keep, and come back once, on a new connection to an instance that the
// platform takes for ready. One stream in 20 takes 4.2 to 7 s, the others up to 3 s. mayCutOff
// decides which are taken.
func replayRelease(mayCutOff func(t *StopTimes, a stopAttempt, now time.Time) bool) stopReplay {
	const instances, gap, limit = 33, 480 * time.Millisecond, 12 * time.Second
	rng := rand.New(rand.NewPCG(46, 0))
	start := time.Now()
	stops := make([]*StopTimes, instances)
	for i := range stops {
		stops[i] = stopAt(start.Add(time.Duration(i) * gap))
	}
	took := func() time.Duration {
		if rng.IntN(20) == 0 {
			return 4200*time.Millisecond + time.Duration(rng.Int64N(int64(2800*time.Millisecond)))
		}
		return time.Duration(rng.Int64N(int64(3 * time.Second)))
	}
	times := newAnswerTimes()
	for range 1000 {
		times.record("r", took())
	}
	var got stopReplay
	isStopping := func(i int, now time.Time) bool {
		return !now.Before(stops[i].Began) && now.Before(stops[i].Began.Add(stopExit))
	}
	isRouted := func(i int, now time.Time) bool { return !isStopping(i, now) || now.Before(stops[i].Unrouted) }
	takes := func(i int, now time.Time) bool {
		usual := func() time.Duration { return times.longestUsual("r") }
		return !isStopping(i, now) || !mayCutOff(stops[i], stopAttempt{deadline: now.Add(limit), usual: usual}, now)
	}
	for range 20_000 {
		i := rng.IntN(instances)
		now := stops[i].Began.Add(time.Duration(rng.Int64N(int64(5 * time.Second))))
		ends := now.Add(took())
		if !takes(i, now) {
			for i = rng.IntN(instances); !isRouted(i, now); {
				i = rng.IntN(instances)
			}
			if !takes(i, now) {
				got.refused++
				continue
			}
		}
		switch {
		case !isStopping(i, now) || !ends.After(stops[i].End):
		case isRouted(i, now):
			got.cut++
		default:
			got.cutLate++
		}
	}
	return got
}

// TestReleaseCutsAndRefusesFew replays a release against a relay that takes all requests, and one
// that refuses each that could be cut. The decision must cut none that is sent late, and leave
// fewer callers without an answer than either.
func TestReleaseCutsAndRefusesFew(t *testing.T) {
	all := replayRelease(func(*StopTimes, stopAttempt, time.Time) bool { return false })
	none := replayRelease(func(s *StopTimes, a stopAttempt, _ time.Time) bool { return a.deadline.After(s.End) })
	got := replayRelease((*StopTimes).mayCutOff)
	t.Logf("takes all: %+v; refuses all that could be cut: %+v; decision: %+v", all, none, got)
	assert.Check(t, all.cutLate > 0, "the replay has no late requests that take long")
	assert.Equal(t, none.cut+none.cutLate, 0)
	assert.Equal(t, got.cutLate, 0)
	unserved := func(r stopReplay) int { return r.cut + r.cutLate + r.refused }
	assert.Check(t, unserved(got) < unserved(all) && unserved(got) < unserved(none))
}
