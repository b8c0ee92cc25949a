package ledger

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/ledger/ledgerpb"
	"redwingknot/metric"
)

// The end of a claim is submitted until it is durable, with an exponential backoff
// from minEndBackoff to maxEndBackoff and a timeout of endSubmitTimeout a try.
const (
	minEndBackoff    = 50 * time.Millisecond
	maxEndBackoff    = 5 * time.Second
	endSubmitTimeout = 10 * time.Second
)

// maxClaimTries is the number of tries of one call to claim a key. A try has no
// result if another claim held the key but was released before the response.
const maxClaimTries = 3

// Ledger grants each idempotency key to at most one call. It is safe for
// concurrent use.
type Ledger struct {
	cfg         *Config
	ctx         context.Context
	cancel      context.CancelFunc
	claimCount  atomic.Uint64  // number of the last claim made by this instance
	pendingEnds sync.WaitGroup // ends of claims that are not durable yet

	mu     sync.Mutex
	shards map[int]*shard
}

// New returns a ledger with the given configuration. It opens the log of a shard
// when the shard is first used.
func New(cfg Config) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, shards: map[int]*shard{}}
}

// Close stops the ledger immediately. Ends of claims that are not durable yet are
// lost; resends of those calls then get the Unknown outcome.
func (l *Ledger) Close() { l.cancel() }

// Drain waits until the ends of all claims are durable. It returns a *NotDurableError
// if ctx ends before. Claim must not be called once Drain has been called.
func (l *Ledger) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.pendingEnds.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &NotDurableError{Err: ctx.Err()}
	}
}

// shard returns the shard with number n and opens it when it is first used.
func (l *Ledger) shard(n int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[n]
	if s == nil {
		s = newShard(l.ctx, n, l.cfg)
		l.shards[n] = s
	}
	return s
}

// localResponse returns the response for the key of c from the log entries that this
// instance has applied. It is empty if this instance has not opened the shard, and
// may be out of date.
func (l *Ledger) localResponse(c Claim) *ledgerpb.SubmitResponse {
	l.mu.Lock()
	s := l.shards[c.shard]
	l.mu.Unlock()
	if s == nil {
		return &ledgerpb.SubmitResponse{}
	}
	return s.localResponse(c.key, c.createdMs)
}

// Claim tries to claim key k for a call whose body has the given SHA-256 digest. Its
// errors are *KeyError and *ClaimNotRecordedError. After an error or any outcome but
// Granted the call must not be sent, and no claim of it is left behind: a claim that
// may have reached the log is released in the background. If other claims take and
// release the key during each try, the outcome is Running.
func (l *Ledger) Claim(ctx context.Context, k Key, digest [32]byte) (Outcome, error) {
	started := l.cfg.Now()
	createdMs, err := l.checkKey(k)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ClaimTimeout)
	defer cancel()
	for range maxClaimTries {
		a := l.newAttempt(k, createdMs, digest)
		if known := l.localResponse(a.claim); known.Record.GetState() == ledgerpb.State_STATE_FINISHED {
			return l.outcome(a, known)
		}
		resp, err := l.submit(ctx, a.claim.shard, a.op)
		metric.Histogram("ledger_claim_ms").Update(l.cfg.Now().Sub(started).Milliseconds())
		if err != nil {
			return l.claimFailed(a, err)
		}
		if resp.Record != nil || resp.Expired {
			return l.outcome(a, resp)
		}
	}
	return Running{RetryAfter: l.retryAfter()}, nil
}

// attempt is one try to claim a key.
type attempt struct {
	key   Key
	claim Claim
	op    *ledgerpb.Op
}

// newAttempt returns an attempt with a new claim.
func (l *Ledger) newAttempt(k Key, createdMs int64, digest [32]byte) *attempt {
	c := Claim{key: k.id(), id: newClaimID(l.cfg.Instance, l.claimCount.Add(1)), createdMs: createdMs}
	c.shard = c.key.shard(l.cfg.Shards)
	op := &ledgerpb.Op{
		Kind:     ledgerpb.Kind_KIND_CLAIM,
		Key:      c.key[:],
		Claim:    c.id[:],
		MintedMs: createdMs,
		Digest:   digest[:idBytes],
		Instance: l.cfg.Instance,
	}
	return &attempt{key: k, claim: c, op: op}
}

