package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
	"redwingknot/upstream"
)

const (
	// moveDecisionInterval is the time between decisions on moving one stream. A long prompt
	// may reach its engine at any time, and is prefilled for 100 ms and more.
	moveDecisionInterval = 100 * time.Millisecond
	// minCopyLimit and maxCopyLimit bound the time for the first copy, which is otherwise
	// copyLimitFactor times as long as expected: copies queue behind others on both links.
	minCopyLimit    = 100 * time.Millisecond
	maxCopyLimit    = time.Second
	copyLimitFactor = 4
	// stopLimitShare is the time for the last copy as a share of the pause objective. The
	// run stands still meanwhile.
	stopLimitShare = 0.5
	// closeTime is how long the response of a stopped run may go on before its connection is
	// closed. The endpoint has written all of it when it answers.
	closeTime = 200 * time.Millisecond
	// freeLimit is the time for one call that frees a copy. One that fails is made again, after
	// minFreePause and then twice as long each time, while the endpoints keep the copy.
	freeLimit    = 400 * time.Millisecond
	minFreePause = 100 * time.Millisecond
	// handleTimeMargin is added to the time for which endpoints keep a copy.
	handleTimeMargin = time.Second
	// noMovesTime is how long no run moves to an endpoint that could not take one. Reports
	// between instances that show why are younger than that.
	noMovesTime = 500 * time.Millisecond
	// maxMoveReplyBytes is well above the size of an answer.
	maxMoveReplyBytes = 4 << 10
)

// longPrefillEngines says which engines prefill long prompts, or are about to. Its method
// is called with the mutex of Endpoints held.
type longPrefillEngines interface {
	prefillsLong(ep *endpoint, maxGap time.Duration, rate *place.PrefillRate) bool
}

// pendingPrefill holds an engine for one that prefills long prompts while the pending prompt
// tokens there, from all instances, amount to one.
type pendingPrefill struct{ endpoints *Endpoints }

func (p pendingPrefill) prefillsLong(ep *endpoint, maxGap time.Duration, rate *place.PrefillRate) bool {
	return place.IsLongPrompt(rate.PrefillTime(p.endpoints.totalLoad(ep).PendingTokens), maxGap)
}

// prefillSetEngines holds the engines of the service's prefill set for those that prefill long
// prompts.
type prefillSetEngines struct{ endpoints *Endpoints }

func (p prefillSetEngines) prefillsLong(ep *endpoint, _ time.Duration, _ *place.PrefillRate) bool {
	return p.endpoints.inPrefillSet(ep)
}

// runMove is a move of one run to another endpoint. Its calls are made by one goroutine,
// which sets early and reply and then closes done; after that they are used by the goroutine
// that serves the request. The reservation at the target belongs to the move until the run
// continues there.
type runMove struct {
	server     *Server
	attemptID  string
	source     *pick
	target     *pick
	query      *placementQuery
	copyTime   time.Duration // expected, for the first copy
	handleTime time.Duration // how long endpoints keep a copy
	stopLimit  time.Duration
	bytes      int64 // expected size of the copy

	minRemaining int          // output tokens below which the run is not stopped
	remaining    atomic.Int64 // output tokens that the run may still generate
	lastEvent    atomic.Int64 // identifier of the last event sent to the caller
	abandoned    atomic.Bool  // the response has ended, or the run continues elsewhere
	stopping     atomic.Bool  // the call by which the run stops was sent

	done      chan struct{}
	early     string           // handle of the first copy, empty without one
	late      <-chan MoveReply // brings the answer to the first call, nil unless it missed its limit
	reply     MoveReply        // answer to the call by which the run stops
	pauseFrom time.Time        // when the response of the stopped run ended
	taken     bool             // the handle was sent to an endpoint that has not refused it
	released  sync.Once        // releases the reservation at the target
	cleared   sync.Once        // frees the copy
	holdFor   time.Duration    // how long the target's reservation is kept, 0 if the copy is known not to exist
}

// moveState is what an attempt needs for the move of its run.
type moveState struct {
	prefill          int                // prompt tokens that the endpoint is expected to prefill
	moveFrom         *runMove           // the move after which the attempt continues a run, nil for other attempts
	nextMoveDecision time.Time          // before which it is not decided again whether the run moves
	cancel           context.CancelFunc // closes the connection of the attempt
}

