package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// endpoint is a place at which engines or applications run one after the other.
type endpoint struct {
	service string
	zone    string
	model   string
	operate *operator

	mu      sync.Mutex
	current *incarnation // nil while none runs
	all     []*incarnation
}

// incarnation is one start of an endpoint.
type incarnation struct {
	id     string
	worker *fleetworker.Server
	server *http.Server
	link   *Link

	mu      sync.Mutex
	left    time.Time // its leaving was acknowledged
	weights int64     // as last listed
}

// Behaviour of the stand-ins: short answers, so that many overlap a fault.
const (
	engineSlots  = 8
	appSlots     = 8
	queueLength  = 16
	workTime     = 15 * time.Millisecond
	eventGap     = 20 * time.Millisecond
	streamEvents = 12
	weightsTime  = 200 * time.Millisecond
	reportAge    = 150 * time.Millisecond
	slowFactor   = 6
)

// start starts a new incarnation and lists it.
func (e *endpoint) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		return nil
	}
	i := &incarnation{id: e.operate.nextID()}
	o := fleetworker.Options{ID: i.id, Service: e.service, Slots: appSlots, MaxQueued: queueLength, WorkTime: workTime}
	if e.model != "" {
		o.Slots, o.Model, o.WeightsVersion = engineSlots, e.model, e.operate.weights()
		o.EventGap, o.StreamEvents, o.LoadTime, o.ReportLag = eventGap, streamEvents, weightsTime, reportAge
	}
	i.worker = fleetworker.New(o)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i.server = &http.Server{Handler: i.worker, ReadHeaderTimeout: time.Minute}
	go i.server.Serve(l)
	if i.link, err = NewLink(l.Addr().String()); err != nil {
		return err
	}
	e.current, e.all = i, append(e.all, i)
	e.operate.list(e, i)
	return nil
}

// stop ends an incarnation; false if it has ended before.
func (e *endpoint) stop(i *incarnation) bool {
	e.mu.Lock()
	running := i != nil && e.current == i
	if running {
		e.current = nil
	}
	e.mu.Unlock()
	if !running {
		return false
	}
	i.link.Close()
	i.server.Close()
	return true
}

// running returns the incarnation that runs, or nil.
func (e *endpoint) running() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// incarnations returns all starts so far.
func (e *endpoint) incarnations() []*incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*incarnation(nil), e.all...)
}

// leave announces the end; what still comes is served.
func (i *incarnation) leave(o *operator, e *endpoint) {
	i.worker.SetLeaving(true)
	o.list(e, i)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.left = time.Now()
}

func (i *incarnation) leftAt() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.left
}

// heartbeat lists the incarnation again if it has other weights than listed.
func (e *endpoint) heartbeat() {
	i := e.running()
	if i == nil || e.model == "" {
		return
	}
	i.mu.Lock()
	listed := i.weights
	i.weights = i.worker.WeightsVersion()
	changed := i.weights != listed
	i.mu.Unlock()
	if changed {
		e.operate.list(e, i)
	}
}

// String implements fmt.Stringer.
func (i *incarnation) String() string { return fmt.Sprintf("endpoint %s", i.id) }
