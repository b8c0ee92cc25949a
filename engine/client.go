package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The headers between an entry instance and an engine.
const (
	HeaderAttemptID     = "X-Attempt-Id"     // identity of one attempt; echoed in every frame
	HeaderWeightVersion = "X-Weight-Version" // wanted version; the engine refuses any other
	HeaderBlockKeys     = "X-Block-Keys"     // block keys of the prompt's full pieces, comma separated
	HeaderPriority      = "X-Priority"       // larger runs first
	HeaderResumeOffset  = "X-Resume-Offset"  // tokens that the caller already has
)

// maxDetailBytes bounds what is kept of an engine's error text.
const maxDetailBytes = 512

// Client is the HTTP client of one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at base.
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: c}
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var r Report
	asked := time.Now()
	if err := c.call(ctx, http.MethodGet, "/report", nil, &r); err != nil {
		return Report{}, err
	}
	r.At = asked
	return r, nil
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.call(ctx, http.MethodPost, "/order", o, nil)
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after uint64) (Events, error) {
	var e Events
	err := c.call(ctx, http.MethodGet, "/events?after="+strconv.FormatUint(after, 10), nil, &e)
	return e, err
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, t Transfer) error {
	return c.call(ctx, http.MethodPost, "/export", t, nil)
}

// ImportResult is the engine's answer to an import.
type ImportResult struct {
	Imported int
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, t Transfer) (int, error) {
	var r ImportResult
	err := c.call(ctx, http.MethodPost, "/import", t, &r)
	return r.Imported, err
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	return c.call(ctx, http.MethodPost, "/cancel?attempt="+url.QueryEscape(attempt), nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, path)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return fenced(resp.Body)
	}
	if resp.StatusCode/100 != 2 {
		return statusError(path, resp)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), path)
}

func fenced(body io.Reader) error {
	e := &FencedError{}
	if err := json.NewDecoder(body).Decode(e); err != nil {
		return errors.Wrap(err, "refused order")
	}
	return e
}

func statusError(op string, resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	return &StatusError{Op: op, Status: resp.StatusCode, Detail: strings.TrimSpace(string(detail))}
}