// checkKey returns the creation time of a key in Unix milliseconds, or 0 for a key
// that contains none if the configuration accepts it. The comparison with this
// instance's clock only saves a write for keys that are clearly too old and
// prevents records of keys with a time in the future from being stored for long.
// The clock of the shard decides whether a key is expired.
func (l *Ledger) checkKey(k Key) (int64, error) {
	if k.ID == "" {
		return 0, &KeyError{Reason: contract.ReasonKeyMissing, Key: k}
	}
	if len(k.ID) > maxKeyBytes {
		return 0, &KeyError{Reason: contract.ReasonKeyInvalid, Key: k}
	}
	createdAt, ok := k.creationTime()
	if !ok && l.cfg.AcceptOpaque {
		return 0, nil
	}
	age := l.cfg.Now().Sub(createdAt)
	switch {
	case !ok, age < -l.cfg.MaxSkew, createdAt.UnixMilli() <= 0:
		return 0, &KeyError{Reason: contract.ReasonKeyInvalid, Key: k}
	case age > l.cfg.Window:
		return 0, &KeyError{Reason: contract.ReasonKeyTooOld, Key: k}
	}
	return createdAt.UnixMilli(), nil
}

// outcome returns the outcome of attempt a, given the response after its operation.
func (l *Ledger) outcome(a *attempt, resp *ledgerpb.SubmitResponse) (Outcome, error) {
	r := resp.Record
	switch {
	case resp.Expired:
		return nil, &KeyError{Reason: contract.ReasonKeyTooOld, Key: a.key}
	case !bytes.Equal(r.Digest, a.op.Digest):
		return nil, &KeyError{Reason: contract.ReasonKeyReused, Key: a.key}
	case r.State == ledgerpb.State_STATE_FINISHED:
		return storedOutcome(r.Answer), nil
	case r.State == ledgerpb.State_STATE_DOUBTFUL:
		return Unknown{Instance: r.Instance}, nil
	case a.holds(r):
		return Granted{Claim: a.claim}, nil
	case r.Instance == l.cfg.Instance || l.cfg.Alive(r.Instance):
		return Running{RetryAfter: l.retryAfter()}, nil
	}
	return Unknown{Instance: r.Instance}, nil
}

// holds reports whether the claim of the attempt created the record.
func (a *attempt) holds(r *ledgerpb.Record) bool { return bytes.Equal(r.Claim, a.op.Claim) }

// storedOutcome returns the outcome for a stored answer.
func storedOutcome(a *ledgerpb.Answer) Outcome {
	if len(a.GetBodyDigest()) > 0 {
		return StoredDigest{Status: int(a.Status), Digest: a.BodyDigest}
	}
	return StoredAnswer{Answer: Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}}
}

// claimFailed ends an attempt whose claim could not be recorded in time. The call is
// not sent, so a claim that is or may get into the log is released. If this instance
// knows of an earlier attempt or that the key is expired, the result says so instead
// of not-run.
func (l *Ledger) claimFailed(a *attempt, err error) (Outcome, error) {
	if !notWritten(err) {
		l.endClaim(a.claim, ledgerpb.Kind_KIND_RELEASE, nil)
	}
	known := l.localResponse(a.claim)
	if known.Expired || known.Record != nil && !a.holds(known.Record) {
		return l.outcome(a, known)
	}
	return nil, &ClaimNotRecordedError{RetryAfter: l.retryAfter(), Err: err}
}

// retryAfter returns a random delay between half and one and a half of the
// configured mean, so that refused callers do not retry at the same time.
func (l *Ledger) retryAfter() time.Duration {
	return time.Duration((0.5 + l.cfg.Rand()) * float64(l.cfg.RetryAfter))
}

// submit appends op to the log of shard n through the owner of the shard or, if the
// owner returns an error, directly. Both copies have the same claim ID, so a second
// copy in the log has no effect.
func (l *Ledger) submit(ctx context.Context, n int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	owner, self := l.cfg.Owner(n)
	if self || owner == "" {
		return l.shard(n).submit(ctx, op)
	}
	resp, ownerErr := l.submitToOwner(ctx, owner, n, op)
	if ownerErr == nil {
		return resp, nil
	}
	event.LedgerOwnerUnreachable.Log(l.cfg.Logger, slog.Int("shard", n), slog.String("owner", owner), slog.Any("error", ownerErr))
	metric.Counter("ledger_direct_total").Inc(1)
	resp, err := l.shard(n).submit(ctx, op)
	if err == nil {
		return resp, nil
	}
	return nil, joinSubmitErrors(n, ownerErr, err)
}

