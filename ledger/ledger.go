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

// The pauses between two tries to make the end of a claim durable.
const (
	minEndBackoff = 50 * time.Millisecond
	maxEndBackoff = 5 * time.Second
	endTimeout    = 10 * time.Second
)

// claimTries is how often one call asks for a key that others hold and release.
const claimTries = 3

// Ledger grants each idempotency key to at most one call. It is safe for
// concurrent use.
type Ledger struct {
	cfg    *Config
	life   context.Context
	cancel context.CancelFunc
	claims atomic.Uint64  // number of the last claim
	ends   sync.WaitGroup // ends of claims that are not yet durable

	mu     sync.Mutex
	shards map[int]*shard
}

// New returns a ledger.
func New(cfg Config) *Ledger {
	life, cancel := context.WithCancel(context.Background())
	return &Ledger{cfg: cfg.withDefaults(), life: life, cancel: cancel, shards: map[int]*shard{}}
}

// Close stops the ledger at once. Ends of claims that are not durable are lost:
// resends are then told that the outcome is unknown.
func (l *Ledger) Close() { l.cancel() }

// Drain waits until the ends of all claims are durable or ctx ends. No call may
// be claimed any more.
func (l *Ledger) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.ends.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &NotDurableError{Err: ctx.Err()}
	}
}

// shard returns the shard of that number, opened at its first use.
func (l *Ledger) shard(n int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[n]
	if s == nil {
		s = newShard(l.life, n, l.cfg)
		l.shards[n] = s
	}
	return s
}

// look returns what this instance has folded about a claim's key: nothing if it
// has not written to the shard, and possibly not the latest.
func (l *Ledger) look(c Claim) *ledgerpb.SubmitResponse {
	l.mu.Lock()
	s := l.shards[c.shard]
	l.mu.Unlock()
	if s == nil {
		return &ledgerpb.SubmitResponse{}
	}
	return s.look(c.key, c.minted)
}

// Claim asks for the right to send the call of key k whose body has that
// digest. Its errors are *KeyError and *ClaimNotRecordedError; after any error or any
// outcome but Granted the call must not be sent, and no claim of this attempt
// stays behind.
func (l *Ledger) Claim(ctx context.Context, k Key, digest [32]byte) (Outcome, error) {
	started := l.cfg.Now()
	minted, err := l.checkKey(k)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ClaimTimeout)
	defer cancel()
	for range claimTries {
		a := l.newAttempt(k, minted, digest)
		if known := l.look(a.claim); known.Record.GetState() == ledgerpb.State_STATE_FINISHED {
			return l.outcome(a, known)
		}
		resp, err := l.submit(ctx, a.claim.shard, a.op)
		metric.Histogram("ledger_claim_ms").Update(l.cfg.Now().Sub(started).Milliseconds())
		if err != nil {
			return l.unreached(a, err)
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

// newAttempt returns an attempt with a claim of its own.
func (l *Ledger) newAttempt(k Key, minted int64, digest [32]byte) *attempt {
	c := Claim{key: k.id(), id: newClaimID(l.cfg.Instance, l.claims.Add(1)), minted: minted}
	c.shard = c.key.shard(l.cfg.Shards)
	op := &ledgerpb.Op{
		Kind:     ledgerpb.Kind_KIND_CLAIM,
		Key:      c.key[:],
		Claim:    c.id[:],
		MintedMs: minted,
		Digest:   digest[:idBytes],
		Instance: l.cfg.Instance,
	}
	return &attempt{key: k, claim: c, op: op}
}

// checkKey returns the minted time of a key in milliseconds. This instance's
// clock only saves a write for keys that are clearly too old, and keeps keys
// from the future from being remembered for long; the shard's clock decides.
func (l *Ledger) checkKey(k Key) (int64, error) {
	if k.ID == "" {
		return 0, &KeyError{Reason: contract.ReasonKeyMissing, Key: k}
	}
	if len(k.ID) > maxKeyBytes {
		return 0, &KeyError{Reason: contract.ReasonKeyInvalid, Key: k}
	}
	minted, ok := k.minted()
	if !ok && l.cfg.AcceptOpaque {
		return 0, nil
	}
	age := l.cfg.Now().Sub(minted)
	switch {
	case !ok, age < -l.cfg.MaxSkew, minted.UnixMilli() <= 0:
		return 0, &KeyError{Reason: contract.ReasonKeyInvalid, Key: k}
	case age > l.cfg.Window:
		return 0, &KeyError{Reason: contract.ReasonKeyTooOld, Key: k}
	}
	return minted.UnixMilli(), nil
}

// outcome turns the record of a key after an attempt into the attempt's outcome.
func (l *Ledger) outcome(a *attempt, resp *ledgerpb.SubmitResponse) (Outcome, error) {
	r := resp.Record
	switch {
	case resp.Expired:
		return nil, &KeyError{Reason: contract.ReasonKeyTooOld, Key: a.key}
	case !bytes.Equal(r.Digest, a.op.Digest):
		return nil, &KeyError{Reason: contract.ReasonKeyReused, Key: a.key}
	case r.State == ledgerpb.State_STATE_FINISHED:
		return kept(r.Answer), nil
	case r.State == ledgerpb.State_STATE_DOUBTFUL:
		return Unknown{Instance: r.Instance}, nil
	case a.holds(r):
		return Granted{Claim: a.claim}, nil
	case r.Instance == l.cfg.Instance || l.cfg.Alive(r.Instance):
		return Running{RetryAfter: l.retryAfter()}, nil
	}
	return Unknown{Instance: r.Instance}, nil
}

// holds reports whether the attempt's claim is the one in the record.
func (a *attempt) holds(r *ledgerpb.Record) bool { return bytes.Equal(r.Claim, a.op.Claim) }

func kept(a *ledgerpb.Answer) Outcome {
	if len(a.GetBodyDigest()) > 0 {
		return StoredDigest{Status: int(a.Status), Digest: a.BodyDigest}
	}
	return StoredAnswer{Answer: Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}}
}

// unreached ends an attempt that did not get through. The call is not sent,
// hence a claim that may be or come into the log is released. What this instance
// knows of an earlier attempt is told rather than not-run.
func (l *Ledger) unreached(a *attempt, err error) (Outcome, error) {
	if !notWritten(err) {
		l.end(a.claim, ledgerpb.Kind_KIND_RELEASE, nil)
	}
	known := l.look(a.claim)
	if known.Expired || known.Record != nil && !a.holds(known.Record) {
		return l.outcome(a, known)
	}
	return nil, &ClaimNotRecordedError{RetryAfter: l.retryAfter(), Err: err}
}

// retryAfter returns a time spread over half to one and a half of the mean, so
// that refused callers don't come back together.
func (l *Ledger) retryAfter() time.Duration {
	return time.Duration((0.5 + l.cfg.Rand()) * float64(l.cfg.RetryAfter))
}

// submit appends op through the shard's owner or, if that gives no result,
// directly. Both carry the same claim, so that two copies count as one.
func (l *Ledger) submit(ctx context.Context, n int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	owner, self := l.cfg.Owner(n)
	if self || owner == "" {
		return l.shard(n).submit(ctx, op)
	}
	resp, ownerErr := l.askOwner(ctx, owner, n, op)
	if ownerErr == nil {
		return resp, nil
	}
	event.LedgerOwnerUnreached.Log(l.cfg.Logger, slog.Int("shard", n), slog.String("owner", owner), slog.Any("error", ownerErr))
	metric.Counter("ledger_direct_total").Inc(1)
	resp, err := l.shard(n).submit(ctx, op)
	if err == nil {
		return resp, nil
	}
	return nil, worse(n, ownerErr, err)
}

func (l *Ledger) askOwner(ctx context.Context, owner string, n int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.OwnerTimeout)
	defer cancel()
	return l.cfg.Remote.Submit(ctx, owner, n, op)
}

