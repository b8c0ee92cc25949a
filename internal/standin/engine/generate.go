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

// bytesPerToken is the stand-in's tokenizer.
const bytesPerToken = 4

// maxPromptBytes bounds a request body.
const maxPromptBytes = 16 << 20

// Token returns token number i of the answer to a prompt under a version.
func Token(prompt []byte, version string, i int) string {
	h := xxhash.New()
	h.Write(prompt)
	h.WriteString(version)
	fmt.Fprint(h, i)
	return fmt.Sprintf("%04x ", h.Sum64()&0xffff)
}

// Answer returns the whole answer to a prompt under a version.
func Answer(prompt []byte, version string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, version, i))
	}
	return b.String()
}

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPromptBytes))
	if err != nil {
		return
	}
	attempt := r.Header.Get(engine.HeaderAttemptID)
	version, status := s.begin(attempt, r.Header.Get(engine.HeaderWeightVersion))
	if status != http.StatusOK {
		http.Error(w, "not serving the wanted version", status)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer s.end(attempt, cancel)
	s.track(attempt, cancel)
	if strings.Contains(string(body), CrashWord) && s.o.Crash != nil {
		s.o.Crash()
		return
	}
	if !s.waitTurn(ctx, blockKeys(r), len(body)/bytesPerToken) {
		return
	}
	defer func() { <-s.slots }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderWeightVersion, version)
	w.Header().Set(engine.HeaderAttemptID, attempt)
	resume, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	s.generate(ctx, w, attempt, version, body, resume)
}

func blockKeys(r *http.Request) []string {
	list := r.Header.Get(engine.HeaderBlockKeys)
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func (s *Server) begin(attempt, wanted string) (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return "", http.StatusServiceUnavailable
	}
	if s.version != wanted || s.loading != "" {
		return "", http.StatusPreconditionFailed
	}
	s.runs = append(s.runs, attempt)
	return s.version, http.StatusOK
}

func (s *Server) track(attempt string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[attempt] = cancel
}

func (s *Server) end(attempt string, cancel context.CancelFunc) {
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, attempt)
}

// waitTurn takes a slot and processes the prompt's uncached part.
func (s *Server) waitTurn(ctx context.Context, keys []string, tokens int) bool {
	s.count(&s.waiting, 1)
	s.count(&s.queued, tokens)
	defer s.count(&s.queued, -tokens)
	defer s.count(&s.waiting, -1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if !s.process(ctx, keys, tokens) {
		<-s.slots
		return false
	}
	return true
}

func (s *Server) process(ctx context.Context, keys []string, tokens int) bool {
	select {
	case s.prefill <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.prefill }()
	s.mu.Lock()
	cached := s.cache.prefix(keys) * s.o.PieceTokens
	s.mu.Unlock()
	missing := max(tokens-cached, 0)
	if !timer.Sleep(ctx, time.Duration(missing)*time.Second/time.Duration(max(s.o.PrefillRate, 1))) {
		return false
	}
	s.hold(keys...)
	return true
}

func (s *Server) generate(ctx context.Context, w http.ResponseWriter, attempt, version string, body []byte, from int) {
	s.count(&s.running, 1)
	defer s.count(&s.running, -1)
	rc := http.NewResponseController(w)
	for i := from; i < s.o.AnswerTokens; i++ {
		if !timer.Sleep(ctx, s.o.TokenInterval) {
			return
		}
		writeChunk(w, attempt, i, Token(body, version, i), i == s.o.AnswerTokens-1)
		rc.Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

func writeChunk(w io.Writer, attempt string, offset int, text string, last bool) {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	content, _ := json.Marshal(text)
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","offset":%d,"choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`+"\n\n",
		attempt, offset, content, finish)
}

func (s *Server) count(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}