// MoveError reports a move of a run that came to nothing.
type MoveError struct {
	Stage  string // "copy" while the run went on, "stop" when it was to stop
	Status MoveStatus
}

// Error implements error.
func (e *MoveError) Error() string { return "moving the run: " + e.Stage + ": " + e.Status.String() }

// considerMove begins a move of the run that the response res belongs to if that is worth
// its cost. It is called after events were sent to the caller.
func (c *callerRequest) considerMove(p *pick, res *upstream.Response) {
	// The end of an unframed response does not show whether the run has stopped or ended. A
	// stream without event identifiers can't be continued after an event.
	if !c.server.opts.MoveStreams || c.call.Prompt == nil || p.moveFrom != nil || p.prefill == 0 || res.Unframed || !c.headerSent || c.sequence.last < 0 {
		return
	}
	remaining := c.remainingTokens()
	if c.move != nil {
		c.move.remaining.Store(int64(remaining))
		c.move.lastEvent.Store(c.sequence.last)
		return
	}
	now := time.Now()
	if now.Before(p.nextMoveDecision) || c.deadline.Sub(now) < c.route.MaxGap || !c.server.attempts.isUnique(c.call.AttemptID) {
		return
	}
	p.nextMoveDecision = now.Add(moveDecisionInterval)
	m, verdict := c.server.endpoints.planMove(c, p, remaining)
	if verdict == place.MoveOff {
		return
	}
	metric.Counter("stream_move_decisions_total", "service", c.query.service, "verdict", verdict.String()).Inc(1)
	if m != nil {
		c.move = m
		go m.run()
	}
}

// eventTokens returns the maximum number of tokens in one event of the service.
func eventTokens(engine *fleet.Engine) int { return max(engine.EventTokens, 1) }

// remainingTokens returns how many tokens the run may still generate at least, 0 if that is
// not known.
func (c *callerRequest) remainingTokens() int {
	engine := c.server.endpoints.engineOf(c.query.service)
	if engine == nil {
		return 0
	}
	return max(c.call.Prompt.MaxOutputTokens-int(c.sequence.last+1)*eventTokens(engine), 0)
}

func (e *Endpoints) engineOf(service string) *fleet.Engine {
	cfg := e.view.Snapshot().Config
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}
	return cfg.Services[service].Engine
}

