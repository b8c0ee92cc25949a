package serve

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/ledger"
	"redwingknot/retry"
	"redwingknot/route"
)

// serveService answers a call of a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request, tr *Trace) error {
	state, team, err := s.caller(r)
	if err != nil {
		return err
	}
	name := mux.Vars(r)["service"]
	path := strings.TrimPrefix(r.URL.Path, "/svc/"+name)
	call, err := parseServiceCall(state, team, name, r.Method, path)
	if err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		call.path += "?" + r.URL.RawQuery
	}
	call.header = r.Header
	tr.Team, tr.Service, tr.Class = team.Name, name, call.class.Name
	if call.body, err = readBody(w, r, s.o.MaxBodyBytes, s.o.BodyTimeout); err != nil {
		return err
	}
	deadline, attempts, err := s.accept(r, team, call.class, tr.Started)
	if err != nil {
		return err
	}
	svc, err := s.service(name)
	if err != nil {
		return err
	}
	run := &serviceRun{s: s, svc: svc, call: call, tr: tr, deadline: deadline, rng: newRand()}
	run.retries = retry.NewRetrier(retry.Policy{Attempts: attempts}, svc.budget, deadline)
	p, err := run.answer(r.Context())
	if err != nil {
		return err
	}
	p.write(w)
	return nil
}

// serviceRun carries one call of a plain service. It belongs to the request's
// goroutine.
type serviceRun struct {
	s        *Server
	svc      *Service
	call     *serviceCall
	tr       *Trace
	rng      *rand.Rand
	retries  *retry.Retrier
	deadline time.Time
	tried    []string
}

func (c *serviceRun) answer(ctx context.Context) (*reply, error) {
	if c.call.call.Idempotency == contract.Idempotent {
		ctx, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		return c.repeat(ctx)
	}
	// The outcome of a claimed call is recorded even if its caller leaves.
	ctx, cancel := detached(ctx, c.deadline)
	defer cancel()
	return c.once(ctx)
}

// repeat executes an idempotent call, at another endpoint after a failure.
func (c *serviceRun) repeat(ctx context.Context) (*reply, error) {
	for {
		p, fail, err := c.attempt(ctx)
		if err == nil || fail == "" {
			return p, err
		}
		wait, nextErr := c.retries.Next(retryReason(fail, false), 0, time.Now(), c.rng)
		if nextErr != nil || !timer.Sleep(ctx, wait) {
			return nil, c.failed(fail, contract.MayHaveRun, err)
		}
	}
}

// attempt sends the call to one endpoint. An empty failure with an error means
// that no endpoint was tried.
func (c *serviceRun) attempt(ctx context.Context) (*reply, failure, error) {
	now := time.Now()
	choice, err := c.svc.Router.Choose(route.Query{
		Service: c.call.service.Name, Class: c.call.class, Deadline: c.deadline,
		Exclude: c.tried, DataCentre: c.s.o.DataCentre,
	}, now, c.rng)
	if err != nil {
		return nil, "", contract.Unavailable(contract.ReasonNoEndpoint, spread(noEndpointRetry, c.rng), err.Error())
	}
	id := c.tr.Request + "." + strconv.Itoa(len(c.tr.Attempts))
	c.svc.Router.RecordDispatch(id, route.Query{}, choice, now)
	p, err := c.call.send(ctx, c.s.o.Clients.of(c.call.call.Idempotency), c.s.o.Services.EndpointURL(choice.Endpoint), id, c.s.o.MaxReplyBytes)
	fail := c.settle(ctx, id, choice, err)
	c.tr.Attempts = append(c.tr.Attempts, AttemptTrace{
		Endpoint: choice.Endpoint, Expected: choice.Expected, FirstToken: time.Since(now), Outcome: outcomeName(fail),
	})
	return p, fail, err
}

func outcomeName(f failure) string {
	if f == "" {
		return "whole"
	}
	return string(f)
}

// settle tells the router how an attempt ended and returns its failure.
func (c *serviceRun) settle(ctx context.Context, id string, choice route.Choice, err error) failure {
	if err == nil {
		c.svc.Router.RecordFirstToken(choice.Endpoint, id, time.Now())
		c.svc.Router.RecordEnd(choice.Endpoint, id, route.Succeeded, time.Now())
		c.svc.budget.RecordSuccess()
		return ""
	}
	fail := classify(ctx, err)
	c.svc.Router.RecordEnd(choice.Endpoint, id, outcomeOf(fail), time.Now())
	c.tried = append(c.tried, choice.Endpoint)
	event.AttemptFailed.Log(c.s.o.Logger, slog.String("request", c.tr.Request),
		slog.String("endpoint", choice.Endpoint), slog.String("failure", string(fail)), slog.Any("error", err))
	return fail
}

