package suspect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/contract"
	"redwingknot/internal/fuzztest"
	"redwingknot/suspect/suspectpb"
	"redwingknot/wire"
)

const runTime = time.Hour

// fleet is a set of instances whose calls go straight to each other's keepers.
type fleet struct {
	members []Member
	keepers map[string]*Server
	clients []*Client
	down    map[string]bool // unreachable instances
	before  func(method string)
}

// caller reaches one keeper as a wire client does.
type caller struct {
	fleet *fleet
	addr  string
}

func (c *caller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	if c.fleet.down[c.addr] {
		return &wire.LinkError{Addr: c.addr}
	}
	if c.fleet.before != nil {
		c.fleet.before(method)
	}
	return c.fleet.keepers[c.addr].serve(ctx, method, req, resp)
}

func newFleet(dataCentres, instances int) *fleet {
	f := &fleet{keepers: map[string]*Server{}, down: map[string]bool{}}
	for d := range dataCentres {
		for i := range instances {
			name := fmt.Sprintf("dc%d-%d", d, i)
			f.members = append(f.members, Member{Instance: name, DataCentre: fmt.Sprint("dc", d), Addr: name})
		}
	}
	for _, m := range f.members {
		f.keepers[m.Instance] = NewServer(Config{}, nil)
		f.clients = append(f.clients, NewClient(ClientConfig{
			Instance: m.Instance, DataCentre: m.DataCentre, Local: f.keepers[m.Instance],
			Members: func() []Member { return f.members },
			Dial:    func(addr string) wire.Caller { return &caller{fleet: f, addr: addr} },
		}))
	}
	return f
}

func (f *fleet) settle() {
	for _, c := range f.clients {
		c.Wait()
	}
}

// flight is a permitted attempt on an endpoint.
type flight struct {
	entry    int
	request  int
	permit   *Permit
	endpoint string
}

// world is a fleet with requests, one of which crashes what runs it.
type world struct {
	t       *rapid.T
	f       *fleet
	rng     *rand.Rand
	flights []*flight
	runs    int

	crashed map[string]bool // endpoints that the culprit crashed
	copies  int             // copies of the culprit in flight at its first crash
	epochs  map[string]int
}

const (
	culprit   = 0
	requests  = 4
	endpoints = 6 // in each data centre
)

func fingerprint(request int) Fingerprint {
	return FingerprintOf(Identity{Team: "t", Body: []byte(fmt.Sprint(request))})
}

// begin lets an entry run a request on an endpoint that is not excluded. A
// suspect's endpoint runs nothing else.
func (w *world) begin(request int) {
	entry := rapid.IntRange(0, len(w.f.clients)-1).Draw(w.t, "entry")
	w.runs++
	c := w.f.clients[entry]
	p, err := c.Begin(context.Background(), fingerprint(request), fmt.Sprint("run", w.runs), time.Now().Add(runTime), w.rng)
	if err != nil {
		w.checkRefusal(request, err)
		return
	}
	endpoint := w.pick(c.config.DataCentre, p)
	if endpoint == "" {
		p.EndInconclusive(context.Background())
		return
	}
	w.flights = append(w.flights, &flight{entry: entry, request: request, permit: p, endpoint: endpoint})
	w.checkAlone(c.config.DataCentre)
}

func (w *world) checkRefusal(request int, err error) {
	var refusal *contract.Refusal
	if !errors.As(err, &refusal) || refusal.Ran != contract.NotRun {
		w.t.Fatalf("refused with %v", err)
	}
	if request != culprit && refusal.Reason == contract.ReasonSuspectRefused {
		w.t.Fatalf("innocent request %d is refused for good", request)
	}
}

func (w *world) pick(dataCentre string, p *Permit) string {
	var free []string
	for i := range endpoints {
		name := fmt.Sprintf("%s/e%d", dataCentre, i)
		if !slices.Contains(p.Exclude, name) && w.free(name, p.Alone) {
			free = append(free, name)
		}
	}
	if len(free) == 0 {
		return ""
	}
	return rapid.SampledFrom(free).Draw(w.t, "endpoint")
}

func (w *world) free(endpoint string, alone bool) bool {
	for _, fl := range w.flights {
		if fl.endpoint == endpoint && (alone || fl.permit.Alone) {
			return false
		}
	}
	return true
}

