//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

func init() { cases["wall"] = runWall }

// cacheUse is the use of a part of a prompt that an earlier request had left in the memory of a
// worker.
type cacheUse struct {
	at           time.Time
	worker, part string
	maker, user  string // tenants
	makerAttempt string
	userAttempt  string
	salt         string
}

// keptPart is a part of a prompt in the memory of a worker.
type keptPart struct{ tenant, attempt string }

// cache is the memory of an engine: it finds a part under the salt under which it was made, if all
// parts before it are there too.
type cache struct {
	mu    sync.Mutex
	parts map[string]keptPart // by salt and the identifiers of the parts up to it
	uses  []cacheUse
}

// wrap returns the function that has an engine keep the parts of its prompts.
func (c *cache) wrap(d *deployment, worker string) func(http.Handler) http.Handler {
	return func(sound http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Model") != "" {
				c.prefill(d, worker, r.Header)
			}
			sound.ServeHTTP(w, r)
		})
	}
}

// prefill reads a prompt, of which it takes the parts that it keeps from its memory.
func (c *cache) prefill(d *deployment, worker string, h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	salt, attempt, tenant := h.Get("Cache-Salt"), h.Get("Attempt-Id"), h.Get("Tenant")
	chain, cached := salt, true
	for _, field := range strings.Split(h.Get("Prompt-Prefix"), ",") {
		chain += "/" + field
		kept, ok := c.parts[chain]
		cached = cached && ok
		if !cached {
			c.parts[chain] = keptPart{tenant, attempt}
			continue
		}
		c.uses = append(c.uses, cacheUse{time.Now(), worker, field, kept.tenant, tenant, kept.attempt, attempt, salt})
	}
	d.note("  worker %s: runs %s for tenant %s, Cache-Salt %q, Prompt-Prefix %s", worker, attempt, tenant, salt, h.Get("Prompt-Prefix"))
}

// ask sends a prompt with the parts of a document and reads the stream to its end.
func ask(d *deployment, g *gateway, key, attempt, document string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.front()+"/explain/"+attempt, strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Host = "review.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", "8000")
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Count", "6000,20")
	r.Header.Set("Prompt-Prefix", "5c1e07a2:512,"+document+":5000,"+attempt+":488")
	t := &http.Transport{DisableKeepAlives: true}
	res, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body := make([]byte, 0, 1024)
	buf := make([]byte, 1024)
	for {
		n, err := res.Body.Read(buf)
		body = append(body, buf[:n]...)
		if err != nil {
			break
		}
	}
	d.note("key %s at %s: attempt %s with the parts 5c1e07a2 and %s: %d, %d events", key, g.name, attempt, document, res.StatusCode, strings.Count(string(body), "\n\n"))
	return nil
}

// runWall has a configuration isolate a tenant whose prompts the workers keep.
func runWall(d *deployment, trouble bool) (verdict, error) {
	config := func(version int, isolated bool) map[string]any {
		c := appConfig(65536)
		c["version"] = version
		c["routes"] = []any{map[string]any{
			"name": "explain", "host": "review.example", "path_prefix": "/explain/", "kind": "stream", "resumable": true, "timeout_ms": 8000,
			"target_latency_ms": 600, "gap_aim_ms": 300, "priority": 1, "service": "llm", "max_attempts": 2,
		}}
		c["services"] = []any{map[string]any{
			"name": "llm", "health_path": "/health", "max_conns": 300,
			"engine": map[string]any{"kv_capacity_tokens": 136551, "kv_token_bytes": 327680, "models": []any{map[string]any{"name": "m"}}},
		}}
		c["tenants"] = []any{
			map[string]any{"name": "park", "api_keys": []string{"key-park"}, "isolated": isolated},
			map[string]any{"name": "other", "api_keys": []string{"key-other"}, "isolated": false},
		}
		return c
	}
	if err := d.put("op/config", config(7, false)); err != nil {
		return verdict{}, err
	}
	var memories []*cache
	for i := range 3 {
		name := "engine-" + strconv.Itoa(i+1)
		m := &cache{parts: map[string]keptPart{}}
		memories = append(memories, m)
		o := fleetworker.Options{
			ID: name, Service: "llm", Slots: 48, MaxQueued: 144, Model: "m", WeightsVersion: 1,
			WorkTime: 30 * time.Millisecond, EventGap: 10 * time.Millisecond, StreamEvents: 10, LoadTime: 290 * time.Millisecond,
		}
		if _, err := d.startWrapped(o, m.wrap(d, name)); err != nil {
			return verdict{}, err
		}
	}
	for range 2 {
		if _, err := d.startGateway(); err != nil {
			return verdict{}, err
		}
	}
	if err := d.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	const documents = 6
	for i := range documents {
		if err := ask(d, d.gateways[i%2], "key-park", fmt.Sprintf("a%07x", i), fmt.Sprintf("d0c%05x", i)); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second)
	if err := d.put("op/config", config(8, trouble)); err != nil {
		return verdict{}, err
	}
	isolatedAt := time.Now()
	d.note("version 8 is acknowledged, tenant park isolated: %t", trouble)
	time.Sleep(6 * time.Second) // three times config_apply_ms
	for i := range documents {
		if err := ask(d, d.gateways[i%2], "key-other", fmt.Sprintf("b%07x", i), fmt.Sprintf("d0c%05x", i)); err != nil {
			return verdict{}, err
		}
	}
	broken := 0
	for _, m := range memories {
		for _, u := range m.uses {
			if u.maker == u.user || u.at.Before(isolatedAt) {
				continue
			}
			d.note("worker %s: attempt %s of tenant %s used the part %s that attempt %s of tenant %s made, under Cache-Salt %q", u.worker, u.userAttempt, u.user, u.part, u.makerAttempt, u.maker, u.salt)
			if trouble {
				broken++
			}
		}
	}
	text := fmt.Sprintf("requests used %d parts of an isolated tenant (0 may be) later than 6 s after it was isolated", broken)
	return verdict{broken: broken > 0, text: text}, nil
}
