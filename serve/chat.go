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

// HeaderExplain is a request header. If it is not empty, the trace of the request
// lists every endpoint that the router considered.
const HeaderExplain = "X-Explain"

// BytesPerToken is the typical length of a token in bytes, used to estimate the
// number of tokens of a prompt.
const BytesPerToken = 4

// serveChat handles a chat completions request.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, tr *Trace) error {
	state, team, err := s.authenticate(r)
	if err != nil {
		return err
	}
	tr.Team = team.Name
	body, err := readBody(w, r, s.opts.MaxBodyBytes, s.opts.BodyTimeout)
	if err != nil {
		return err
	}
	req, err := parseChat(state, team, r.Header.Get(HeaderClass), body)
	if err != nil {
		return err
	}
	tr.Service, tr.Class = req.service.Name, req.class.Name
	deadline, attempts, err := s.checkLimits(r, team, req.class, tr.Started)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	svc, err := s.service(req.service.Name)
	if err != nil {
		return err
	}
	run := s.newChatRun(svc, req, tr, deadline, attempts)
	run.explain = r.Header.Get(HeaderExplain) != ""
	run.answer = s.newAnswerWriter(w, req, tr.Request)
	return run.execute(ctx)
}

func (s *Server) newAnswerWriter(w http.ResponseWriter, req *chatRequest, requestID string) answerWriter {
	if req.stream {
		return &streamWriter{w: w, requestID: requestID, model: req.service.Name, writeTimeout: s.opts.StallTimeout}
	}
	return &bufferedWriter{w: w, requestID: requestID, model: req.service.Name}
}

func (s *Server) newChatRun(svc *Service, req *chatRequest, tr *Trace, deadline time.Time, attempts int) *chatRun {
	run := &chatRun{server: s, svc: svc, request: req, trace: tr, deadline: deadline, rng: newRand()}
	run.retries = retry.NewRetrier(retry.Policy{Attempts: attempts}, svc.retryBudget, deadline)
	run.prompt = Prompt{
		Team: req.team.Name, Service: req.service.Name, Class: req.class, Model: req.model,
		Weights: req.weights(), Keys: blockKeys(req), Tokens: len(req.body) / BytesPerToken,
	}
	run.fingerprint = suspect.FingerprintOf(suspect.RequestIdentity{
		Team: req.team.Name, Service: req.service.Name, Model: req.model.Name,
		Version: req.model.Version, Adapter: req.adapter.value, Body: req.prompt,
	})
	return run
}

// blockKeys returns the keys of the prompt's blocks, first to last.
func blockKeys(req *chatRequest) []string {
	model, version := req.servedModel().keyPart(), req.modelVersion().keyPart()
	chain := block.Chain(req.team.Name, model, req.adapter.keyPart(), version, req.prompt, req.model.PieceBytes)
	keys := make([]string, len(chain))
	for i, k := range chain {
		keys[i] = k.String()
	}
	return keys
}

// recordFirstToken records the time to first token of the request in the metrics
// and passes it to the admission controller. It does nothing after the first token.
func (c *chatRun) recordFirstToken(at time.Time) {
	if c.assembler.nextOffset > 1 {
		return
	}
	elapsed := at.Sub(c.trace.Started)
	metric.Histogram("first_token_ms", "class", c.request.class.Name).Update(elapsed.Milliseconds())
	c.svc.admission.Observe(c.expectedFirstToken, elapsed)
}

// engineRequest returns the request that is sent to the engine for an attempt.
func (c *chatRun) engineRequest(attemptID string) engine.GenerateRequest {
	return engine.GenerateRequest{
		AttemptID: attemptID, Weights: c.request.weights(), BlockKeys: c.prompt.Keys,
		Priority: int(c.request.class.Worth), ResumeOffset: c.assembler.nextOffset, Body: c.request.body,
	}
}