// worse joins the errors of two ways: the operation is surely not written only
// if neither wrote it.
func worse(n int, first, second error) error {
	if notWritten(first) {
		return second
	}
	return &UnresolvedError{Shard: n, Err: second}
}

// Submit appends an operation on behalf of another instance. The owner of a
// shard serves its peers with it.
func (l *Ledger) Submit(ctx context.Context, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	if shard < 0 || shard >= l.cfg.Shards {
		return nil, &NotWrittenError{Shard: shard}
	}
	return l.shard(shard).submit(ctx, op)
}

// Finish records the answer of a call. It returns nil once the answer is
// durable and a *NotDurableError if ctx ends before; the answer is recorded in any
// case, also when the caller has gone.
func (l *Ledger) Finish(ctx context.Context, c Claim, a Answer) error {
	return l.await(ctx, l.end(c, ledgerpb.Kind_KIND_FINISH, a.encode(l.cfg.MaxBodyBytes)))
}

// Release gives a claim back under which surely no byte of the call was sent,
// so that the key can be claimed again. The claim must not be used afterwards.
func (l *Ledger) Release(ctx context.Context, c Claim) error {
	return l.await(ctx, l.end(c, ledgerpb.Kind_KIND_RELEASE, nil))
}

// MarkUnknown records that the call may or may not have run, so that resends learn it
// at once. A later Finish still counts.
func (l *Ledger) MarkUnknown(ctx context.Context, c Claim) error {
	return l.await(ctx, l.end(c, ledgerpb.Kind_KIND_DOUBT, nil))
}

func (l *Ledger) await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &NotDurableError{Err: ctx.Err()}
	case <-l.life.Done():
		return &NotDurableError{Err: &ClosedError{}}
	}
}

// end writes the end of a claim in the background until it is durable, and
// closes the channel then.
func (l *Ledger) end(c Claim, kind ledgerpb.Kind, a *ledgerpb.Answer) <-chan struct{} {
	op := &ledgerpb.Op{Kind: kind, Key: c.key[:], Claim: c.id[:], MintedMs: c.minted, Answer: a}
	done := make(chan struct{})
	l.ends.Go(func() {
		if l.endUntilDurable(c.shard, op) {
			close(done)
		}
	})
	return done
}

func (l *Ledger) endUntilDurable(shard int, op *ledgerpb.Op) bool {
	for backoff := minEndBackoff; ; backoff = min(2*backoff, maxEndBackoff) {
		ctx, cancel := context.WithTimeout(l.life, endTimeout)
		_, err := l.submit(ctx, shard, op)
		cancel()
		if err == nil {
			return true
		}
		event.LedgerEndPending.Log(l.cfg.Logger, slog.Int("shard", shard), slog.Any("error", err))
		if !l.sleep(backoff) {
			return false
		}
	}
}

// sleep waits for about d and reports whether the ledger is still open.
func (l *Ledger) sleep(d time.Duration) bool {
	select {
	case <-time.After(time.Duration((0.5 + l.cfg.Rand()) * float64(d))):
		return true
	case <-l.life.Done():
		return false
	}
}