// submitToOwner submits op to the owner of shard n and waits at most OwnerTimeout.
func (l *Ledger) submitToOwner(ctx context.Context, owner string, n int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.OwnerTimeout)
	defer cancel()
	return l.cfg.Remote.Submit(ctx, owner, n, op)
}

// joinSubmitErrors combines the errors of two submissions of the same operation to
// shard n. The result is a *NotWrittenError only if neither wrote the operation.
func joinSubmitErrors(n int, first, second error) error {
	if notWritten(first) {
		return second
	}
	return &UnresolvedError{Shard: n, Err: second}
}

// Submit appends an operation to the log of a shard on behalf of another instance.
// Instances call it on the owner of the shard. Its errors are *NotWrittenError and
// *UnresolvedError.
func (l *Ledger) Submit(ctx context.Context, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	if shard < 0 || shard >= l.cfg.Shards {
		return nil, &NotWrittenError{Shard: shard}
	}
	return l.shard(shard).submit(ctx, op)
}

// Finish stores the answer of a call. It returns nil once the answer is durable, and
// a *NotDurableError if ctx ends or the ledger is closed before. After the end of ctx,
// for example because the caller has disconnected, the answer is still stored in
// the background.
func (l *Ledger) Finish(ctx context.Context, c Claim, a Answer) error {
	return l.waitDurable(ctx, l.endClaim(c, ledgerpb.Kind_KIND_FINISH, a.encode(l.cfg.MaxBodyBytes)))
}

// Release releases a claim so that the key can be claimed again. It may be called
// only if no byte of the call has been sent, and the claim must not be used
// afterwards. Its errors are those of Finish.
func (l *Ledger) Release(ctx context.Context, c Claim) error {
	return l.waitDurable(ctx, l.endClaim(c, ledgerpb.Kind_KIND_RELEASE, nil))
}

// MarkUnknown records, with an operation of KIND_DOUBT, that the call may or may not
// have run, so that resends get the Unknown outcome immediately. A later Finish still
// stores the answer. The errors are those of Finish.
func (l *Ledger) MarkUnknown(ctx context.Context, c Claim) error {
	return l.waitDurable(ctx, l.endClaim(c, ledgerpb.Kind_KIND_DOUBT, nil))
}

// waitDurable waits until done is closed. It returns a *NotDurableError if ctx ends or
// the ledger is closed before.
func (l *Ledger) waitDurable(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &NotDurableError{Err: ctx.Err()}
	case <-l.ctx.Done():
		return &NotDurableError{Err: &ClosedError{}}
	}
}

// endClaim submits the end of a claim in the background until it is durable, and
// then closes the returned channel.
func (l *Ledger) endClaim(c Claim, kind ledgerpb.Kind, a *ledgerpb.Answer) <-chan struct{} {
	op := &ledgerpb.Op{Kind: kind, Key: c.key[:], Claim: c.id[:], MintedMs: c.createdMs, Answer: a}
	done := make(chan struct{})
	l.pendingEnds.Go(func() {
		if l.submitUntilDurable(c.shard, op) {
			close(done)
		}
	})
	return done
}

// submitUntilDurable submits op until it is durable. It returns false if the ledger
// is closed before.
func (l *Ledger) submitUntilDurable(shard int, op *ledgerpb.Op) bool {
	for backoff := minEndBackoff; ; backoff = min(2*backoff, maxEndBackoff) {
		ctx, cancel := context.WithTimeout(l.ctx, endSubmitTimeout)
		_, err := l.submit(ctx, shard, op)
		cancel()
		if err == nil {
			return true
		}
		event.LedgerEndPending.Log(l.cfg.Logger, slog.Int("shard", shard), slog.Any("error", err))
		if !l.sleepJittered(backoff) {
			return false
		}
	}
}

// sleepJittered waits for a random time between half and one and a half of d. It
// returns false if the ledger is closed before.
func (l *Ledger) sleepJittered(d time.Duration) bool {
	select {
	case <-time.After(time.Duration((0.5 + l.cfg.Rand()) * float64(d))):
		return true
	case <-l.ctx.Done():
		return false
	}
}
