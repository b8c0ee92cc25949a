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

// serveService handles a call of a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request, tr *Trace) error {
	state, team, err := s.authenticate(r)
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
	if call.body, err = readBody(w, r, s.opts.MaxBodyBytes, s.opts.BodyTimeout); err != nil {
		return err
	}
	deadline, attempts, err := s.checkLimits(r, team, call.class, tr.Started)
	if err != nil {
		return err
	}
	svc, err := s.service(name)
	if err != nil {
		return err
	}
	run := &serviceRun{server: s, svc: svc, call: call, trace: tr, deadline: deadline, rng: newRand()}
	run.retries = retry.NewRetrier(retry.Policy{Attempts: attempts}, svc.retryBudget, deadline)
	reply, err := run.execute(r.Context())
	if err != nil {
		return err
	}
	reply.write(w)
	return nil
}

// serviceRun is the state of one call of a plain service over all its attempts. It
// must only be used by the goroutine of the request.
type serviceRun struct {
	server         *Server
	svc            *Service
	call           *serviceCall
	trace          *Trace
	rng            *rand.Rand
	retries        *retry.Retrier
	deadline       time.Time
	triedEndpoints []string
	maybeSent      bool // an endpoint may have received the call
}

// execute executes the call and returns the response of the service, or a refusal.
func (r *serviceRun) execute(ctx context.Context) (*serviceReply, error) {
	if r.call.spec.Idempotency == contract.Idempotent {
		ctx, cancel := context.WithDeadline(ctx, r.deadline)
		defer cancel()
		return r.runIdempotent(ctx)
	}
	// The outcome of a claimed call must be recorded even if the caller
	// disconnects.
	ctx, cancel := r.server.detachedContext(ctx, r.deadline)
	defer cancel()
	return r.runNonIdempotent(ctx)
}

// runIdempotent executes an idempotent call. After a failure it retries at another
// endpoint.
func (r *serviceRun) runIdempotent(ctx context.Context) (*serviceReply, error) {
	for {
		reply, fail, err := r.runAttempt(ctx)
		if err == nil || fail == "" {
			return reply, err
		}
		if fail == failStopped || fail == failCanceled {
			return nil, r.failureRefusal(fail, contract.MayHaveRun, err)
		}
		wait, nextErr := r.retries.Next(retryReason(fail, false), 0, time.Now(), r.rng)
		if nextErr != nil || !timer.Sleep(ctx, wait) {
			return nil, r.failureRefusal(fail, contract.MayHaveRun, err)
		}
	}
}

// runAttempt sends the call to one endpoint. If there is no endpoint to send it to, or
// this instance may stop before the call ends, it returns an empty failure and an error.
func (r *serviceRun) runAttempt(ctx context.Context) (*serviceReply, failure, error) {
	if !r.maybeSent {
		if err := r.server.CheckEnd(r.deadline); err != nil {
			return nil, "", err
		}
	}
	now := time.Now()
	choice, err := r.svc.Router.Choose(route.Query{
		Service: r.call.service.Name, Class: r.call.class, Deadline: r.deadline,
		Exclude: r.triedEndpoints, DataCentre: r.server.opts.DataCentre,
	}, now, r.rng)
	if err != nil {
		return nil, "", contract.Unavailable(contract.ReasonNoEndpoint, addJitter(noEndpointRetryAfter, r.rng), err.Error())
	}
	attemptID := r.trace.Request + "." + strconv.Itoa(len(r.trace.Attempts))
	r.svc.Router.RecordDispatch(attemptID, route.Query{}, choice, now)
	reply, err := r.call.send(ctx, r.server.opts.Clients.clientFor(r.call.spec.Idempotency), r.server.opts.Services.EndpointURL(choice.Endpoint), attemptID, r.server.opts.MaxReplyBytes)
	fail := r.recordAttempt(ctx, attemptID, choice, err)
	r.trace.Attempts = append(r.trace.Attempts, AttemptTrace{
		Endpoint: choice.Endpoint, Expected: choice.Expected, FirstToken: time.Since(now), Outcome: traceOutcome(fail),
	})
	return reply, fail, err
}

// traceOutcome returns the outcome of an attempt as recorded in its trace.
func traceOutcome(f failure) string {
	if f == "" {
		return "whole"
	}
	return string(f)
}

// recordAttempt reports the result of an attempt to the router and returns its
// failure, which is empty if err is nil.
func (r *serviceRun) recordAttempt(ctx context.Context, attemptID string, choice route.Choice, err error) failure {
	if err == nil {
		r.svc.Router.RecordFirstToken(choice.Endpoint, attemptID, time.Now())
		r.svc.Router.RecordEnd(choice.Endpoint, attemptID, route.Succeeded, time.Now())
		r.svc.retryBudget.RecordSuccess()
		return ""
	}
	fail := classifyError(ctx, err)
	r.maybeSent = r.maybeSent || fail != failConnect
	r.svc.Router.RecordEnd(choice.Endpoint, attemptID, routeOutcome(fail), time.Now())
	r.triedEndpoints = append(r.triedEndpoints, choice.Endpoint)
	event.AttemptFailed.Log(r.server.opts.Logger, slog.String("request", r.trace.Request),
		slog.String("endpoint", choice.Endpoint), slog.String("failure", string(fail)), slog.Any("error", err))
	return fail
}

