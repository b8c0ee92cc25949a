package serve

import (
	"math/rand/v2"
	"slices"
	"strconv"
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

// Service is the state of an entry instance for one service: the router over its
// endpoints, the admission controller and the retry budget. It is safe for
// concurrent use.
type Service struct {
	Name        string
	Router      *route.Router
	admission   *admit.Controller
	retryBudget *retry.Budget

	loadingProbes singleflight.Group // reads of reports that concurrent requests share

	mu     sync.Mutex
	epochs map[string]string // last reported epoch of each endpoint's process

	chains       recentChains
	eventsReadAt map[string]time.Time // time of the last read of an endpoint's cache events
}

// epoch returns the last reported epoch of an endpoint's process, empty if none was
// reported.
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

// probeLoading calls refresh for at most maxLoadingProbes endpoints that were
// loading weights according to their last report, and waits for all calls. It
// reports whether there were any such endpoints. Concurrent calls of probeLoading
// share one round of refresh calls.
func (s *Service) probeLoading(refresh func(endpoint string)) bool {
	probed, _, _ := s.loadingProbes.Do("loading", func() (any, error) {
		names := s.Router.LoadingEndpoints(maxLoadingProbes)
		var reads sync.WaitGroup
		for _, name := range names {
			reads.Go(func() { refresh(name) })
		}
		reads.Wait()
		return len(names) > 0, nil
	})
	return probed.(bool)
}

// Services is the set of services of the configuration in force. It is safe for
// concurrent use.
type Services struct {
	opts ServicesOptions

	mu     sync.RWMutex
	byName map[string]*Service
	urls   map[string]string // base URLs by endpoint name

	currentVersions  map[string]setting // weight version in force, by model name
	previousVersions map[string]setting // weight version before the one in force, by model name
}

// setting is a part of what the engines of a service have to load, that is its model, the
// weight version or an adapter, from the note that set it until another one is set. An engine
// may have computed blocks with other weights for runs that began before it was replaced. If it
// were set again under the same block keys, requests would read them.
type setting struct {
	value string
	setBy uint64 // number of the note
}

// keyPart returns the part of the block keys that identifies the setting, which is empty
// without a value.
func (s setting) keyPart() string {
	if s.value == "" {
		return ""
	}
	return s.value + "#" + strconv.FormatUint(s.setBy, 10)
}

// ServicesOptions configures the routers of all services.
type ServicesOptions struct {
	PrefillRate     float64 // prompt tokens per second, used until a rate has been measured; 0 selects the default
	MaxCachedBlocks int     // cached blocks tracked over all services, divided evenly; 0 selects the router's default for each service
}

// initialRetryBudget is the number of retries that a service may use before it has
// earned any by successful requests. A service that has just started or is rarely
// called thus tolerates a few unreachable endpoints.
const initialRetryBudget = 10

// NewServices returns an empty set of services.
func NewServices(o ServicesOptions) *Services {
	return &Services{opts: o, byName: map[string]*Service{}, urls: map[string]string{}, currentVersions: map[string]setting{}, previousVersions: map[string]setting{}}
}

// Apply updates the set to a configuration. Services that exist already keep their
// state, such as the measurements of their routers.
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
	s.updateVersions(state)
	s.urls = make(map[string]string, len(state.Endpoints))
	for name, e := range state.Endpoints {
		s.urls[name] = e.URL
	}
}

func (s *Services) newService(svc note.Service, services int) *Service {
	return &Service{
		Name: svc.Name,
		Router: route.NewRouter(route.Config{
			Service: svc.Name, Kind: svc.Kind, PrefillRate: s.opts.PrefillRate, MaxCachedBlocks: s.opts.MaxCachedBlocks / services,
		}),
		admission:   admit.NewController(admit.Config{}),
		retryBudget: retry.NewBudget(retry.BudgetConfig{Initial: initialRetryBudget}),
		epochs:      map[string]string{}, eventsReadAt: map[string]time.Time{},
	}
}

// endpointsByService returns the endpoints of each service, sorted by name.
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

// updateVersions sets the weight versions in force. If a version changes, the
// previous one is stored, so that engines that have not loaded the new version
// continue to serve requests.
func (s *Services) updateVersions(state *note.State) {
	for name, m := range state.Models {
		current := setting{value: m.Version, setBy: m.VersionSetBy}
		if old := s.currentVersions[name]; old.value != "" && old.value != current.value {
			s.previousVersions[name] = old
		}
		s.currentVersions[name] = current
	}
}

// modelVersions returns the weight versions with which a new request to a model may
// be answered, beginning with the one in force.
func (s *Services) modelVersions(model string) []setting {
	s.mu.RLock()
	defer s.mu.RUnlock()
	versions := []setting{s.currentVersions[model]}
	if old := s.previousVersions[model]; old.value != "" && old.value != versions[0].value {
		versions = append(versions, old)
	}
	return versions
}

// Get returns the service of that name, or nil if there is none.
func (s *Services) Get(name string) *Service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// EndpointURL returns the base URL of an endpoint. It is empty if the endpoint is not in
// the configuration.
func (s *Services) EndpointURL(endpoint string) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.urls[endpoint]
}

// ObserveReport passes an endpoint's report to the router of its service and stores the
// epoch of the endpoint's process. It does nothing if there is no such service.
func (s *Services) ObserveReport(service, endpoint string, r engine.Report, now time.Time) {
	if svc := s.Get(service); svc != nil {
		svc.setEpoch(endpoint, r.Epoch)
		svc.Router.ObserveReport(endpoint, r, now)
		svc.Router.SetLeaving(endpoint, r.Leaving)
	}
}

// newRand returns a random number generator for one request. A generator for each
// request avoids lock contention; the numbers need not be cryptographically
// secure.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
