package fleetworker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"redwingknot/internal/timer"
)

// Options configures an endpoint. Without a Model it is an application, else an
// engine.
type Options struct {
	ID        string
	Service   string
	Slots     int // number of requests that run concurrently
	MaxQueued int // maximum number of requests that wait for a slot
	// SoftwareVersion is the version of its software, DefaultSoftwareVersion if empty. It
	// decides what the events of streams say.
	SoftwareVersion string
	Model           string
	WeightsVersion  int64 // weight version loaded at the start

	WorkTime     time.Duration // time to an application's answer or an engine's first event
	EventGap     time.Duration // time after each event of a stream
	StreamEvents int           // number of events of a stream
	LoadTime     time.Duration // time to load weights
	CopyTime     time.Duration // time to copy a run to another endpoint
	FetchTime    time.Duration // time to fetch a part of a prompt, besides the call
	CacheTokens  int           // tokens of prompt parts that an engine keeps, a default if 0
	// TimeOf returns the time that the request with the given path takes in place of WorkTime
	// and EventGap, or 0 if it takes the usual time; nil if all do.
	TimeOf    func(path string) time.Duration
	ReportLag time.Duration // age at which an order shows in reports

	// Crash ends the endpoint's process as a crash does. It is called when a request with
	// CrashBody begins to run, and after the first event of a stream whose prompt has
	// CrashPart among its parts but the last; nil if no request crashes the endpoint.
	Crash func()

	// MostWhileCold is how many requests the endpoint bears in one second while it is cold.
	// Beyond that it falls over.
	MostWhileCold int

	// FallOver ends the process as a crash does. It is called when a brittle endpoint has
	// turned away too many requests in a second, or a cold one has got too many; nil if it
	// never falls over.
	FallOver func()
}

// DefaultSoftwareVersion is the software version of an endpoint whose options name none.
const DefaultSoftwareVersion = "v1"

// CrashPart is the identifier of a prompt part that crashes each engine which begins to
// write a response to a prompt with it.
const CrashPart = "dead"

// CrashBody is the beginning of the bodies of requests that crash each endpoint that begins
// to run them.
const CrashBody = "crash"

// Run is a request that the endpoint started to execute.
type Run struct {
	Attempt        string
	Method         string
	Path           string
	Crashes        bool // the request crashes the endpoint
	Team           string
	Authenticated  bool   // the request has an Authorization header
	LastEvent      int    // ID of the last event that the caller has received, -1 for none
	From           string // the copy that the run continues from, empty for none
	Resumes        string // attempt that brought the caller the first event, as the caller names it
	WeightsVersion int64  // weight version that ran the request
	StartedAt      time.Time

	FirstEventAt      time.Time // zero before the first event, and for applications
	FirstEventWeights int64     // weight version at the first event

	Preemptions int         // number of times that its prompt was read again
	StaleParts  []StalePart // memory of other weights that it has run on
}

// Order is an order that the endpoint accepted.
type Order struct {
	Version  int64     `json:"version"`
	Model    string    `json:"model"`
	Mode     string    `json:"mode"`
	Holder   string    `json:"holder"`
	Fence    int64     `json:"fencing_token"`
	Expected *int64    `json:"expected"`
	At       time.Time // time of its arrival
}

// Notice is what a response to a request said about further requests.
type Notice struct {
	Attempt   string
	At        time.Time
	Leaving   bool      // the endpoint leaves
	PauseEnds time.Time // end of the pause that the endpoint asked for, zero without one
}

// Arrival is a request that arrived.
type Arrival struct {
	Attempt string
	At      time.Time
	Limit   string // the limit that the response named, empty for none
	Cold    bool   // the endpoint was cold
}

// Server is a fake endpoint. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	options  Options
	mux      *http.ServeMux
	slots    chan struct{} // holds an element per running request
	admitted chan struct{} // holds an element per running or waiting request

	mu             sync.Mutex
	startTime      time.Time
	weightsVersion int64
	ordered        chan struct{} // closed while an order is in progress
	waiting        *Order        // the order in progress if its load has not begun, else nil
	parts          *partCache
	slowFactor     int // multiplies the times that work takes
	leaving        bool
	limitValue     string // Server-Limit of the responses to requests, empty for none
	endlessHead    string // beginning of responses that go on without end, empty for none
	failing        bool   // requests get a failure and are not run
	unframed       bool   // responses have neither a length nor chunks, and end with their connection
	pauseValue     string // Retry-After of the refusals of all requests, empty to refuse none
	coldUntil      time.Time
	brittle        int         // requests that it may turn away in a second, 0 if it is not brittle
	brittleSince   time.Time   // when brittle was last set
	turnedAway     []time.Time // refusals of the last second for want of room
	notices        []Notice
	arrivals       []Arrival
	runs           []Run
	live           map[string]*liveRun   // streams being sent, by attempt
	copies         map[string]*copiedRun // by handle; those of stopped runs and of other endpoints' runs
	targets        map[string]string     // address of the endpoint that got a copy, by handle
	handles        int                   // issued so far
	moveFault      MoveFault
	streamFaults   map[StreamFault]int // steps that have set each
	headFaults     map[HeadFault]int   // likewise
	orderFaults    map[OrderFault]int  // likewise
	orders         []Order             // accepted since the start, the oldest first
}

