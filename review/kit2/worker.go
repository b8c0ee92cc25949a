//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// workerSlots is the number of requests that a worker runs at the same time.
	workerSlots = 48
	// workerQueue is the number of requests that may wait for a slot.
	workerQueue = 96
	// prefillTime is the time until the first event.
	prefillTime = 40 * time.Millisecond
	// expiryTime is three heartbeat intervals, after which the entry of a silent worker is
	// removed.
	expiryTime = 3600 * time.Millisecond
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
	// startTime is how long a worker that has crashed takes to come back.
	startTime = 2 * time.Second
)

// worker is a stand-in of a model worker, which follows PROTOCOL.md. A crash ends its listener and
// all connections, as the end of a process does; it comes back as a new incarnation.
type worker struct {
	world    *world
	service  string
	software string
	zone     string
	events   int           // in a stream
	gap      time.Duration // after each event
	crashOn  string        // identifier of a part that crashes the worker, empty for none
	dying    time.Duration // from the first event of an answer on that part until the crash
	stride   int           // between the identifiers of two events
	slowPart string        // identifier of a part whose prompts wait for a while, empty for none

	mu       sync.Mutex
	id       string
	born     int64
	addr     string
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
	cached   map[string]string // tenant whose request made a part, by salt and part
	pause    string            // Retry-After of the refusals of all requests, empty to refuse none
	leaving  bool              // the worker has reported that it drains
	arrivals []arrival
}

// arrival is a request that reached a worker and was not misdirected.
type arrival struct {
	attempt  string
	tenant   string
	salt     string
	parts    []string
	at       time.Time
	worker   string
	resumes  string
	after    string   // Last-Event-Id
	usedFrom []string // tenants whose parts the request used
	pause    string   // Retry-After of the answer, empty if the request was not turned away
}

// startWorker starts a worker and registers it.
func (w *world) startWorker(service, software string, events int, gap time.Duration, crashOn string) (*worker, error) {
	k := &worker{world: w, service: service, software: software, zone: "za", events: events, gap: gap, crashOn: crashOn, stride: max(w.stride, 1), dying: w.dying}
	if err := k.start(); err != nil {
		return nil, err
	}
	w.workers = append(w.workers, k)
	return k, nil
}

// start begins an incarnation, at the address of the one before if there was one.
func (k *worker) start() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return err
	}
	k.listener, k.addr, k.id, k.born = l, l.Addr().String(), k.world.newID("i-"), time.Now().UnixMilli()
	k.conns, k.cached, k.running = map[net.Conn]struct{}{}, map[string]string{}, 0
	id, born := k.id, k.born
	s := &http.Server{Handler: k.handler(id, born), ConnState: func(c net.Conn, state http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.id != id {
			c.Close()
			return
		}
		if state == http.StateClosed || state == http.StateHijacked {
			delete(k.conns, c)
		} else {
			k.conns[c] = struct{}{}
		}
	}}
	go s.Serve(l)
	k.world.record.linef("worker %s of %s %s starts at %s", id, k.service, k.software, k.addr)
	return k.report("ready")
}

// report writes the worker's entry. The caller holds mu.
func (k *worker) report(state string) error {
	return k.world.put("servers/"+k.id, map[string]any{
		"service": k.service, "address": k.addr, "zone": k.zone, "version": k.software, "slots": workerSlots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": k.born, "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}},
	})
}

// leave reports that the worker drains, and ends it after drain_ms and a little longer.
func (k *worker) leave() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := k.id
	k.leaving = true
	k.world.record.linef("worker %s of %s %s reports that it drains", id, k.service, k.software)
	time.AfterFunc(drainTime+2*time.Second, func() {
		_ = k.world.store.Delete("servers/"+id, 0)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.id = ""
		k.listener.Close()
		for c := range k.conns {
			c.Close()
		}
		k.world.record.linef("worker %s has left", id)
	})
	return k.report("draining")
}

// crash ends the incarnation with the given identifier, unless it has ended.
func (k *worker) crash(id, cause string) {
	k.mu.Lock()
	if k.id != id {
		k.mu.Unlock()
		return
	}
	k.id = ""
	k.listener.Close()
	for c := range k.conns {
		c.Close()
	}
	k.mu.Unlock()
	k.world.record.linef("worker %s crashes: %s", id, cause)
	time.AfterFunc(expiryTime, func() { _ = k.world.store.Delete("servers/"+id, 0) })
	time.AfterFunc(startTime, func() {
		if err := k.start(); err != nil {
			k.world.record.linef("worker at %s does not start again: %v", k.addr, err)
		}
	})
}

