//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	badPart = "deadbea7"
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// countedCrash is the crash from which the rule counts.
	countedCrash = 5
	// maxAfter is the number of requests that may reach workers after that.
	maxAfter = 3
)

// runLate sends prompts with a part that crashes workers, no two alike, at any machine, beside sound
// ones. A worker ends 150 ms after it has begun to write an answer on the part. The rule is broken if
// more than three of these prompts reach workers that were sent later than stable_window_ms after the
// fifth crash.
//
// With TROUBLE=0 the part is sound, with TROUBLE=soon workers end at the first event.
func runLate(w *world) (bool, error) {
	if trouble != "soon" {
		w.dying = 150 * time.Millisecond
	}
	return w.sendParts(false)
}

// runParts is like runLate, with workers that end at the first event, and prompts of several
// tenants of which all but one are isolated.
//
// With TROUBLE=0 the part is sound, with TROUBLE=shared no tenant is isolated.
func runParts(w *world) (bool, error) { return w.sendParts(trouble != "shared") }

// sendParts sends sound prompts and prompts with badPart, and judges the rule.
func (w *world) sendParts(isolated bool) (bool, error) {
	tenants := []tenant{{name: "t0"}}
	for i := range 7 {
		tenants = append(tenants, tenant{name: fmt.Sprintf("t%d", i+1), isolated: isolated})
	}
	part := badPart
	if trouble == "0" {
		part = "50f7a112"
	}
	c := config{version: 3, tenants: tenants, shares: []split{{"llm", 1}}, services: []string{"llm"}, timeout: 10 * time.Second}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for range 9 {
		if _, err := w.startWorker("llm", "v1", 30, 30*time.Millisecond, badPart); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	const (
		length   = 32 * time.Second
		badEvery = 350 * time.Millisecond
		sound    = 60 * time.Millisecond
	)
	var wg sync.WaitGroup
	var mu sync.Mutex
	bad := map[string]time.Time{}
	soundServed, soundSent := 0, 0
	send := func(i int, t tenant, parts []string, isBad bool) {
		defer wg.Done()
		g := w.gateways[i%len(w.gateways)]
		sentAt := time.Now()
		a := w.send(g, ask{tenant: t, parts: parts, left: 8 * time.Second, after: -1})
		mu.Lock()
		defer mu.Unlock()
		if isBad {
			bad[a.id] = sentAt
			w.record.linef("prompt with the part, %s of %s at %s: %s", a.id, t.name, g.name, a)
			return
		}
		soundSent++
		if a.complete {
			soundServed++
		}
	}
	end := time.Now().Add(length)
	nextBad, nextSound := time.Now().Add(2*time.Second), time.Now()
	for i := 0; time.Now().Before(end); i++ {
		now := time.Now()
		if !now.Before(nextBad) {
			nextBad = nextBad.Add(badEvery)
			wg.Add(1)
			go send(i, tenants[(i/2)%len(tenants)], []string{"5c1e07a2:600", part + ":400", fmt.Sprintf("%08x:107", i)}, true)
		}
		if !now.Before(nextSound) {
			nextSound = nextSound.Add(sound)
			wg.Add(1)
			go send(i, tenants[i%len(tenants)], []string{"5c1e07a2:600", fmt.Sprintf("91bd3f%02x:300", i%40), fmt.Sprintf("%08x:107", i)}, false)
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()

	var crashes []arrival
	for _, a := range w.arrivalsOf() {
		if _, isBad := bad[a.attempt]; isBad {
			crashes = append(crashes, a)
		}
	}
	w.record.linef("%d of %d sound prompts were served", soundServed, soundSent)
	w.record.linef("%d prompts with the part were sent, %d reached workers", len(bad), len(crashes))
	if trouble == "0" {
		if soundServed < soundSent*9/10 {
			return false, fmt.Errorf("%w: few prompts were served", errSetup)
		}
		return false, nil
	}
	if len(crashes) < countedCrash {
		return false, nil
	}
	// A worker has crashed dying after the first event, which it writes prefillTime after the arrival.
	fifth := crashes[countedCrash-1].at.Add(prefillTime + w.dying)
	counted := map[string]bool{}
	for _, a := range crashes {
		if sentAt := bad[a.attempt]; sentAt.After(fifth.Add(stableWindow)) {
			counted[a.attempt] = true
			w.record.linef("COUNTED: %s of %s, sent %.1f s after the fifth crash, reached %s", a.attempt, a.tenant, sentAt.Sub(fifth).Seconds(), a.worker)
		}
	}
	w.record.linef("%d prompts with the part reached workers that were sent later than stable_window_ms after the fifth crash; the rule allows %d", len(counted), maxAfter)
	return len(counted) > maxAfter, nil
}
