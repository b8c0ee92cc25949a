package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"redwingknot/metric"
)

const (
	dialTimeout     = time.Second
	callTimeout     = 3 * time.Second
	maxAnswerBytes  = 64 << 20
	maxIdleConns    = 16
	idleConnTimeout = time.Minute
)

// ClientOptions say where the key-value service is and how much of it to use.
type ClientOptions struct {
	URLs   []string     // base addresses; the next is tried when one can't be reached
	HTTP   *http.Client // nil is a client of its own
	Budget *Budget      // nil is no limit
}

// Client is a KV over the JSON gateway of the etcd v3 API. It may be used from
// any goroutine.
type Client struct {
	urls   []string
	http   *http.Client
	budget *Budget
	next   atomic.Uint32 // index of the URL that answered last
}

// NewClient returns a client; it connects at the first call.
func NewClient(o ClientOptions) *Client {
	c := &Client{urls: o.URLs, http: o.HTTP, budget: o.Budget}
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport()}
	}
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// call names one request for errors, counters and the budget.
type call struct {
	op      string
	key     string
	purpose Purpose
	write   bool
	path    string
}

func (c call) refused(cause Cause) error {
	return &RefusedError{Op: c.op, Key: c.key, Cause: cause}
}

func (c call) notSent(err error) error {
	return &NotSentError{Op: c.op, Key: c.key, Err: err}
}

func (c call) unknown(err error) error {
	return &UnknownOutcomeError{Op: c.op, Key: c.key, Err: err}
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, p Purpose, key string) (Entry, error) {
	what := call{op: "get", key: key, purpose: p, path: "/v3/kv/range"}
	var res rangeResponse
	if err := c.post(ctx, what, rangeRequest{Key: []byte(key)}, &res); err != nil {
		return Entry{}, err
	}
	if len(res.Kvs) == 0 {
		return Entry{}, what.refused(CauseNotFound)
	}
	return res.Kvs[0].entry(), nil
}

// Range implements KV.
func (c *Client) Range(ctx context.Context, p Purpose, from, to string, limit int) ([]Entry, int64, error) {
	what := call{op: "range", key: from, purpose: p, path: "/v3/kv/range"}
	req := rangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: int64String(limit)}
	var res rangeResponse
	if err := c.post(ctx, what, req, &res); err != nil {
		return nil, 0, err
	}
	found := make([]Entry, len(res.Kvs))
	for i, kv := range res.Kvs {
		found[i] = kv.entry()
	}
	return found, int64(res.Header.Revision), nil
}

// Create implements KV.
func (c *Client) Create(ctx context.Context, p Purpose, key string, value []byte, lease LeaseID) (int64, error) {
	what := call{op: "create", key: key, purpose: p, write: true, path: "/v3/kv/txn"}
	absent := comparison{Key: []byte(key), Target: targetCreate, Result: resultEqual, CreateRevision: new(int64String)}
	return c.putIf(ctx, what, absent, value, lease, CauseExists)
}

// Swap implements KV.
func (c *Client) Swap(ctx context.Context, p Purpose, key string, value []byte, rev int64, lease LeaseID) (int64, error) {
	what := call{op: "swap", key: key, purpose: p, write: true, path: "/v3/kv/txn"}
	return c.putIf(ctx, what, unchanged(key, rev), value, lease, CauseConflict)
}

func unchanged(key string, rev int64) comparison {
	r := int64String(rev)
	return comparison{Key: []byte(key), Target: targetMod, Result: resultEqual, ModRevision: &r}
}

func (c *Client) putIf(ctx context.Context, what call, cond comparison, value []byte, lease LeaseID, otherwise Cause) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, what.refused(CauseTooLarge)
	}
	put := putRequest{Key: []byte(what.key), Value: value, Lease: int64String(lease)}
	return c.txn(ctx, what, cond, requestOp{Put: &put}, otherwise)
}

func (c *Client) txn(ctx context.Context, what call, cond comparison, then requestOp, otherwise Cause) (int64, error) {
	req := txnRequest{Compare: []comparison{cond}, Success: []requestOp{then}}
	var res txnResponse
	if err := c.post(ctx, what, req, &res); err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, what.refused(otherwise)
	}
	return int64(res.Header.Revision), nil
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, p Purpose, key string, rev int64) error {
	what := call{op: "delete", key: key, purpose: p, write: true, path: "/v3/kv/txn"}
	if rev != 0 {
		del := deleteRangeRequest{Key: []byte(key)}
		_, err := c.txn(ctx, what, unchanged(key, rev), requestOp{DeleteRange: &del}, CauseConflict)
		return err
	}
	deleted, err := c.deleteRange(ctx, what, deleteRangeRequest{Key: []byte(key)})
	if err == nil && deleted == 0 {
		return what.refused(CauseNotFound)
	}
	return err
}

// DeleteRange implements RangeDeleter.
func (c *Client) DeleteRange(ctx context.Context, p Purpose, from, to string) error {
	what := call{op: "delete-range", key: from, purpose: p, write: true}
	_, err := c.deleteRange(ctx, what, deleteRangeRequest{Key: []byte(from), RangeEnd: []byte(to)})
	return err
}

