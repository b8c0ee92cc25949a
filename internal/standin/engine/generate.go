package enginestandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/internal/timer"
)

// bytesPerToken is the number of body bytes that count as one prompt token.
const bytesPerToken = 4

// maxBodyBytes is the number of bytes of a request body that are read.
const maxBodyBytes = 16 << 20

// Token returns the token with index i of the answer to prompt by the weight
// version.
func Token(prompt []byte, version string, i int) string {
	h := xxhash.New()
	h.Write(prompt)
	h.WriteString(version)
	fmt.Fprint(h, i)
	return fmt.Sprintf("%04x ", h.Sum64()&0xffff)
}

// Answer returns the whole answer to prompt by the weight version, which has the
// given number of tokens.
func Answer(prompt []byte, version string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, version, i))
	}
	return b.String()
}

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	attempt := r.Header.Get(engine.HeaderAttemptID)
	adapterName := adapterIn(body)
	weights, status := s.admit(attempt, engine.WeightsFrom(r.Header), adapterName)
	if status != http.StatusOK {
		http.Error(w, "not serving the wanted weights", status)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer s.endAttempt(attempt, cancel)
	s.registerCancel(attempt, cancel)
	if strings.Contains(string(body), CrashWord) && s.options.Crash != nil {
		s.options.Crash()
		return
	}
	prompt := run{keys: blockKeys(r), adapter: adapterName, admittedWith: weights}
	if !s.acquireSlotAndPrefill(ctx, prompt, len(body)/bytesPerToken) {
		return
	}
	defer func() { <-s.slots }()
	defer s.trackRun(attempt, prompt)()
	w.Header().Set("Content-Type", "text/event-stream")
	weights.SetHeaders(w.Header())
	w.Header().Set(engine.HeaderAttemptID, attempt)
	resumeOffset, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	s.streamAnswer(ctx, w, attempt, weights.Version, body, resumeOffset)
}

// blockKeys returns the keys of the prompt's cache blocks.
func blockKeys(r *http.Request) []string {
	header := r.Header.Get(engine.HeaderBlockKeys)
	if header == "" {
		return nil
	}
	return strings.Split(header, ",")
}

// admit records the attempt and returns the weights that will answer it. It refuses, with
// another status than 200, while the engine is leaving or loading weights or if it has
// other weights than the wanted ones, unless it ignores demands. A request that names no
// adapter version gets whichever the engine has.
func (s *Server) admit(attempt string, wanted engine.Weights, adapterName string) (engine.Weights, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return engine.Weights{}, http.StatusServiceUnavailable
	}
	if !s.hasWeights(wanted) && !s.options.IgnoresDemands {
		return engine.Weights{}, http.StatusPreconditionFailed
	}
	s.attempts = append(s.attempts, attempt)
	return s.loadedWeights(adapterName), http.StatusOK
}

// registerCancel makes POST /cancel for the attempt call cancel.
func (s *Server) registerCancel(attempt string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelByAttempt[attempt] = cancel
}

// endAttempt cancels the attempt's context and unregisters its cancel function.
func (s *Server) endAttempt(attempt string, cancel context.CancelFunc) {
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancelByAttempt, attempt)
}

// acquireSlotAndPrefill waits for a slot and prefills the uncached part of the
// prompt. It reports false, without holding a slot, if ctx is done first.
func (s *Server) acquireSlotAndPrefill(ctx context.Context, prompt run, tokens int) bool {
	s.addTo(&s.waiting, 1)
	s.addTo(&s.queuedTokens, tokens)
	defer s.addTo(&s.queuedTokens, -tokens)
	defer s.addTo(&s.waiting, -1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if !s.prefillPrompt(ctx, prompt, tokens) {
		<-s.slots
		return false
	}
	return true
}

// prefillPrompt waits until no other prompt is being prefilled, takes as long as
// the uncached tokens need at PrefillRate and adds the blocks to the cache, computed
// with the weights that are loaded by then. It reports false if ctx is done first.
func (s *Server) prefillPrompt(ctx context.Context, prompt run, tokens int) bool {
	select {
	case s.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.prefillSlot }()
	s.mu.Lock()
	cachedPieces := s.cache.cachedPrefix(prompt.keys)
	s.foreignReads += s.cache.foreignBlocks(prompt.keys[:cachedPieces], prompt.admittedWith)
	s.mu.Unlock()
	cached := cachedPieces * s.options.PieceTokens
	uncached := max(tokens-cached, 0)
	if !timer.Sleep(ctx, time.Duration(uncached)*time.Second/time.Duration(max(s.options.PrefillRate, 1))) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefillBlocks(prompt)
	return true
}

// streamAnswer sends the tokens from index from on. If ctx is done first, the
// stream ends without [DONE].
func (s *Server) streamAnswer(ctx context.Context, w http.ResponseWriter, attempt, version string, body []byte, from int) {
	s.addTo(&s.running, 1)
	defer s.addTo(&s.running, -1)
	rc := http.NewResponseController(w)
	for i := from; i < s.options.AnswerTokens; i++ {
		if !timer.Sleep(ctx, s.options.TokenInterval) {
			return
		}
		writeChunk(w, attempt, i, Token(body, version, i), i == s.options.AnswerTokens-1)
		rc.Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

// writeChunk writes one server-sent event with the token at an offset.
func writeChunk(w io.Writer, attempt string, offset int, text string, last bool) {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	content, _ := json.Marshal(text)
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","offset":%d,"choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`+"\n\n",
		attempt, offset, content, finish)
}

// addTo adds delta to a counter that s.mu guards.
func (s *Server) addTo(counter *int, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter += delta
}