// checkAlone fails if two suspects run at once in a data centre.
func (w *world) checkAlone(dataCentre string) {
	alone := 0
	for _, fl := range w.flights {
		if fl.permit.Alone && w.f.clients[fl.entry].config.DataCentre == dataCentre {
			alone++
		}
	}
	if alone > 1 {
		w.t.Fatalf("%d suspects run at once in %s", alone, dataCentre)
	}
}

// end finishes an attempt; the culprit's ends by crashing its endpoint.
func (w *world) end() {
	if len(w.flights) == 0 {
		return
	}
	fl := w.flights[rapid.IntRange(0, len(w.flights)-1).Draw(w.t, "flight")]
	if fl.request == culprit {
		w.crash(fl.endpoint)
		return
	}
	w.remove(fl)
	fl.permit.EndWithoutCrash(context.Background())
	w.f.settle()
}

func (w *world) remove(fl *flight) {
	for i, x := range w.flights {
		if x == fl {
			w.flights = append(w.flights[:i], w.flights[i+1:]...)
			return
		}
	}
}

// crash ends an endpoint with all that it runs.
func (w *world) crash(endpoint string) {
	if len(w.crashed) == 0 {
		for _, fl := range w.flights {
			if fl.request == culprit {
				w.copies++
			}
		}
	}
	w.crashed[endpoint] = true
	w.epochs[endpoint]++
	crash := Crash{Endpoint: endpoint, Epoch: fmt.Sprint(w.epochs[endpoint])}
	for _, fl := range append([]*flight(nil), w.flights...) {
		if fl.endpoint == endpoint {
			w.remove(fl)
			fl.permit.EndWithCrash(context.Background(), crash)
		}
	}
	w.f.settle()
}

func (w *world) checkBound(dataCentres int) {
	if bound := w.copies + dataCentres; len(w.crashed) > bound && len(w.crashed) > 0 {
		w.t.Fatalf("%d endpoints crashed, bound %d: %v", len(w.crashed), bound, w.crashed)
	}
}

func fuzzWorld(t *rapid.T, dataCentres int) {
	w := &world{t: t, f: newFleet(dataCentres, 3), rng: rand.New(rand.NewPCG(1, 1)), crashed: map[string]bool{}, epochs: map[string]int{}}
	t.Repeat(map[string]func(*rapid.T){
		"culprit":  func(*rapid.T) { w.begin(culprit) },
		"innocent": func(t *rapid.T) { w.begin(rapid.IntRange(1, requests-1).Draw(t, "request")) },
		"end":      func(*rapid.T) { w.end() },
		"end2":     func(*rapid.T) { w.end() },
		"":         func(*rapid.T) { w.checkBound(dataCentres) },
	})
	w.finish()
}

// finish lets all end and checks that no innocent request stays blamed.
func (w *world) finish() {
	for len(w.flights) > 0 {
		w.end()
	}
	for r := 1; r < requests; r++ {
		for _, c := range w.f.clients {
			p, err := c.Begin(context.Background(), fingerprint(r), fmt.Sprint("last", r), time.Now().Add(runTime), w.rng)
			if err != nil {
				w.t.Fatalf("innocent request %d can't run: %v", r, err)
			}
			p.EndWithoutCrash(context.Background())
			w.f.settle()
		}
		if c := w.f.clients[0]; c.ask(context.Background(), fingerprint(r)).Verdict != Clear {
			w.t.Fatalf("innocent request %d stays a suspect", r)
		}
	}
}

// TestFuzzCrashesAreBounded: one request crashes at most as many endpoints as
// ran copies of it at its first crash, and one more in each data centre.
func TestFuzzCrashesAreBounded(t *testing.T) {
	t.Run("one data centre", func(t *testing.T) {
		fuzztest.Check(t, func(t *rapid.T) { fuzzWorld(t, 1) })
	})
	t.Run("three data centres", func(t *testing.T) {
		fuzztest.Check(t, func(t *rapid.T) { fuzzWorld(t, 3) })
	})
}

