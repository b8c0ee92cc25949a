package serve

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"redwingknot/admit"
	"redwingknot/engine"
	"redwingknot/note"
	"redwingknot/retry"
	"redwingknot/route"
)

// Service is what an entry instance keeps for one service: the router over its
// endpoints, admission and the retry budget. It is safe for concurrent use.
type Service struct {
	Name   string
	Router *route.Router
	admit  *admit.Controller
	budget *retry.Budget

	probes singleflight.Group // reads of reports, shared by requests

	mu     sync.Mutex
	epochs map[string]string // of the endpoints' processes, as last reported

	chains   recentChains
	eventsAt map[string]time.Time // when an engine's cache events were last read
}

// epoch returns the last reported epoch of an endpoint's process.
func (s *Service) epoch(endpoint string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epochs[endpoint]
}

func (s *Service) setEpoch(endpoint, epoch string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs[endpoint] = epoch
}

// probeLoading has refresh read the reports of endpoints that were loading, and
// says whether there were any. Requests that ask meanwhile share the reads.
func (s *Service) probeLoading(refresh func(endpoint string)) bool {
	probed, _, _ := s.probes.Do("loading", func() (any, error) {
		names := s.Router.LoadingEndpoints(loadingProbes)
		var reads sync.WaitGroup
		for _, name := range names {
			reads.Go(func() { refresh(name) })
		}
		reads.Wait()
		return len(names) > 0, nil
	})
	return probed.(bool)
}

// Services holds the services of the configuration in force. It is safe for
// concurrent use.
type Services struct {
	o ServicesOptions

	mu     sync.RWMutex
	byName map[string]*Service
	urls   map[string]string // of endpoints by name

	versions map[string]string // weight version in force, by model
	previous map[string]string // the one before it, by model
}

// ServicesOptions set up the routers of all services.
type ServicesOptions struct {
	PrefillRate     float64 // prompt tokens a second, before any was measured; 0 for the default
	MaxCachedBlocks int     // cached blocks remembered over all services; 0 for the default of each
}

// initialRetries lets a service that has just started, or is seldom called,
// survive a few endpoints that are gone.
const initialRetries = 10

// NewServices returns an empty set.
func NewServices(o ServicesOptions) *Services {
	return &Services{o: o, byName: map[string]*Service{}, urls: map[string]string{}, versions: map[string]string{}, previous: map[string]string{}}
}

// Apply brings the set to a configuration. Services that stay keep what they
// have learned.
func (s *Services) Apply(state *note.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lists := endpointsByService(state)
	for name, svc := range state.Services {
		if s.byName[name] == nil {
			s.byName[name] = s.newService(svc, len(state.Services))
		}
		s.byName[name].Router.SetEndpoints(lists[name])
	}
	for name := range s.byName {
		if _, ok := state.Services[name]; !ok {
			delete(s.byName, name)
		}
	}
	s.applyVersions(state)
	s.urls = make(map[string]string, len(state.Endpoints))
	for name, e := range state.Endpoints {
		s.urls[name] = e.URL
	}
}

func (s *Services) newService(svc note.Service, services int) *Service {
	return &Service{
		Name: svc.Name,
		Router: route.NewRouter(route.Config{
			Service: svc.Name, Kind: svc.Kind, PrefillRate: s.o.PrefillRate, MaxCachedBlocks: s.o.MaxCachedBlocks / services,
		}),
		admit:  admit.NewController(admit.Config{}),
		budget: retry.NewBudget(retry.BudgetConfig{Initial: initialRetries}),
		epochs: map[string]string{}, eventsAt: map[string]time.Time{},
	}
}

func endpointsByService(state *note.State) map[string][]note.Endpoint {
	lists := map[string][]note.Endpoint{}
	for _, e := range state.Endpoints {
		lists[e.Service] = append(lists[e.Service], e)
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b note.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
	return lists
}

// applyVersions remembers the version before a swap, by which engines that have
// not loaded the new one go on serving.
func (s *Services) applyVersions(state *note.State) {
	for name, m := range state.Models {
		if old := s.versions[name]; old != "" && old != m.Version {
			s.previous[name] = old
		}
		s.versions[name] = m.Version
	}
}

// modelVersions returns the weight versions that may answer a new request, the
// one in force first.
func (s *Services) modelVersions(model string) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	versions := []string{s.versions[model]}
	if old := s.previous[model]; old != "" && old != versions[0] {
		versions = append(versions, old)
	}
	return versions
}

// Get returns a service by name, nil if the configuration has none.
func (s *Services) Get(name string) *Service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// EndpointURL returns the address of an endpoint, empty if it is withdrawn.
func (s *Services) EndpointURL(endpoint string) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.urls[endpoint]
}

// ObserveReport passes an endpoint's report to the router of its service.
func (s *Services) ObserveReport(service, endpoint string, r engine.Report, now time.Time) {
	if svc := s.Get(service); svc != nil {
		svc.setEpoch(endpoint, r.Epoch)
		svc.Router.ObserveReport(endpoint, r, now)
		svc.Router.SetLeaving(endpoint, r.Leaving)
	}
}

// newRand returns a generator of its own for one request: requests don't
// contend for a lock and need no secrecy here.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
