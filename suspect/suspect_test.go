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

// testRunLimit is the time from the start of an attempt to its deadline.
const testRunLimit = time.Hour

// fleet is a set of instances that call each other's Servers directly, without a
// network.
type fleet struct {
	members    []Member
	servers    map[string]*Server
	clients    []*Client
	down       map[string]bool     // unreachable instances
	beforeCall func(method string) // if not nil, called before each call to another instance
}

// directCaller is a wire.Caller that calls the Server of one instance.
type directCaller struct {
	fleet *fleet
	addr  string
}

func (c *directCaller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	if c.fleet.down[c.addr] {
		return &wire.TransportError{Addr: c.addr}
	}
	if c.fleet.beforeCall != nil {
		c.fleet.beforeCall(method)
	}
	return c.fleet.servers[c.addr].callLocal(ctx, method, req, resp)
}

func newFleet(dataCentres, instances int) *fleet {
	f := &fleet{servers: map[string]*Server{}, down: map[string]bool{}}
	for d := range dataCentres {
		for i := range instances {
			name := fmt.Sprintf("dc%d-%d", d, i)
			f.members = append(f.members, Member{Instance: name, DataCentre: fmt.Sprint("dc", d), Addr: name})
		}
	}
	for _, m := range f.members {
		f.servers[m.Instance] = NewServer(Config{}, nil)
		f.clients = append(f.clients, NewClient(ClientConfig{
			Instance: m.Instance, DataCentre: m.DataCentre, Local: f.servers[m.Instance],
			Members: func() []Member { return f.members },
			Dial:    func(addr string) wire.Caller { return &directCaller{fleet: f, addr: addr} },
		}))
	}
	return f
}

func (f *fleet) waitForNotifications() {
	for _, c := range f.clients {
		c.Wait()
	}
}

// attempt is an attempt in flight on an endpoint.
type attempt struct {
	clientIndex int // index of the client that started it
	request     int // number of the request
	permit      *Permit
	endpoint    string
}

// fuzzState is a fleet with requests in flight. One of the requests crashes each
// endpoint that runs it.
type fuzzState struct {
	t        *rapid.T
	fleet    *fleet
	rng      *rand.Rand
	inFlight []*attempt
	runCount int

	crashed            map[string]bool // endpoints that crashingRequest has crashed
	copiesAtFirstCrash int             // copies of crashingRequest in flight at its first crash
	epochs             map[string]int  // number of crashes by endpoint
}

const (
	crashingRequest        = 0 // number of the request that crashes endpoints
	requestCount           = 4
	endpointsPerDataCentre = 6
)

func testFingerprint(request int) Fingerprint {
	return FingerprintOf(RequestIdentity{Team: "t", Body: []byte(fmt.Sprint(request))})
}

// startAttempt starts an attempt of the request from a random client on a random
// endpoint that is not excluded. A suspect request gets an endpoint that runs
// nothing else.
func (s *fuzzState) startAttempt(request int) {
	clientIndex := rapid.IntRange(0, len(s.fleet.clients)-1).Draw(s.t, "entry")
	s.runCount++
	c := s.fleet.clients[clientIndex]
	p, err := c.Begin(context.Background(), testFingerprint(request), fmt.Sprint("run", s.runCount), time.Now().Add(testRunLimit), s.rng)
	if err != nil {
		s.checkRefusal(request, err)
		return
	}
	endpoint := s.pickEndpoint(c.config.DataCentre, p)
	if endpoint == "" {
		p.EndInconclusive(context.Background())
		return
	}
	s.inFlight = append(s.inFlight, &attempt{clientIndex: clientIndex, request: request, permit: p, endpoint: endpoint})
	s.checkOneSuspectRuns(c.config.DataCentre)
}

func (s *fuzzState) checkRefusal(request int, err error) {
	var refusal *contract.Refusal
	if !errors.As(err, &refusal) || refusal.Ran != contract.NotRun {
		s.t.Fatalf("refused with %v", err)
	}
	if request != crashingRequest && refusal.Reason == contract.ReasonSuspectRefused {
		s.t.Fatalf("harmless request %d is refused permanently", request)
	}
}

// pickEndpoint returns a random endpoint on which p allows an attempt, or an empty
// string if there is none.
func (s *fuzzState) pickEndpoint(dataCentre string, p *Permit) string {
	var free []string
	for i := range endpointsPerDataCentre {
		name := fmt.Sprintf("%s/e%d", dataCentre, i)
		if !slices.Contains(p.Exclude, name) && s.canRun(name, p.Alone) {
			free = append(free, name)
		}
	}
	if len(free) == 0 {
		return ""
	}
	return rapid.SampledFrom(free).Draw(s.t, "endpoint")
}

