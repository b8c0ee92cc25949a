//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// runNumbers kills a gateway while streams are in progress whose events have increasing
// identifiers, of which each is the number of tokens so far. Clients take up their streams at the
// other gateways. The rule is broken if of 12 or more of them less than half as large a share goes on
// as of new streams begins.
//
// With TROUBLE=0 nothing is killed, with TROUBLE=consecutive the identifiers are consecutive.
func runNumbers(w *world) (bool, error) {
	const (
		timeout = 16 * time.Second
		events  = 100
		gap     = 100 * time.Millisecond
		every   = 130 * time.Millisecond
		length  = 16 * time.Second
	)
	if trouble != "consecutive" {
		w.stride = 7
	}
	t := tenant{name: "t0"}
	c := config{version: 3, tenants: []tenant{t}, shares: []split{{"llm", 1}}, services: []string{"llm"}, timeout: timeout}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for range 4 {
		if _, err := w.startWorker("llm", "v1", events, gap, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do

	var wg sync.WaitGroup
	var mu sync.Mutex
	resumed, wentOn, began, begun := 0, 0, 0, 0
	var killedAt time.Time
	stream := func(i int) {
		defer wg.Done()
		g := w.gateways[i%3]
		mu.Lock()
		if g == w.gateways[0] && !killedAt.IsZero() {
			g = w.gateways[1+i%2] // the platform sends new connections elsewhere
		}
		mu.Unlock()
		parts := []string{"5c1e07a2:600", fmt.Sprintf("91bd3f%02x:300", i%20), fmt.Sprintf("%08x:107", i)}
		started := time.Now()
		a := w.send(g, ask{tenant: t, parts: parts, left: timeout, after: -1})
		w.record.linef("stream %d, %s at %s: %s", i, a.id, g.name, a)
		mu.Lock()
		if !killedAt.IsZero() && started.After(killedAt) {
			began++
			if a.events > 0 {
				begun++
			}
		}
		broke := a.err != nil && a.events > 0 && !a.complete && !killedAt.IsZero()
		mu.Unlock()
		if !broke {
			return
		}
		first := a
		for tries := 1; tries <= 2; tries++ {
			left := timeout - time.Since(started)
			g = w.gateways[1+(i+tries)%2]
			a = w.send(g, ask{tenant: t, parts: parts, left: left, resumes: first.id, after: first.lastEvent})
			w.record.linef("stream %d is taken up, %s at %s after event %d, try %d: %s", i, a.id, g.name, first.lastEvent, tries, a)
			if a.events > 0 || a.retryAfter > left/3 {
				break
			}
			time.Sleep(max(a.retryAfter, 50*time.Millisecond))
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
		if trouble != "0" && killedAt.IsZero() && time.Since(begin) > 7*time.Second {
			mu.Lock()
			killedAt = time.Now()
			mu.Unlock()
			w.gateways[0].kill()
			time.AfterFunc(3*time.Second, func() { _ = w.gateways[0].start() })
		}
		wg.Add(1)
		go stream(i)
		time.Sleep(every)
	}
	wg.Wait()
	w.record.linef("%d streams were taken up at machines in touch, %d of them went on; of %d new streams %d began", resumed, wentOn, began, begun)
	if trouble == "0" {
		return false, nil
	}
	if resumed < 12 || began < 12 {
		return false, fmt.Errorf("%w: too few streams were taken up", errSetup)
	}
	return float64(wentOn)/float64(resumed) < 0.5*float64(begun)/float64(began), nil
}
