//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// memoryGuard is the platform's limit of memory: a process that exceeds it is killed, and started
// again after a short delay. It counts the anonymous memory that is resident, and neither the
// program's file nor bytes that have been received and not yet read.
type memoryGuard struct {
	d     *deployment
	peak  map[*gateway]float64
	kills atomic.Int64
	stop  chan struct{}
	done  sync.WaitGroup
}

// guardMemory begins to enforce the limit of all gateways.
func (d *deployment) guardMemory() *memoryGuard {
	m := &memoryGuard{d: d, peak: map[*gateway]float64{}, stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for _, g := range d.gateways {
				m.check(g)
			}
		}
	})
	return m
}

func (m *memoryGuard) check(g *gateway) {
	used := g.statusMiB("RssAnon")
	m.peak[g] = max(m.peak[g], used)
	if used <= memoryMiB {
		return
	}
	m.kills.Add(1)
	m.d.note("%s: uses %.0f MiB of %d MiB, the platform kills it", g.name, used, memoryMiB)
	g.kill()
	time.Sleep(300 * time.Millisecond)
	if err := g.start(); err != nil {
		m.d.note("%s: %v", g.name, err)
	}
}

// end ends the guard and notes how much memory the gateways used at most.
func (m *memoryGuard) end() {
	close(m.stop)
	m.done.Wait()
	for g, used := range m.peak {
		m.d.note("%s: at most %.0f MiB of %d MiB", g.name, used, memoryMiB)
	}
}

// keptClient sends plain requests one after another on one kept connection to one gateway, as
// long as that is open, and then opens another one.
type keptClient struct {
	d    *deployment
	g    *gateway
	path func() string // of the next request
	lost []string      // attempts on a kept connection that was closed without an answer
	ok   int
}

// run sends requests until stop is closed.
func (c *keptClient) run(stop chan struct{}) {
	t := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true}
	defer t.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !c.send(t) {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// send sends one request. It reports whether an answer came.
func (c *keptClient) send(t *http.Transport) bool {
	attempt, path := fmt.Sprintf("%016x", rand.Uint64()), c.path()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.g.front()+path, bytes.NewReader([]byte("form")))
	r.GetBody = nil
	r.Host = "review.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", "4000")
	res, err := t.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	if err != nil {
		if kept {
			c.lost = append(c.lost, attempt)
		}
		c.d.note("  %s: %s, attempt %s, kept connection: %t, no answer: %v", c.g.name, path, attempt, kept, err)
		return false
	}
	c.d.note("  %s: %s, attempt %s, kept connection: %t, answer %d", c.g.name, path, attempt, kept, res.StatusCode)
	if res.StatusCode == http.StatusOK {
		c.ok++
	}
	return res.StatusCode == http.StatusOK
}

