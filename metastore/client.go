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

	"redwingknot/internal/stall"
	"redwingknot/metric"
	"redwingknot/upstream"
)

const (
	dialTimeout      = time.Second
	callTimeout      = 3 * time.Second // until the response begins, and between two of its bytes
	transferTimeout  = 30 * time.Second
	maxResponseBytes = 64 << 20
	// maxHeadBytes limits the status line and headers of a response.
	maxHeadBytes    = 64 << 10
	maxIdleConns    = 16
	idleConnTimeout = time.Minute
)

// ClientOptions configure a Client.
type ClientOptions struct {
	URLs   []string     // base URLs; if one can't be reached, the next is tried
	HTTP   *http.Client // nil means a new client with default timeouts
	Budget *Budget      // limits the rate of calls; nil means no limit
}

// Client is a KV that calls the JSON gateway of the etcd v3 API. It is safe for
// concurrent use.
type Client struct {
	urls    []string
	http    *http.Client
	budget  *Budget
	lastURL atomic.Uint32 // index in urls of the last one that returned a response
}

// NewClient returns a client, which opens its first connection at the first call.
func NewClient(o ClientOptions) *Client {
	c := &Client{urls: o.URLs, http: o.HTTP, budget: o.Budget}
	if c.http == nil {
		c.http = &http.Client{Transport: upstream.NewTransport(newTransport())}
	}
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
	}
}

// callInfo describes one request for errors, metrics and the call budget.
type callInfo struct {
	op      string
	key     string
	purpose Purpose
	write   bool
	path    string
}

func (c callInfo) refusedError(cause Cause) error {
	return &RefusedError{Op: c.op, Key: c.key, Cause: cause}
}

func (c callInfo) notSentError(err error) error {
	return &NotSentError{Op: c.op, Key: c.key, Err: err}
}

func (c callInfo) unknownOutcomeError(err error) error {
	return &UnknownOutcomeError{Op: c.op, Key: c.key, Err: err}
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, p Purpose, key string) (Entry, error) {
	info := callInfo{op: "get", key: key, purpose: p, path: "/v3/kv/range"}
	var res rangeResponse
	if err := c.post(ctx, info, rangeRequest{Key: []byte(key)}, &res); err != nil {
		return Entry{}, err
	}
	if len(res.Kvs) == 0 {
		return Entry{}, info.refusedError(CauseNotFound)
	}
	return res.Kvs[0].entry(), nil
}

// Range implements KV.
func (c *Client) Range(ctx context.Context, p Purpose, from, to string, limit int) ([]Entry, int64, error) {
	info := callInfo{op: "range", key: from, purpose: p, path: "/v3/kv/range"}
	req := rangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: int64String(limit)}
	var res rangeResponse
	if err := c.post(ctx, info, req, &res); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, len(res.Kvs))
	for i, kv := range res.Kvs {
		entries[i] = kv.entry()
	}
	return entries, int64(res.Header.Revision), nil
}

// Create implements KV.
func (c *Client) Create(ctx context.Context, p Purpose, key string, value []byte, lease LeaseID) (int64, error) {
	info := callInfo{op: "create", key: key, purpose: p, write: true, path: "/v3/kv/txn"}
	absent := comparison{Key: []byte(key), Target: targetCreate, Result: resultEqual, CreateRevision: new(int64String)}
	return c.putIf(ctx, info, absent, value, lease, CauseExists)
}

// Swap implements KV.
func (c *Client) Swap(ctx context.Context, p Purpose, key string, value []byte, rev int64, lease LeaseID) (int64, error) {
	info := callInfo{op: "swap", key: key, purpose: p, write: true, path: "/v3/kv/txn"}
	return c.putIf(ctx, info, modRevisionEquals(key, rev), value, lease, CauseConflict)
}

func modRevisionEquals(key string, rev int64) comparison {
	r := int64String(rev)
	return comparison{Key: []byte(key), Target: targetMod, Result: resultEqual, ModRevision: &r}
}

func (c *Client) putIf(ctx context.Context, info callInfo, cond comparison, value []byte, lease LeaseID, failCause Cause) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, info.refusedError(CauseTooLarge)
	}
	put := putRequest{Key: []byte(info.key), Value: value, Lease: int64String(lease)}
	return c.txn(ctx, info, cond, requestOp{Put: &put}, failCause)
}

func (c *Client) txn(ctx context.Context, info callInfo, cond comparison, then requestOp, failCause Cause) (int64, error) {
	req := txnRequest{Compare: []comparison{cond}, Success: []requestOp{then}}
	var res txnResponse
	if err := c.post(ctx, info, req, &res); err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, info.refusedError(failCause)
	}
	return int64(res.Header.Revision), nil
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, p Purpose, key string, rev int64) error {
	info := callInfo{op: "delete", key: key, purpose: p, write: true, path: "/v3/kv/txn"}
	if rev != 0 {
		del := deleteRangeRequest{Key: []byte(key)}
		_, err := c.txn(ctx, info, modRevisionEquals(key, rev), requestOp{DeleteRange: &del}, CauseConflict)
		return err
	}
	deleted, err := c.deleteRange(ctx, info, deleteRangeRequest{Key: []byte(key)})
	if err == nil && deleted == 0 {
		return info.refusedError(CauseNotFound)
	}
	return err
}

// DeleteRange implements RangeDeleter.
func (c *Client) DeleteRange(ctx context.Context, p Purpose, from, to string) error {
	info := callInfo{op: "delete-range", key: from, purpose: p, write: true}
	_, err := c.deleteRange(ctx, info, deleteRangeRequest{Key: []byte(from), RangeEnd: []byte(to)})
	return err
}

