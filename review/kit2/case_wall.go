//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// runWall makes a tenant isolated by a new version of the configuration, and has another tenant ask
// about the same shared parts. The rule is broken if a request uses memory that a request of
// another tenant made while one of the two was isolated.
func runWall(w *world) (bool, error) {
	alpha, beta := tenant{name: "alpha"}, tenant{name: "beta"}
	if trouble == "static" {
		alpha.isolated = true
	}
	c := config{version: 3, tenants: []tenant{alpha, beta}, shares: []split{{"llm", 1}}, services: []string{"llm"}, timeout: 10 * time.Second}
	isolatedAt, err := w.apply(c)
	if err != nil {
		return false, err
	}
	if !alpha.isolated {
		isolatedAt = time.Time{}
	}
	for range 3 {
		if _, err := w.startWorker("llm", "v1", 5, 20*time.Millisecond, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if served := w.askAbout(alpha, 24); served < 20 {
		return false, fmt.Errorf("%w: %d of 24 requests of %s were served", errSetup, served, alpha.name)
	}
	if trouble == "" || trouble == "1" {
		alpha.isolated = true
		c.version, c.tenants = 7, []tenant{alpha, beta}
		if isolatedAt, err = w.apply(c); err != nil {
			return false, err
		}
	}
	// config_apply_ms is 2 s; the stable core and calm machines make the bound hold.
	time.Sleep(5 * time.Second)
	from := time.Now()
	if served := w.askAbout(beta, 24); served < 20 {
		return false, fmt.Errorf("%w: %d of 24 requests of %s were served", errSetup, served, beta.name)
	}
	broken := 0
	for _, a := range w.arrivalsOf() {
		foreign := slices.ContainsFunc(a.usedFrom, func(maker string) bool { return maker != a.tenant })
		if a.at.After(from) && foreign && !isolatedAt.IsZero() {
			broken++
			w.record.linef("BROKEN: %s of %s at %s used parts made by requests of %v, %.1f s after %s was isolated (Cache-Salt %q)",
				a.attempt, a.tenant, a.worker, a.usedFrom, a.at.Sub(isolatedAt).Seconds(), alpha.name, a.salt)
		}
	}
	w.record.linef("%d requests of %s used the memory of the isolated tenant", broken, beta.name)
	return broken > 0, nil
}

// askAbout sends n prompts of a tenant about the same two shared parts, at all gateways in turn,
// and returns how many were served.
func (w *world) askAbout(t tenant, n int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g := w.gateways[i%len(w.gateways)]
			a := w.send(g, ask{tenant: t, parts: []string{"5c1e07a2:1861", "91bd3f06:400", fmt.Sprintf("%08x:107", i+1000*len(t.name))}, left: 8 * time.Second, after: -1})
			w.record.linef("%s of %s at %s: %s", a.id, t.name, g.name, a)
			mu.Lock()
			defer mu.Unlock()
			if a.complete {
				served++
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return served
}
