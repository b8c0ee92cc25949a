package fleet

import (
	"strings"
	"time"
)

// RouteKind specifies how often the requests of a route may run and how they
// are answered.
type RouteKind uint8

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests are answered by a sequence of numbered events.
	KindStream
)

var kindNames = [...]string{"idempotent", "non-idempotent", "stream"}

// String implements fmt.Stringer.
func (k RouteKind) String() string { return kindNames[k] }

// Share is the fraction of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route
}

// Route maps requests to services. It is immutable.
type Route struct {
	Name        string
	Host        string // without a port
	PathPrefix  string // begins and ends with a slash
	Kind        RouteKind
	Timeout     time.Duration // maximum time until a request is answered completely or refused
	TargetTime  time.Duration // time within which a response has its full value
	MaxGap      time.Duration // maximum pause between events for a response to count as on time; 0 if not a stream
	Priority    int           // 0 is the most urgent
	Shares      []Share       // at least one
	MaxAttempts int           // maximum number of endpoints that one request is sent to, at least 1
	Public      bool          // needs no token
	Resumable   bool          // a broken stream may continue at another endpoint
}

// Repeatable reports whether a request that may already have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Models        []string
	CacheTokens   int     // memory for running requests and cached prompts, in tokens
	BytesPerToken float64 // size of one token in the prompt cache
	LinkMbps      float64 // bandwidth of an engine's link for cache transfers
	MovesRuns     bool    // engines can move a running request to another one
	// HandleTime is how long an engine keeps the memory of a moved run that no request has
	// taken up.
	HandleTime  time.Duration
	EventTokens int // maximum number of tokens in one event, 0 if unknown
}

// CacheStore describes a store of cached parts of prompts.
type CacheStore struct {
	Name       string
	Address    string // IP:port
	DataCentre string
	Tokens     int           // capacity
	Managed    bool          // never evicts parts on its own
	MaxReaders int           // maximum number of concurrent readers of its events
	LinkMbps   float64       // bandwidth of its link
	FirstByte  time.Duration // delay before each transfer begins
}

// Service is a group of endpoints that run the same requests. It is immutable.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int           // connections that one endpoint accepts from all callers together
	Engine        *Engine       // nil for services without model engines
	Store         *CacheStore   // nil for services that are not cache stores
	ColdStart     time.Duration // how long an endpoint is cold that starts during traffic
	ColdPerSecond float64       // requests a second that a cold endpoint bears from all instances together; 0 for no limit
}

// Team holds the settings of a team, whose callers authenticate by its tokens.
// Config.Teams maps each token to its team.
type Team struct {
	Name     string
	Priority int  // overrides the priority of the route; -1 if none is set
	Isolated bool // shares no cached prompt with other teams
}

// Limits bound the requests that a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable once built.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	Teams    map[string]*Team // by token

	// AuthRequired is true if the configuration has teams. Then requests need a
	// token on all but public routes.
	AuthRequired bool

	routes map[string][]*Route // by host, longest prefix first
}

// NewConfig returns a configuration with the given routes.
func NewConfig(version int64, routes []*Route) *Config {
	c := &Config{Version: version, Services: map[string]*Service{}, Teams: map[string]*Team{}, routes: map[string][]*Route{}}
	for _, r := range routes {
		c.addRoute(r)
	}
	return c
}

// addRoute inserts a route so that longer prefixes of its host come first.
func (c *Config) addRoute(r *Route) {
	list := c.routes[r.Host]
	i := 0
	for i < len(list) && len(list[i].PathPrefix) >= len(r.PathPrefix) {
		i++
	}
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = r
	c.routes[r.Host] = list
}

// Match returns the route with the longest matching path prefix for a request
// to a host, nil if there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Stores returns the cache stores of all services in no particular order.
func (c *Config) Stores() []*CacheStore {
	var stores []*CacheStore
	for _, s := range c.Services {
		if s.Store != nil {
			stores = append(stores, s.Store)
		}
	}
	return stores
}