func (c *Client) deleteRange(ctx context.Context, info callInfo, req deleteRangeRequest) (int64, error) {
	info.path = "/v3/kv/deleterange"
	var res deleteRangeResponse
	err := c.post(ctx, info, req, &res)
	return int64(res.Deleted), err
}

// Grant implements KV. The service takes whole seconds, so ttl is rounded up.
func (c *Client) Grant(ctx context.Context, p Purpose, ttl time.Duration) (LeaseID, error) {
	info := callInfo{op: "grant", purpose: p, write: true, path: "/v3/lease/grant"}
	seconds := (ttl + time.Second - 1) / time.Second
	if seconds <= 0 {
		return 0, info.refusedError(CauseInvalid)
	}
	var res leaseResponse
	if err := c.post(ctx, info, leaseGrantRequest{TTL: int64String(seconds)}, &res); err != nil {
		return 0, err
	}
	if res.ID == 0 {
		return 0, info.unknownOutcomeError(&ResponseError{Detail: "response has no lease ID"})
	}
	return LeaseID(res.ID), nil
}

// KeepAlive implements KV.
func (c *Client) KeepAlive(ctx context.Context, p Purpose, id LeaseID) (time.Duration, error) {
	info := callInfo{op: "keepalive", key: id.String(), purpose: p, write: true, path: "/v3/lease/keepalive"}
	var res leaseKeepAliveResponse
	if err := c.post(ctx, info, leaseRequest{ID: int64String(id)}, &res); err != nil {
		return 0, err
	}
	if res.Result.TTL <= 0 {
		return 0, info.refusedError(CauseLeaseExpired)
	}
	return time.Duration(res.Result.TTL) * time.Second, nil
}

// Revoke implements KV.
func (c *Client) Revoke(ctx context.Context, p Purpose, id LeaseID) error {
	info := callInfo{op: "revoke", key: id.String(), purpose: p, write: true, path: "/v3/lease/revoke"}
	var res struct{}
	return c.post(ctx, info, leaseRequest{ID: int64String(id)}, &res)
}

// String returns the ID in decimal, which is the format of the service.
func (id LeaseID) String() string { return strconv.FormatInt(int64(id), 10) }

// post sends req and decodes the response into res.
func (c *Client) post(ctx context.Context, info callInfo, req, res any) error {
	ctx, call := stall.Start(ctx, stall.Limits{Response: callTimeout, Gap: callTimeout, Total: transferTimeout})
	defer call.End()
	body, err := c.openResponse(ctx, info, req)
	if err != nil {
		return err
	}
	defer body.Close()
	data, err := call.ReadAll(body, maxResponseBytes)
	if err != nil {
		return info.unknownOutcomeError(err)
	}
	if err := json.Unmarshal(data, res); err != nil {
		return info.unknownOutcomeError(err)
	}
	return nil
}

// openResponse takes the call from the budget, sends it and returns the body of
// the response if its status is 200.
func (c *Client) openResponse(ctx context.Context, info callInfo, req any) (io.ReadCloser, error) {
	if !c.budget.allow(time.Now(), info.write) {
		metric.Counter("platform_budget_refusals_total", "purpose", string(info.purpose), "op", info.op).Inc(1)
		return nil, info.refusedError(CauseOverBudget)
	}
	data, err := json.Marshal(req)
	if err != nil {
		return nil, info.notSentError(err)
	}
	metric.Counter("platform_calls_total", "purpose", string(info.purpose), "op", info.op).Inc(1)
	res, err := c.send(ctx, info, data)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, nil
	}
	defer res.Body.Close()
	return nil, c.responseError(info, res)
}

// send tries the URLs in turn, beginning with the one that responded last, until
// one returns a response. It stops at the first URL that may have received the
// request.
func (c *Client) send(ctx context.Context, info callInfo, data []byte) (*http.Response, error) {
	first := c.lastURL.Load()
	var lastErr error = &ResponseError{Detail: "no URL configured"}
	for i := range c.urls {
		index := (first + uint32(i)) % uint32(len(c.urls))
		res, sent, err := c.sendToURL(ctx, c.urls[index]+info.path, data)
		if err == nil {
			c.lastURL.Store(index)
			return res, nil
		}
		if sent {
			return nil, info.unknownOutcomeError(err)
		}
		lastErr = err
	}
	return nil, info.notSentError(lastErr)
}

// sendToURL sends one request. The result sent reports whether any part of the
// request may have left this process; only for a request that never got a
// connection is that ruled out.
func (c *Client) sendToURL(ctx context.Context, url string, data []byte) (res *http.Response, sent bool, err error) {
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

// responseError returns the error for a response whose status is not 200. Only
// codes that the service returns before it changes anything become a
// *RefusedError; with any other code the outcome is unknown.
func (c *Client) responseError(info callInfo, res *http.Response) error {
	const maxFailureBytes = 64 << 10
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxFailureBytes))
	var f gatewayError
	_ = json.Unmarshal(data, &f) // if the body is not JSON, the code stays 0
	switch f.Code {
	case codeNotFound:
		return info.refusedError(CauseLeaseExpired) // the service returns this code only for writes that name a lease
	case codeResourceExhausted:
		return info.refusedError(CauseOverBudget)
	case codeInvalidArgument, codeFailedPrecondition, codeOutOfRange:
		return info.refusedError(CauseInvalid)
	}
	cause := &ResponseError{Status: res.StatusCode, Code: f.Code, Detail: f.Message}
	return info.unknownOutcomeError(cause)
}

// IsCause reports whether err is a *RefusedError with the given cause.
func IsCause(err error, cause Cause) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Cause == cause
}

// IsUnknownOutcome reports whether err is an *UnknownOutcomeError, which means that the
// call may have taken effect.
func IsUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}
