//go:build review

package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// runPause has one of three workers turn away all requests and ask for a pause. The rule is broken
// if more than two requests reach it from one machine between half a second after it has answered that
// machine so and the end of that time.
//
// With TROUBLE=0 the worker turns nothing away, with TROUBLE=hour it asks for an hour.
func runPause(w *world) (bool, error) {
	const (
		length = 20 * time.Second
		every  = 25 * time.Millisecond
		grace  = 500 * time.Millisecond
		most   = 2
	)
	retryAfter := "5400"
	if trouble == "hour" {
		retryAfter = "3600"
	}
	t := tenant{name: "t0"}
	c := config{version: 3, tenants: []tenant{t}, shares: []split{{"llm", 1}}, services: []string{"llm"}, timeout: 6 * time.Second}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for range 3 {
		if _, err := w.startWorker("llm", "v1", 5, 20*time.Millisecond, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	machine := map[string]string{} // that got the client's request, by attempt
	served, sent := 0, 0
	began := time.Now()
	busy := w.workers[0]
	for i := 0; time.Since(began) < length; i++ {
		if trouble != "0" && i == 200 {
			busy.turnAway(retryAfter)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g := w.gateways[i%len(w.gateways)]
			a := w.send(g, ask{tenant: t, parts: []string{fmt.Sprintf("5c1e%04x:900", i), fmt.Sprintf("%08x:107", i)}, left: 5 * time.Second, after: -1})
			mu.Lock()
			defer mu.Unlock()
			machine[a.id] = g.name
			sent++
			if a.complete {
				served++
			}
		}()
		time.Sleep(every)
	}
	wg.Wait()
	w.record.linef("%d of %d requests were served", served, sent)
	if served < sent/2 {
		return false, fmt.Errorf("%w: few requests were served", errSetup)
	}
	seconds, err := strconv.Atoi(retryAfter)
	if err != nil {
		return false, err
	}
	told, counted := map[string]time.Time{}, map[string]int{}
	for _, a := range w.arrivalsOf() {
		if a.pause == "" {
			continue
		}
		name := machine[a.attempt]
		since, known := told[name]
		if !known {
			told[name] = a.at
			w.record.linef("%s is told to pause %s for %d s by the answer to %s", name, a.worker, seconds, a.attempt)
			continue
		}
		if after := a.at.Sub(since); after > grace && after < time.Duration(seconds)*time.Second {
			counted[name]++
			w.record.linef("%s from %s reached %s %.2f s after that machine was told to pause for %d s", a.attempt, name, a.worker, after.Seconds(), seconds)
		}
	}
	broken := false
	for name, n := range counted {
		w.record.linef("%d requests from %s, %d are allowed", n, name, most)
		broken = broken || n > most
	}
	return broken, nil
}