// planMove decides whether the run of p moves and where. If it does, the returned move has a
// reservation at its target.
func (e *Endpoints) planMove(c *callerRequest, p *pick, remaining int) (*runMove, place.MoveVerdict) {
	engine := e.engineOf(c.query.service)
	if engine == nil || !engine.MovesRuns || engine.HandleTime <= 0 || softwareOf(p.spec) == 0 {
		return nil, place.MoveOff
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := e.syncView(), e.now()
	e.readOtherLoads(c.query.service)
	if !e.weightsSettled(s, c.query, p) {
		return nil, place.MoveWeightsChange
	}
	copied := c.call.Prompt.InputTokens + max(c.call.Prompt.MaxOutputTokens-remaining, 0)
	run := &place.Run{
		Key: c.query.requestHash, HeldTokens: p.reserved.HeldTokens, CopiedTokens: copied, PrefilledTokens: p.prefill,
		RemainingTokens: remaining, EventTokens: engine.EventTokens, MaxGap: c.route.MaxGap,
	}
	rates := &place.MoveRates{Prefill: &e.service(c.query.service).prefillRate}
	if engine.LinkMbps > 0 {
		const bitsPerByte, megabit = 8, 1e6
		rates.TimePerToken = time.Duration(bitsPerByte * engine.BytesPerToken / (engine.LinkMbps * megabit) * float64(time.Second))
	}
	source := e.moveEngine(p.endpoint, p.endpoint, run, rates, engine, now)
	if _, verdict := place.ChooseMove(run, &source, nil, rates); verdict != place.MoveNoTarget {
		return nil, verdict
	}
	list := e.moveTargets(s, c.query, p, now)
	targets := make([]place.MoveEngine, len(list))
	for i, ep := range list {
		targets[i] = e.moveEngine(ep, p.endpoint, run, rates, engine, now)
	}
	i, verdict := place.ChooseMove(run, &source, targets, rates)
	if verdict != place.MoveToTarget {
		return nil, verdict
	}
	m := &runMove{
		server: c.server, attemptID: c.call.AttemptID, source: p, query: c.query, handleTime: engine.HandleTime,
		copyTime: rates.CopyTime(copied, targets[i].SameDataCentre), bytes: int64(float64(copied) * engine.BytesPerToken),
		stopLimit: time.Duration(stopLimitShare * float64(c.route.MaxGap)), minRemaining: place.MinMovedTokens(engine.EventTokens), done: make(chan struct{}),
	}
	m.remaining.Store(int64(remaining))
	m.lastEvent.Store(c.sequence.last)
	m.target = e.reserveMoved(m, list[i], now)
	return m, verdict
}

// moveEngine returns what ChooseMove needs to know of an engine, for a run at the engine
// from. The caller holds mu.
func (e *Endpoints) moveEngine(ep, from *endpoint, run *place.Run, rates *place.MoveRates, engine *fleet.Engine, now time.Time) place.MoveEngine {
	load := e.totalLoad(ep)
	return place.MoveEngine{
		Engine: place.Engine{
			Hash: ep.idHash, Slowness: ep.slowness.Slowness(now), Running: load.Running, Slots: ep.spec.Slots,
			PendingTokens: load.PendingTokens, MemoryInUse: load.HeldTokens, MemoryCapacity: engine.CacheTokens,
		},
		SameDataCentre: ep.spec.DataCentre == from.spec.DataCentre,
		PrefillsLong:   e.longPrefill.prefillsLong(ep, run.MaxGap, rates.Prefill),
	}
}

// moveTargets returns the endpoints to which the run of p could move: healthy ones of the
// same software and weights version that would also get new requests, and at which the
// request has not run. The caller holds mu.
func (e *Endpoints) moveTargets(s *fleet.Snapshot, q *placementQuery, p *pick, now time.Time) []*endpoint {
	elsewhere := &placementQuery{
		service: q.service, prompt: q.prompt, team: q.team, software: softwareOf(p.spec), maxAttempts: 1,
		excluded: append(append([]fleet.EndpointKey{p.spec.Key()}, q.tried...), q.excluded...),
	}
	var list []*endpoint
	for _, ep := range e.eligible(s, elsewhere, now) {
		if e.mayTakeRun(s, ep, q.prompt.Model, p.weights, now) && !now.Before(ep.noMovesUntil) {
			list = append(list, ep)
		}
	}
	return list
}

// mayTakeRun reports whether an endpoint is sound, stays, and has the given weights. The
// caller holds mu.
func (e *Endpoints) mayTakeRun(s *fleet.Snapshot, ep *endpoint, model string, weights int64, now time.Time) bool {
	return !ep.replaced && s.Endpoints[ep.spec.ID] != nil && !ep.spec.Leaving && ep.leavingSince.IsZero() && !ep.pause.Active(now) &&
		ep.health.Usable(now) && !e.isDark(ep, now) && ep.weightsVersion(model) == weights && !now.Before(ep.loadingUntil[model])
}

// weightsSettled reports whether the run of p has the weights that its endpoint has, and no
// others are being rolled out for the model of q: each endpoint that stays has those that are
// wanted, and it is confirmed that these are the newest. The caller holds mu.
func (e *Endpoints) weightsSettled(s *fleet.Snapshot, q *placementQuery, p *pick) bool {
	if e.view.ConfirmedAge(e.now()) > promptcache.MaxVersionAge {
		return false
	}
	if p.endpoint.weightsVersion(q.prompt.Model) != p.weights || e.now().Before(p.endpoint.loadingUntil[q.prompt.Model]) {
		return false
	}
	// The snapshot is taken after the confirmation was asked for, so that it holds all that was confirmed.
	wanted := e.view.Snapshot().WantedWeights[q.prompt.Model]
	if wanted == 0 {
		return true
	}
	for _, spec := range s.ByService[q.service] {
		ep := e.byKey[spec.Key()]
		if ep != nil && !spec.Leaving && ep.leavingSince.IsZero() && ep.weightsVersion(q.prompt.Model) != wanted {
			return false
		}
	}
	return wanted == p.weights
}

// reserveMoved reserves a place for a run at an endpoint. The caller holds mu.
func (e *Endpoints) reserveMoved(m *runMove, ep *endpoint, now time.Time) *pick {
	p := &pick{endpoint: ep, spec: ep.spec, weights: m.source.weights, cost: 1, moveState: moveState{moveFrom: m}}
	p.reserved = peers.Load{Running: 1, HeldTokens: m.source.reserved.HeldTokens}
	ep.ownLoad.Add(p.reserved)
	ep.health.RecordSent(now)
	e.takeFromLimit(ep, now)
	e.takeCold(coldService(e.view.Snapshot(), ep.spec.Service), ep, now)
	e.takeRamp(ep, now)
	return p
}

// mayStop reports whether what the move was decided on still holds, apart from loads.
func (e *Endpoints) mayStop(m *runMove) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := e.syncView(), e.now()
	return e.weightsSettled(s, m.query, m.source) && !m.source.endpoint.replaced &&
		e.mayTakeRun(s, m.target.endpoint, m.query.prompt.Model, m.source.weights, now)
}

