package fleetworker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// pathPart is the path at which stand-ins pass parts to each other. The platform's own transfers
// are not described.
const pathPart = "/standin/part"

// fetchPart returns a part that the engine or cache store at an address holds. It reports false for
// reached if nothing answers there.
func fetchPart(ctx context.Context, address string, k partKey) (p CachedPart, held, reached bool) {
	query := url.Values{"salt": {k.salt}, "id": {k.id}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathPart+"?"+query.Encode(), nil)
	if err != nil {
		return p, false, false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return p, false, false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return p, false, true
	}
	held = json.NewDecoder(res.Body).Decode(&p) == nil
	return p, held, held
}

// savePart sends a part to the cache store at an address. A failure loses the save, as it does
// between machines.
func savePart(address string, p CachedPart) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+pathPart, bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
	}
}

// servePart passes a part that the engine holds to another stand-in.
func (s *Server) servePart(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	p, ok := s.parts.get(partKeyOf(r))
	s.mu.Unlock()
	writePart(w, p, ok)
}

// partKeyOf returns the part that a call between stand-ins names.
func partKeyOf(r *http.Request) partKey {
	return partKey{r.URL.Query().Get("salt"), r.URL.Query().Get("id")}
}

// writePart answers a call for a part.
func writePart(w http.ResponseWriter, p CachedPart, held bool) {
	if !held {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, p)
}

// writeJSON answers a call with v.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected and can't be told.
	_ = json.NewEncoder(w).Encode(v)
}
