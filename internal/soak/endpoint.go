package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// endpoint is one simulated engine or application. It can be stopped and started
// again, as a new incarnation.
type endpoint struct {
	service  string
	zone     string
	model    string
	operator *operator
	network  *network

	mu sync.Mutex
	// software is the version of the software of the next incarnation, the default if empty.
	software string
	current  *incarnation   // nil while none is running
	all      []*incarnation // in the order of their start
	brittle  int            // requests that it may turn away in a second, 0 if it is not brittle
	falls    int            // times that it fell over because it was brittle
}

// incarnation is an endpoint from one start to its stop.
type incarnation struct {
	id           string
	worker       *fleetworker.Server
	server       *http.Server
	links        []*Link // from each gateway
	startedAt    time.Time
	mu           sync.Mutex
	stoppedAt    time.Time // zero while it runs
	leavingAt    time.Time // when it announced that it leaves, zero if it has not
	entryWeights int64     // weight version in its last store entry
	hijacked     []net.Conn
}

// Parameters of the simulated endpoints. Answers are short, so that many of them
// overlap a fault.
const (
	engineSlots     = 8
	appSlots        = 8
	queueLength     = 16
	workTime        = 15 * time.Millisecond
	eventGap        = 20 * time.Millisecond
	streamEvents    = 12
	weightsLoadTime = 200 * time.Millisecond
	reportLag       = 150 * time.Millisecond
	slowFactor      = 6
)

// start starts a new incarnation and writes its store entry, unless an incarnation is
// running.
func (e *endpoint) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		return nil
	}
	i, err := e.launch(e.operator.nextEndpointID(), nil)
	if err == nil {
		e.operator.writeEntry(e, i)
	}
	return err
}

// launch starts an incarnation with the given identifier at the addresses of the given links,
// at new ones if there are none. The caller holds mu.
func (e *endpoint) launch(id string, links []*Link) (*incarnation, error) {
	i := &incarnation{id: id, startedAt: time.Now()}
	o := fleetworker.Options{ID: i.id, Service: e.service, Slots: appSlots, MaxQueued: queueLength, WorkTime: workTime, SoftwareVersion: e.software, TimeOf: timeOfPath, Crash: func() { e.crash(i) }, FallOver: func() { e.fallOver(i) }}
	if e.model != "" {
		o.Slots, o.Model, o.WeightsVersion = engineSlots, e.model, e.operator.newestWeights()
		o.EventGap, o.StreamEvents, o.LoadTime, o.ReportLag = eventGap, streamEvents, weightsLoadTime, reportLag
	}
	if e.model == model && e.operator.longPrompts {
		setCacheOptions(&o)
	}
	i.worker = fleetworker.New(o)
	i.worker.SetBrittle(e.brittle)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i.server = &http.Server{Handler: i.worker, ReadHeaderTimeout: time.Minute, ConnState: i.keepHijacked}
	go i.server.Serve(l)
	if i.links, err = e.network.newLinks(l.Addr().String(), links); err != nil {
		return nil, err
	}
	e.current, e.all = i, append(e.all, i)
	return i, nil
}

// stop stops incarnation i. It returns false if i is nil or not running.
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
	i.recordStop()
	endLinks(i.links)
	i.server.Close()
	return true
}

// endLinks ends links that no later incarnation takes over. Their ports stay reserved: until
// the entry is gone, another process at the address would get requests.
func endLinks(links []*Link) {
	for _, l := range links {
		l.end()
	}
}

// release ends the endpoint and releases the ports of all its incarnations.
func (e *endpoint) release() {
	e.stop(e.running())
	for _, i := range e.incarnations() {
		for _, l := range i.links {
			l.Close()
		}
	}
}

// recordStop records that the incarnation ends now.
func (i *incarnation) recordStop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stoppedAt = time.Now()
}

// stopTime returns when the incarnation was stopped, or the zero time while it runs.
func (i *incarnation) stopTime() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stoppedAt
}

// upgrade sets the software version of the next incarnation.
func (e *endpoint) upgrade(software string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = software
}

// crashRestartTime is how long an endpoint that a request has crashed is away.
const crashRestartTime = 200 * time.Millisecond

// crash ends incarnation i, and starts another one after crashRestartTime.
func (e *endpoint) crash(i *incarnation) {
	if !e.stop(i) {
		return
	}
	time.AfterFunc(crashRestartTime, func() {
		e.removeEntry(i)
		// A failure to start shows as an endpoint that is missing in the end.
		_ = e.start()
	})
}

// fallOver crashes incarnation i because it is brittle.
func (e *endpoint) fallOver(i *incarnation) {
	e.mu.Lock()
	if e.current == i {
		e.falls++
	}
	e.mu.Unlock()
	e.crash(i)
}

// fallCount returns how often the endpoint has fallen over.
func (e *endpoint) fallCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.falls
}

// running returns the running incarnation, or nil if there is none.
func (e *endpoint) running() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// incarnations returns all incarnations so far, stopped ones included.
func (e *endpoint) incarnations() []*incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*incarnation(nil), e.all...)
}

// announceLeaving announces, in the incarnation's reports and in its store entry, that
// it leaves. The incarnation goes on serving requests.
func (i *incarnation) announceLeaving(o *operator, e *endpoint) {
	i.worker.SetLeaving(true)
	o.writeEntry(e, i)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leavingAt = time.Now()
}

// leavingSince returns when the incarnation announced that it leaves, or the
// zero time if it has not.
func (i *incarnation) leavingSince() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leavingAt
}

// updateEntry writes the store entry of an engine's running incarnation again if its
// weight version differs from that in its last entry.
func (e *endpoint) updateEntry() {
	i := e.running()
	if i == nil || e.model == "" {
		return
	}
	i.mu.Lock()
	previous := i.entryWeights
	i.entryWeights = i.worker.WeightsVersion()
	changed := i.entryWeights != previous
	i.mu.Unlock()
	if changed {
		e.operator.writeEntry(e, i)
	}
}

// String implements fmt.Stringer.
func (i *incarnation) String() string { return fmt.Sprintf("endpoint %s", i.id) }