// run makes the calls of a move, and frees the copy if the run goes on where it is.
func (m *runMove) run() {
	goesOn := m.copy()
	close(m.done)
	if goesOn {
		m.clear()
	}
}

// copy makes a first copy while the run goes on, and one of what is new when it has stopped.
// It reports whether the run certainly goes on where it is.
func (m *runMove) copy() (goesOn bool) {
	limit := min(max(copyLimitFactor*m.copyTime, minCopyLimit), maxCopyLimit, m.handleTime/2)
	first := m.firstCall(limit)
	m.early = first.Handle
	if first.Status != MoveCopied {
		return m.fail("copy", first.Status)
	}
	m.holdFor = m.handleTime + handleTimeMargin
	if m.abandoned.Load() {
		m.end("abandoned")
		return true
	}
	if m.remaining.Load() < int64(m.minRemaining) || !m.server.endpoints.mayStop(m) || !m.server.attempts.isUnique(m.attemptID) {
		m.end("withdrawn")
		return true
	}
	m.stopping.Store(true)
	m.reply = m.call(true, m.stopLimit)
	if m.reply.Handle != "" {
		time.AfterFunc(closeTime, m.source.cancel)
		return false
	}
	return m.fail("stop", m.reply.Status)
}

// firstCall makes the call for the first copy. If its limit passes, the call goes on, because
// its answer names the copy that is to be freed.
func (m *runMove) firstCall(limit time.Duration) MoveReply {
	answer := make(chan MoveReply, 1)
	go func() { answer <- m.call(false, m.handleTime) }()
	select {
	case reply := <-answer:
		return reply
	case <-time.After(limit):
		m.late = answer
		return MoveReply{}
	}
}

// fail records that a call of the move failed. It reports whether the run certainly goes on
// where it is.
func (m *runMove) fail(stage string, status MoveStatus) (goesOn bool) {
	if status == MoveNoRoom {
		m.server.endpoints.avoidMoves(m.target.endpoint)
	}
	if status == MoveUnknown {
		m.holdFor = m.handleTime + handleTimeMargin
	}
	if m.abandoned.Load() {
		m.end("abandoned")
	} else {
		m.end(stage + "_" + status.String())
		event.StreamMoveFailed.Log(m.server.opts.Log, append(m.logAttrs(), slog.String("cause", (&MoveError{Stage: stage, Status: status}).Error()))...)
	}
	// A call that is to stop the run may do so later if it has no answer, and may have done so
	// if it found no room.
	return stage == "copy" || status != MoveUnknown && status != MoveNoRoom
}

// end counts the end of a move.
func (m *runMove) end(outcome string) {
	metric.Counter("stream_moves_total", "service", m.query.service, "outcome", outcome).Inc(1)
}

func (m *runMove) logAttrs() []slog.Attr {
	return []slog.Attr{slog.String("request", m.attemptID), slog.String("from", m.source.spec.ID), slog.String("to", m.target.spec.ID)}
}

// avoidMoves keeps runs from moving to an endpoint for a while.
func (e *Endpoints) avoidMoves(ep *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep.noMovesUntil = e.now().Add(noMovesTime)
}