func (c *Client) deleteRange(ctx context.Context, what call, req deleteRangeRequest) (int64, error) {
	what.path = "/v3/kv/deleterange"
	var res deleteRangeResponse
	err := c.post(ctx, what, req, &res)
	return int64(res.Deleted), err
}

// Grant implements KV. The service counts whole seconds; ttl is rounded up.
func (c *Client) Grant(ctx context.Context, p Purpose, ttl time.Duration) (LeaseID, error) {
	what := call{op: "grant", purpose: p, write: true, path: "/v3/lease/grant"}
	seconds := (ttl + time.Second - 1) / time.Second
	if seconds <= 0 {
		return 0, what.refused(CauseInvalid)
	}
	var res leaseResponse
	if err := c.post(ctx, what, leaseGrantRequest{TTL: int64String(seconds)}, &res); err != nil {
		return 0, err
	}
	if res.ID == 0 {
		return 0, what.unknown(&ResponseError{Detail: "no lease in the answer"})
	}
	return LeaseID(res.ID), nil
}

// KeepAlive implements KV.
func (c *Client) KeepAlive(ctx context.Context, p Purpose, id LeaseID) (time.Duration, error) {
	what := call{op: "keepalive", key: id.String(), purpose: p, write: true, path: "/v3/lease/keepalive"}
	var res leaseKeepAliveResponse
	if err := c.post(ctx, what, leaseRequest{ID: int64String(id)}, &res); err != nil {
		return 0, err
	}
	if res.Result.TTL <= 0 {
		return 0, what.refused(CauseLeaseExpired)
	}
	return time.Duration(res.Result.TTL) * time.Second, nil
}

// Revoke implements KV.
func (c *Client) Revoke(ctx context.Context, p Purpose, id LeaseID) error {
	what := call{op: "revoke", key: id.String(), purpose: p, write: true, path: "/v3/lease/revoke"}
	var res struct{}
	return c.post(ctx, what, leaseRequest{ID: int64String(id)}, &res)
}

// String returns the lease as the service writes it.
func (id LeaseID) String() string { return strconv.FormatInt(int64(id), 10) }

// post sends req and decodes the answer into res.
func (c *Client) post(ctx context.Context, what call, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.open(ctx, what, req)
	if err != nil {
		return err
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return what.unknown(err)
	}
	if err := json.Unmarshal(data, res); err != nil {
		return what.unknown(err)
	}
	return nil
}

// open counts the call against the budget and returns the body of a 200 answer.
func (c *Client) open(ctx context.Context, what call, req any) (io.ReadCloser, error) {
	if !c.budget.take(time.Now(), what.write) {
		metric.Counter("platform_budget_refusals_total", "purpose", string(what.purpose), "op", what.op).Inc(1)
		return nil, what.refused(CauseOverBudget)
	}
	data, err := json.Marshal(req)
	if err != nil {
		return nil, what.notSent(err)
	}
	metric.Counter("platform_calls_total", "purpose", string(what.purpose), "op", what.op).Inc(1)
	res, err := c.send(ctx, what, data)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, nil
	}
	defer res.Body.Close()
	return nil, c.failure(what, res)
}

// send tries each URL until one takes the request.
func (c *Client) send(ctx context.Context, what call, data []byte) (*http.Response, error) {
	first := c.next.Load()
	var lastErr error = &ResponseError{Detail: "no address configured"}
	for i := range c.urls {
		at := (first + uint32(i)) % uint32(len(c.urls))
		res, sent, err := c.sendTo(ctx, c.urls[at]+what.path, data)
		if err == nil {
			c.next.Store(at)
			return res, nil
		}
		if sent {
			return nil, what.unknown(err)
		}
		lastErr = err
	}
	return nil, what.notSent(lastErr)
}

// sendTo reports whether any part of the request may have left: only a request
// that never got a connection is certain not to have.
func (c *Client) sendTo(ctx context.Context, url string, data []byte) (res *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err = c.http.Do(req)
	return res, connected.Load(), err
}

// failure sorts an answer that is not 200: only codes that the service gives
// before it acts are a refusal.
func (c *Client) failure(what call, res *http.Response) error {
	const maxFailureBytes = 64 << 10
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxFailureBytes))
	var f gatewayFailure
	_ = json.Unmarshal(data, &f) // a body that is not JSON leaves the code zero
	switch f.Code {
	case codeNotFound:
		return what.refused(CauseLeaseExpired) // only leases are looked up by a write
	case codeResourceExhausted:
		return what.refused(CauseOverBudget)
	case codeInvalidArgument, codeFailedPrecondition, codeOutOfRange:
		return what.refused(CauseInvalid)
	}
	answer := &ResponseError{Status: res.StatusCode, Code: f.Code, Detail: f.Message}
	return what.unknown(answer)
}

// IsCause reports whether err is a refusal with the given cause.
func IsCause(err error, cause Cause) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Cause == cause
}

// IsUnknownOutcome reports whether err leaves open whether the call took effect.
func IsUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}