// TestResendThroughAnotherEntry: sent again and again through any entry, while
// homes fail, a request crashes two endpoints at most.
func TestResendThroughAnotherEntry(t *testing.T) {
	for _, down := range []string{"", "dc0-0", "dc0-1", "dc0-2"} {
		t.Run("down "+down, func(t *testing.T) {
			f := newFleet(1, 3)
			f.down[down] = down != ""
			crashes := 0
			for i := range 12 {
				c := f.clients[i%len(f.clients)]
				if c.config.Instance == down {
					continue
				}
				p, err := c.Begin(t.Context(), fingerprint(culprit), fmt.Sprint(i), time.Now().Add(runTime), rand.New(rand.NewPCG(1, 1)))
				if err != nil {
					continue
				}
				crashes++
				p.EndWithCrash(t.Context(), Crash{Endpoint: fmt.Sprint("e", crashes), Epoch: "1"})
			}
			assert.Assert(t, crashes <= 2, "%d endpoints crashed", crashes)
		})
	}
}

// clientAwayFrom returns a client whose instance is none of the homes.
func (f *fleet) clientAwayFrom(away ...Member) *Client {
	for _, c := range f.clients {
		if !slices.ContainsFunc(away, func(m Member) bool { return m.Instance == c.config.Instance }) {
			return c
		}
	}
	return nil
}

// TestVerdictIsCheckedWithTheSlot: a request that becomes refused between its
// verdict and its slot does not run.
func TestVerdictIsCheckedWithTheSlot(t *testing.T) {
	f := newFleet(1, 4)
	fp := fingerprint(culprit)
	c := f.clientAwayFrom(f.clients[0].slotHome())
	first, err := c.Begin(t.Context(), fp, "a", time.Now().Add(runTime), rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	first.EndWithCrash(t.Context(), Crash{Endpoint: "e1"})
	f.before = func(method string) {
		if method != methodAcquire {
			return
		}
		f.before = nil
		other := &Permit{client: c, fingerprint: fp, Alone: true}
		other.EndWithCrash(t.Context(), Crash{Endpoint: "e2"})
	}
	_, err = c.Begin(t.Context(), fp, "b", time.Now().Add(runTime), rand.New(rand.NewPCG(1, 1)))
	var refusal *contract.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, contract.ReasonSuspectRefused)
}

// TestSecondHomeTakesOver: what the first home knew survives it.
func TestSecondHomeTakesOver(t *testing.T) {
	f := newFleet(1, 4)
	fp := fingerprint(culprit)
	away := homes(fp.String(), f.members, 2)
	c := f.clientAwayFrom(away...)
	p, err := c.Begin(t.Context(), fp, "a", time.Now().Add(runTime), rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	p.EndWithCrash(t.Context(), Crash{Endpoint: "e1"})
	f.down[away[0].Instance] = true
	other := f.clientAwayFrom(append(away, Member{Instance: c.config.Instance})...)
	assert.Equal(t, other.ask(t.Context(), fp).Verdict, RunAlone)
}

func TestRefusalSurvivesACleanRun(t *testing.T) {
	now := time.Now()
	r := NewRegistry(Config{})
	r.RecordCrash(fingerprint(1), Crash{Endpoint: "a"}, false, now)
	r.RecordCrash(fingerprint(1), Crash{Endpoint: "b"}, true, now)
	r.RecordCleanRun(fingerprint(1), now)
	assert.Equal(t, r.Lookup(fingerprint(1), now).Verdict, Refused)
}

func TestRegistryForgets(t *testing.T) {
	now := time.Now()
	r := NewRegistry(Config{MaxEntries: 3})
	refused := fingerprint(100)
	r.RecordCrash(refused, Crash{Endpoint: "a"}, false, now)
	r.RecordCrash(refused, Crash{Endpoint: "b"}, true, now)
	for i := range 10 {
		r.RecordCrash(fingerprint(i), Crash{Endpoint: "a"}, false, now.Add(time.Duration(i)))
	}
	assert.Equal(t, r.Len(), 3)
	assert.Equal(t, r.Lookup(refused, now).Verdict, Refused)
	assert.Equal(t, r.Lookup(fingerprint(9), now).Verdict, RunAlone)
	assert.Equal(t, r.Lookup(fingerprint(9), now.Add(2*defaultSuspectFor)).Verdict, Clear)
}

func TestFingerprintsDiffer(t *testing.T) {
	a := FingerprintOf(Identity{Team: "ab", Service: "c"})
	b := FingerprintOf(Identity{Team: "a", Service: "bc"})
	assert.Assert(t, a != b)
}

func TestMalformedFingerprint(t *testing.T) {
	k := NewServer(Config{}, nil)
	_, err := k.ask(t.Context(), &suspectpb.AskRequest{Fingerprint: []byte("short")})
	var call *wire.CallError
	assert.Assert(t, errors.As(err, &call))
}