// call asks the source to copy the run's memory, and returns its answer. The status is
// MoveRefused if the call was not sent.
func (m *runMove) call(stop bool, limit time.Duration) MoveReply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d, relayed := m.server.opts.Dialect, m.lastEvent.Load()
	res, err := m.source.endpoint.pool.Send(ctx, d.MoveRequest(&MoveCall{
		EndpointID: m.source.spec.ID, AttemptID: m.attemptID, TargetAddress: m.target.spec.Address, Stop: stop,
	}))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return MoveReply{Status: MoveRefused}
	}
	if err != nil {
		return MoveReply{}
	}
	defer res.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxMoveReplyBytes))
	// A second copy of this answer would name another run's memory to a later call.
	res.PreventReuse()
	if err != nil {
		return MoveReply{}
	}
	reply, err := d.ParseMoveReply(res.Status, body)
	if named := d.ParseReply(res.Status, res.Header).AttemptID; err == nil && named != "" && named != m.attemptID {
		reply, err = MoveReply{}, &upstream.UnrelatedResponseError{Detail: "it names the attempt " + named}
	}
	if err == nil && reply.Handle != "" && reply.Events < relayed {
		reply, err = MoveReply{}, &upstream.UnrelatedResponseError{Detail: "the run has generated fewer events than were relayed"}
	}
	if err != nil {
		metric.Counter("stream_move_replies_invalid_total", "service", m.query.service).Inc(1)
		event.MoveReplyInvalid.Log(m.server.opts.Log, append(m.logAttrs(), slog.String("error", err.Error()))...)
	}
	return reply
}

// hasStoppedToMove reports whether the response of the run of p ended, with err, because the
// run has stopped in order to move, so that it continues with the move's handle.
//
// If the answer to the call that stops the run is lost, the end of the response shows that it
// took effect, or that the endpoint's process has ended. The first copy is used then.
func (c *callerRequest) hasStoppedToMove(ctx context.Context, p *pick, err error) bool {
	m := c.move
	if m == nil || !m.stopping.Load() {
		return false
	}
	m.pauseFrom = time.Now()
	select {
	case <-m.done:
	default:
		select {
		case <-m.done:
		case <-ctx.Done():
			return false
		}
	}
	mayHaveStopped := m.reply.Status == MoveUnknown || m.reply.Status == MoveNoRoom
	if m.reply.Handle == "" && mayHaveStopped && upstream.ClosedByPeer(err) {
		c.checkCrash(p)
		m.reply.Handle = m.early
	}
	return m.reply.Handle != ""
}

// abandonMove ends the move of a run whose response has ended in another way, if there is one.
func (c *callerRequest) abandonMove() {
	m := c.move
	if m == nil {
		return
	}
	c.move = nil
	m.abandoned.Store(true)
	go func() {
		<-m.done
		m.clear()
	}()
}

// clear frees the copy unless an endpoint has taken it, and releases the reservation at the
// target. The calls of the move must have ended.
func (m *runMove) clear() {
	m.cleared.Do(func() {
		began := time.Now()
		handle := m.reply.Handle
		if handle == "" {
			handle = m.early
		}
		if handle == "" && m.late != nil {
			handle = m.lateHandle()
		}
		switch {
		case m.taken:
		case handle != "" && m.free(handle):
		case m.holdFor > 0:
			time.AfterFunc(m.holdFor-time.Since(began), m.releaseTarget)
			return
		}
		m.releaseTarget()
	})
}

// lateHandle waits for the answer to the first call and returns its handle, empty if there is
// no copy or no answer.
func (m *runMove) lateHandle() string {
	reply := <-m.late
	if reply.Status != MoveUnknown && reply.Handle == "" {
		m.holdFor = 0
	}
	return reply.Handle
}

// releaseTarget releases the reservation at the target unless the run has continued there.
func (m *runMove) releaseTarget() {
	m.released.Do(func() { m.server.endpoints.release(m.target) })
}

// free frees the copy at both ends, and reports whether that is certain.
func (m *runMove) free(handle string) bool {
	expiry := time.Now().Add(m.handleTime)
	for pause := minFreePause; ; pause *= 2 {
		freed, mayRetry := m.tryFree(handle)
		if freed {
			return true
		}
		if !mayRetry || time.Until(expiry) <= pause {
			metric.Counter("stream_move_frees_failed_total", "service", m.query.service).Inc(1)
			return false
		}
		time.Sleep(pause)
	}
}

// tryFree makes one call that frees the copy. It reports whether the copy is certainly freed
// and, if not, whether another call may free it.
func (m *runMove) tryFree(handle string) (freed, mayRetry bool) {
	ctx, cancel := context.WithTimeout(context.Background(), freeLimit)
	defer cancel()
	res, err := m.source.endpoint.pool.Send(ctx, m.server.opts.Dialect.FreeRequest(m.source.spec.ID, handle))
	if err != nil {
		return false, true
	}
	defer res.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxMoveReplyBytes))
	res.PreventReuse()
	switch {
	case err != nil, res.Status == http.StatusTooManyRequests, res.Status >= http.StatusInternalServerError:
		return false, true
	}
	return res.Status < http.StatusMultipleChoices, false
}

