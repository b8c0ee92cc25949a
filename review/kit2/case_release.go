//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// runRelease replaces three of seven workers, one after the other, by workers of a new software
// version. Events of the old one have consecutive identifiers, those of the new one increasing ones.
// Nothing else happens. The rule is broken if of 12 or more streams that clients take up, while two
// workers of the new version serve, less than half as large a share goes on as of new streams begins.
//
// With TROUBLE=0 there is no release, with TROUBLE=same both versions number events alike.
func runRelease(w *world) (bool, error) {
	const (
		timeout = 12 * time.Second
		events  = 30
		gap     = 40 * time.Millisecond
		every   = 20 * time.Millisecond
		length  = 26 * time.Second

		releaseAt = 800 // requests
		stepEvery = 50  // requests, so that the steps are 1 s apart
		replaced  = 3
	)
	t := tenant{name: "t0"}
	c := config{version: 3, tenants: []tenant{t}, shares: []split{{"llm", 1}}, services: []string{"llm"}, timeout: timeout}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for range 7 {
		if _, err := w.startWorker("llm", "v1", events, gap, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	resumed, wentOn, began, begun, broken := 0, 0, 0, 0, 0
	newWorkers := 0
	stream := func(i int) {
		defer wg.Done()
		g := w.gateways[i%3]
		parts := []string{fmt.Sprintf("5c1e%04x:900", i), fmt.Sprintf("%08x:107", i)}
		started := time.Now()
		a := w.send(g, ask{tenant: t, parts: parts, left: timeout, after: -1})
		w.record.linef("stream %d, %s at %s: %s", i, a.id, g.name, a)
		mu.Lock()
		began++
		if a.events > 0 {
			begun++
		}
		broke := a.events > 0 && !a.complete
		if broke {
			broken++
		}
		counts := newWorkers >= 2
		mu.Unlock()
		if !broke {
			return
		}
		first := a
		for tries := 1; tries <= 2; tries++ {
			left := timeout - time.Since(started)
			g = w.gateways[(i+tries)%3]
			a = w.send(g, ask{tenant: t, parts: parts, left: left, resumes: first.id, after: first.lastEvent})
			w.record.linef("stream %d is taken up, %s at %s after event %d, try %d: %s", i, a.id, g.name, first.lastEvent, tries, a)
			if a.events > 0 || a.retryAfter > left/3 {
				break
			}
			time.Sleep(max(a.retryAfter, 50*time.Millisecond))
		}
		if !counts {
			return // one worker of the version that began the stream serves
		}
		mu.Lock()
		defer mu.Unlock()
		resumed++
		if a.events > 0 {
			wentOn++
		}
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < length; i++ {
		if step := i - releaseAt; trouble != "0" && step >= 0 && step%stepEvery == 0 && step/stepEvery < replaced {
			if trouble != "same" {
				w.stride = 7
			}
			if _, err := w.startWorker("llm", "v2", events, gap, ""); err != nil {
				return false, err
			}
			mu.Lock()
			newWorkers++
			mu.Unlock()
			if err := w.workers[step/stepEvery].leave(); err != nil {
				return false, err
			}
		}
		wg.Add(1)
		go stream(i)
		time.Sleep(every)
	}
	wg.Wait()
	w.record.linef("%d streams were broken off; %d were taken up while two workers of their version served, %d of them went on; of %d new streams %d began", broken, resumed, wentOn, began, begun)
	return resumed >= 12 && float64(wentOn)/float64(resumed) < 0.5*float64(begun)/float64(began), nil
}
