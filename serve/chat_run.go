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
	// minFirstToken is the least time for which a first token is awaited.
	minFirstToken = 2 * time.Second
	// noEndpointRetry is when a caller comes back that found no endpoint.
	noEndpointRetry = 2 * time.Second
	// probeTimeout bounds the check whether an endpoint has crashed.
	probeTimeout = 500 * time.Millisecond
	// loadingProbes bounds the reports that are read at once because no
	// endpoint has a wanted version: a few that have loaded suffice to go on.
	loadingProbes = 4
)

// chatRun carries one request through its attempts. It belongs to the
// request's goroutine.
type chatRun struct {
	s           *Server
	svc         *Service
	q           *chatRequest
	tr          *Trace
	out         answerWriter
	rng         *rand.Rand
	retries     *retry.Retrier
	prompt      Prompt
	fingerprint suspect.Fingerprint
	deadline    time.Time
	explain     bool

	asm      assembler
	bring    BringBack
	tried    []string
	sent     bool          // an endpoint may have received the request
	admitted bool          // admission is decided once a request
	probed   bool          // the reports of loading endpoints were read
	expected time.Duration // to first token, of the first choice
}

// do runs attempts until the answer is whole. Once tokens were delivered it
// ends a failed answer itself and returns nil.
func (c *chatRun) do(ctx context.Context) error {
	c.bring = c.s.o.Keeper.PlanBringBack(ctx, c.prompt)
	err := c.attempts(ctx)
	if err == nil {
		return nil
	}
	r := asRefusal(err)
	if c.sent {
		r.Ran = contract.MayHaveRun
	}
	if c.asm.next == 0 {
		return r
	}
	c.tr.Refusal = r
	c.out.broken(r, c.asm.next)
	return nil
}

func (c *chatRun) attempts(ctx context.Context) error {
	for {
		fail, err := c.attempt(ctx)
		if err != nil || fail == "" {
			return err
		}
		wait, err := c.retries.Next(retryReason(fail, c.asm.next > 0), 0, time.Now(), c.rng)
		if err != nil {
			return c.giveUp(fail, err)
		}
		if !timer.Sleep(ctx, wait) {
			return c.giveUp(failCanceled, ctx.Err())
		}
	}
}

// attempt makes one attempt. It returns the failure if another may follow, and
// an error if the request is refused.
func (c *chatRun) attempt(ctx context.Context) (failure, error) {
	attempt := c.tr.Request + "." + strconv.Itoa(len(c.tr.Attempts))
	permit, err := c.s.o.Suspects.Begin(ctx, c.fingerprint, attempt, c.deadline, c.rng)
	if err != nil {
		return "", err
	}
	q, choice, err := c.choose(ctx, permit)
	if err != nil {
		permit.EndInconclusive(ctx)
		return "", err
	}
	at := AttemptTrace{
		Endpoint: choice.Endpoint, Expected: choice.Expected, Queue: choice.Queue, Considered: choice.Considered,
		CachedPieces: choice.CachedPieces, Pieces: len(c.prompt.Keys), BringBack: choice.BringBack,
	}
	fail := c.execute(ctx, attempt, q, choice, permit, &at)
	c.tr.Attempts = append(c.tr.Attempts, at)
	return fail, nil
}

// choose picks an endpoint and asks for admission. If none has a wanted version,
// one that was loading may have loaded since its last report: their reports are
// read once.
func (c *chatRun) choose(ctx context.Context, permit *suspect.Permit) (route.Query, route.Choice, error) {
	q, choice, err := c.chooseVersion(ctx, permit)
	var refusal *contract.Refusal
	if c.probed || !errors.As(err, &refusal) || refusal.Reason != contract.ReasonNoEndpoint {
		return q, choice, err
	}
	c.probed = true
	if !c.svc.probeLoading(c.refresh) {
		return q, choice, err
	}
	return c.chooseVersion(ctx, permit)
}

// chooseVersion picks an endpoint of a wanted version. While a swap is under
// way, a request that no engine of the version in force can take goes to one
// that still has the version before. An answer that has begun keeps its version.
func (c *chatRun) chooseVersion(ctx context.Context, permit *suspect.Permit) (route.Query, route.Choice, error) {
	if c.asm.next > 0 {
		return c.chooseEndpoint(permit)
	}
	var first error
	for _, version := range c.s.o.Services.modelVersions(c.q.model.Name) {
		c.setVersion(ctx, version)
		q, choice, err := c.chooseEndpoint(permit)
		if err == nil {
			return q, choice, nil
		}
		if first == nil {
			first = err
		}
	}
	return route.Query{}, route.Choice{}, first
}

