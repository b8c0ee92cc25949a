package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/admit"
	"redwingknot/contract"
	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/retry"
	"redwingknot/route"
	"redwingknot/suspect"
)

const (
	// minFirstTokenTimeout is the shortest time limit for the first token of an
	// attempt.
	minFirstTokenTimeout = 2 * time.Second
	// noEndpointRetryAfter is the shortest retry-after time of a request that
	// found no endpoint or whose endpoint failed.
	noEndpointRetryAfter = 2 * time.Second
	// probeTimeout bounds the time for reading an endpoint's report, for example
	// to find out whether the endpoint has crashed.
	probeTimeout = 500 * time.Millisecond
	// maxLoadingProbes bounds the number of reports that are read at once when no
	// endpoint has a wanted weight version. A few endpoints that have finished
	// loading are enough to continue.
	maxLoadingProbes = 4
)

// chatRun is the state of one chat completions request over all its attempts. It
// must only be used by the goroutine of the request.
type chatRun struct {
	server      *Server
	svc         *Service
	request     *chatRequest
	trace       *Trace
	answer      answerWriter
	rng         *rand.Rand
	retries     *retry.Retrier
	prompt      Prompt
	fingerprint suspect.Fingerprint
	deadline    time.Time
	explain     bool

	assembler          assembler
	bringBack          BringBack
	triedEndpoints     []string
	maybeSent          bool          // an endpoint may have received the request
	admitted           bool          // admitted once; later attempts skip admission
	loadingProbed      bool          // the reports of loading endpoints have been read
	expectedFirstToken time.Duration // expected time to first token when admission was last asked for
}

// execute runs attempts until the answer is complete or the request is refused. If
// the answer fails after tokens have been delivered, execute ends it with the refusal
// and returns nil; otherwise it returns the refusal.
func (c *chatRun) execute(ctx context.Context) error {
	c.bringBack = c.server.opts.Keeper.PlanBringBack(ctx, c.prompt)
	err := c.runAttempts(ctx)
	if err == nil {
		return nil
	}
	r := asRefusal(err)
	if c.maybeSent { // the refusals of the attempts speak of the last one alone
		if r.Reason == contract.ReasonDraining {
			r = refusalOfStop(contract.MayHaveRun)
		}
		r.Ran = contract.MayHaveRun
	}
	if c.assembler.nextOffset == 0 {
		return r
	}
	c.trace.Refusal = r
	c.answer.abort(r, c.assembler.nextOffset)
	return nil
}

// runAttempts runs attempts until one completes the answer, and returns an error
// if no further attempt is allowed.
func (c *chatRun) runAttempts(ctx context.Context) error {
	for {
		fail, err := c.runAttempt(ctx)
		if err != nil || fail == "" {
			return err
		}
		if fail == failStopped || fail == failCanceled {
			return c.finalRefusal(fail, ctx.Err())
		}
		wait, err := c.retries.Next(retryReason(fail, c.assembler.nextOffset > 0), 0, time.Now(), c.rng)
		if err != nil {
			return c.finalRefusal(fail, err)
		}
		if !timer.Sleep(ctx, wait) {
			return c.finalRefusal(classifyError(ctx, ctx.Err()), ctx.Err())
		}
	}
}

// runAttempt runs one attempt. It returns the failure if the attempt failed and
// another may follow, and an error if the request is refused.
func (c *chatRun) runAttempt(ctx context.Context) (failure, error) {
	if !c.maybeSent {
		if err := c.server.CheckEnd(c.deadline); err != nil {
			return "", err
		}
	}
	attemptID := c.trace.Request + "." + strconv.Itoa(len(c.trace.Attempts))
	permit, err := c.server.opts.Suspects.Begin(ctx, c.fingerprint, attemptID, c.deadline, c.rng)
	if err != nil {
		return "", err
	}
	q, choice, err := c.choose(ctx, permit)
	if err != nil {
		permit.EndInconclusive(ctx)
		return "", err
	}
	attemptTrace := AttemptTrace{
		Endpoint: choice.Endpoint, Expected: choice.Expected, Queue: choice.Queue, Considered: choice.Considered,
		CachedPieces: choice.CachedPieces, Pieces: len(c.prompt.Keys), BringBack: choice.BringBack,
	}
	fail := c.executeAttempt(ctx, attemptID, q, choice, permit, &attemptTrace)
	c.trace.Attempts = append(c.trace.Attempts, attemptTrace)
	return fail, nil
}

