//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

func init() { cases["order"] = runOrder }

const streamDeadline = 12 * time.Second

// streamClient reads one stream, over all its tries.
type streamClient struct {
	d        *deployment
	path     string
	deadline time.Time
	first    string   // attempt that brought the first event
	last     int      // identifier of the last event
	versions []string // of the software of the workers that wrote the events, in order, without repetition
	writers  []string // answers that brought events
	complete bool
}

// run tries until the stream is complete, its tries are used up or its deadline has passed.
func (c *streamClient) run(tries int) {
	for try := 0; try < tries && time.Now().Before(c.deadline); try++ {
		g := c.d.gateways[rand.N(len(c.d.gateways))]
		attempt := fmt.Sprintf("%016x", rand.Uint64())
		status, wait, err := c.try(g, attempt)
		c.d.note("  %s: attempt %s at %s, answer %d, %v, last event %d, versions %v", c.path, attempt, g.name, status, err, c.last, c.versions)
		if c.complete {
			return
		}
		time.Sleep(min(wait, time.Until(c.deadline)/3))
	}
}

// try sends one attempt and reads the events of its answer.
func (c *streamClient) try(g *gateway, attempt string) (status int, wait time.Duration, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front()+c.path, strings.NewReader("body"))
	if err != nil {
		return 0, 0, err
	}
	r.Host = "review.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Count", "300,80")
	r.Header.Set("Prompt-Prefix", "aa:200,"+attempt[:8]+":100")
	if c.first != "" {
		r.Header.Set("Resumes", c.first)
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(r)
	if err != nil {
		return 0, 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return res.StatusCode, time.Duration(seconds * float64(time.Second)), nil
	}
	lines := bufio.NewReader(res.Body)
	for {
		event, err := readEvent(lines)
		if err == io.EOF && event == "" {
			c.complete = true
			return res.StatusCode, 0, nil
		}
		if err != nil {
			return res.StatusCode, 0, err
		}
		c.add(attempt, event)
	}
}

// readEvent reads the next whole event.
func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}

// add adds an event of the answer to an attempt.
func (c *streamClient) add(attempt, event string) {
	if c.first == "" {
		c.first = attempt
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
	c.last, _ = strconv.Atoi(id)
	v := fleetworker.EventSoftwareVersion(event)
	if len(c.versions) == 0 || c.versions[len(c.versions)-1] != v {
		c.versions = append(c.versions, v)
	}
}

// runOrder has workers crash and come back under their identifiers, as those do that keep their
// name and address, with a newer software version, while the store is down.
func runOrder(d *deployment, trouble bool) (verdict, error) {
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "explain", "host": "review.example", "path_prefix": "/explain/", "kind": "stream", "resumable": true, "timeout_ms": 12000,
			"target_latency_ms": 600, "gap_aim_ms": 300, "priority": 1, "service": "llm", "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/health", "max_conns": 300,
			"engine": map[string]any{"kv_capacity_tokens": 136551, "kv_token_bytes": 327680, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t", "api_keys": []string{"key"}}},
	}
	if err := d.put("op/config", config); err != nil {
		return verdict{}, err
	}
	options := func(i int, version string) fleetworker.Options {
		return fleetworker.Options{
			ID: "engine-" + strconv.Itoa(i), Service: "llm", Slots: 48, MaxQueued: 144, SoftwareVersion: version, Model: "m", WeightsVersion: 1,
			WorkTime: 30 * time.Millisecond, EventGap: 50 * time.Millisecond, StreamEvents: 60, LoadTime: 290 * time.Millisecond,
		}
	}
	var workers []*worker
	for i := range 4 {
		w, err := d.startWorker(options(i+1, "v1"))
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	for range 2 {
		if _, err := d.startGateway(); err != nil {
			return verdict{}, err
		}
	}
	if err := d.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	var clients []*streamClient
	var running sync.WaitGroup
	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	running.Go(func() {
		for i := 0; time.Since(began) < 20*time.Second; i++ {
			c := &streamClient{d: d, path: fmt.Sprintf("/explain/%d", i), deadline: time.Now().Add(streamDeadline), last: -1}
			clients = append(clients, c)
			running.Go(func() { c.run(3) })
			time.Sleep(time.Second / 25)
		}
	})
	restart := func(i int, down time.Duration, version string) error {
		workers[i].crash()
		time.Sleep(down)
		return workers[i].start(options(i+1, version))
	}
	running.Go(func() {
		at(8)
		d.setStoreDown(trouble)
		at(12.4)
		d.setStoreDown(false)
	})
	version := "v2"
	for i, s := range []float64{8.3, 9.8, 11.2} {
		at(s)
		if err := restart(i, time.Second, version); err != nil {
			return verdict{}, err
		}
	}
	running.Wait()
	mixed, complete := 0, 0
	for _, c := range clients {
		if len(c.versions) > 1 {
			mixed++
			d.note("%s holds events of the versions %v, complete: %t", c.path, c.versions, c.complete)
		}
		if c.complete {
			complete++
		}
	}
	for _, w := range workers {
		for _, s := range w.incarnations() {
			for _, r := range s.Runs() {
				d.note("  worker %s (%s) ran %s %s after event %d", w.name, s.SoftwareVersion(), r.Attempt, r.Path, r.LastEvent)
			}
		}
	}
	text := fmt.Sprintf("%d of %d streams hold events of two software versions (2 may); %d are complete", mixed, len(clients), complete)
	return verdict{broken: mixed > 2, text: text}, nil
}