// once executes a call that may not be repeated, under a claim of its key.
func (c *serviceRun) once(ctx context.Context) (*reply, error) {
	key := ledger.Key{Team: c.call.team.Name, Service: c.call.service.Name, ID: c.call.header.Get(HeaderIdempotencyKey)}
	outcome, err := c.s.o.Ledger.Claim(ctx, key, c.digest())
	if err != nil {
		return nil, ledger.RefusalOf(err)
	}
	switch o := outcome.(type) {
	case ledger.Granted:
		return c.dispatch(ctx, o.Claim)
	case ledger.StoredAnswer:
		return keptReply(o.Answer), nil
	case ledger.StoredDigest:
		return nil, o.Refusal()
	case ledger.Running:
		return nil, o.Refusal()
	case ledger.Unknown:
		return nil, o.Refusal()
	}
	return nil, &contract.Refusal{Status: http.StatusInternalServerError, Reason: contract.ReasonInternal, Ran: contract.MayHaveRun, Detail: "unexpected outcome of a claim"}
}

// digest identifies the call behind a key: a key reused for another method,
// path or body is refused.
func (c *serviceRun) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{c.call.call.Method, c.call.path} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte(part))
	}
	h.Write(c.call.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// dispatch sends a claimed call. Only an attempt of which no byte was sent is
// followed by another; after any other failure the outcome is unknown.
func (c *serviceRun) dispatch(ctx context.Context, claim ledger.Claim) (*reply, error) {
	for {
		p, fail, err := c.attempt(ctx)
		if err == nil {
			return p, c.finish(ctx, claim, p)
		}
		if fail != "" && fail != failConnect {
			recordWithin(ctx, func(ctx context.Context) error { return c.s.o.Ledger.MarkUnknown(ctx, claim) })
			return nil, c.failed(fail, contract.MayHaveRun, err)
		}
		if fail == "" {
			return nil, c.release(ctx, claim, err)
		}
		wait, nextErr := c.retries.Next(retry.Unreachable, 0, time.Now(), c.rng)
		if nextErr != nil || !timer.Sleep(ctx, wait) {
			return nil, c.release(ctx, claim, c.failed(fail, contract.NotRun, err))
		}
	}
}

// recordWait is how long a caller waits for the end of its call's claim to be
// durable; the ledger goes on with it in the background.
const recordWait = time.Second

// recordWithin waits for the end of a claim, but no longer than recordWait.
func recordWithin(ctx context.Context, end func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	return end(ctx)
}

// finish records the answer before the caller gets it, so that a resend after a
// lost answer finds it. A record that is late goes on in the background, and
// the answer does not wait for it.
func (c *serviceRun) finish(ctx context.Context, claim ledger.Claim, p *reply) error {
	answer := ledger.Answer{Status: p.status, ContentType: p.header.Get("Content-Type"), Body: p.body}
	err := recordWithin(ctx, func(ctx context.Context) error { return c.s.o.Ledger.Finish(ctx, claim, answer) })
	var pending *ledger.NotDurableError
	if errors.As(err, &pending) {
		return nil
	}
	return err
}

// release gives the claim of a call that was not sent back and returns its
// refusal. The refusal is true even if the release is late.
func (c *serviceRun) release(ctx context.Context, claim ledger.Claim, refusal error) error {
	recordWithin(ctx, func(ctx context.Context) error { return c.s.o.Ledger.Release(ctx, claim) })
	return refusal
}

func (c *serviceRun) failed(fail failure, ran contract.ExecutionStatus, cause error) error {
	r := &contract.Refusal{
		Status: http.StatusBadGateway, Reason: contract.ReasonEndpointFailed, Ran: ran,
		RetryAfter: spread(noEndpointRetry, c.rng), Detail: cause.Error(),
	}
	if !time.Now().Before(c.deadline) {
		r.Status, r.Reason = http.StatusGatewayTimeout, contract.ReasonDeadline
	}
	var large *ReplyTooLargeError
	if errors.As(cause, &large) {
		r.Reason, r.RetryAfter = contract.ReasonAnswerTooLarge, 0
	}
	return r
}

func keptReply(a ledger.Answer) *reply {
	h := http.Header{}
	h.Set("Content-Type", a.ContentType)
	h.Set("Idempotent-Replayed", "true")
	return &reply{status: a.Status, header: h, body: a.Body}
}
