package fleetwire

import (
	"encoding/json"
	"fmt"
	"time"
)

// The kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Stream        = "stream"
)

// ConfigKey is the key in the metadata store at which the operator writes the
// configuration.
const ConfigKey = "op/config"

// Config is the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Team     string
	Tokens   []string // API keys of the team
}

// Route maps the requests at a host whose path begins with /Name/ to a service.
type Route struct {
	Name          string
	Host          string
	Kind          string
	Service       string
	Public        bool
	Resumable     bool
	Timeout       time.Duration
	TargetLatency time.Duration
	MaxAttempts   int
}

// Service describes a service. A service with a model is served by engines, one
// without by applications.
type Service struct {
	Name        string
	MaxConns    int
	Model       string
	CacheTokens int           // KV cache capacity of an engine or a cache store in tokens
	TokenBytes  int           // KV cache size of a token in bytes
	ColdStart   time.Duration // how long an endpoint is cold after a start, 0 for not at all
	ColdPerS    float64       // requests a second that a cold endpoint bears, 0 for no limit
	StoreAddr   string        // address of a cache store, empty for services that are none
	StoreZone   string        // data centre of the cache store
	MaxReaders  int           // calls for events that the cache store holds at once
}

// Encode returns the configuration as the JSON document that the operator
// writes.
func (c *Config) Encode() []byte {
	var routes, services []any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.TargetLatency.Milliseconds(), "priority": 1,
			"max_attempts": r.MaxAttempts, "public": r.Public, "resumable": r.Resumable,
		})
	}
	for _, s := range c.Services {
		service := map[string]any{"name": s.Name, "health_path": "/health", "max_conns": s.MaxConns}
		if s.ColdPerS > 0 {
			service["cold_start_s"], service["cold_per_s"] = s.ColdStart.Seconds(), s.ColdPerS
		}
		if s.StoreAddr != "" {
			service["kv_store_addr"], service["zone"], service["managed"] = s.StoreAddr, s.StoreZone, true
			service["kv_capacity_tokens"], service["max_concurrent"] = s.CacheTokens, s.MaxReaders
		}
		if s.Model != "" {
			service["engine"] = map[string]any{
				"kv_capacity_tokens": s.CacheTokens, "kv_token_bytes": s.TokenBytes,
				"models": []any{map[string]any{"name": s.Model}},
			}
		}
		services = append(services, service)
	}
	return mustMarshal(map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": c.Team, "api_keys": c.Tokens}},
	})
}

// WeightsEntry returns the metadata store entry by which the operator asks for a
// weight version of a model.
func WeightsEntry(model string, version int64) (key string, value []byte) {
	return "op/version/" + model, mustMarshal(map[string]any{"model": model, "version": version})
}

// EvacuationKey returns the key that the operator writes to evacuate a data centre, and
// removes to end that.
func EvacuationKey(zone string) string { return "op/evacuate/" + zone }

// EndpointKey returns the key of an endpoint's entry in the metadata store.
func EndpointKey(id string) string { return "servers/" + id }

// mustMarshal returns v as JSON. It panics if v can't be encoded.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("marshal JSON: %v", err))
	}
	return data
}
