package fleet

import (
	"strings"
	"time"
)

// RouteKind says what a route's requests allow.
type RouteKind uint8

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests are answered by a series of numbered events.
	KindStream
)

var kindNames = [...]string{"idempotent", "non-idempotent", "stream"}

// String implements fmt.Stringer.
func (k RouteKind) String() string { return kindNames[k] }

// Share is a service's part of a route's requests.
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
	Timeout     time.Duration // the longest that a caller is kept waiting
	TargetTime  time.Duration // time within which an answer has its full worth
	MaxGap      time.Duration // longest pause between events of an answer in time; 0 if not a stream
	Priority    int           // 0 is the most urgent
	Shares      []Share       // at least one
	MaxAttempts int           // endpoints that one request may be sent to, at least 1
	Public      bool          // needs no token
	Resumable   bool          // a broken stream may go on at another endpoint
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Models        []string
	CacheTokens   int     // memory for running requests and cached prompts, in tokens
	BytesPerToken float64 // size of the kept cache of a token
	LinkMbps      float64 // bandwidth of an engine's link for cache transfers
}

// CacheStore describes a store of kept prompt cache.
type CacheStore struct {
	Name       string
	Address    string // IP:port
	DataCentre string
	Tokens     int  // capacity
	Managed    bool // never evicts by itself
	MaxReaders int  // concurrent readers of its events
	LinkMbps   float64
	FirstByte  time.Duration // that each transfer waits before it begins
}

// Service is a group of endpoints that run the same requests. It is immutable.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one endpoint accepts from all callers together
	Engine     *Engine // nil for plain services
	Store      *CacheStore
}

// Team is a customer with its tokens.
type Team struct {
	Name     string
	Priority int  // takes the place of the route's; -1 if none is set
	Isolated bool // shares no cached prompt with other teams
}

// Limits bound what a caller may send.
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

	// AuthRequired is true when the configuration has teams; only public routes
	// go without a token then.
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

func (c *Config) addRoute(r *Route) {
	list := c.routes[r.Host]
	at := 0
	for at < len(list) && len(list[at].PathPrefix) >= len(r.PathPrefix) {
		at++
	}
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = r
	c.routes[r.Host] = list
}

// Match returns the route of a request, nil if there is none.
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

// Stores returns the stores of kept prompt cache.
func (c *Config) Stores() []*CacheStore {
	var stores []*CacheStore
	for _, s := range c.Services {
		if s.Store != nil {
			stores = append(stores, s.Store)
		}
	}
	return stores
}
