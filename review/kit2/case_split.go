//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// runSplit changes the weights of a route's split while streams are in progress, and kills a
// gateway a second later. Clients take up their streams at the other gateways. The rule is broken if
// of 12 or more of them less than half as large a share goes on as of new streams begins.
//
// With TROUBLE=0 there is neither the change nor the kill, with TROUBLE=kill only the kill.
func runSplit(w *world) (bool, error) {
	const (
		timeout = 12 * time.Second
		events  = 90
		gap     = 100 * time.Millisecond
		every   = 70 * time.Millisecond
		length  = 22 * time.Second
	)
	tenants := []tenant{{name: "t0"}, {name: "t1"}}
	c := config{version: 3, tenants: tenants, shares: []split{{"llm-a", 90}, {"llm-b", 10}}, services: []string{"llm-a", "llm-b"}, timeout: timeout}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for _, service := range c.services {
		for range 4 {
			if _, err := w.startWorker(service, "v1", events, gap, ""); err != nil {
				return false, err
			}
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	resumed, wentOn, began, begun := 0, 0, 0, 0
	var changedAt, killedAt time.Time
	stream := func(i int) {
		defer wg.Done()
		t, g := tenants[i%2], w.gateways[i%3]
		mu.Lock()
		if g == w.gateways[0] && !killedAt.IsZero() {
			g = w.gateways[1+i%2] // the platform sends new connections elsewhere
		}
		mu.Unlock()
		parts := []string{"5c1e07a2:600", fmt.Sprintf("91bd3f%02x:300", i%20), fmt.Sprintf("%08x:107", i)}
		started := time.Now()
		a := w.send(g, ask{tenant: t, parts: parts, left: timeout, after: -1})
		w.record.linef("stream %d, %s at %s from %v: %s", i, a.id, g.name, keysOf(a.services), a)
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
		first, tries := a, 0
		from := a.services
		for a.events == 0 || tries == 0 {
			left := timeout - time.Since(started)
			if left < time.Second || tries == 3 {
				break
			}
			tries++
			g = w.gateways[1+(i+tries)%2]
			a = w.send(g, ask{tenant: t, parts: parts, left: left, resumes: first.id, after: first.lastEvent})
			w.record.linef("stream %d is taken up, %s at %s after event %d of %v, try %d: from %v, %s", i, a.id, g.name, first.lastEvent, keysOf(from), tries, keysOf(a.services), a)
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
		if changes := trouble != "0" && trouble != "kill"; changes && changedAt.IsZero() && time.Since(begin) > 9*time.Second {
			c.version, c.shares = 8, []split{{"llm-a", 10}, {"llm-b", 90}}
			at, err := w.apply(c)
			if err != nil {
				return false, err
			}
			changedAt = at
		}
		if trouble != "0" && killedAt.IsZero() && time.Since(begin) > 10*time.Second {
			mu.Lock()
			killedAt = time.Now()
			mu.Unlock()
			w.gateways[0].kill()
			time.AfterFunc(2*time.Second, func() { _ = w.gateways[0].start() })
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

// keysOf returns the keys of a set.
func keysOf(m map[string]bool) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	return keys
}