// New returns an endpoint that has just started.
func New(o Options) *Server {
	if o.SoftwareVersion == "" {
		o.SoftwareVersion = DefaultSoftwareVersion
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	s := &Server{
		options: o, mux: http.NewServeMux(), weightsVersion: o.WeightsVersion, startTime: time.Now(), slowFactor: 1,
		live: map[string]*liveRun{}, copies: map[string]*copiedRun{}, targets: map[string]string{}, streamFaults: map[StreamFault]int{}, headFaults: map[HeadFault]int{}, orderFaults: map[OrderFault]int{},
		ordered: make(chan struct{}), parts: newPartCache(o.CacheTokens),
		slots: make(chan struct{}, o.Slots), admitted: make(chan struct{}, o.Slots+o.MaxQueued),
	}
	s.mux.HandleFunc("GET /health", s.serveHealth)
	s.mux.HandleFunc("GET /redwingknot/report", s.serveReport)
	s.mux.HandleFunc("POST /redwingknot/order", s.serveOrder)
	s.mux.HandleFunc("POST /redwingknot/kv-move", s.serveMove)
	s.mux.HandleFunc("/redwingknot/kv-handle/{handle}", s.serveHandle)
	s.mux.HandleFunc("GET "+pathPart, s.servePart)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set(headerLeaving, "1")
	}
	s.mux.ServeHTTP(w, r)
}

// SoftwareVersion returns the version of the endpoint's software.
func (s *Server) SoftwareVersion() string { return s.options.SoftwareVersion }

// Runs returns the requests that the endpoint started to execute, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Notices returns what the responses to requests have said so far, in order.
func (s *Server) Notices() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Notice(nil), s.notices...)
}

// Orders returns the orders accepted since the endpoint started, in order.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// WeightsVersion returns the weight version that is loaded.
func (s *Server) WeightsVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weightsVersion
}

// SetSlowFactor sets the factor by which the times that work takes are multiplied.
func (s *Server) SetSlowFactor(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
}

// SetPause makes the endpoint refuse all requests and ask for a pause by the value of
// Retry-After, which need not be valid. An empty value ends that.
func (s *Server) SetPause(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseValue = value
}

// Beginnings of responses that go on without end.
const (
	EndlessHead = "HTTP/1.1 200 OK\r\nX-More: " // in a header
	EndlessBody = "HTTP/1.1 200 OK\r\n\r\n"     // in a body without a stamp
)

// SetEndless makes all responses to requests begin with the given bytes and go on without
// end, until the caller closes the connection. An empty beginning ends that.
func (s *Server) SetEndless(beginning string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessHead = beginning
}

// SetFailing sets whether the endpoint reports a failure for each request, which it does
// not run.
func (s *Server) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// SetUnframed sets whether responses have neither a length nor chunks, and end with their
// connection.
func (s *Server) SetUnframed(unframed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unframed = unframed
}

// SetLimit sets the limit that the responses to requests name, which need not be valid. An
// empty value ends that.
func (s *Server) SetLimit(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitValue = value
}

// Arrivals returns the requests that have arrived, in order, also those that were refused.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// SetLeaving sets whether the endpoint reports, and says in all responses, that it is
// leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Entry returns the value of the endpoint's entry in the metadata store.
func (s *Server) Entry(address, zone string, sequence int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.options.Service, "address": address, "zone": zone, "version": s.options.SoftwareVersion, "slots": s.options.Slots,
		"state": state, "cold_remaining_ms": s.coldLeft().Milliseconds(), "sequence": sequence, "born": s.startTime.UnixMilli(),
	}
	if s.options.Model != "" {
		entry["models"] = []any{map[string]any{"name": s.options.Model, "version": s.weightsVersion}}
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // can't happen: the map holds only values that JSON can encode
	}
	return data
}

// serveHealth answers 200 OK, or 503 Service Unavailable while the endpoint is
// leaving.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Instance-Id", s.options.ID)
	w.Header().Set(headerColdMs, strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sleepScaled waits for d, or for the request's own share of time, multiplied by the slow
// factor. It reports false if the client disconnects first.
func (s *Server) sleepScaled(r *http.Request, d time.Duration) bool {
	return timer.Sleep(r.Context(), s.scaled(r, d))
}

// scaled returns d, or the request's own share of time, multiplied by the slow factor.
func (s *Server) scaled(r *http.Request, d time.Duration) time.Duration {
	if own := s.ownTime(r); own > 0 {
		d = own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return d * time.Duration(s.slowFactor)
}

// ownTime returns the time that an application's answer or each step of an engine's stream takes
// if the request has a time of its own, else 0.
func (s *Server) ownTime(r *http.Request) time.Duration {
	if s.options.TimeOf == nil {
		return 0
	}
	whole := s.options.TimeOf(r.URL.Path)
	if s.options.Model == "" {
		return whole
	}
	return whole / time.Duration(1+s.options.StreamEvents)
}
