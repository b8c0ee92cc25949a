//go:build review

package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetworker"
)

// worker is a stand-in of a sound server. Its process is a listener in this one.
type worker struct {
	d       *deployment
	name    string
	addr    string // host:port
	mu      sync.Mutex
	options fleetworker.Options
	current *fleetworker.Server
	server  *http.Server
	past    []*fleetworker.Server
	stop    chan struct{} // ends the registration
}

// startWorker starts a worker at a new address, which registers at once.
func (d *deployment) startWorker(o fleetworker.Options) (*worker, error) {
	w := &worker{d: d, name: o.ID, addr: d.address() + ":8080", options: o}
	d.closers = append(d.closers, func() { w.crash() })
	return w, w.start(o)
}

// start starts the worker's process: it listens, then registers.
func (w *worker) start(o fleetworker.Options) error {
	l, err := net.Listen("tcp4", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options, w.current, w.stop = o, fleetworker.New(o), make(chan struct{})
	w.past = append(w.past, w.current)
	w.server = &http.Server{Handler: w.current}
	go w.server.Serve(l)
	go w.register(w.current, w.stop)
	w.d.note("worker %s: software version %s listens", w.name, w.current.SoftwareVersion())
	return nil
}

// register writes the worker's entry and again when it changes.
func (w *worker) register(s *fleetworker.Server, stop chan struct{}) {
	written := ""
	for {
		if entry := s.Entry(w.addr, "za", 1); string(entry) != written {
			if fleetstore.Put(w.d.store, "servers/"+w.name, entry) == nil {
				written = string(entry)
				w.d.note("worker %s: its entry is in the store: %s", w.name, entry)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// crash ends the worker's process as a kill does.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	w.server.Close()
	close(w.stop)
	w.server = nil
	w.d.note("worker %s: crashed", w.name)
}

// incarnations returns the worker's processes, the oldest first.
func (w *worker) incarnations() []*fleetworker.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*fleetworker.Server(nil), w.past...)
}