// handler returns the handler of an incarnation.
func (k *worker) handler(id string, born int64) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	m.HandleFunc("GET /redwingknot/report", func(w http.ResponseWriter, r *http.Request) {
		if refuseMisdirected(w, r, id) {
			return
		}
		k.mu.Lock()
		running := k.running
		k.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "prefill_decode", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": running, "kv_used": 0, "kv_total": 136551, "handles": 0, "born": born,
		})
	})
	m.HandleFunc("POST /redwingknot/order", func(w http.ResponseWriter, r *http.Request) { _ = refuseMisdirected(w, r, id) })
	m.HandleFunc("GET /redwingknot/kv-events", func(w http.ResponseWriter, r *http.Request) {
		if refuseMisdirected(w, r, id) {
			return
		}
		if ms, err := strconv.Atoi(r.Header.Get("Wait-Ms")); err == nil && !sleep(r, time.Duration(ms)*time.Millisecond) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": born, "next": 1, "lost": false, "events": []any{}})
	})
	m.HandleFunc("GET /redwingknot/kv-list", func(w http.ResponseWriter, r *http.Request) {
		if refuseMisdirected(w, r, id) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": born, "next": 1, "held": []any{}})
	})
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { k.serve(w, r, id) })
	return m
}

// refuseMisdirected refuses a request that names another worker.
func refuseMisdirected(w http.ResponseWriter, r *http.Request, id string) bool {
	if want := r.Header.Get("Expect-Instance"); want == "" || want == id {
		return false
	}
	refuse(w, id, http.StatusMisdirectedRequest)
	return true
}

// refuse answers that a request was not run.
func refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set("Instance-Id", id)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// serve runs a request: a stream of numbered events.
func (k *worker) serve(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	k.mu.Lock()
	if k.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	k.mu.Unlock()
	w.Header().Set("Weight-Versions", "1")
	if refuseMisdirected(w, r, id) {
		return
	}
	if v := r.Header.Get("Expect-Version"); v != "" && v != "1" {
		refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		refuse(w, id, http.StatusBadRequest)
		return
	}
	a := arrival{attempt: attempt, tenant: r.Header.Get("Tenant"), salt: r.Header.Get("Cache-Salt"), parts: partsOf(r), at: time.Now(), worker: id, resumes: r.Header.Get("Resumes"), after: r.Header.Get("Last-Event-Id")}
	if !k.begin(&a, id) {
		if a.pause != "" {
			w.Header().Set("Retry-After", a.pause)
		}
		refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer k.end(id)
	if !sleep(r, prefillTime+k.firstWait(a.parts)) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Stamp", "stamp."+id)
	first := 0
	if n, err := strconv.Atoi(a.after); err == nil {
		first = n/k.stride + 1
	}
	for n := first; n < k.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n*k.stride, k.service, k.software, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if n == first && k.crashOn != "" && slices.Contains(a.parts[:max(len(a.parts)-1, 0)], k.crashOn) {
			time.AfterFunc(k.dying, func() { k.crash(id, "it has begun to write an answer to "+attempt+" of "+a.tenant) })
		}
		if !sleep(r, k.gap) {
			return
		}
	}
}

// slowWait is how long a prompt with slowPart waits before its first event.
const slowWait = 1800 * time.Millisecond

// firstWait returns how long a prompt waits before it is read.
func (k *worker) firstWait(parts []string) time.Duration {
	if k.slowPart != "" && slices.Contains(parts, k.slowPart) {
		return slowWait
	}
	return 0
}

// sleep waits unless the caller leaves first.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	}
}

// partsOf returns the identifiers of the parts of a prompt.
func partsOf(r *http.Request) []string {
	var parts []string
	for _, field := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		if id, _, ok := strings.Cut(strings.TrimSpace(field), ":"); ok {
			parts = append(parts, id)
		}
	}
	return parts
}

// begin records an arrival, reads the prompt and reports whether there is room. Parts are found
// only under the same salt, and only if all parts before them are found; what is not found is
// read and kept.
func (k *worker) begin(a *arrival, id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.id != id {
		return false
	}
	found := true
	if a.pause = k.pause; a.pause != "" {
		k.arrivals = append(k.arrivals, *a)
		return false
	}
	if k.running < workerSlots+workerQueue {
		k.running++
		for _, part := range a.parts[:max(len(a.parts)-1, 0)] {
			maker, ok := k.cached[a.salt+"\x00"+part]
			found = found && ok
			if found {
				a.usedFrom = append(a.usedFrom, maker)
			} else {
				k.cached[a.salt+"\x00"+part] = a.tenant
			}
		}
		k.arrivals = append(k.arrivals, *a)
		return true
	}
	k.arrivals = append(k.arrivals, *a)
	return false
}

// turnAway makes the worker turn all requests away from now on and ask for a pause.
func (k *worker) turnAway(retryAfter string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.world.record.linef("worker %s turns requests away with Retry-After: %s", k.id, retryAfter)
	k.pause = retryAfter
}

func (k *worker) end(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.id == id {
		k.running--
	}
}

// arrivalsOf returns the arrivals at all workers, in the order of their times.
func (w *world) arrivalsOf() []arrival {
	var all []arrival
	for _, k := range w.workers {
		k.mu.Lock()
		all = append(all, k.arrivals...)
		k.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all
}