// appConfig is a configuration with a service for signatures and one that takes documents.
func appConfig(maxBody int) map[string]any {
	route := func(name, kind string, attempts int) any {
		return map[string]any{
			"name": name, "host": "review.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 1, "service": "app", "max_attempts": attempts,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("sign", "non_idempotent", 1), route("upload", "idempotent", 2)},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_conns": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t", "api_keys": []string{"key"}}},
	}
}

// startApps starts the workers of the service app.
func (d *deployment) startApps(n int) ([]*worker, error) {
	var workers []*worker
	for i := range n {
		w, err := d.startWorker(fleetworker.Options{ID: "app-" + strconv.Itoa(i+1), Service: "app", Slots: 6, MaxQueued: 24, WorkTime: 60 * time.Millisecond, TimeOf: timeOf})
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// timedPath returns the function that chooses the path of a request of a route, which names the
// time that a worker takes for it: 30 to 450 ms.
func timedPath(route string) func() string {
	return func() string { return fmt.Sprintf("/%s/%d", route, 30+rand.N(120)+rand.N(2)*rand.N(300)) }
}

// timeOf returns the time that a path names.
func timeOf(path string) time.Duration {
	ms, _ := strconv.Atoi(path[strings.LastIndex(path, "/")+1:])
	return time.Duration(ms) * time.Millisecond
}

// passedOn returns those of the attempts that a worker ran.
func passedOn(workers []*worker, attempts []string) int {
	ran := map[string]bool{}
	for _, w := range workers {
		for _, s := range w.incarnations() {
			for _, r := range s.Runs() {
				ran[r.Attempt] = true
			}
		}
	}
	n := 0
	for _, a := range attempts {
		if ran[a] {
			n++
		}
	}
	return n
}

func init() { cases["upload"] = runUpload }

// Uploads of a class of requests whose bodies have the largest size that the configuration allows.
const (
	uploadBytes   = 4 << 20
	uploadRate    = 1000e6 / 8 / 2 // bytes a second of all uploads at a gateway: half of its link
	usualUploads  = 10             // at once, at one gateway
	burstUploads  = 17             // 1.7 times as many
	uploadRounds  = 4
	uploadSpacing = 4 * time.Second
)

// upload sends a body of the largest size at a share of the gateway's link.
func upload(d *deployment, g *gateway, bytesPerSecond float64) string {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	body := &pacedBody{left: uploadBytes, rate: bytesPerSecond, began: time.Now()}
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front()+"/upload/60", body)
	r.ContentLength = uploadBytes
	r.Host = "review.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", "4000")
	t := &http.Transport{DisableKeepAlives: true}
	res, err := t.RoundTrip(r)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return strconv.Itoa(res.StatusCode)
}

// pacedBody is a body that is sent at a rate.
type pacedBody struct {
	left, sent int
	rate       float64
	began      time.Time
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, 16<<10)
	b.left -= n
	b.sent += n
	time.Sleep(time.Until(b.began.Add(time.Duration(float64(b.sent) / b.rate * float64(time.Second)))))
	return n, nil
}

// runUpload has many clients send bodies of the size that the configuration allows, at once.
func runUpload(d *deployment, trouble bool) (verdict, error) {
	if err := d.put("op/config", appConfig(uploadBytes)); err != nil {
		return verdict{}, err
	}
	workers, err := d.startApps(3)
	if err != nil {
		return verdict{}, err
	}
	for range 2 {
		if _, err := d.startGateway(); err != nil {
			return verdict{}, err
		}
	}
	if err := d.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	guard := d.guardMemory()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var clients []*keptClient
	for _, g := range d.gateways {
		for range 8 {
			c := &keptClient{d: d, g: g, path: timedPath("sign")}
			clients = append(clients, c)
			running.Go(func() { c.run(stop) })
		}
	}
	atOnce := usualUploads
	if trouble {
		atOnce = burstUploads
	}
	for round := range uploadRounds {
		d.note("round %d: %d uploads at once at each gateway", round+1, atOnce)
		var uploads sync.WaitGroup
		for _, g := range d.gateways {
			for range atOnce {
				uploads.Go(func() {
					d.note("  upload at %s: %s", g.name, upload(d, g, uploadRate/float64(atOnce)))
				})
			}
		}
		uploads.Wait()
		time.Sleep(uploadSpacing)
	}
	close(stop)
	running.Wait()
	guard.end()
	return d.lostVerdict(guard, clients, workers), nil
}

// lostVerdict returns whether a machine has lost more requests than may be lost.
func (d *deployment) lostVerdict(guard *memoryGuard, clients []*keptClient, workers []*worker) verdict {
	const mayLose = 3
	most, served := 0, 0
	for _, g := range d.gateways {
		var lost []string
		for _, c := range clients {
			if c.g == g {
				lost = append(lost, c.lost...)
				served += c.ok
			}
		}
		n := passedOn(workers, lost)
		d.note("%s: %d requests on kept connections got no answer, %d of them ran at sound workers", g.name, len(lost), n)
		most = max(most, n)
	}
	text := fmt.Sprintf("processes were killed for their memory %d times; one machine lost %d requests of kept connections that it had passed on (%d may be); %d were served", guard.kills.Load(), most, mayLose, served)
	return verdict{broken: guard.kills.Load() > 0 && most > mayLose, text: text}
}
