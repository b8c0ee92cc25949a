package fleetworker

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingknot/internal/timer"
)

// The headers of requests that concern cached parts.
const (
	headerModel      = "Model"
	headerSalt       = "Cache-Salt"
	headerFetch      = "Kv-Fetch"
	headerFetchUntil = "Kv-Until"
	headerSave       = "Kv-Save"
)

// prompt is the prompt of a request, and what the request says about its cached parts.
type prompt struct {
	model, salt string
	parts       []promptPart
	tokens      int   // of all parts
	fetchUntil  int64 // on the clock of engines and cache stores in milliseconds, 0 for no limit
}

// promptPart is a part of a prompt.
type promptPart struct {
	id          string
	tokens      int
	fetchFrom   string // address to fetch it from, empty for none
	fetchTokens int    // tokens to fetch
	saveTo      string // address to save it to, empty for none
}

// parsePrompt returns the prompt of a request. Fields that make no sense are left out.
func parsePrompt(r *http.Request) prompt {
	p := prompt{model: r.Header.Get(headerModel), salt: r.Header.Get(headerSalt)}
	p.fetchUntil, _ = strconv.ParseInt(r.Header.Get(headerFetchUntil), 10, 64)
	for n, field := range strings.Split(r.Header.Get(headerPrompt), ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(field), ":")
		if id == "" {
			continue
		}
		tokens, err := strconv.Atoi(size)
		part := promptPart{id: id, tokens: 1, saveTo: addressOfPart(r.Header.Get(headerSave), n)}
		if err == nil && tokens > 0 {
			part.tokens = tokens
		}
		part.fetchTokens = part.tokens
		address, limit, limited := strings.Cut(addressOfPart(r.Header.Get(headerFetch), n), "/")
		part.fetchFrom = address
		if most, err := strconv.Atoi(limit); limited && err == nil {
			part.fetchTokens = min(most, part.tokens)
		}
		p.parts, p.tokens = append(p.parts, part), p.tokens+part.tokens
	}
	return p
}

// addressOfPart returns the address that a header names for the part with number n, empty for none.
// A header with one address names it for all parts.
func addressOfPart(value string, n int) string {
	addresses := strings.Split(value, ",")
	if len(addresses) == 1 {
		n = 0
	}
	if n >= len(addresses) {
		return ""
	}
	if address := strings.TrimSpace(addresses[n]); address != "-" {
		return address
	}
	return ""
}

// StalePart is memory on which a request has run although it was made under another version of the
// weights than the engine's.
type StalePart struct {
	ID      string // empty for generated tokens
	Salt    string
	Weights int64 // version under which it was made
	Engine  int64 // version that the engine had
	Source  string
}

// String implements fmt.Stringer.
func (p StalePart) String() string {
	return fmt.Sprintf("part %q of %q, made under version %d and used under %d, from %s", p.ID, p.Salt, p.Weights, p.Engine, p.Source)
}

// Where a run got memory from, besides the addresses of engines and cache stores.
const (
	sourceOwn  = "its own cache"
	sourceCopy = "a copy"
)

// Preempt makes up to n streams that have begun, the newest first, read their whole prompt again
// before their next event, as an engine does whose memory has run out. It returns their number.
func (s *Server) Preempt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*liveRun
	for _, run := range s.live {
		if run.Events > 0 && !run.stopped && !run.preempted {
			running = append(running, run)
		}
	}
	slices.SortFunc(running, func(a, b *liveRun) int { return cmp.Compare(b.index, a.index) })
	running = running[:min(n, len(running))]
	for _, run := range running {
		run.preempted = true
	}
	return len(running)
}

// CachedParts returns the parts that the engine holds, the most recently used first.
func (s *Server) CachedParts() []CachedPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.list()
}

