package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newEngines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{Hash: Hash(string(rune('a' + i))), Local: true, Slots: 64, MemoryCapacity: 138000, UncachedTokens: 12000, MemoryNeeded: 12055}
	}
	return list
}

func TestChooseEnginePrefersCachedPrefix(t *testing.T) {
	list := newEngines(9)
	list[4].UncachedTokens = 2900
	for session := range uint64(50) {
		assert.Equal(t, ChooseEngine(session*7919, list), 4)
	}
}

func TestChooseEngineAvoidsBusyEngineWithCachedPrefix(t *testing.T) {
	list := newEngines(9)
	list[4].UncachedTokens, list[4].PendingTokens = 2900, 30000
	for session := range uint64(50) {
		assert.Check(t, ChooseEngine(session*7919, list) != 4)
	}
}

func TestChooseEngineAvoidsSlowEngine(t *testing.T) {
	list := newEngines(2)
	list[0].UncachedTokens, list[0].Slowness = 2900, 8
	assert.Equal(t, ChooseEngine(1, list), 1)
}

func TestChooseEngineKeepsNewSessionTogether(t *testing.T) {
	// Six instances place the first requests of a session before they have
	// exchanged their loads. Small differences in the loads that they know must
	// not spread the session over several engines.
	for session := range uint64(100) {
		first := ChooseEngine(session*104729, newEngines(9))
		for i := range 9 {
			list := newEngines(9)
			list[i].PendingTokens = costTolerance / 2
			assert.Equal(t, ChooseEngine(session*104729, list), first)
		}
	}
}

func TestCostRisesBeyondSlotsAndMemory(t *testing.T) {
	idle := newEngines(1)[0]
	slotsFull, memoryFull := idle, idle
	slotsFull.Running = slotsFull.Slots
	memoryFull.MemoryInUse = memoryFull.MemoryCapacity
	assert.Check(t, slotsFull.Cost() > idle.Cost())
	assert.Check(t, memoryFull.Cost() > idle.Cost())
}

// TestChooseEngineNeedsMemory checks that a prompt does not wait for memory at the engine
// that holds its session while another one has room.
func TestChooseEngineNeedsMemory(t *testing.T) {
	list := newEngines(9)
	list[4].UncachedTokens, list[4].MemoryInUse = 1000, list[4].MemoryCapacity-list[4].MemoryNeeded
	chosen := ChooseEngine(1, list)
	assert.Check(t, chosen != 4)
	assert.Check(t, Admits(&list[chosen], 0, time.Second, &PrefillRate{}))
	for i := range list {
		list[i].MemoryInUse = list[i].MemoryCapacity - list[i].MemoryNeeded
	}
	assert.Equal(t, ChooseEngine(1, list), 4)
}

// TestAdmissionDelayIsUntilAdmission checks that a prompt is admitted once the engine has
// prefilled for its AdmissionDelay, and not before.
func TestAdmissionDelayIsUntilAdmission(t *testing.T) {
	var rate PrefillRate
	e := newEngines(1)[0]
	for _, pending := range []int{0, 10_000, 40_000, 200_000} {
		for rank := range 3 {
			e.PendingTokens = pending
			delay := AdmissionDelay([]Engine{e}, rank, 300*time.Millisecond, &rate)
			assert.Equal(t, Admits(&e, rank, 300*time.Millisecond, &rate), delay == 0)
			prefilled := int(delay.Seconds() * rate.TokensPerSecond())
			e.PendingTokens = max(pending-prefilled-1, 0)
			assert.Check(t, Admits(&e, rank, 300*time.Millisecond, &rate))
			e.PendingTokens = pending - prefilled + 200
			assert.Check(t, delay == 0 || !Admits(&e, rank, 300*time.Millisecond, &rate))
		}
	}
}

// simulateOverload simulates ten seconds in which prompts arrive at 1.5 times
// the rate at which the engines prefill them. It returns how many prompts got their
// first token within the target time, over all ranks and for the most urgent
// rank. If admit is false, prompts are sent to engines without asking Admits.
func simulateOverload(admit bool) (inTime, urgentInTime int) {
	const (
		target       = 300 * time.Millisecond
		step         = 10 * time.Millisecond
		promptTokens = 3000 // prefilled in 30 ms
	)
	list := newEngines(4)
	for i := range list {
		list[i].UncachedTokens, list[i].MemoryNeeded = promptTokens, promptTokens
	}
	var prefillRate PrefillRate
	type prompt struct {
		arrived time.Duration
		rank    int
	}
	var unsent []prompt
	queues := make([][]prompt, len(list))
	prefillCapacity := make([]int, len(list))
	arrivals := 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for range 2 { // 200 prompts per second, of which 133 can be prefilled
			unsent = append(unsent, prompt{now, arrivals % 3})
			arrivals++
		}
		stillUnsent := unsent[:0]
		for rank := range 3 {
			for _, a := range unsent {
				if a.rank != rank {
					continue
				}
				chosen := ChooseEngine(uint64(arrivals), list)
				if admit && !Admits(&list[chosen], rank, target, &prefillRate) {
					if now-a.arrived < target {
						stillUnsent = append(stillUnsent, a)
					}
					continue
				}
				queues[chosen] = append(queues[chosen], a)
				list[chosen].PendingTokens += promptTokens
			}
		}
		unsent = append([]prompt(nil), stillUnsent...)
		for i := range list {
			prefillCapacity[i] += 1000 // tokens that an engine prefills in a step
			for len(queues[i]) > 0 && prefillCapacity[i] >= promptTokens {
				prefillCapacity[i] -= promptTokens
				if now-queues[i][0].arrived <= target {
					inTime++
					if queues[i][0].rank == 0 {
						urgentInTime++
					}
				}
				queues[i] = queues[i][1:]
				list[i].PendingTokens -= promptTokens
			}
			if len(queues[i]) == 0 {
				prefillCapacity[i] = 0
			}
		}
	}
	return inTime, urgentInTime
}

// TestAdmissionKeepsAnswersInTimeUnderOverload guards against an overload that
// makes nearly all answers late. It runs the same load with and without Admits.
func TestAdmissionKeepsAnswersInTimeUnderOverload(t *testing.T) {
	without, urgentWithout := simulateOverload(false)
	with, urgentWith := simulateOverload(true)
	// Without admission, prompts are in time only until the queues have grown.
	assert.Check(t, without < 250, "in time without admission: %d", without)
	// 1333 prompts can be prefilled in ten seconds.
	assert.Check(t, with > 1000, "in time with admission: %d", with)
	assert.Check(t, urgentWith > 600, "urgent prompts in time with admission: %d of 667, without: %d", urgentWith, urgentWithout)
}

func TestAdmitsRefusesWhenMemoryIsFull(t *testing.T) {
	var s PrefillRate
	e := newEngines(1)[0]
	e.MemoryInUse = e.MemoryCapacity
	assert.Check(t, !Admits(&e, 0, time.Second, &s))
	// An engine without running requests admits any request: waiting would free
	// no memory.
	e.MemoryInUse, e.MemoryNeeded = 0, 2*e.MemoryCapacity
	assert.Check(t, Admits(&e, 0, time.Second, &s))
}

func TestPrefillRateFollowsMeasurements(t *testing.T) {
	var s PrefillRate
	before := s.PrefillTime(10000)
	for range 200 {
		s.Observe(200*time.Millisecond, 10000) // half of initialPrefillRate
	}
	assert.Check(t, s.PrefillTime(10000) > before*3/2)
}