// continuedFrom returns the address and the handle of the run that the attempt continues,
// empty if it continues none.
func (p *pick) continuedFrom() (address, handle string) {
	if p.moveFrom == nil {
		return "", ""
	}
	return p.moveFrom.source.spec.Address, p.moveFrom.reply.Handle
}

// continueMoved continues a run that has stopped in order to move: at the target, or where it
// stopped if the target refuses it or could not get the copy. All events that the caller can
// get of the stopped run were sent to it.
func (c *callerRequest) continueMoved(ctx context.Context) outcome {
	m := c.move
	c.move, c.moved = nil, true
	defer func() { go m.clear() }()
	o := outcomeNotExecuted
	if m.reply.Status != MoveNoRoom {
		m.released.Do(func() {}) // the attempt releases the reservation
		o = c.continueAt(ctx, m.target)
	}
	if o == outcomeNotExecuted {
		m.server.endpoints.avoidMoves(m.target.endpoint)
		o = c.continueAt(ctx, m.server.endpoints.reserveSource(m))
	}
	if o != outcomeNotExecuted {
		return o
	}
	m.recordLost(c)
	return outcomeTruncated
}

// continueAt makes the attempt p, which continues a moved run. If the request may not run any
// more, it aborts the response.
func (c *callerRequest) continueAt(ctx context.Context, p *pick) outcome {
	if refusal := c.mayContinue(); refusal != nil {
		c.server.endpoints.release(p)
		p.moveFrom.recordLost(c)
		c.refuseOrAbort(c.markPossibleExecution(refusal))
	}
	o := c.attempt(ctx, p)
	if o == outcomeNotExecuted {
		p.moveFrom.taken = false
	}
	return o
}

// reserveSource reserves a place at the endpoint where the run of m stopped.
func (e *Endpoints) reserveSource(m *runMove) *pick {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reserveMoved(m, m.source.endpoint, e.now())
}

// mayContinue returns a refusal if the request may not run any more.
func (c *callerRequest) mayContinue() *contract.Refusal {
	if r := c.beginRun(); r != nil {
		return r
	}
	return c.checkAuthorization()
}

// recordLost records that a stopped run continues nowhere with its memory.
func (m *runMove) recordLost(c *callerRequest) {
	m.end("lost")
	event.StreamMoveLost.Log(c.server.opts.Log, append(m.logAttrs(), slog.Int64("lastEvent", c.sequence.last))...)
}

// recordSent counts an attempt that may have reached an endpoint. One that continues a moved
// run is neither a retry nor at a further endpoint for the limit of the route.
func (c *callerRequest) recordSent(p *pick) {
	if p.moveFrom != nil {
		p.moveFrom.taken = true
		return
	}
	c.sends++
	c.recordTried(p)
}

// recordFirstEvents records that the first events of the attempt p were sent to the caller.
func (c *callerRequest) recordFirstEvents(p *pick) {
	c.server.endpoints.recordPrefilled(p)
	m := p.moveFrom
	if m == nil {
		return
	}
	c.server.endpoints.recordExecuted(p)
	pause := time.Since(m.pauseFrom)
	metric.Histogram("stream_move_pause_ms", "service", c.query.service).Update(pause.Milliseconds())
	attrs := append(m.logAttrs(), slog.Int64("lastEvent", c.sequence.last), slog.Int64("generated", m.reply.Events), slog.Duration("pause", pause))
	if p != m.target {
		m.end("returned")
		event.StreamMoveReturned.Log(c.server.opts.Log, attrs...)
		return
	}
	m.end("continued")
	metric.Counter("stream_move_bytes_total", "service", c.query.service).Inc(m.bytes)
	event.StreamMoved.Log(c.server.opts.Log, append(attrs, slog.String("bytes", strconv.FormatInt(m.bytes, 10)))...)
}

// recordPrefilled records that the prompt of the attempt p is prefilled. recordFirstData does
// so only for the first attempt of a request that brings data.
func (e *Endpoints) recordPrefilled(p *pick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releasePending(p)
}

// recordExecuted records that the endpoint of p executes the attempt.
func (e *Endpoints) recordExecuted(p *pick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	p.endpoint.health.RecordSuccess(now)
	p.endpoint.pause.RecordExecuted(now)
}