// readAgainIfPreempted reads the prompt of a run again if it was preempted. It reports false if the
// client disconnects first.
func (s *Server) readAgainIfPreempted(r *http.Request, run *liveRun) bool {
	s.mu.Lock()
	preempted := run.preempted
	run.preempted = false
	s.mu.Unlock()
	if !preempted || !s.readPrompt(r, run, true) {
		return !preempted
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Generated = []int64{s.weightsVersion}
	s.runs[run.index].Preemptions++
	return true
}

// readPrompt obtains the memory of a run's prompt: the leading parts that the engine holds or can
// fetch, unless all is read again, and what follows by reading it, which takes WorkTime for the
// whole prompt. A part is made under the version that the engine has when the part has been read. It
// reports false if the client disconnects first.
func (s *Server) readPrompt(r *http.Request, run *liveRun, again bool) bool {
	rest := s.scaled(r, s.options.WorkTime)
	perToken := rest / time.Duration(max(run.prompt.tokens, 1))
	cached, dead := !again, map[string]bool{}
	for n, part := range run.prompt.parts {
		got := 0
		if cached {
			got = s.obtainPart(r.Context(), run, n, dead)
			cached = got == part.tokens
		}
		if cached {
			continue
		}
		took := perToken * time.Duration(part.tokens-got)
		if rest -= took; !timer.Sleep(r.Context(), took) {
			return false
		}
		if got == 0 {
			s.makePart(run, n)
		}
	}
	return timer.Sleep(r.Context(), rest)
}

// obtainPart gives a run the part with number n of its prompt from the engine's memory or by a
// fetch, and returns the number of tokens, 0 if it can't. Addresses in dead are not asked, and one
// that does not answer is added.
func (s *Server) obtainPart(ctx context.Context, run *liveRun, n int, dead map[string]bool) int {
	part := run.prompt.parts[n]
	k := partKey{run.prompt.salt, part.id}
	s.mu.Lock()
	held, ok := s.parts.get(k)
	s.mu.Unlock()
	if ok {
		s.usePart(run, n, held, sourceOwn)
		return part.tokens
	}
	if part.fetchFrom == "" || part.fetchTokens <= 0 || dead[part.fetchFrom] {
		return 0
	}
	limit := peerTimeout
	if run.prompt.fetchUntil > 0 {
		limit = min(limit, time.Duration(run.prompt.fetchUntil-clockMillis())*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fetched, ok, reached := fetchPart(ctx, part.fetchFrom, k)
	dead[part.fetchFrom] = !reached
	if !ok || !timer.Sleep(ctx, s.options.FetchTime) {
		return 0
	}
	s.usePart(run, n, fetched, part.fetchFrom)
	return part.fetchTokens
}

// makePart records that the part with number n of a run's prompt was read.
func (s *Server) makePart(run *liveRun, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := run.prompt.parts[n]
	s.keepPart(run, n, CachedPart{Salt: run.prompt.salt, ID: part.id, Model: run.prompt.model, Tokens: part.tokens, Weights: s.weightsVersion})
}

// usePart records that a run uses a part from a source as the part with number n of its prompt.
// Nothing about the part is checked.
func (s *Server) usePart(run *liveRun, n int, p CachedPart, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordUse(run, p.ID, p.Weights, source)
	s.keepPart(run, n, p)
}

// keepPart makes a part the one with number n of a run's prompt, keeps it for other requests, and
// saves it where the request says so. The caller holds mu.
func (s *Server) keepPart(run *liveRun, n int, p CachedPart) {
	run.Memory[n] = p
	s.parts.put(p)
	if address := run.prompt.parts[n].saveTo; address != "" {
		go savePart(address, p)
	}
}

// recordUse records a use of memory that was made under another version of the weights than the
// engine's, unless the run has gone on under newer weights since it began. The caller holds mu.
func (s *Server) recordUse(run *liveRun, id string, madeUnder int64, source string) {
	first := &s.runs[run.index]
	if madeUnder == s.weightsVersion || first.WeightsVersion != s.weightsVersion {
		return
	}
	first.StaleParts = append(first.StaleParts, StalePart{ID: id, Salt: run.prompt.salt, Weights: madeUnder, Engine: s.weightsVersion, Source: source})
}

// takeCopiedMemory gives a run that continues from a copy the copy's memory. The caller holds mu.
func (s *Server) takeCopiedMemory(run *liveRun, from string) {
	_, handle, ok := strings.Cut(from, "/")
	c := s.copies[handle]
	if !ok || c == nil {
		return
	}
	run.Generated = slices.Clone(c.Generated)
	for n := range min(len(c.Memory), len(run.Memory)) {
		run.Memory[n] = c.Memory[n]
		s.recordUse(run, c.Memory[n].ID, c.Memory[n].Weights, sourceCopy)
	}
	for _, weights := range c.Generated {
		s.recordUse(run, "", weights, sourceCopy)
	}
}