// runNonIdempotent claims the idempotency key of a call that must not be retried.
// It sends the call if the claim is granted, and otherwise returns the recorded
// response or a refusal.
func (r *serviceRun) runNonIdempotent(ctx context.Context) (*serviceReply, error) {
	key := ledger.Key{Team: r.call.team.Name, Service: r.call.service.Name, ID: r.call.header.Get(HeaderIdempotencyKey)}
	outcome, err := r.server.opts.Ledger.Claim(ctx, key, r.callDigest())
	if err != nil {
		return nil, ledger.RefusalOf(err)
	}
	switch o := outcome.(type) {
	case ledger.Granted:
		return r.runClaimed(ctx, o.Claim)
	case ledger.StoredAnswer:
		return replayedReply(o.Answer), nil
	case ledger.StoredDigest:
		return nil, o.Refusal()
	case ledger.Running:
		return nil, o.Refusal()
	case ledger.Unknown:
		return nil, o.Refusal()
	}
	return nil, &contract.Refusal{Status: http.StatusInternalServerError, Reason: contract.ReasonInternal, Ran: contract.MayHaveRun, Detail: "unexpected outcome of a claim"}
}

// callDigest returns a hash of the call's method, path and body. The ledger uses it
// to refuse an idempotency key that is reused for another call.
func (r *serviceRun) callDigest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{r.call.spec.Method, r.call.path} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte(part))
	}
	h.Write(r.call.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// runClaimed sends a call whose key is claimed. If no connection was made, so that no
// byte was sent, it retries; when it may not retry, or if there is no endpoint, it
// releases the claim. After any other failed attempt it records the outcome as
// unknown.
func (r *serviceRun) runClaimed(ctx context.Context, claim ledger.Claim) (*serviceReply, error) {
	for {
		reply, fail, err := r.runAttempt(ctx)
		if err == nil {
			return reply, r.recordAnswer(ctx, claim, reply)
		}
		if fail != "" && fail != failConnect {
			recordWithTimeout(ctx, func(ctx context.Context) error { return r.server.opts.Ledger.MarkUnknown(ctx, claim) })
			return nil, r.failureRefusal(fail, contract.MayHaveRun, err)
		}
		if fail == "" {
			return nil, r.releaseClaim(ctx, claim, err)
		}
		wait, nextErr := r.retries.Next(retry.Unreachable, 0, time.Now(), r.rng)
		if nextErr != nil || !timer.Sleep(ctx, wait) {
			return nil, r.releaseClaim(ctx, claim, r.failureRefusal(fail, contract.NotRun, err))
		}
	}
}

// recordTimeout is the maximum time that the answer to the caller waits for the
// ledger to record the end of the claim durably. After that, the ledger continues in
// the background.
const recordTimeout = time.Second

// recordWithTimeout calls record, which records the end of a claim in the ledger, with
// a context that ends after recordTimeout.
func recordWithTimeout(ctx context.Context, record func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return record(ctx)
}

// recordAnswer records the answer in the ledger before it is sent to the caller. A
// caller that did not receive the answer gets the recorded one when it retries the
// call. If recording takes longer than recordTimeout, it continues in the background
// and the answer is not delayed further.
func (r *serviceRun) recordAnswer(ctx context.Context, claim ledger.Claim, reply *serviceReply) error {
	answer := ledger.Answer{Status: reply.status, ContentType: reply.header.Get("Content-Type"), Body: reply.body}
	err := recordWithTimeout(ctx, func(ctx context.Context) error { return r.server.opts.Ledger.Finish(ctx, claim, answer) })
	var pending *ledger.NotDurableError
	if errors.As(err, &pending) {
		return nil
	}
	return err
}

// releaseClaim releases the claim of a call that was not sent, and returns refusal.
// The refusal is correct even if the release becomes durable later.
func (r *serviceRun) releaseClaim(ctx context.Context, claim ledger.Claim, refusal error) error {
	recordWithTimeout(ctx, func(ctx context.Context) error { return r.server.opts.Ledger.Release(ctx, claim) })
	return refusal
}

// failureRefusal returns the refusal for a failed call; ran says whether the call
// may have been executed, and cause is the error of the last attempt.
func (r *serviceRun) failureRefusal(fail failure, ran contract.ExecutionStatus, cause error) error {
	if fail == failStopped {
		return refusalOfStop(ran)
	}
	refusal := &contract.Refusal{
		Status: http.StatusBadGateway, Reason: contract.ReasonEndpointFailed, Ran: ran,
		RetryAfter: addJitter(noEndpointRetryAfter, r.rng), Detail: cause.Error(),
	}
	if !time.Now().Before(r.deadline) {
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, contract.ReasonDeadline
	}
	var large *ReplyTooLargeError
	if errors.As(cause, &large) {
		refusal.Reason, refusal.RetryAfter = contract.ReasonAnswerTooLarge, 0
	}
	return refusal
}

// replayedReply returns the recorded answer to an earlier call with the same key.
func replayedReply(a ledger.Answer) *serviceReply {
	h := http.Header{}
	h.Set("Content-Type", a.ContentType)
	h.Set("Idempotent-Replayed", "true")
	return &serviceReply{status: a.Status, header: h, body: a.Body}
}
