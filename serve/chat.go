package serve

import (
	"context"
	"net/http"
	"time"

	"redwingknot/block"
	"redwingknot/engine"
	"redwingknot/metric"
	"redwingknot/retry"
	"redwingknot/suspect"
)

// HeaderExplain, if set, makes the trace of a request list every endpoint that
// was considered.
const HeaderExplain = "X-Explain"

// BytesPerToken is the usual length of a token, by which prompts are estimated.
const BytesPerToken = 4

// serveChat answers a chat completions request.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, tr *Trace) error {
	state, team, err := s.caller(r)
	if err != nil {
		return err
	}
	tr.Team = team.Name
	body, err := readBody(w, r, s.o.MaxBodyBytes, s.o.BodyTimeout)
	if err != nil {
		return err
	}
	q, err := parseChat(state, team, r.Header.Get(HeaderClass), body)
	if err != nil {
		return err
	}
	tr.Service, tr.Class = q.service.Name, q.class.Name
	deadline, attempts, err := s.accept(r, team, q.class, tr.Started)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	svc, err := s.service(q.service.Name)
	if err != nil {
		return err
	}
	run := s.newChatRun(svc, q, tr, deadline, attempts)
	run.explain = r.Header.Get(HeaderExplain) != ""
	run.out = s.newAnswerWriter(w, q, tr.Request)
	return run.do(ctx)
}

func (s *Server) newAnswerWriter(w http.ResponseWriter, q *chatRequest, id string) answerWriter {
	if q.stream {
		return &streamWriter{w: w, id: id, model: q.service.Name, timeout: s.o.StallTimeout}
	}
	return &wholeWriter{w: w, id: id, model: q.service.Name}
}

func (s *Server) newChatRun(svc *Service, q *chatRequest, tr *Trace, deadline time.Time, attempts int) *chatRun {
	run := &chatRun{s: s, svc: svc, q: q, tr: tr, deadline: deadline, rng: newRand()}
	run.retries = retry.NewRetrier(retry.Policy{Attempts: attempts}, svc.budget, deadline)
	run.prompt = Prompt{
		Team: q.team.Name, Service: q.service.Name, Class: q.class, Model: q.model,
		Keys: blockKeys(q), Tokens: len(q.body) / BytesPerToken,
	}
	run.fingerprint = suspect.FingerprintOf(suspect.RequestIdentity{
		Team: q.team.Name, Service: q.service.Name, Model: q.model.Name,
		Version: q.model.Version, Adapter: q.adapter, Body: q.prompt,
	})
	return run
}

func blockKeys(q *chatRequest) []string {
	chain := block.Chain(q.team.Name, q.model.Name, q.adapter, q.model.Version, q.prompt, q.model.PieceBytes)
	keys := make([]string, len(chain))
	for i, k := range chain {
		keys[i] = k.String()
	}
	return keys
}

// noteFirstToken records the time to first token of a request.
func (c *chatRun) noteFirstToken(at time.Time) {
	if c.asm.next > 1 {
		return
	}
	since := at.Sub(c.tr.Started)
	metric.Histogram("first_token_ms", "class", c.q.class.Name).Update(since.Milliseconds())
	c.svc.admit.Observe(c.expected, since)
}

// engineRequest is the attempt as the engine sees it.
func (c *chatRun) engineRequest(attempt string) engine.Prompt {
	return engine.Prompt{
		AttemptID: attempt, WeightVersion: c.q.model.Version, BlockKeys: c.prompt.Keys,
		Priority: int(c.q.class.Worth), ResumeOffset: c.asm.next, Body: c.q.body,
	}
}