// canRun reports whether another attempt may start on the endpoint, given that
// attempts of suspects run alone.
func (s *fuzzState) canRun(endpoint string, alone bool) bool {
	for _, a := range s.inFlight {
		if a.endpoint == endpoint && (alone || a.permit.Alone) {
			return false
		}
	}
	return true
}

// checkOneSuspectRuns fails if two suspects run at once in a data centre.
func (s *fuzzState) checkOneSuspectRuns(dataCentre string) {
	alone := 0
	for _, a := range s.inFlight {
		if a.permit.Alone && s.fleet.clients[a.clientIndex].config.DataCentre == dataCentre {
			alone++
		}
	}
	if alone > 1 {
		s.t.Fatalf("%d suspects run at once in %s", alone, dataCentre)
	}
}

// endAttempt ends a random attempt in flight. An attempt of crashingRequest ends by
// crashing its endpoint.
func (s *fuzzState) endAttempt() {
	if len(s.inFlight) == 0 {
		return
	}
	a := s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "flight")]
	if a.request == crashingRequest {
		s.crashEndpoint(a.endpoint)
		return
	}
	s.removeAttempt(a)
	a.permit.EndWithoutCrash(context.Background())
	s.fleet.waitForNotifications()
}

func (s *fuzzState) removeAttempt(a *attempt) {
	for i, other := range s.inFlight {
		if other == a {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// crashEndpoint crashes an endpoint and ends all attempts on it.
func (s *fuzzState) crashEndpoint(endpoint string) {
	if len(s.crashed) == 0 {
		for _, a := range s.inFlight {
			if a.request == crashingRequest {
				s.copiesAtFirstCrash++
			}
		}
	}
	s.crashed[endpoint] = true
	s.epochs[endpoint]++
	crash := Crash{Endpoint: endpoint, Epoch: fmt.Sprint(s.epochs[endpoint])}
	for _, a := range append([]*attempt(nil), s.inFlight...) {
		if a.endpoint == endpoint {
			s.removeAttempt(a)
			a.permit.EndWithCrash(context.Background(), crash)
		}
	}
	s.fleet.waitForNotifications()
}

// checkCrashBound checks the bound that TestFuzzCrashesAreBounded states.
func (s *fuzzState) checkCrashBound(dataCentres int) {
	if bound := s.copiesAtFirstCrash + dataCentres; len(s.crashed) > bound && len(s.crashed) > 0 {
		s.t.Fatalf("%d endpoints crashed, bound %d: %v", len(s.crashed), bound, s.crashed)
	}
}

func fuzzCrashes(t *rapid.T, dataCentres int) {
	s := &fuzzState{t: t, fleet: newFleet(dataCentres, 3), rng: rand.New(rand.NewPCG(1, 1)), crashed: map[string]bool{}, epochs: map[string]int{}}
	t.Repeat(map[string]func(*rapid.T){
		"culprit":  func(*rapid.T) { s.startAttempt(crashingRequest) },
		"innocent": func(t *rapid.T) { s.startAttempt(rapid.IntRange(1, requestCount-1).Draw(t, "request")) },
		"end":      func(*rapid.T) { s.endAttempt() },
		"end2":     func(*rapid.T) { s.endAttempt() },
		"":         func(*rapid.T) { s.checkCrashBound(dataCentres) },
	})
	s.endAllAndCheck()
}

// endAllAndCheck ends all attempts and checks that every harmless request can run
// and is no suspect afterwards.
func (s *fuzzState) endAllAndCheck() {
	for len(s.inFlight) > 0 {
		s.endAttempt()
	}
	for r := 1; r < requestCount; r++ {
		for _, c := range s.fleet.clients {
			p, err := c.Begin(context.Background(), testFingerprint(r), fmt.Sprint("last", r), time.Now().Add(testRunLimit), s.rng)
			if err != nil {
				s.t.Fatalf("harmless request %d can't run: %v", r, err)
			}
			p.EndWithoutCrash(context.Background())
			s.fleet.waitForNotifications()
		}
		if c := s.fleet.clients[0]; c.askOwners(context.Background(), testFingerprint(r)).Verdict != Clear {
			s.t.Fatalf("harmless request %d is still a suspect", r)
		}
	}
}

// TestFuzzCrashesAreBounded checks that the number of endpoints that one request
// crashes is at most the number of its copies in flight at its first crash, plus
// one for each data centre.
func TestFuzzCrashesAreBounded(t *testing.T) {
	t.Run("one data centre", func(t *testing.T) {
		fuzztest.Check(t, func(t *rapid.T) { fuzzCrashes(t, 1) })
	})
	t.Run("three data centres", func(t *testing.T) {
		fuzztest.Check(t, func(t *rapid.T) { fuzzCrashes(t, 3) })
	})
}

// TestResendThroughAnotherEntry checks that a request that is sent repeatedly
// through all entry instances crashes at most two endpoints, also while one of the
// instances, which may be an owner of its fingerprint, is unreachable.
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
				p, err := c.Begin(t.Context(), testFingerprint(crashingRequest), fmt.Sprint(i), time.Now().Add(testRunLimit), rand.New(rand.NewPCG(1, 1)))
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

// clientNotAmong returns the client of an instance that is not excluded.
func (f *fleet) clientNotAmong(excluded ...Member) *Client {
	for _, c := range f.clients {
		if !slices.ContainsFunc(excluded, func(m Member) bool { return m.Instance == c.config.Instance }) {
			return c
		}
	}
	return nil
}

// TestVerdictIsRecheckedAfterSlotIsAcquired checks that a request does not run if it
// becomes refused after the first verdict and before it acquires the slot.
func TestVerdictIsRecheckedAfterSlotIsAcquired(t *testing.T) {
	f := newFleet(1, 4)
	fp := testFingerprint(crashingRequest)
	c := f.clientNotAmong(f.clients[0].slotOwner())
	first, err := c.Begin(t.Context(), fp, "a", time.Now().Add(testRunLimit), rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	first.EndWithCrash(t.Context(), Crash{Endpoint: "e1"})
	f.beforeCall = func(method string) {
		if method != methodAcquire {
			return
		}
		f.beforeCall = nil
		other := &Permit{client: c, fingerprint: fp, Alone: true}
		other.EndWithCrash(t.Context(), Crash{Endpoint: "e2"})
	}
	_, err = c.Begin(t.Context(), fp, "b", time.Now().Add(testRunLimit), rand.New(rand.NewPCG(1, 1)))
	var refusal *contract.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, contract.ReasonSuspectRefused)
}

// TestSecondOwnerAnswersAfterFirstFails checks that the state of a fingerprint
// survives the failure of its first owner.
func TestSecondOwnerAnswersAfterFirstFails(t *testing.T) {
	f := newFleet(1, 4)
	fp := testFingerprint(crashingRequest)
	owners := rendezvousOwners(fp.String(), f.members, 2)
	c := f.clientNotAmong(owners...)
	p, err := c.Begin(t.Context(), fp, "a", time.Now().Add(testRunLimit), rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	p.EndWithCrash(t.Context(), Crash{Endpoint: "e1"})
	f.down[owners[0].Instance] = true
	other := f.clientNotAmong(append(owners, Member{Instance: c.config.Instance})...)
	assert.Equal(t, other.askOwners(t.Context(), fp).Verdict, RunAlone)
}

func TestRefusalPersistsAfterCleanRun(t *testing.T) {
	now := time.Now()
	r := NewRegistry(Config{})
	r.RecordCrash(asRequest(testFingerprint(1)), Crash{Endpoint: "a"}, false, now)
	r.RecordCrash(asRequest(testFingerprint(1)), Crash{Endpoint: "b"}, true, now)
	r.RecordCleanRun(testFingerprint(1), now)
	assert.Equal(t, r.Lookup(testFingerprint(1), now).Verdict, Refused)
}

func TestRegistryEvictsAndExpiresEntries(t *testing.T) {
	now := time.Now()
	r := NewRegistry(Config{MaxEntries: 3})
	refused := testFingerprint(100)
	r.RecordCrash(asRequest(refused), Crash{Endpoint: "a"}, false, now)
	r.RecordCrash(asRequest(refused), Crash{Endpoint: "b"}, true, now)
	for i := range 10 {
		r.RecordCrash(asRequest(testFingerprint(i)), Crash{Endpoint: "a"}, false, now.Add(time.Duration(i)))
	}
	assert.Equal(t, r.Len(), 3)
	assert.Equal(t, r.Lookup(refused, now).Verdict, Refused)
	assert.Equal(t, r.Lookup(testFingerprint(9), now).Verdict, RunAlone)
	assert.Equal(t, r.Lookup(testFingerprint(9), now.Add(2*defaultSuspicionTTL)).Verdict, Clear)
}

func TestFingerprintSeparatesFields(t *testing.T) {
	a := FingerprintOf(RequestIdentity{Team: "ab", Service: "c"})
	b := FingerprintOf(RequestIdentity{Team: "a", Service: "bc"})
	assert.Assert(t, a != b)
}

func TestMalformedFingerprintIsRejected(t *testing.T) {
	s := NewServer(Config{}, nil)
	_, err := s.ask(t.Context(), &suspectpb.AskRequest{Fingerprint: []byte("short")})
	var call *wire.CallError
	assert.Assert(t, errors.As(err, &call))
}
