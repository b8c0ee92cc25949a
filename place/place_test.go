package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLeastLoadedPrefersLocalUntilItIsBusier(t *testing.T) {
	list := []Candidate{{Hash: 1, Slots: 6, Local: true}, {Hash: 2, Slots: 6}}
	assert.Equal(t, LeastLoaded(list, 7), 0)
	list[0].Running = remotePenalty + 1
	assert.Equal(t, LeastLoaded(list, 7), 1)
}

func TestLeastLoadedSpreadsTies(t *testing.T) {
	list := []Candidate{{Hash: Hash("a"), Slots: 6}, {Hash: Hash("b"), Slots: 6}, {Hash: Hash("c"), Slots: 6}}
	counts := make([]int, len(list))
	for i := range uint64(300) {
		counts[LeastLoaded(list, i*2654435761)]++
	}
	for _, n := range counts {
		assert.Check(t, n > 50, "%v", counts)
	}
}

func TestLeastLoadedAvoidsSlowEndpoint(t *testing.T) {
	list := []Candidate{{Hash: 1, Slots: 6, Running: 1, Slowness: 8}, {Hash: 2, Slots: 6, Running: 3}}
	assert.Equal(t, LeastLoaded(list, 7), 1)
}

func TestHealthBackoffGrowsAndEndsOnSuccess(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	assert.Check(t, h.Usable(now))
	h.RecordUnreachable(now)
	assert.Check(t, !h.Usable(now))
	now = now.Add(minBackoff)
	assert.Check(t, h.Usable(now))
	h.RecordUnreachable(now)
	assert.Check(t, !h.Usable(now.Add(minBackoff)))
	h.RecordSuccess(now.Add(2 * minBackoff))
	assert.Check(t, h.Usable(now.Add(2*minBackoff)))
}

func TestHealthAvoidsFailingEndpointUntilFailuresDecay(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	for range 20 {
		h.RecordFailure(now)
	}
	assert.Check(t, !h.Usable(now))
	assert.Check(t, h.Usable(now.Add(10*failureHalvingTime)))
	// A healthy application may answer a seventh of calls with errors of its own.
	var healthy Health
	for i := range 200 {
		if i%7 == 0 {
			healthy.RecordFailure(now)
		} else {
			healthy.RecordSuccess(now)
		}
		assert.Check(t, healthy.Usable(now))
	}
}

func TestSlownessDecaysToNormal(t *testing.T) {
	var p SlownessTracker
	now := time.Unix(1000, 0)
	for range 30 {
		p.Observe(8, now)
	}
	assert.Check(t, p.Slowness(now) > 6)
	assert.Check(t, p.Slowness(now.Add(20*slownessHalvingTime)) < 1.5)
}

// TestUnreachableEndpointGetsOneRequestAtATime guards against sending many
// requests to an unreachable endpoint when its backoff ends: it offers a request
// every 10 ms for one second.
func TestUnreachableEndpointGetsOneRequestAtATime(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.RecordUnreachable(now)
	sent := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if h.Usable(now) {
			h.RecordSent(now)
			sent++
		}
	}
	assert.Check(t, sent <= 2, "%d", sent)
}

// TestDarkEndpointNeedsWitnesses checks that one instance that is itself cut off does not
// condemn an endpoint, nor several of them while another one is answered.
func TestDarkEndpointNeedsWitnesses(t *testing.T) {
	assert.Check(t, !IsDark(0, 0))
	assert.Check(t, !IsDark(0, minWitnesses-1))
	assert.Check(t, IsDark(0, minWitnesses))
	assert.Check(t, !IsDark(1, 100))
}

func TestHealthReportsWhatItReached(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	assert.Check(t, !h.Reached(now) && !h.Unreachable(now))
	h.RecordSuccess(now)
	assert.Check(t, h.Reached(now.Add(reachedTime)) && !h.Reached(now.Add(reachedTime+1)))
	h.RecordUnreachable(now)
	assert.Check(t, h.Unreachable(now.Add(maxBackoff)) && !h.Unreachable(now.Add(maxBackoff+1)))
	h.RecordNotConnected(now.Add(maxBackoff))
	assert.Check(t, h.Unreachable(now.Add(2*maxBackoff)))
	h.RecordUnreachable(now.Add(maxBackoff))
	assert.Check(t, !h.Usable(now.Add(maxBackoff)))
	h.RecordConnected(now.Add(maxBackoff))
	assert.Check(t, h.Usable(now.Add(maxBackoff)) && !h.Unreachable(now.Add(maxBackoff)))
}
