package enginestandin

import (
	"encoding/json"
	"slices"
	"strings"

	"redwingknot/engine"
)

// run is a request from the start of its prefill to the end of its answer.
type run struct {
	keys         []string       // of its blocks
	adapter      string         // name of its adapter, empty for none
	admittedWith engine.Weights // weights that were loaded when it was admitted
}

// adapterIn returns the name of the adapter in the field model of a request body, which
// follows a slash.
func adapterIn(body []byte) string {
	var request struct {
		Model string `json:"model"`
	}
	if json.Unmarshal(body, &request) != nil {
		return ""
	}
	_, adapter, _ := strings.Cut(request.Model, "/")
	return adapter
}

// loadedWeights returns the weights that are loaded for requests with the named adapter. The
// caller must hold s.mu.
func (s *Server) loadedWeights(adapterName string) engine.Weights {
	w := engine.Weights{Model: s.model, Version: s.version}
	for _, a := range s.adapters {
		if name, _, _ := strings.Cut(a, "@"); adapterName != "" && name == adapterName {
			w.Adapter = a
		}
	}
	return w
}

// hasWeights reports whether w is loaded and nothing else is being loaded. The caller must hold
// s.mu.
func (s *Server) hasWeights(w engine.Weights) bool {
	hasAdapter := w.Adapter == "" || slices.Contains(s.adapters, w.Adapter)
	return s.loadingVersion == "" && s.model == w.Model && s.version == w.Version && hasAdapter
}

// trackRun adds a run to the running ones and returns the function that removes it.
func (s *Server) trackRun(attempt string, r run) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[attempt] = r
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.runs, attempt)
	}
}

// prefillBlocks adds those blocks of the run's prompt that are not cached, computed with the
// weights that are loaded now. The caller must hold s.mu.
func (s *Server) prefillBlocks(r run) {
	for _, k := range r.keys {
		s.cache.add(k, originOf(s.loadedWeights(r.adapter)))
	}
}

// Preempt takes the blocks of all running answers out of the cache and prefills them again,
// as an engine that is short of memory does. Their keys stay those that the requests
// named, even if other weights were loaded in the meantime.
func (s *Server) Preempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		for _, k := range r.keys {
			if e, ok := s.cache.blocks[k]; ok {
				s.cache.evict(e)
			}
		}
		s.prefillBlocks(r)
	}
}

// ForeignReads returns how many cached blocks requests have used that were computed with
// other weights than those with which the request was admitted.
func (s *Server) ForeignReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreignReads
}
