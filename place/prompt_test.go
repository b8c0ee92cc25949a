package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{Hash: Hash(string(rune('a' + i))), Local: true, Slots: 64, MemoryCapacity: 138000, UncachedTokens: 12000, MemoryNeeded: 12055}
	}
	return list
}

func TestPromptPrefersTheEngineThatHoldsIt(t *testing.T) {
	list := engines(9)
	list[4].UncachedTokens = 2900
	for session := range uint64(50) {
		assert.Equal(t, ChooseEngine(session*7919, list), 4)
	}
}

func TestPromptLeavesABusyHolder(t *testing.T) {
	list := engines(9)
	list[4].UncachedTokens, list[4].PendingTokens = 2900, 30000
	for session := range uint64(50) {
		assert.Check(t, ChooseEngine(session*7919, list) != 4)
	}
}

func TestPromptCountsASlowEngine(t *testing.T) {
	list := engines(2)
	list[0].UncachedTokens, list[0].Slowness = 2900, 8
	assert.Equal(t, ChooseEngine(1, list), 1)
}

func TestPromptKeepsAColdSessionTogether(t *testing.T) {
	// Six instances place the first requests of a session within one exchange:
	// small differences in what they know must not scatter it.
	for session := range uint64(100) {
		first := ChooseEngine(session*104729, engines(9))
		for i := range 9 {
			list := engines(9)
			list[i].PendingTokens = indifferent / 2
			assert.Equal(t, ChooseEngine(session*104729, list), first)
		}
	}
}

func TestCostRisesBeyondSlotsAndMemory(t *testing.T) {
	free := engines(1)[0]
	full, crowded := free, free
	full.Running = full.Slots
	crowded.MemoryInUse = crowded.MemoryCapacity
	assert.Check(t, full.Cost() > free.Cost())
	assert.Check(t, crowded.Cost() > free.Cost())
}

// replay plays prompts that arrive at 1.5 times the rate at which engines read
// them, for ten seconds, and returns how many first tokens came in time of all
// and of those of the most urgent rank.
func replay(admit bool) (inTime, urgent int) {
	const (
		target = 300 * time.Millisecond
		step   = 10 * time.Millisecond
		size   = 3000 // tokens, read in 30 ms
	)
	list := engines(4)
	for i := range list {
		list[i].UncachedTokens, list[i].MemoryNeeded = size, size
	}
	var speed PrefillSpeed
	type waiting struct {
		since time.Duration
		rank  int
	}
	var outside []waiting
	queues := make([][]waiting, len(list))
	progress := make([]int, len(list))
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for range 2 { // 200 prompts a second, 133 can be read
			outside = append(outside, waiting{now, sent % 3})
			sent++
		}
		kept := outside[:0]
		for rank := range 3 {
			for _, w := range outside {
				if w.rank != rank {
					continue
				}
				at := ChooseEngine(uint64(sent), list)
				if admit && !Admits(&list[at], rank, target, &speed) {
					if now-w.since < target {
						kept = append(kept, w)
					}
					continue
				}
				queues[at] = append(queues[at], w)
				list[at].PendingTokens += size
			}
		}
		outside = append([]waiting(nil), kept...)
		for i := range list {
			progress[i] += 1000 // read in a step
			for len(queues[i]) > 0 && progress[i] >= size {
				progress[i] -= size
				if now-queues[i][0].since <= target {
					inTime++
					if queues[i][0].rank == 0 {
						urgent++
					}
				}
				queues[i] = queues[i][1:]
				list[i].PendingTokens -= size
			}
			if len(queues[i]) == 0 {
				progress[i] = 0
			}
		}
	}
	return inTime, urgent
}

// TestAdmissionBreaksAnOverload replays an overload with and without admission.
func TestAdmissionBreaksAnOverload(t *testing.T) {
	without, urgentWithout := replay(false)
	with, urgentWith := replay(true)
	// Sent on at once, prompts are in time only until the queue has grown.
	assert.Check(t, without < 250, "without: %d", without)
	// 1333 can be read in ten seconds.
	assert.Check(t, with > 1000, "with: %d", with)
	assert.Check(t, urgentWith > 600, "urgent with: %d of 667, without: %d", urgentWith, urgentWithout)
}

func TestAdmitsLooksAtMemory(t *testing.T) {
	var s PrefillSpeed
	e := engines(1)[0]
	e.MemoryInUse = e.MemoryCapacity
	assert.Check(t, !Admits(&e, 0, time.Second, &s))
	// One request alone is always admitted: nothing else would make room.
	e.MemoryInUse, e.MemoryNeeded = 0, 2*e.MemoryCapacity
	assert.Check(t, Admits(&e, 0, time.Second, &s))
}

func TestSpeedFollowsMeasurements(t *testing.T) {
	var s PrefillSpeed
	before := s.PrefillTime(10000)
	for range 200 {
		s.Observe(200*time.Millisecond, 10000) // half the nominal speed
	}
	assert.Check(t, s.PrefillTime(10000) > before*3/2)
}