// setVersion makes a weight version the one that must answer. The prompt's
// blocks are those of that version alone.
func (c *chatRun) setVersion(ctx context.Context, version string) {
	if version == c.q.model.Version {
		return
	}
	c.q.model.Version = version
	c.prompt.Model = c.q.model
	c.prompt.Keys = blockKeys(c.q)
	c.bring = c.s.o.Keeper.PlanBringBack(ctx, c.prompt)
}

// chooseEndpoint picks an endpoint of the wanted version and asks for admission
// with its expected time.
func (c *chatRun) chooseEndpoint(permit *suspect.Permit) (route.Query, route.Choice, error) {
	now := time.Now()
	q := route.Query{
		Service: c.q.service.Name, Model: c.q.model.Name, Version: c.version(), Adapter: c.q.adapter,
		PromptTokens: c.prompt.Tokens, Pieces: c.prompt.Keys, Class: c.q.class, Deadline: c.deadline,
		Exclude: append(append([]string(nil), c.tried...), permit.Exclude...), DataCentre: c.s.o.DataCentre,
		BringBackTime: c.bring.ImportTime, PreferIdle: permit.Alone, Explain: c.explain,
	}
	choice, err := c.svc.Router.Choose(q, now, c.rng)
	if err != nil {
		return q, choice, contract.Unavailable(contract.ReasonNoEndpoint, spread(noEndpointRetry, c.rng), err.Error())
	}
	return q, choice, c.admit(choice, now)
}

func (c *chatRun) admit(choice route.Choice, now time.Time) error {
	if c.admitted {
		return nil
	}
	err := c.svc.admit.Admit(admit.Query{
		Team: c.q.team.Name, Class: c.q.class, TimeLeft: min(c.q.class.FirstIn, c.deadline.Sub(now)),
		Expected: choice.Expected, QueueTime: choice.Queue, MeanQueueTime: choice.MeanQueue, Cost: choice.Expected - choice.Queue,
	}, now, c.rng)
	c.admitted = err == nil
	c.expected = choice.Expected
	return err
}

// version is that of the tokens delivered, or the one in force before them: an
// answer never joins the tokens of two versions.
func (c *chatRun) version() string {
	if c.asm.next > 0 {
		return c.asm.version
	}
	return c.q.model.Version
}

// execute runs one attempt at the chosen endpoint and returns its failure.
func (c *chatRun) execute(ctx context.Context, attempt string, q route.Query, choice route.Choice, permit *suspect.Permit, at *AttemptTrace) failure {
	c.svc.Router.RecordDispatch(attempt, q, choice, time.Now())
	if permit.Alone {
		c.svc.Router.SetQuarantined(choice.Endpoint, true)
		defer c.svc.Router.SetQuarantined(choice.Endpoint, false)
	}
	c.bringBack(ctx, choice)
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatchdog(cancel, c.firstTokenLimit(choice))
	defer w.stop()
	err := c.stream(ctx, attempt, choice.Endpoint, func(f engine.Frame) error {
		// While the caller is written to, the endpoint is not waited for.
		w.stop()
		defer w.extend(c.s.o.StallTimeout)
		if at.FirstToken == 0 {
			at.FirstToken = time.Since(started)
			c.svc.Router.RecordFirstToken(choice.Endpoint, attempt, time.Now())
		}
		c.noteFirstToken(time.Now())
		return c.out.token(f)
	})
	if err == nil {
		return c.succeeded(ctx, attempt, choice.Endpoint, permit, at)
	}
	return c.failed(ctx, attempt, choice.Endpoint, permit, at, err, w.fired())
}

// bringBack imports kept blocks before the dispatch: those that the engine
// lacks, or all if it is in doubt which it still has; it skips what it holds. A
// failure costs only time: the engine recomputes what it lacks.
func (c *chatRun) bringBack(ctx context.Context, choice route.Choice) {
	cached := choice.CachedPieces
	doubted := cached > 0 && c.bring.Available() && c.svc.doubtsCache(c.prompt.Keys, choice.Endpoint, time.Now())
	if doubted {
		metric.Counter("cache_doubted_total").Inc(1)
		cached = 0
	}
	if !choice.BringBack && !doubted {
		return
	}
	if err := c.bring.Import(ctx, choice.Endpoint, cached); err != nil {
		metric.Counter("bring_back_failed_total").Inc(1)
		event.BringBackFailed.Log(c.s.o.Logger, slog.String("endpoint", choice.Endpoint), slog.Any("error", err))
	}
}

func (c *chatRun) firstTokenLimit(choice route.Choice) time.Duration {
	return max(time.Duration(float64(choice.Expected)*c.s.o.FirstTokenTimeoutFactor), minFirstToken)
}

