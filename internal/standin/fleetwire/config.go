package fleetwire

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Stream        = "stream"
)

// ConfigKey is where the operator writes the configuration.
const ConfigKey = "op/config"

// Config is the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Team     string
	Tokens   []string // of the team
}

// Route leads what begins with /Name/ at a host to a service.
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

// Service is a service; one with a model has engines.
type Service struct {
	Name        string
	MaxConns    int
	Model       string
	CacheTokens int
	TokenBytes  int
}

// Encode returns the configuration as the operator writes it.
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
		if s.Model != "" {
			service["engine"] = map[string]any{
				"kv_capacity_tokens": s.CacheTokens, "kv_token_bytes": s.TokenBytes,
				"models": []any{map[string]any{"name": s.Model}},
			}
		}
		services = append(services, service)
	}
	return encode(map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": c.Team, "api_keys": c.Tokens}},
	})
}

// WeightsEntry returns the key and the value by which the operator names new weights.
func WeightsEntry(model string, version int64) (key string, value []byte) {
	return "op/version/" + model, encode(map[string]any{"model": model, "version": version})
}

// EndpointKey is the key of an endpoint's entry.
func EndpointKey(id string) string { return "servers/" + id }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("plain values don't encode: %v", err))
	}
	return data
}