// choose selects an endpoint and asks for admission. If no endpoint has a wanted
// weight version, one that was loading may have finished since its last report.
// Therefore choose reads the reports of loading endpoints, once per request, and
// selects again.
func (c *chatRun) choose(ctx context.Context, permit *suspect.Permit) (route.Query, route.Choice, error) {
	q, choice, err := c.chooseVersion(ctx, permit)
	var refusal *contract.Refusal
	if c.loadingProbed || !errors.As(err, &refusal) || refusal.Reason != contract.ReasonNoEndpoint {
		return q, choice, err
	}
	c.loadingProbed = true
	if !c.svc.probeLoading(c.refreshReport) {
		return q, choice, err
	}
	return c.chooseVersion(ctx, permit)
}

// chooseVersion selects an endpoint that has a wanted weight version. During a
// version swap, a request that no engine with the version in force can take goes
// to an engine that still has the previous version. An answer whose first token
// has been delivered keeps its version.
func (c *chatRun) chooseVersion(ctx context.Context, permit *suspect.Permit) (route.Query, route.Choice, error) {
	if c.assembler.nextOffset > 0 {
		return c.chooseEndpoint(permit)
	}
	var firstErr error
	for _, v := range c.server.opts.Services.modelVersions(c.request.model.Name) {
		c.setVersion(ctx, v)
		q, choice, err := c.chooseEndpoint(permit)
		if err == nil {
			return q, choice, nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return route.Query{}, route.Choice{}, firstErr
}

// setVersion sets the weight version that the answer must have. Block keys depend on
// the version, so setVersion computes them again and plans the bring-back anew.
func (c *chatRun) setVersion(ctx context.Context, v setting) {
	if v == c.request.modelVersion() {
		return
	}
	c.request.model.Version, c.request.model.VersionSetBy = v.value, v.setBy
	c.prompt.Model, c.prompt.Weights = c.request.model, c.request.weights()
	c.prompt.Keys = blockKeys(c.request)
	c.bringBack = c.server.opts.Keeper.PlanBringBack(ctx, c.prompt)
}

// chooseEndpoint selects an endpoint that has the weights of answerWeights and
// asks for admission with the expected time to first token there.
func (c *chatRun) chooseEndpoint(permit *suspect.Permit) (route.Query, route.Choice, error) {
	now := time.Now()
	q := route.Query{
		Service: c.request.service.Name, Model: c.request.model.Name, Version: c.answerWeights().Version, Adapter: c.request.adapter.value,
		PromptTokens: c.prompt.Tokens, Pieces: c.prompt.Keys, Class: c.request.class, Deadline: c.deadline,
		Exclude: append(append([]string(nil), c.triedEndpoints...), permit.Exclude...), DataCentre: c.server.opts.DataCentre,
		BringBackTime: c.bringBack.ImportTime, PreferIdle: permit.Alone, Explain: c.explain,
	}
	choice, err := c.svc.Router.Choose(q, now, c.rng)
	if err != nil {
		return q, choice, contract.Unavailable(contract.ReasonNoEndpoint, addJitter(noEndpointRetryAfter, c.rng), err.Error())
	}
	return q, choice, c.admit(choice, now)
}

// admit asks for admission at the chosen endpoint, unless the request has been
// admitted before.
func (c *chatRun) admit(choice route.Choice, now time.Time) error {
	if c.admitted {
		return nil
	}
	err := c.svc.admission.Admit(admit.Query{
		Team: c.request.team.Name, Class: c.request.class, TimeLeft: min(c.request.class.FirstIn, c.deadline.Sub(now)),
		Expected: choice.Expected, QueueTime: choice.Queue, MeanQueueTime: choice.MeanQueue, Cost: choice.Expected - choice.Queue,
	}, now, c.rng)
	c.admitted = err == nil
	c.expectedFirstToken = choice.Expected
	return err
}

// answerWeights returns the weights that the answer must have: those of the tokens
// delivered or, before the first token, the wanted ones. An answer never combines
// tokens of two versions.
func (c *chatRun) answerWeights() engine.Weights {
	if c.assembler.nextOffset > 0 {
		return c.assembler.weights
	}
	return c.request.weights()
}

// executeAttempt runs one attempt at the chosen endpoint and returns its failure,
// which is empty if the answer is complete.
func (c *chatRun) executeAttempt(ctx context.Context, attemptID string, q route.Query, choice route.Choice, permit *suspect.Permit, attemptTrace *AttemptTrace) failure {
	c.svc.Router.RecordDispatch(attemptID, q, choice, time.Now())
	if permit.Alone {
		c.svc.Router.SetQuarantined(choice.Endpoint, true)
		defer c.svc.Router.SetQuarantined(choice.Endpoint, false)
	}
	c.importBlocks(ctx, choice)
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatchdog(cancel, c.firstTokenTimeout(choice))
	defer w.stop()
	err := c.streamAttempt(ctx, attemptID, choice.Endpoint, func(f engine.Frame) error {
		// The watchdog must not count the time of writing to the caller against
		// the endpoint.
		w.stop()
		defer w.reset(c.server.opts.StallTimeout)
		if attemptTrace.FirstToken == 0 {
			attemptTrace.FirstToken = time.Since(started)
			c.svc.Router.RecordFirstToken(choice.Endpoint, attemptID, time.Now())
		}
		c.recordFirstToken(time.Now())
		return c.answer.writeToken(f)
	})
	if err == nil {
		return c.recordSuccess(ctx, attemptID, choice.Endpoint, permit, attemptTrace)
	}
	return c.recordFailure(ctx, attemptID, choice.Endpoint, permit, attemptTrace, err, w.fired())
}

// importBlocks imports stored blocks of the prompt into the engine before the
// request is sent: the blocks that the engine lacks or, if the engine may have
// evicted blocks that the router takes for cached, all of them. The engine skips
// blocks that it has. A failure only costs time because the engine then
// prefills the pieces of missing blocks.
func (c *chatRun) importBlocks(ctx context.Context, choice route.Choice) {
	cachedPieces := choice.CachedPieces
	uncertain := cachedPieces > 0 && c.bringBack.Available() && c.svc.cacheUncertain(c.prompt.Keys, choice.Endpoint, time.Now())
	if uncertain {
		metric.Counter("cache_doubted_total").Inc(1)
		cachedPieces = 0
	}
	if !choice.BringBack && !uncertain {
		return
	}
	if err := c.bringBack.Import(ctx, choice.Endpoint, cachedPieces); err != nil {
		metric.Counter("bring_back_failed_total").Inc(1)
		event.BringBackFailed.Log(c.server.opts.Logger, slog.String("endpoint", choice.Endpoint), slog.Any("error", err))
	}
}

// firstTokenTimeout returns how long to wait for the first token at the chosen
// endpoint.
func (c *chatRun) firstTokenTimeout(choice route.Choice) time.Duration {
	return max(time.Duration(float64(choice.Expected)*c.server.opts.FirstTokenTimeoutFactor), minFirstTokenTimeout)
}

// streamAttempt sends the request to the endpoint and passes the tokens of the
// attempt to deliver.
func (c *chatRun) streamAttempt(ctx context.Context, attemptID, endpoint string, deliver func(engine.Frame) error) error {
	s, err := c.server.engineClient(endpoint).Generate(ctx, c.engineRequest(attemptID))
	if !isConnectError(err) {
		c.maybeSent = true
	}
	if err != nil {
		return err
	}
	defer s.Close()
	if err := c.assembler.beginAttempt(attemptID, s.Weights); err != nil {
		return err
	}
	if want := c.answerWeights(); s.Weights != want {
		return &VersionError{Want: want, Got: s.Weights}
	}
	return relayFrames(&c.assembler, s, deliver, c.recordDropped)
}

// recordDropped counts and logs a frame that the assembler did not accept.
func (c *chatRun) recordDropped(f engine.Frame) {
	metric.Counter("frames_dropped_total").Inc(1)
	event.FrameDropped.Log(c.server.opts.Logger, slog.String("request", c.trace.Request), slog.String("attempt", f.AttemptID), slog.Int("offset", f.Offset))
}

// recordSuccess records an attempt that completed the answer, and finishes the
// answer to the caller. It always returns an empty failure.
func (c *chatRun) recordSuccess(ctx context.Context, attemptID, endpoint string, permit *suspect.Permit, attemptTrace *AttemptTrace) failure {
	attemptTrace.Outcome = "whole"
	permit.EndWithoutCrash(ctx)
	c.svc.Router.RecordEnd(endpoint, attemptID, route.Succeeded, time.Now())
	c.svc.retryBudget.RecordSuccess()
	c.svc.recordRun(c.prompt.Keys, endpoint, time.Now())
	c.server.opts.Keeper.RecordAnswer(c.prompt, endpoint)
	if err := c.answer.complete(c.assembler.finishReason); err != nil {
		attemptTrace.Outcome = string(failCanceled)
	}
	return ""
}

// recordFailure classifies the error of a failed attempt, reports it to the router
// and to the detection of crashing requests, and returns the failure.
func (c *chatRun) recordFailure(ctx context.Context, attemptID, endpoint string, permit *suspect.Permit, attemptTrace *AttemptTrace, err error, timedOut bool) failure {
	fail := classifyError(ctx, err)
	if timedOut {
		fail = failTimeout
	}
	if isCallerGone(err) {
		fail = failCanceled
	}
	outcome := routeOutcome(fail)
	if crash, ok := c.confirmCrash(fail, endpoint); ok {
		outcome = route.Crashed
		permit.EndWithCrash(ctx, crash)
		event.EndpointCrashed.Log(c.server.opts.Logger, slog.String("endpoint", endpoint), slog.String("request", c.trace.Request))
	} else {
		permit.EndInconclusive(ctx)
	}
	attemptTrace.Outcome = string(fail)
	c.svc.Router.RecordEnd(endpoint, attemptID, outcome, time.Now())
	if fail == failVersion {
		c.refreshReport(endpoint)
	} else {
		c.triedEndpoints = append(c.triedEndpoints, endpoint)
	}
	event.AttemptFailed.Log(c.server.opts.Logger, slog.String("request", c.trace.Request),
		slog.String("endpoint", endpoint), slog.String("failure", string(fail)), slog.Any("error", err))
	return fail
}

// refreshReport reads the current report of an endpoint and passes it to the
// router, so that the next attempt uses it. It is called when an endpoint may have
// another weight version than in its last report.
func (c *chatRun) refreshReport(endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r, err := c.server.engineClient(endpoint).Report(ctx); err == nil {
		c.server.opts.Services.ObserveReport(c.request.service.Name, endpoint, r, time.Now())
	}
}

// confirmCrash reports whether the endpoint has crashed. After a broken stream it
// reads the endpoint's report, because a lost connection alone does not show that
// the request crashed the endpoint. The endpoint has crashed if it does not answer
// or if the epoch of its process is not the last one reported.
func (c *chatRun) confirmCrash(fail failure, endpoint string) (suspect.Crash, bool) {
	if !fail.mayBeCrash() {
		return suspect.Crash{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := c.server.engineClient(endpoint).Report(ctx)
	knownEpoch := c.svc.epoch(endpoint)
	if err == nil && (knownEpoch == "" || r.Epoch == knownEpoch) {
		return suspect.Crash{}, false
	}
	return suspect.Crash{Endpoint: endpoint, Epoch: knownEpoch}, true
}

// finalRefusal returns the refusal for a failure that is not retried; cause is the
// reason why it is not.
func (c *chatRun) finalRefusal(fail failure, cause error) error {
	r := &contract.Refusal{Status: http.StatusBadGateway, Reason: contract.ReasonEndpointFailed, Ran: contract.NotRun,
		RetryAfter: addJitter(noEndpointRetryAfter, c.rng), Detail: "the endpoint failed: " + string(fail)}
	var spent *retry.SpentError
	var expired *retry.ExpiredError
	switch {
	case fail == failStopped:
		return refusalOfStop(contract.NotRun)
	case fail == failCanceled && time.Now().Before(c.deadline):
		r.Status, r.Reason, r.RetryAfter = http.StatusBadRequest, contract.ReasonCallerDisconnected, 0
	case fail == failCanceled, errors.As(cause, &expired):
		r.Status, r.Reason = http.StatusGatewayTimeout, contract.ReasonDeadline
	case errors.As(cause, &spent):
		r.Status, r.Reason = http.StatusServiceUnavailable, contract.ReasonRetryBudget
	case c.assembler.nextOffset > 0:
		r.Reason = contract.ReasonStreamBroken
	}
	return r
}