// stream relays one attempt's tokens to deliver.
func (c *chatRun) stream(ctx context.Context, attempt, endpoint string, deliver func(engine.Frame) error) error {
	s, err := c.s.engineOf(endpoint).Generate(ctx, c.engineRequest(attempt))
	if !isNotConnected(err) {
		c.sent = true
	}
	if err != nil {
		return err
	}
	defer s.Close()
	if err := c.asm.begin(attempt, s.WeightVersion); err != nil {
		return err
	}
	if s.WeightVersion != c.version() {
		return &VersionError{Want: c.q.model.Version, Got: s.WeightVersion}
	}
	return relay(&c.asm, s, deliver, c.dropped)
}

// dropped counts a late or crossed frame.
func (c *chatRun) dropped(f engine.Frame) {
	metric.Counter("frames_dropped_total").Inc(1)
	event.FrameDropped.Log(c.s.o.Logger, slog.String("request", c.tr.Request), slog.String("attempt", f.AttemptID), slog.Int("offset", f.Offset))
}

func (c *chatRun) succeeded(ctx context.Context, attempt, endpoint string, permit *suspect.Permit, at *AttemptTrace) failure {
	at.Outcome = "whole"
	permit.EndWithoutCrash(ctx)
	c.svc.Router.RecordEnd(endpoint, attempt, route.Succeeded, time.Now())
	c.svc.budget.RecordSuccess()
	c.svc.ran(c.prompt.Keys, endpoint, time.Now())
	c.s.o.Keeper.RecordAnswer(c.prompt, endpoint)
	if err := c.out.end(c.asm.finish); err != nil {
		at.Outcome = string(failCanceled)
	}
	return ""
}

// failed settles a failed attempt with the router and the suspects.
func (c *chatRun) failed(ctx context.Context, attempt, endpoint string, permit *suspect.Permit, at *AttemptTrace, err error, late bool) failure {
	fail := classify(ctx, err)
	if late {
		fail = failTimeout
	}
	if isCallerGone(err) {
		fail = failCanceled
	}
	outcome := outcomeOf(fail)
	if crash, ok := c.confirmCrash(fail, endpoint); ok {
		outcome = route.Crashed
		permit.EndWithCrash(ctx, crash)
		event.EndpointCrashed.Log(c.s.o.Logger, slog.String("endpoint", endpoint), slog.String("request", c.tr.Request))
	} else {
		permit.EndInconclusive(ctx)
	}
	at.Outcome = string(fail)
	c.svc.Router.RecordEnd(endpoint, attempt, outcome, time.Now())
	if fail == failVersion {
		c.refresh(endpoint)
	} else {
		c.tried = append(c.tried, endpoint)
	}
	event.AttemptFailed.Log(c.s.o.Logger, slog.String("request", c.tr.Request),
		slog.String("endpoint", endpoint), slog.String("failure", string(fail)), slog.Any("error", err))
	return fail
}

// refresh passes on the present report of an endpoint that holds another version
// than its last report said, so that the next attempt can use it.
func (c *chatRun) refresh(endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r, err := c.s.engineOf(endpoint).Report(ctx); err == nil {
		c.s.o.Services.ObserveReport(c.q.service.Name, endpoint, r, time.Now())
	}
}

// confirmCrash asks the endpoint whether it still runs after a broken stream: a
// cut connection alone blames no request.
func (c *chatRun) confirmCrash(fail failure, endpoint string) (suspect.Crash, bool) {
	if !fail.mayHaveCrashed() {
		return suspect.Crash{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := c.s.engineOf(endpoint).Report(ctx)
	before := c.svc.epoch(endpoint)
	if err == nil && (before == "" || r.Epoch == before) {
		return suspect.Crash{}, false
	}
	return suspect.Crash{Endpoint: endpoint, Epoch: before}, true
}

// giveUp returns the final refusal after a failure that is not retried.
func (c *chatRun) giveUp(fail failure, cause error) error {
	r := &contract.Refusal{Status: http.StatusBadGateway, Reason: contract.ReasonEndpointFailed, Ran: contract.NotRun,
		RetryAfter: spread(noEndpointRetry, c.rng), Detail: "the endpoint failed: " + string(fail)}
	var spent *retry.SpentError
	var expired *retry.ExpiredError
	switch {
	case fail == failCanceled && time.Now().Before(c.deadline):
		r.Status, r.Reason, r.RetryAfter = http.StatusBadRequest, contract.ReasonCallerDisconnected, 0
	case fail == failCanceled, errors.As(cause, &expired):
		r.Status, r.Reason = http.StatusGatewayTimeout, contract.ReasonDeadline
	case errors.As(cause, &spent):
		r.Status, r.Reason = http.StatusServiceUnavailable, contract.ReasonRetryBudget
	case c.asm.next > 0:
		r.Reason = contract.ReasonStreamBroken
	}
	return r
}
